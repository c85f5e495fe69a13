//! The decisions of a client-side router for fleets of cache servers.
//!
//! Every router builds the same consistent-hash ring of the ready servers and so agrees with the others on the
//! server of a key, without a word between them. [`Router`] does no I/O and holds no clock: it takes events with
//! their time and returns actions.
//!
//! ```
//! use load_balancer::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_objective: Micros::from_millis(300),
//!         deadline: Micros::from_millis(1_000),
//!         priority_weight: 1.0,
//!         late_weight: 0.3,
//!         idempotency: Idempotency::Idempotent,
//!     }],
//!     ..Settings::default()
//! };
//! let mut router = Router::new(settings, 42)?;
//! let mut actions = Vec::new();
//! let now = Micros::from_millis(5_000);
//! let endpoints = ["10.0.0.1:80", "10.0.0.2:80"].map(|name| Endpoint::ready(name.into())).to_vec();
//! router.handle(now, Event::EndpointsChanged { update: EndpointUpdate::Snapshot, endpoints }, &mut actions);
//! router.handle(
//!     now,
//!     Event::Request(Request {
//!         id: RequestId(1),
//!         class: ClassId(0),
//!         tenant: None,
//!         key: Some(77),
//!         expires: now.plus(Micros::from_millis(800)),
//!         cost_hint: None,
//!         retry: false,
//!         write: false,
//!     }),
//!     &mut actions,
//! );
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: RequestId(1), .. })));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admin_overrides;
mod api;
mod availability;
mod balance;
mod concurrency_limit;
pub mod deployment;
mod diagnostics;
mod idle_connection_lifetime;
mod key_locations;
mod load_report;
mod origin_fetch_limit;
mod queue_estimate;
mod rejected_requests;
mod ring_points;
mod stale_connections;
mod state;
mod subscription;
mod traffic_estimate;
mod warm_state;

pub use admin_overrides::AdminOverride;
pub use api::*;
pub use availability::Availability;
pub use diagnostics::Diagnostics;
pub use load_report::{LoadReport, LoadReportFormat};
pub use state::{CandidateVerdict, Router, TrackedCounts};
pub use warm_state::WarmState;
