//! Starts the faults of a plan at their times, and ends them.

use super::Run;
use crate::discovery::Health;
use crate::executor::{Node, Time};
use crate::fault_plan::{Fault, FaultKind, MILLI, SECOND};
use crate::fleet::{Server, ServerFaults};
use std::rc::Rc;

/// The delay after a server's restart at which discovery changes its entry, beside the announcement
/// delay.
const RESTART_ANNOUNCEMENT_DELAY: Time = 20 * MILLI;
/// How long a server is listed as draining before it stops accepting work.
const DRAIN_LEAD_TIME: Time = 300 * MILLI;
/// How long a server is down after a drain.
const DRAINED_DOWNTIME: Time = 400 * MILLI;
/// The delay after the restart of a drained server at which discovery lists it, beside the
/// announcement delay.
const DRAINED_RESTART_ANNOUNCEMENT_DELAY: Time = 300 * MILLI;
/// How long after the watches fall silent a server that drains meanwhile restarts. It is later than
/// the time from which the drain counts as known.
const RESTART_AFTER_SILENCE: Time = 6_900 * MILLI;
/// How many times watches end while discovery flaps.
const FLAP_COUNT: Time = 6;
/// How many times idle connections are reset.
const IDLE_RESET_COUNT: Time = 8;
/// The range of a clock step, in microseconds: up to one hour in either direction.
const CLOCK_STEP_RANGE: f64 = 7.2e9;

impl Run {
    pub(super) fn schedule_faults(self: &Rc<Self>) {
        for fault in self.plan.faults.clone() {
            self.at(fault.at, move |run| run.begin(&fault));
        }
    }

    fn begin(self: &Rc<Self>, fault: &Fault) {
        match fault.kind {
            FaultKind::RouterCrash => self.crash_routers(fault),
            FaultKind::RollingRestart => self.restart_routers_in_turn(fault),
            FaultKind::ServerCrash => self.crash_servers(fault, false),
            FaultKind::ServerVanish => self.crash_servers(fault, true),
            FaultKind::ServerDrain => self.drain_servers(fault),
            FaultKind::OriginSlow => self.slow_origin(fault),
            FaultKind::DiscoveryDown => {
                let until = self.now() + fault.duration;
                self.discovery.down_until.set(until);
                self.discovery.reset_watches();
            }
            FaultKind::DiscoveryFlaps => self.flap_discovery(fault),
            // The list arrives late because discovery's zone is isolated for part of the time.
            FaultKind::DiscoveryLate => self.isolate_zone(0, fault.duration / 2),
            FaultKind::ZonePartition => {
                for &zone in &fault.targets {
                    self.isolate_zone(zone, fault.duration);
                }
            }
            FaultKind::ConnectsIgnored => self.ignore_connects(fault),
            FaultKind::ConnectsDelayed => self.delay_connects(fault),
            FaultKind::SilentWatches => self.silence_watches(fault),
            FaultKind::HangingCalls => {
                let hanging = if fault.severity < 0.5 { 1 } else { 2 };
                let calls_to_hang = hanging * self.routers.len();
                self.discovery.calls_to_hang.set(calls_to_hang);
            }
            FaultKind::ClockSteps => self.step_clocks(fault),
            FaultKind::IdleReset => self.reset_idle_connections(fault),
            FaultKind::FastErrors => {
                self.impair(fault, |faults, severity| faults.error_ratio = severity)
            }
            FaultKind::MalformedReplies => {
                self.impair(fault, |faults, severity| faults.malformed_ratio = severity)
            }
            FaultKind::Busy => self.impair(fault, |faults, severity| faults.busy_ratio = severity),
            FaultKind::Unresponsive => {
                self.impair(fault, |faults, severity| faults.hangs = severity > 0.0)
            }
            FaultKind::ServerSlow => {
                self.impair(fault, |faults, severity| faults.slowdown = 6.0 * severity);
            }
            // `ClientBehavior` covers these.
            FaultKind::ClientsDisconnect
            | FaultKind::ClientsPipeline
            | FaultKind::ClientsReadSlowly => {}
        }
    }

    fn crash_routers(self: &Rc<Self>, fault: &Fault) {
        for &router in &fault.targets {
            self.kill_router(&self.routers[router], fault.duration);
        }
    }

    fn restart_routers_in_turn(self: &Rc<Self>, fault: &Fault) {
        let gap = 50 * MILLI + (fault.severity * 300.0) as Time * MILLI;
        for (index, &router) in fault.targets.iter().enumerate() {
            let router = self.routers[router].clone();
            self.after(gap * index as Time, move |run| {
                run.terminate_router(&router)
            });
        }
    }

