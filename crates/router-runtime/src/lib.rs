//! The engine of the asterport router: requests, attempts, pools of connections, discovery and RESP2, on a seam of
//! time and network.
//!
//! Facts from the sockets become events of the decision library, its actions become commands on connections. The
//! engine decides nothing.

mod clients;
mod discovery;
mod driver;
mod engine;
mod joiner;
mod large;
mod listing;
#[doc(hidden)]
pub mod planted;
mod resp;
pub mod seam;
mod servers;
pub mod service;
mod tally;

pub use clients::Resting;
pub use engine::{Engine, Figures, Holdings, Start, Stopped};
pub use listing::List;
pub use tally::{Attempts, Ends, OUTCOMES};
