//! Asking for the list of servers: when a router subscribes, and how soon again after a call that failed.

use crate::api::*;
use crate::balance::TIMER_ASK;
use crate::state::Router;

/// A failed call for the list is repeated within this share of `ask_within`, growing to half of it.
const ASK_AGAIN: f64 = 0.05;

/// Where a router stands with the list that must be asked for.
#[derive(Debug, Default)]
pub(crate) struct Asking {
    pub subscribed: bool,
    pub asked: bool,
    pub failures: u32,
}

impl Router {
    /// Subscribes at the start and when that is lost, with jitter and ever later, so that routers do not ask
    /// together; always well before the router would be deemed told.
    pub(crate) fn on_list_answer(&mut self, update: EndpointUpdate, poll_within: Micros) {
        match update {
            EndpointUpdate::Restored => self.ask(),
            EndpointUpdate::WatchLost => {
                let failures = self.asking.failures.saturating_add(1);
                self.asking = Asking {
                    failures,
                    ..Asking::default()
                };
                let share = (ASK_AGAIN * f64::from(1u32 << failures.min(4))).min(0.5);
                let after = poll_within.scaled(share * (0.5 + 0.5 * self.random.next()));
                self.set_timer(after, RequestId(0), TIMER_ASK);
            }
            _ => {
                self.asking = Asking {
                    subscribed: true,
                    ..Asking::default()
                }
            }
        }
    }

    pub(crate) fn ask(&mut self) {
        if !self.asking.subscribed && !self.asking.asked {
            self.asking.asked = true;
            self.out.push(Action::Subscribe);
        }
    }
}
