//! Runs a router: its background tasks, and its graceful shutdown after SIGTERM.
//!
//! After SIGTERM the router accepts clients for a while longer and then closes the listener.
//! Requests in flight continue until shortly before SIGKILL; those still pending then are answered
//! as failed. `process_lifecycle` decides what happens to each connection meanwhile.

use super::RouterRuntime;
use crate::environment::Environment;
use crate::mutation::hooks;
use process_lifecycle::LifecycleEvent;
use std::future::Future;
use std::time::{Duration, Instant};

/// New connections are accepted for this long after SIGTERM: the load balancers in front of the
/// router send clients for up to 0.4 s after it, and their first bytes take some more time.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(550);
/// SIGKILL follows SIGTERM no sooner than the longest deadline plus this margin.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A longer deadline counts as this one when the time of SIGKILL is computed.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Pending requests are answered as failed this long before SIGKILL, so that none ends without a
/// response.
const FAIL_PENDING_MARGIN: Duration = Duration::from_millis(120);
/// The process exits this long before SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(30);

/// Result of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownReport {
    /// Requests that were answered as failed because SIGKILL was near.
    pub failed: usize,
    /// Requests that were left without a response nevertheless.
    pub unanswered: usize,
    /// The time by which the process has to exit.
    pub exit_deadline: Instant,
}

/// The schedule after SIGTERM.
struct ShutdownSchedule {
    /// When pending requests are answered as failed.
    fail_pending_at: Instant,
    /// The time by which the process has to exit.
    exit_deadline: Instant,
}

impl<E: Environment> RouterRuntime<E> {
    /// Serves until `stop` completes, which stands for SIGTERM, and then shuts down. Returns when
    /// all connections have ended or the process has to exit.
    pub async fn run(
        &self,
        listener: E::Listener,
        stop: impl Future<Output = ()>,
    ) -> ShutdownReport {
        self.spawn_tasks();
        tokio::select! {
            biased;
            () = stop => {}
            () = self.accept(&listener) => {}
        }
        let schedule = self.shutdown_schedule(self.environment.now());
        self.accept_late_clients(listener).await;
        self.apply_lifecycle_event(LifecycleEvent::Terminate);
        let report = self.finish_connections(schedule).await;
        // From here on no connection is handed over.
        self.clients.set_successor(None);
        report
    }

    /// Spawns the background tasks. Each owns a handle to its component and runs until the process
    /// ends. The task of the coalescing stage returns at once if coalescing is off.
    fn spawn_tasks(&self) {
        let environment = &self.environment;
        environment.spawn(self.discovery.clone().run());
        environment.spawn(self.dispatcher.clone().run_timers());
        environment.spawn(self.coalescing.clone().run());
        let dispatcher = self.dispatcher.clone();
        let lifetime = move || dispatcher.idle_connection_lifetime();
        environment.spawn(self.upstream.clone().close_expired_idle(lifetime));
        environment.spawn(self.clients.clone().close_idle());
        environment.spawn(self.log_memory_pressure());
    }

    /// Accepts clients while the lifecycle allows it.
    async fn accept(&self, listener: &E::Listener) {
        loop {
            if self.lifecycle.get().accepts_connections() {
                tokio::select! {
                    biased;
                    () = self.lifecycle_changed.notified() => {}
                    () = self.clients.accept(listener) => {}
                }
            } else {
                self.lifecycle_changed.notified().await;
            }
        }
    }

    /// The schedule of a process that received SIGTERM at `stopped_at`.
    fn shutdown_schedule(&self, stopped_at: Instant) -> ShutdownSchedule {
        let longest_wait = self.longest_deadline.min(MAX_COUNTED_DEADLINE);
        let killed_at = stopped_at + longest_wait + KILL_MARGIN;
        ShutdownSchedule {
            fail_pending_at: killed_at - FAIL_PENDING_MARGIN,
            exit_deadline: killed_at - EXIT_MARGIN,
        }
    }

    /// Accepts clients for [`ACCEPT_AFTER_SIGTERM`], since load balancers in front of the router
    /// notice the shutdown late, and closes the listener. Does nothing if a successor process has
    /// taken over.
    async fn accept_late_clients(&self, listener: E::Listener) {
        if self.lifecycle.get().hands_over_connections() {
            return;
        }
        let accepting = self.accept(&listener);
        let _ = self
            .environment
            .timeout(ACCEPT_AFTER_SIGTERM, accepting)
            .await;
        if !self.lifecycle.get().hands_over_connections() {
            self.clients.accept_queued(&listener).await;
        }
    }

    /// Waits until all connections have ended. Requests that are pending near SIGKILL are answered
    /// as failed.
    async fn finish_connections(&self, schedule: ShutdownSchedule) -> ShutdownReport {
        let mut report = ShutdownReport {
            failed: 0,
            unanswered: 0,
            exit_deadline: schedule.exit_deadline,
        };
        let ended = self
            .environment
            .timeout_at(schedule.fail_pending_at, self.clients.all_ended())
            .await;
        if ended.is_ok() {
            return report;
        }
        report.failed = self.unanswered_count();
        hooks::fail_pending(|| self.dispatcher.fail_all());
        self.clients.shut_down();
        let _ = self
            .environment
            .timeout_at(schedule.exit_deadline, self.clients.all_ended())
            .await;
        report.unanswered = self.unanswered_count();
        report
    }

    fn unanswered_count(&self) -> usize {
        self.dispatcher.resource_usage().unanswered_requests
    }
}
