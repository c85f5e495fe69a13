//! Faults of the fleet's membership: removals, operators' excludes, reused addresses, steps of the clocks, and
//! changes of the router's process.

use super::{DRAIN_DELAY, KILL_GRACE, KILL_MARGIN, RESTART_PAUSE, Run};
use crate::discovery::Health;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use test_support::http_request;
use tokio::task::spawn_blocking;

/// How long after a removal the process of a server still runs.
const REMOVED_LIFETIME: Duration = Duration::from_millis(1_000);
/// How long a new process at a reused address serves before it drains.
const REUSE_SERVICE: Duration = Duration::from_millis(900);

impl Run {
    pub(super) fn step_clocks(&self, offset_ms: i64) {
        self.platform.set_clock_offset_ms(offset_ms);
        self.server_clock_offset_ms.set(-offset_ms);
    }

    /// The time on the servers' clock, in Unix milliseconds.
    pub(super) fn server_time_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let since_epoch = since_epoch.expect("the clock is past the Unix epoch");
        (since_epoch.as_millis() as u64).saturating_add_signed(self.server_clock_offset_ms.get())
    }

    /// Changes the list entry of a server and keeps its start.
    pub(super) fn set_health(&self, server: usize, health: Health) {
        let born_ms = self.discovery.born_ms(server);
        let address = self.servers[server].address.get();
        self.discovery
            .set_endpoint(server, address, health, born_ms);
    }

    pub(super) async fn remove(&self, server: usize, duration: Duration) {
        self.set_health(server, Health::Draining);
        tokio::time::sleep(DRAIN_DELAY).await;
        if self.servers[server].is_replaced.get() {
            return;
        }
        self.servers[server].change(|faults| faults.is_draining = true);
        tokio::time::sleep(duration).await;
        self.set_health(server, Health::Removed);
        tokio::time::sleep(REMOVED_LIFETIME).await;
        if self.servers[server].is_replaced.get() {
            return;
        }
        self.servers[server].kill();
        self.restart(server).await;
    }

    pub(super) async fn exclude(&self, server: usize, duration: Duration) {
        let is_excluded = self.post("/api/exclude", server).await;
        if is_excluded {
            self.recorder.record_override(server, true);
        }
        tokio::time::sleep(duration).await;
        self.recorder.record_override(server, false);
        self.post("/api/include", server).await;
    }

    /// Calls the newest process; true if it took the command.
    async fn post(&self, path: &'static str, server: usize) -> bool {
        let newest = self
            .processes
            .borrow()
            .last()
            .and_then(|process| process.admin);
        let Some(admin) = newest else {
            return false;
        };
        let body = format!(r#"{{"host":"{}"}}"#, crate::recorder::server_name(server));
        let call = move || {
            std::net::TcpStream::connect(admin).is_ok()
                && http_request(admin, "POST", path, &body).status == 200
        };
        spawn_blocking(call).await.unwrap_or(false)
    }

    /// Lets a spare server come up at the address of one that is killed and stays listed for a while.
    pub(super) async fn reuse_address(
        self: &Rc<Self>,
        server: usize,
        spare: usize,
        stale: Duration,
        duration: Duration,
    ) {
        let killed = &self.servers[server];
        if killed.is_replaced.replace(true) {
            return;
        }
        killed.kill();
        tokio::time::sleep(RESTART_PAUSE / 4).await;
        let address: SocketAddr = killed.address.get();
        self.servers[spare].address.set(address);
        self.servers[spare].restart().await;
        let born_ms = self.server_time_ms();
        self.discovery
            .set_endpoint(spare, address, Health::Up, born_ms);
        let run = self.clone();
        self.spawn(async move {
            tokio::time::sleep(stale).await;
            run.set_health(server, Health::Removed);
        });
        tokio::time::sleep(REUSE_SERVICE).await;
        self.set_health(spare, Health::Draining);
        tokio::time::sleep(DRAIN_DELAY).await;
        self.servers[spare].change(|faults| faults.is_draining = true);
        tokio::time::sleep(duration).await;
        self.set_health(spare, Health::Removed);
    }

    /// Reloads the configuration with the other address of discovery.
    pub(super) fn reload(&self) {
        let mut configuration = self.configuration.clone();
        configuration["discovery"] = self.discovery.second_address.to_string().into();
        if let Some(newest) = self.processes.borrow().last() {
            newest.process.reload(&configuration.to_string());
        }
    }

    /// Lets another process take over.
    pub(super) async fn replace(&self) {
        self.start_process().await;
        let old = self.processes.borrow_mut().remove(0);
        old.process.terminate();
        let terminated_at = Instant::now();
        self.ending.borrow_mut().push(old);
        let longest = Duration::from_millis(self.plan.longest_deadline_ms());
        tokio::time::sleep_until((terminated_at + longest + KILL_MARGIN).into()).await;
        self.ending.borrow_mut().clear();
    }

    /// Kills the router and starts it again with its first list.
    pub(super) async fn kill_router(&self) {
        self.recorder.process_killed(KILL_GRACE);
        self.processes.borrow_mut().clear();
        // What is left of a silence concerns the watches before.
        self.discovery.calls_to_hang.set(0);
        self.discovery.calls_to_fail.set(0);
        // The new process serves before it is known to have started.
        self.recorder
            .router_started(&self.configuration["known"].to_string());
        self.start_process().await;
    }
}
