//! A router at work: the tasks that run beside its connections, and what happens after SIGTERM.

use super::RouterRuntime;
use crate::environment::Environment;
use crate::mutation::hooks;
use process_lifecycle::LifecycleEvent;
use std::future::Future;
use std::time::{Duration, Instant};

/// The front hears of SIGTERM late: clients connect for up to 0.4 s after it, and what they send takes some time more.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(550);
/// SIGKILL comes no sooner than the longest deadline and this much after SIGTERM ...
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// ... where a longer deadline than this counts as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Pending requests are answered as failed this long before SIGKILL: none ends without a response.
const FAIL_PENDING_MARGIN: Duration = Duration::from_millis(120);
/// The process ends this long before SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(30);

/// How a router ended.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownReport {
    /// Requests that were answered as failed since the time before SIGKILL was over.
    pub failed: usize,
    /// Requests that were left without a response all the same.
    pub unanswered: usize,
    /// By when the process is to have ended.
    pub exit_deadline: Instant,
}

/// The schedule after SIGTERM.
struct ShutdownSchedule {
    /// Pending requests are answered as failed.
    fail_pending_at: Instant,
    /// The process is to have ended.
    exit_deadline: Instant,
}

impl<E: Environment> RouterRuntime<E> {
    /// Serves until `stop` returns, and then until no response is pending or the time for that is over.
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
        self.accept_last(listener).await;
        self.apply_lifecycle_event(LifecycleEvent::Terminate);
        let report = self.finish(schedule).await;
        // No connection is handed over any more.
        self.clients.set_successor(None);
        report
    }

    /// Spawns the tasks that run beside the connections. Each owns a handle to its part and runs until the process
    /// ends, which drops them; the task of the coalescing stage ends at once where coalescing is off.
    fn spawn_tasks(&self) {
        let environment = &self.environment;
        environment.spawn(self.discovery.clone().run());
        environment.spawn(self.dispatcher.clone().run_timers());
        environment.spawn(self.coalescing.clone().run());
        let dispatcher = self.dispatcher.clone();
        let lifetime = move || dispatcher.idle_connection_lifetime();
        environment.spawn(self.upstream.clone().retire_idle(lifetime));
        environment.spawn(self.clients.clone().close_idle());
    }

    /// Accepts clients whenever the state of this process says so.
    async fn accept(&self, listener: &E::Listener) {
        loop {
            if self.lifecycle.get().accepts() {
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

    /// The schedule of a process that is told to stop at this instant.
    fn shutdown_schedule(&self, stopped_at: Instant) -> ShutdownSchedule {
        let longest_wait = self.longest_deadline.min(MAX_COUNTED_DEADLINE);
        let killed_at = stopped_at + longest_wait + KILL_MARGIN;
        ShutdownSchedule {
            fail_pending_at: killed_at - FAIL_PENDING_MARGIN,
            exit_deadline: killed_at - EXIT_MARGIN,
        }
    }

    /// Accepts the clients that connect after the stop, and closes the listener: load balancers in front of the router
    /// notice the stop late.
    async fn accept_last(&self, listener: E::Listener) {
        if self.lifecycle.get().is_handed_over() {
            return;
        }
        let accepting = self.accept(&listener);
        let _ = self.environment.timeout(ACCEPT_AFTER_STOP, accepting).await;
        if !self.lifecycle.get().is_handed_over() {
            self.clients.accept_queued(&listener).await;
        }
    }

    /// Waits until all connections have ended. When the time is over, pending requests are answered as failed.
    async fn finish(&self, schedule: ShutdownSchedule) -> ShutdownReport {
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
