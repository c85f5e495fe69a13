//! Latency, loss and buffer sizes of a simulated network.

use crate::executor::Time;

/// The properties of a network. Latencies are in microseconds, ratios between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// One-way latency within a zone.
    pub latency_within_zone: Time,
    /// One-way latency between two zones.
    pub latency_between_zones: Time,
    /// The largest ratio of its base value by which a latency is increased.
    pub jitter_ratio: f64,
    /// The ratio of TCP segments that are lost and sent again once.
    pub loss_ratio: f64,
    /// The ratio of writes that are split into two segments at a random byte.
    pub split_ratio: f64,
    /// How many bytes can be in transit or unread in one direction of a connection.
    pub receive_window: usize,
    /// Loss, duplication and delay of datagrams.
    pub datagrams: DatagramConditions,
}

/// Loss, duplication and delay of datagrams. Ratios are between 0 and 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramConditions {
    /// The ratio of datagrams that are lost.
    pub loss_ratio: f64,
    /// The ratio of datagrams that arrive twice.
    pub duplicate_ratio: f64,
    /// The ratio of datagrams that are delayed, so that later ones can overtake them.
    pub delayed_ratio: f64,
    /// The longest delay of a delayed datagram, in microseconds.
    pub max_delay: Time,
}
