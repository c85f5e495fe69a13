//! Which identical reads share one upstream request (request coalescing, "single flight"). Decisions alone: events with
//! their time in, actions out, no I/O and no clock. It stands between the fronts and the decision library, which goes on
//! to choose servers, further attempts and refusals.
//!
//! A *flight* is one request of the decision library that some *waiters* share. It is opened for its first waiter and
//! ends with its answer or with its last waiter; nothing outlives it, and no value is kept.
//!
//! ```
//! use request_coalescing::*;
//! use load_balancer::{ClassId, Micros, RequestId};
//!
//! let classes = [ClassSettings { latency_objective: Micros::from_millis(100), needs: Micros::from_millis(20) }];
//! let mut coalescer = Coalescer::new(Bounds::default(), &classes);
//! let read = |id| Event::Read(Read {
//!     id: RequestId(id),
//!     class: ClassId(0),
//!     tenant: None,
//!     key: b"7f3a",
//!     what: b"",
//!     expires: Micros::from_millis(1_000),
//! });
//! let (mut actions, now) = (Vec::new(), Micros::from_millis(500));
//! coalescer.handle(now, read(1), &mut actions);
//! coalescer.handle(now, read(2), &mut actions);
//! let flight = FlightId(RequestId(1));
//! assert_eq!(actions[0], Action::Open { flight });
//! assert!(matches!(actions[1], Action::Join { flight: f, .. } if f == flight));
//! actions.clear();
//! coalescer.handle(now, Event::Ended { flight, how: FlightOutcome::Served }, &mut actions);
//! assert_eq!(actions.len(), 2);
//! ```

mod coalescer;
mod latency_tracker;
mod settings;

pub use coalescer::{Action, Coalescer, Counters, Event, FlightId, FlightOutcome, Read};
pub use settings::{Bounds, ClassSettings, CoalescingFile, CoalescingRules, SettingsError};
