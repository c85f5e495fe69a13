//! Latency, loss and buffer sizes of a simulated network.

use crate::executor::Time;

/// The conditions of a network; latencies in microseconds, ratios from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// One-way latency within a zone.
    pub latency_within_zone: Time,
    /// One-way latency between two zones.
    pub latency_between_zones: Time,
    /// A latency is longer by up to this ratio.
    pub jitter_ratio: f64,
    /// The ratio of segments that are lost once.
    pub loss_ratio: f64,
    /// The ratio of writes that are cut in two segments, at a drawn byte.
    pub split_ratio: f64,
    /// Bytes that may be in transit or unread in one direction of a connection.
    pub receive_window: usize,
    /// What happens to datagrams.
    pub datagrams: DatagramConditions,
}

/// What happens to datagrams; ratios from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramConditions {
    /// The ratio that never arrives.
    pub loss_ratio: f64,
    /// The ratio that arrives twice.
    pub duplicate_ratio: f64,
    /// The ratio that is delayed, so that later ones overtake it.
    pub delayed_ratio: f64,
    /// The longest such delay, in microseconds.
    pub max_delay: Time,
}
