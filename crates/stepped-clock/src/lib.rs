//! `LD_PRELOAD` library that steps the wall clock of a process. All other clocks are left as they are.
//!
//! `ASTERPORT_CLOCK_OFFSET_FILE` names a file with the offset from the system's wall clock as a decimal
//! number of milliseconds. The file is read at each reading of the wall clock, so that a test steps the
//! clock of a running process by replacing the file. Without a readable file the offset is 0.

use libc::{c_char, c_int, c_void, clockid_t, timespec};
use std::sync::OnceLock;

const OFFSET_FILE_VARIABLE: &str = "ASTERPORT_CLOCK_OFFSET_FILE";
const NANOS_PER_MILLI: i128 = 1_000_000;
const NANOS_PER_SECOND: i128 = 1_000_000_000;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

/// The C library's function.
fn system_clock_gettime() -> ClockGettime {
    static FUNCTION: OnceLock<ClockGettime> = OnceLock::new();
    *FUNCTION.get_or_init(|| {
        let name: &std::ffi::CStr = c"clock_gettime";
        // SAFETY: the name is NUL-terminated and has the static lifetime, and the C library's function
        // of this name has this type.
        unsafe {
            let symbol: *mut c_void = libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast::<c_char>());
            std::mem::transmute::<*mut c_void, ClockGettime>(symbol)
        }
    })
}

/// The current offset in milliseconds.
fn offset_ms() -> i64 {
    let read = || {
        let path = std::env::var_os(OFFSET_FILE_VARIABLE)?;
        std::fs::read_to_string(path).ok()?.trim().parse().ok()
    };
    read().unwrap_or(0)
}

fn stepped(time: timespec, offset_ms: i64) -> timespec {
    let nanos = i128::from(time.tv_sec) * NANOS_PER_SECOND + i128::from(time.tv_nsec);
    let nanos = nanos + i128::from(offset_ms) * NANOS_PER_MILLI;
    timespec {
        tv_sec: nanos.div_euclid(NANOS_PER_SECOND) as libc::time_t,
        tv_nsec: nanos.rem_euclid(NANOS_PER_SECOND) as libc::c_long,
    }
}

/// clock_gettime(2) with a stepped wall clock.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are the caller's.
    let result = unsafe { system_clock_gettime()(clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the C library has just written to this pointer.
        unsafe { *time = stepped(*time, offset_ms()) };
    }
    result
}
