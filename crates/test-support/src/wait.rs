//! Polling until a condition holds.

use std::thread;
use std::time::{Duration, Instant};

/// Time after which a wait fails. No condition takes nearly as long, even on a slow machine.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// Interval at which the condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until `holds` returns true. `what` describes the condition.
///
/// # Panics
/// If the condition does not hold after [`MAX_WAIT`]; the message contains `what`.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < MAX_WAIT,
            "timed out waiting for a condition: {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}
