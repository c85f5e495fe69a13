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
//!         aim: Micros::from_millis(300),
//!         deadline: Micros::from_millis(1_000),
//!         worth: 1.0,
//!         late_worth: 0.3,
//!         effect: Effect::Safe,
//!     }],
//!     ..Settings::default()
//! };
//! let mut router = Router::new(settings, 42)?;
//! let mut actions = Vec::new();
//! let now = Micros::from_millis(5_000);
//! let members = ["10.0.0.1:80", "10.0.0.2:80"].map(|name| Member::ready(name.into())).to_vec();
//! router.handle(now, Event::Membership { kind: MembershipKind::Full, members }, &mut actions);
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

mod api;
mod asking;
mod balance;
mod belief;
mod demand;
mod kept;
mod known;
mod learnt;
mod life;
mod links;
mod load;
mod origin;
pub mod params;
mod points;
mod queue;
mod state;
mod turned_away;
mod view;
mod words;

pub use api::*;
pub use learnt::Learnt;
pub use life::Standing;
pub use load::{Columns, Load};
pub use state::{Router, Verdict};
pub use view::View;
pub use words::Word;
