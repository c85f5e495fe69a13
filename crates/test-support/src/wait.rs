//! Waiting for a condition.

use std::thread;
use std::time::{Duration, Instant};

/// Time after which a wait fails; no condition takes nearly as long on any machine.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until `holds` returns true.
///
/// # Panics
/// With `what` after [`MAX_WAIT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < MAX_WAIT, "waited in vain: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
