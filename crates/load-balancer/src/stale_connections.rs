//! How long a kept connection may have been idle before it is used again.
//!
//! Guards against connections dropped unseen while idle (a firewall, a peer's own limit): a request sent on one is
//! lost. Hurts where connections break for another reason just after a pause: some are closed for nothing, for
//! [`STALE_TIME`].

use crate::api::{AttemptEnd, Micros, Outcome};

/// Silent idle connections, less those that answered, after which silence is laid to being idle.
const DOUBT: u32 = 3;
/// How far below the idle time of one that failed others are held to be dead.
const MARGIN: f64 = 0.5;
/// What drops idle connections unseen waits this long at least: what fails sooner after its last use failed for
/// another reason.
const LEAST_IDLE: Micros = Micros::from_millis(1_000);
/// How long connections idle for half as long as one that failed are closed before use.
const STALE_TIME: Micros = Micros::from_millis(20_000);

/// What is known of kept connections, of whichever server.
#[derive(Debug)]
pub(crate) struct Kept {
    /// Those idle for as long as this are not used before `until`.
    stale: Micros,
    until: Micros,
    /// Silence on idle connections lately, less answers.
    doubt: u32,
}

impl Kept {
    /// Nothing is known.
    pub fn new() -> Kept {
        Kept {
            stale: Micros::MAX,
            until: Micros(0),
            doubt: 0,
        }
    }

    /// Whether those idle for so long are most likely dead.
    pub fn are_dead(&self, now: Micros, idle: Micros) -> bool {
        idle >= self.stale && now < self.until
    }

    /// An attempt ended on a connection that had been idle. A broken one is proof; silence has other causes too: it
    /// takes more of it than of answers. What breaks once an answer has begun was spoilt by the server, on a
    /// connection that was well.
    pub fn learn(&mut self, now: Micros, idle: Option<Micros>, end: &AttemptEnd) {
        let Some(idle) = idle.filter(|&idle| idle >= LEAST_IDLE) else {
            return;
        };
        self.doubt = match end.outcome {
            Outcome::TimedOut if !end.response_started => (self.doubt + 1).min(DOUBT),
            Outcome::ConnectionLost if !end.response_started => DOUBT,
            _ => self.doubt.saturating_sub(1),
        };
        if self.doubt == DOUBT {
            let known = if now < self.until {
                self.stale
            } else {
                Micros::MAX
            };
            self.stale = known.min(idle.scaled(MARGIN).max(LEAST_IDLE));
            self.until = now.plus(STALE_TIME);
        }
    }
}
