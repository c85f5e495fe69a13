//! Faults and operators' actions of a plan.

use super::MILLI;
use crate::executor::Time;
use std::fmt;
use std::ops::Range;

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// Some servers fail part of their requests at once.
    FastErrors,
    /// Some routers crash and come back with the last list that they had.
    RouterCrash,
    /// Every router is restarted in turn, by SIGTERM.
    RollingRestart,
    /// The origin is several times slower.
    OriginSlow,
    /// Some servers crash and start again in slow start.
    ServerCrash,
    /// Some servers drain, go, and come back in slow start.
    ServerDrain,
    /// Some servers vanish without a packet and come back in slow start.
    ServerVanish,
    /// Some servers reset the connections that are idle.
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
    /// Watches at discovery end again and again.
    DiscoveryFlaps,
    /// A zone is cut off from the others.
    ZonePartition,
    /// Connects to some servers are not answered.
    ConnectsIgnored,
    /// The wall clocks of some routers step.
    ClockSteps,
    /// Clients disconnect before their answer.
    ClientsDisconnect,
    /// Clients pipeline commands.
    ClientsPipeline,
    /// Clients read their answers late.
    ClientsReadSlowly,
    /// Connects to some servers are answered late.
    ConnectsDelayed,
    /// Open watches send nothing any more, and do not end.
    SilentWatches,
    /// Discovery does not answer the next call of each router, or the next two.
    HangingCalls,
}

impl FaultKind {
    /// Kinds that are drawn apart from the pairs.
    pub const RARE: [FaultKind; 3] = [
        FaultKind::ConnectsDelayed,
        FaultKind::SilentWatches,
        FaultKind::HangingCalls,
    ];
    /// All other kinds: each pair of them meets.
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

    /// The name on the command line.
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

    /// The kind of this name.
    pub fn named(name: &str) -> Option<FaultKind> {
        FaultKind::PAIRED
            .into_iter()
            .chain(FaultKind::RARE)
            .find(|kind| kind.name() == name)
    }
}

/// One fault of a plan; times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// When it begins.
    pub at: Time,
    /// How long it lasts.
    pub duration: Time,
    /// The numbers of the routers, servers or the zone that it concerns.
    pub targets: Vec<usize>,
    /// How bad it is, from 0 to 1.
    pub severity: f64,
}

impl Fault {
    /// When it holds.
    pub fn period(&self) -> Range<Time> {
        self.at..self.at + self.duration
    }
}

/// What operators do beside the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorAction {
    /// They disable a server at every router, restart it, and enable it again.
    DisableServer(usize),
    /// They drain a router and resume it.
    DrainRouter(usize),
}

/// An action at its time, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedAction {
    /// The action.
    pub action: OperatorAction,
    /// When it begins.
    pub at: Time,
    /// How long until they take it back.
    pub duration: Time,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.kind.name();
        let at = self.at / MILLI;
        let duration = self.duration / MILLI;
        write!(
            f,
            "{name} at {at} ms for {duration} ms, size {:.2}, targets {:?}",
            self.severity, self.targets
        )
    }
}
