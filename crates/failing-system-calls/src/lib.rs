//! `LD_PRELOAD` library that makes some calls of `accept4` and `connect` fail with transient errors
//! that Linux documents for them.
//!
//! `ASTERPORT_FAILING_CALLS_SEED` seeds the choice of calls, which fail in bursts of up to four. A
//! call that fails does not reach the kernel: a connection stays in the listener's queue, and
//! `connect` sends no packet. Without a valid seed no call fails.

use libc::{c_char, c_int, c_void, sockaddr, socklen_t};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering};

const SEED_VARIABLE: &str = "ASTERPORT_FAILING_CALLS_SEED";
/// Outside bursts, one call in this many begins a burst of failures on average.
const MEAN_CALLS_PER_BURST: u64 = 20;
/// Maximum number of consecutive calls that fail in one burst.
const MAX_BURST_CALLS: u64 = 4;
/// Transient errors of accept(2).
const ACCEPT_ERRORS: [c_int; 6] = [
    libc::ECONNABORTED,
    libc::EINTR,
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::EHOSTUNREACH,
];
/// Transient errors of connect(2).
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

/// Draws the failures of one function.
struct FailureInjector {
    /// Errors to choose from.
    errors: &'static [c_int],
    /// Error of the current burst.
    error: AtomicI32,
    /// Number of calls that are still to fail in the current burst.
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

    /// Error number for this call; `None` if the call is to be made.
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

/// Next number of the seeded sequence (SplitMix64); `None` without a valid seed.
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

/// Address of the next definition of this symbol, which is the C library's function.
fn next_definition(name: &'static std::ffi::CStr) -> *mut c_void {
    // SAFETY: the name is NUL-terminated and has the static lifetime.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast::<c_char>()) }
}

/// Sets `errno` and returns the result of a failed call.
fn fail_with(error: c_int) -> c_int {
    // SAFETY: the pointer refers to the `errno` of this thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// accept4(2) with injected failures.
///
/// # Safety
/// The requirements of the C library's function apply.
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
    // SAFETY: the C library's function has this type, and the arguments are the caller's.
    unsafe {
        let call: Accept4 = std::mem::transmute(next_definition(c"accept4"));
        call(socket, address, length, flags)
    }
}

/// connect(2) with injected failures.
///
/// # Safety
/// The requirements of the C library's function apply.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> c_int {
    if let Some(error) = CONNECT_FAILURES.next_error() {
        return fail_with(error);
    }
    // SAFETY: the C library's function has this type, and the arguments are the caller's.
    unsafe {
        let call: Connect = std::mem::transmute(next_definition(c"connect"));
        call(socket, address, length)
    }
}
