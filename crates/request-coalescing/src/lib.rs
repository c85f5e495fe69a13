//! Request coalescing (singleflight): decides which identical reads share one upstream request.
//!
//! The crate has no I/O and no clock: events with their time go in, actions come out. It is used
//! between the downstream connections and the load balancer, which still chooses servers and
//! decides on retries and rejections.
//!
//! A *flight* is one request of the load balancer that one or more *waiters* share. It is opened
//! for its first waiter, and ends with its answer or when its last waiter leaves. No value is
//! cached beyond that.
//!
//! A read *bypasses* coalescing ([`Action::Bypass`]) when a bound is reached: it is forwarded as a
//! request of its own.
//!
//! ```
//! use request_coalescing::*;
//! use load_balancer::{ClassId, Micros, RequestId};
//!
//! let classes = [ClassSettings {
//!     latency_objective: Micros::from_millis(100),
//!     minimum_retry_time: Micros::from_millis(20),
//! }];
//! let mut coalescer = Coalescer::new(Bounds::default(), &classes);
//! let read = |id| Event::Read(Read {
//!     id: RequestId(id),
//!     class: ClassId(0),
//!     tenant: None,
//!     key: b"7f3a",
//!     variant: b"",
//!     expires: Micros::from_millis(1_000),
//! });
//! let now = Micros::from_millis(500);
//! let mut actions = Vec::new();
//! coalescer.handle(now, read(1), &mut actions);
//! coalescer.handle(now, read(2), &mut actions);
//! let flight = FlightId(RequestId(1));
//! assert_eq!(actions[0], Action::Open { flight });
//! assert!(matches!(actions[1], Action::Join { flight: f, .. } if f == flight));
//! actions.clear();
//! let ended = Event::FlightEnded { flight, outcome: FlightOutcome::Served };
//! coalescer.handle(now, ended, &mut actions);
//! assert_eq!(actions.len(), 2);
//! ```

mod coalescer;
mod counters;
mod event;
mod flight_table;
mod latency_tracker;
mod retry_after;
mod settings;

pub use coalescer::Coalescer;
pub use counters::{Counters, Usage};
pub use event::{Action, Event, FlightId, FlightOutcome, Read};
pub use latency_tracker::LatencyTracker;
pub use settings::{Bounds, ClassSettings, CoalescingFile, CoalescingRules, SettingsError};
