//! Faults and operators' actions of a plan.

use super::MILLI;
use crate::executor::Time;
use std::fmt;
use std::ops::Range;

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// Some servers immediately fail part of their requests.
    FastErrors,
    /// Some routers crash and restart with the last list that they received.
    RouterCrash,
    /// All routers are restarted one after another, by SIGTERM.
    RollingRestart,
    /// The origin is several times slower.
    OriginSlow,
    /// Some servers crash and restart in slow start.
    ServerCrash,
    /// Some servers drain, stop, and restart in slow start.
    ServerDrain,
    /// Some servers stop without sending a packet and restart in slow start.
    ServerVanish,
    /// Some servers reset their idle connections.
    IdleReset,
    /// Some servers send malformed replies to part of their requests.
    MalformedReplies,
    /// Some servers read commands and never reply.
    Unresponsive,
    /// Some servers are several times slower.
    ServerSlow,
    /// Some servers reject part of their requests.
    Busy,
    /// The endpoint list arrives late.
    DiscoveryLate,
    /// Discovery is down.
    DiscoveryDown,
    /// Watches at discovery end repeatedly.
    DiscoveryFlaps,
    /// A zone is partitioned from the others.
    ZonePartition,
    /// Connects to some servers are not answered.
    ConnectsIgnored,
    /// The wall clocks of some routers step.
    ClockSteps,
    /// Clients disconnect before they have their answer.
    ClientsDisconnect,
    /// Clients pipeline commands.
    ClientsPipeline,
    /// Clients read their answers late.
    ClientsReadSlowly,
    /// Connects to some servers are answered late.
    ConnectsDelayed,
    /// Open watches carry no more data and do not end.
    SilentWatches,
    /// Discovery does not answer the next one or two calls of each router.
    HangingCalls,
}

impl FaultKind {
    /// Kinds that are drawn separately from the pairs.
    pub const RARE: [FaultKind; 3] = [
        FaultKind::ConnectsDelayed,
        FaultKind::SilentWatches,
        FaultKind::HangingCalls,
    ];
    /// All other kinds. Each pair of them occurs in one plan of
    /// [`FAULT_PAIR_COUNT`](super::FAULT_PAIR_COUNT) consecutive seeds.
    pub const PAIRED: [FaultKind; 21] = [
        FaultKind::FastErrors,
        FaultKind::RouterCrash,
        FaultKind::RollingRestart,
        FaultKind::OriginSlow,
        FaultKind::ServerCrash,
        FaultKind::ServerDrain,
        FaultKind::ServerVanish,
        FaultKind::IdleReset,
        FaultKind::MalformedReplies,
        FaultKind::Unresponsive,
        FaultKind::ServerSlow,
        FaultKind::Busy,
        FaultKind::DiscoveryLate,
        FaultKind::DiscoveryDown,
        FaultKind::DiscoveryFlaps,
        FaultKind::ZonePartition,
        FaultKind::ConnectsIgnored,
        FaultKind::ClockSteps,
        FaultKind::ClientsDisconnect,
        FaultKind::ClientsPipeline,
        FaultKind::ClientsReadSlowly,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::FastErrors => "fast-errors",
            FaultKind::RouterCrash => "router-crash",
            FaultKind::RollingRestart => "router-roll",
            FaultKind::OriginSlow => "origin-slow",
            FaultKind::ServerCrash => "server-crash",
            FaultKind::ServerDrain => "server-drain",
            FaultKind::ServerVanish => "server-vanish",
            FaultKind::IdleReset => "idle-reset",
            FaultKind::MalformedReplies => "spoils",
            FaultKind::Unresponsive => "hangs",
            FaultKind::ServerSlow => "server-slow",
            FaultKind::Busy => "full",
            FaultKind::DiscoveryLate => "discovery-late",
            FaultKind::DiscoveryDown => "discovery-down",
            FaultKind::DiscoveryFlaps => "discovery-flaps",
            FaultKind::ZonePartition => "zone-cut",
            FaultKind::ConnectsIgnored => "deaf",
            FaultKind::ClockSteps => "clock-steps",
            FaultKind::ClientsDisconnect => "clients-leave",
            FaultKind::ClientsPipeline => "clients-pipeline",
            FaultKind::ClientsReadSlowly => "clients-read-slowly",
            FaultKind::ConnectsDelayed => "late-dials",
            FaultKind::SilentWatches => "silent-watches",
            FaultKind::HangingCalls => "hanging-calls",
        }
    }

    /// Returns the kind of this name.
    pub fn named(name: &str) -> Option<FaultKind> {
        FaultKind::PAIRED
            .into_iter()
            .chain(FaultKind::RARE)
            .find(|kind| kind.name() == name)
    }
}

/// One fault of a plan. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// When it starts.
    pub at: Time,
    /// How long it lasts.
    pub duration: Time,
    /// The numbers of the affected routers, servers or zones.
    pub targets: Vec<usize>,
    /// The severity, from 0 to 1.
    pub severity: f64,
}

impl Fault {
    /// Returns the period in which it holds.
    pub fn period(&self) -> Range<Time> {
        self.at..self.at + self.duration
    }
}

/// An action of operators, which is not a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorAction {
    /// Disables a server at every router, restarts it, and enables it again.
    DisableServer(usize),
    /// Drains a router and resumes it.
    DrainRouter(usize),
}

/// An action and its times, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedAction {
    /// The action of the operators.
    pub action: OperatorAction,
    /// When it starts.
    pub at: Time,
    /// How long until it is reverted.
    pub duration: Time,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.kind.name();
        let at = self.at / MILLI;
        let duration = self.duration / MILLI;
        write!(
            f,
            "{name} at {at} ms for {duration} ms, severity {:.2}, targets {:?}",
            self.severity, self.targets
        )
    }
}