    fn crash_servers(self: &Rc<Self>, fault: &Fault, vanishes: bool) {
        for &server in &fault.targets {
            self.servers[server].kill(vanishes);
            // After a short downtime only the new start time shows on the list.
            if fault.duration > SECOND {
                let born_ms = self.servers[server].born_ms.get();
                self.announce(server, Health::Removed, born_ms, 0);
            }
            self.after(fault.duration, move |run| {
                run.start_server(server, RESTART_ANNOUNCEMENT_DELAY);
            });
        }
    }

    fn drain_servers(self: &Rc<Self>, fault: &Fault) {
        for &server in &fault.targets {
            let born_ms = self.servers[server].born_ms.get();
            self.announce(server, Health::Draining, born_ms, 0);
            self.after(self.plan.announcement_delay + DRAIN_LEAD_TIME, move |run| {
                run.servers[server].is_draining.set(true);
            });
            self.after(self.plan.announcement_delay + fault.duration, move |run| {
                run.announce(server, Health::Removed, born_ms, 0);
                run.servers[server].kill(false);
                run.after(DRAINED_DOWNTIME, move |run| {
                    run.start_server(server, DRAINED_RESTART_ANNOUNCEMENT_DELAY);
                });
            });
        }
    }

    fn slow_origin(self: &Rc<Self>, fault: &Fault) {
        self.fleet.origin.slow_down(1.5 + 5.0 * fault.severity);
        self.after(fault.duration, |run| run.fleet.origin.slow_down(0.0));
    }

    fn flap_discovery(self: &Rc<Self>, fault: &Fault) {
        for index in 0..FLAP_COUNT {
            self.after(fault.duration / FLAP_COUNT * index, |run| {
                run.discovery.reset_watches();
            });
        }
    }

    fn isolate_zone(&self, zone: usize, duration: Time) {
        let until = self.now() + duration;
        self.simulation.network.isolate_zone(zone, until);
    }

    fn ignore_connects(&self, fault: &Fault) {
        let until = self.now() + fault.duration;
        for &server in &fault.targets {
            let node = self.servers[server].node;
            self.simulation.network.ignore_connects(node, until);
        }
    }

    /// Delays connects so that most succeed within the dial timeout of the router and some do not.
    fn delay_connects(&self, fault: &Fault) {
        let until = self.now() + fault.duration;
        let delay = (self.plan.dial_timeout as f64 * (0.4 + 0.7 * fault.severity)) as Time;
        for &server in &fault.targets {
            let node = self.servers[server].node;
            self.simulation.network.delay_connects(node, until, delay);
        }
    }

    /// Stops all output on open watches. In half of the runs a server begins to drain meanwhile.
    fn silence_watches(self: &Rc<Self>, fault: &Fault) {
        self.discovery.silence_watches();
        if fault.severity < 0.5 {
            return;
        }
        let server = fault.targets[0];
        self.after(fault.duration, move |run| {
            let born_ms = run.servers[server].born_ms.get();
            run.announce(server, Health::Draining, born_ms, 0);
        });
        self.after(RESTART_AFTER_SILENCE, move |run| {
            run.servers[server].kill(false);
            run.start_server(server, DRAINED_RESTART_ANNOUNCEMENT_DELAY);
        });
    }

    /// Steps the wall clocks of routers, and those of some servers in the other direction.
    fn step_clocks(self: &Rc<Self>, fault: &Fault) {
        let offset = ((fault.severity - 0.5) * CLOCK_STEP_RANGE) as i64;
        for &router in &fault.targets {
            self.step_clock(self.routers[router].node, offset, fault.duration);
            for server in self.servers.iter().skip(router).step_by(self.routers.len()) {
                self.step_clock(server.node, -offset, fault.duration);
            }
        }
    }

    /// Steps the wall clock of a machine, and steps it back at the end of `duration`.
    fn step_clock(self: &Rc<Self>, node: Node, offset: i64, duration: Time) {
        self.simulation.network.set_clock(node, offset);
        self.after(duration, move |run| {
            run.simulation.network.set_clock(node, 0);
        });
    }

    fn reset_idle_connections(self: &Rc<Self>, fault: &Fault) {
        for index in 0..IDLE_RESET_COUNT {
            let targets = fault.targets.clone();
            self.after(fault.duration / IDLE_RESET_COUNT * index, move |run| {
                for server in targets {
                    run.servers[server].reset_idle();
                }
            });
        }
    }

    /// Sets a fault of servers to a severity from 0.2 to 1, and back to 0 at the end.
    fn impair(self: &Rc<Self>, fault: &Fault, set: fn(&mut ServerFaults, f64)) {
        let change = move |server: &Server, severity: f64| {
            let mut faults = server.faults.get();
            set(&mut faults, severity);
            server.faults.set(faults);
        };
        for &server in &fault.targets {
            change(&self.servers[server], 0.2 + 0.8 * fault.severity);
            self.after(fault.duration, move |run| change(&run.servers[server], 0.0));
        }
    }
}
