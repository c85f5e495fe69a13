//! A library for `LD_PRELOAD`: `accept4` and `connect` of the process fail now and then, as Linux documents for them.
//!
//! `ASTERPORT_FAILING_CALLS_SEED` draws which calls fail, in bursts of up to four. A call that fails is not
//! made: a connection stays in the listener's queue, and no packet goes out. Without the variable every call is made.

use libc::{c_char, c_int, c_void, sockaddr, socklen_t};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering};

const SEED_VARIABLE: &str = "ASTERPORT_FAILING_CALLS_SEED";
/// One call in so many begins a burst of failures.
const MEAN_CALLS_PER_BURST: u64 = 20;
/// So many calls on end fail at most.
const MAX_BURST_CALLS: u64 = 4;
/// What accept(2) fails with for a moment.
const ACCEPT_ERRORS: [c_int; 6] = [
    libc::ECONNABORTED,
    libc::EINTR,
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::EHOSTUNREACH,
];
/// What connect(2) fails with for a moment.
const CONNECT_ERRORS: [c_int; 6] = [
    libc::EADDRNOTAVAIL,
    libc::ENETUNREACH,
    libc::ENOBUFS,
    libc::ENFILE,
    libc::ETIMEDOUT,
    libc::EHOSTUNREACH,
];

type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;

/// The failures of one function.
struct FailureInjector {
    errors: &'static [c_int],
    error: AtomicI32,
    remaining: AtomicU32,
}

impl FailureInjector {
    const fn new(errors: &'static [c_int]) -> FailureInjector {
        FailureInjector {
            errors,
            error: AtomicI32::new(0),
            remaining: AtomicU32::new(0),
        }
    }

    /// The error number of this call, if it is to fail.
    fn next_error(&self) -> Option<c_int> {
        let decrement = |remaining: u32| remaining.checked_sub(1);
        let ordering = Ordering::Relaxed;
        if self
            .remaining
            .fetch_update(ordering, ordering, decrement)
            .is_ok()
        {
            return Some(self.error.load(ordering));
        }
        let sample = next_random()?;
        if !sample.is_multiple_of(MEAN_CALLS_PER_BURST) {
            return None;
        }
        let error = self.errors[(sample >> 16) as usize % self.errors.len()];
        self.error.store(error, ordering);
        self.remaining
            .store((sample >> 32) as u32 % MAX_BURST_CALLS as u32, ordering);
        Some(error)
    }
}

static ACCEPT_FAILURES: FailureInjector = FailureInjector::new(&ACCEPT_ERRORS);
static CONNECT_FAILURES: FailureInjector = FailureInjector::new(&CONNECT_ERRORS);

/// The next number of the seed's sequence (SplitMix64); `None` without a seed.
fn next_random() -> Option<u64> {
    static STATE: OnceLock<Option<AtomicU64>> = OnceLock::new();
    let seed = || {
        let text = std::env::var(SEED_VARIABLE).ok()?;
        text.parse().ok().map(AtomicU64::new)
    };
    let state = STATE.get_or_init(seed).as_ref()?;
    let step = 0x9E37_79B9_7F4A_7C15;
    let mut mixed = state.fetch_add(step, Ordering::Relaxed).wrapping_add(step);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    Some(mixed ^ (mixed >> 31))
}

/// The C library's function of this name.
fn next_definition(name: &'static std::ffi::CStr) -> *mut c_void {
    // SAFETY: the name ends with a NUL and lives for ever.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast::<c_char>()) }
}

fn fail_with(error: c_int) -> c_int {
    // SAFETY: the pointer is that of this thread's errno.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// accept4(2), which may fail.
///
/// # Safety
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = ACCEPT_FAILURES.next_error() {
        return fail_with(error);
    }
    // SAFETY: the function of this name has this type, and the arguments are the caller's.
    unsafe {
        let call: Accept4 = std::mem::transmute(next_definition(c"accept4"));
        call(socket, address, length, flags)
    }
}

/// connect(2), which may fail.
///
/// # Safety
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> c_int {
    if let Some(error) = CONNECT_FAILURES.next_error() {
        return fail_with(error);
    }
    // SAFETY: the function of this name has this type, and the arguments are the caller's.
    unsafe {
        let call: Connect = std::mem::transmute(next_definition(c"connect"));
        call(socket, address, length)
    }
}
