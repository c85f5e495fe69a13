//! The decisions of a client-side router for fleets of cache servers.
//!
//! All routers build the same consistent-hash ring of the ready servers, so they agree on the
//! server of a key without communicating. [`Router`] does no I/O and has no clock: it takes events
//! with their time and returns actions.
//!
//! For each request, `admission` computes the priority and `origin_fetch_limit` the fetch
//! permission. `placement` then walks over the candidates on the `ring` until one accepts the
//! request, and the attempt is sent. When it ends, `attempt_feedback` updates the limits and
//! estimates, and `retry`, `rejection` and `deadline` determine the next step. `router` calls these
//! modules in this order and contains no rules itself; each other module contains one rule and its
//! state.
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
//! let endpoints = ["10.0.0.1:80", "10.0.0.2:80"]
//!     .map(|name| Endpoint::ready(name.into()))
//!     .to_vec();
//! let update = EndpointUpdate::Snapshot;
//! router.handle(now, Event::EndpointsChanged { update, endpoints }, &mut actions);
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

mod action;
mod address_ownership;
mod admin_overrides;
mod admission;
mod attempt_feedback;
mod availability;
mod concurrency_limit;
mod deadline;
pub mod deployment;
mod diagnostics;
mod endpoint;
mod event;
mod failure_attribution;
mod idle_connection_lifetime;
mod ids;
mod key_locations;
mod latency_baseline;
mod load_report;
mod moving_average;
mod origin_fetch_limit;
mod outlier;
mod pending;
mod placement;
mod queue_estimate;
mod random;
mod rejected_requests;
mod rejection;
mod request;
mod retry;
mod ring;
mod router;
mod server_table;
mod settings;
mod silent_watch;
mod slow_start;
mod stale_connections;
mod subscription;
mod time;
mod timer;
mod traffic_estimate;
mod warm_state;

pub use action::Action;
pub use address_ownership::AddressClaims;
pub use admin_overrides::{AdminOverride, OverrideSource};
pub use availability::Availability;
pub use diagnostics::{Diagnostics, TrackedCounts};
pub use endpoint::{Endpoint, EndpointState, EndpointUpdate, ProcessAge};
pub use event::Event;
pub use ids::{
    AttemptNumber, CellId, ClassId, MachineKindId, RequestId, ServerId, TenantId, ZoneId,
};
pub use load_report::{LoadReport, LoadReportFormat};
pub use placement::CandidateVerdict;
pub use request::{AttemptEnd, CacheStatus, ConnectionUse, Outcome, Request};
pub use router::Router;
pub use settings::{
    CacheMode, Class, ConnectionCosts, DeduplicationScope, DiscoveryMode, Idempotency, Limits,
    Rules, Settings, SettingsError, Tenant, WeightKind,
};
pub use silent_watch::{CallRetryPolicy, SilentWatchPolicy};
pub use time::{Micros, WallTime};
pub use warm_state::WarmState;
