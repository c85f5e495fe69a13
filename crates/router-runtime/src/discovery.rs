//! Discovery client: watches the endpoint list and reconnects when the watch is lost.
//!
//! A call is an HTTP request that opens a watch; the first data of its response answer it.
//!
//! - In subscription mode the decision library decides when to call and how long to wait after a
//!   lost watch or a failed call.
//! - In push mode, where a local agent holds the lists, calls are repeated with a short back-off
//!   until one is answered.
//! - In both modes a change of the address is followed by a call at once. While a watch is silent,
//!   or a call is pending for long, further calls are made as `reconnect` schedules them.
//!
//! All state belongs to one thread; no `RefCell` borrow is held across an await.

mod endpoint_table;
mod error;
mod list_log;
mod reconnect;
mod watch;
mod watch_set;

use crate::clock::to_duration;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::EndpointList;
use crate::environment::Environment;
use crate::mutation::hooks;
use crate::upstream::UpstreamPools;
use endpoint_table::EndpointTable;
use error::WatchError;
use load_balancer::deployment::Names;
use load_balancer::{CallRetryPolicy, EndpointUpdate, Micros, SilentWatchPolicy};
use reconnect::{ReconnectSchedule, RetryBackoff};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use watch_set::{LostWatch, WatchEvent, WatchProgress, WatchSet};

/// Minimum time between two log lines about failed calls.
const FAILED_CALL_LOG_INTERVAL: Duration = Duration::from_millis(400);

/// Where the endpoint list comes from, and how it is watched.
pub struct DiscoveryConfig {
    /// Address of the discovery server.
    pub addr: SocketAddr,
    /// Names of zones and machine kinds in the settings.
    pub names: Rc<Names>,
    /// Push mode: lists arrive without a subscription by the decision library.
    pub is_push: bool,
    /// When a watch counts as silent, and how discovery is called then.
    pub silent_watch: SilentWatchPolicy,
}

/// Keeps one watch on the endpoint list open; see the module.
pub struct Discovery<E: Environment> {
    environment: E,
    addr: Cell<SocketAddr>,
    is_push: bool,
    silent_watch: SilentWatchPolicy,
    dispatcher: Rc<Dispatcher<E>>,
    upstream: Rc<UpstreamPools<E>>,
    endpoints: Rc<EndpointTable<E>>,
    addr_changed: Notify,
    failed_call_logged_at: Cell<Option<Instant>>,
}

/// State that decides when to call discovery, kept from one watch to the next.
#[derive(Default)]
struct CallSchedule {
    /// Back-off between retries of failed calls; `None` while the decision library sets the delays.
    backoff: Option<RetryBackoff>,
    /// Time of the next call made without a subscription; `None`: the decision library decides.
    next_call_at: Option<Instant>,
    /// Time of the most recent call.
    last_call_at: Option<Instant>,
    /// Whether a watch has been lost since the start of the process.
    has_lost_watch: bool,
    /// Longest time that a call waited before discovery rejected it, since the last answer.
    longest_rejection_wait: Option<Micros>,
}

impl CallSchedule {
    /// Schedules a call at once and resets what was learnt from another discovery server or from
    /// an outage of this one.
    fn schedule_immediate_call(&mut self, now: Instant, call_retry: CallRetryPolicy) {
        self.backoff = Some(RetryBackoff::starting_at(now, call_retry));
        self.next_call_at = Some(now);
        self.longest_rejection_wait = None;
    }
}

impl<E: Environment> Discovery<E> {
    /// Creates a client that makes no call before [`Discovery::run`].
    pub fn new(
        config: DiscoveryConfig,
        dispatcher: Rc<Dispatcher<E>>,
        upstream: Rc<UpstreamPools<E>>,
        environment: E,
    ) -> Rc<Self> {
        let endpoints = EndpointTable::new(
            config.names,
            dispatcher.clone(),
            upstream.clone(),
            environment.clone(),
        );
        Rc::new(Discovery {
            environment,
            addr: Cell::new(config.addr),
            is_push: config.is_push,
            silent_watch: config.silent_watch,
            dispatcher,
            upstream,
            endpoints,
            addr_changed: Notify::new(),
            failed_call_logged_at: Cell::new(None),
        })
    }

    /// Applies the endpoint list that the router starts with.
    pub fn restore(&self, list: EndpointList) {
        self.endpoints.restore(list);
    }

    /// Address of the discovery server.
    pub fn addr(&self) -> SocketAddr {
        self.addr.get()
    }

    /// Version of the current endpoint list.
    pub fn list_version(&self) -> u64 {
        self.endpoints.version()
    }

    /// The current endpoint list.
    pub fn list(&self) -> EndpointList {
        self.endpoints.list()
    }

    /// Closes the watch and opens one at this address at once.
    pub fn set_addr(&self, addr: SocketAddr) {
        if self.addr.replace(addr) == addr {
            self.endpoints.reset_version();
        } else {
            self.endpoints.expect_other_server();
        }
        self.addr_changed.notify_one();
    }

    /// Opens a watch whenever the decision library subscribes, a call is due or the address has
    /// changed. Runs until the process ends.
    pub async fn run(self: Rc<Self>) {
        self.endpoints.log_initial_list();
        let mut schedule = CallSchedule::default();
        if self.is_push {
            self.schedule_immediate_call(&mut schedule);
        }
        loop {
            self.wait_for_call(&mut schedule).await;
            match self.watch_until_lost(&mut schedule).await {
                None => self.schedule_immediate_call(&mut schedule),
                Some(lost) => self.on_watch_lost(&lost, &mut schedule),
            }
        }
    }

    fn schedule_immediate_call(&self, schedule: &mut CallSchedule) {
        schedule.schedule_immediate_call(self.environment.now(), self.silent_watch.call_retry);
    }

    /// Returns when the next call is due.
    async fn wait_for_call(&self, schedule: &mut CallSchedule) {
        loop {
            tokio::select! {
                biased;
                () = self.addr_changed.notified() => {
                    self.schedule_immediate_call(schedule);
                    return;
                }
                () = self.dispatcher.subscription_wanted() => {
                    if schedule.next_call_at.is_none() {
                        return;
                    }
                }
                () = self.sleep_until_call(schedule.next_call_at) => return,
            }
        }
    }

    /// Sleeps until `next_call_at`; never returns if that is `None`.
    async fn sleep_until_call(&self, next_call_at: Option<Instant>) {
        match next_call_at {
            Some(at) => {
                self.environment
                    .sleep_until(hooks::discovery_call_at(at))
                    .await
            }
            None => std::future::pending().await,
        }
    }

    /// Logs the loss of a watch: one line per outage, not one per failed call.
    fn log_loss(&self, lost: &LostWatch, schedule: &mut CallSchedule) {
        if lost.failed_call_at.is_none() || !schedule.has_lost_watch {
            self.environment.log(format_args!(
                "discovery watch lost: {}, {}",
                lost.error,
                self.dispatcher.log_time()
            ));
        }
        schedule.has_lost_watch = true;
    }

    /// Logs the loss of a watch, and either schedules the next call or reports the loss to the
    /// decision library.
    fn on_watch_lost(&self, lost: &LostWatch, schedule: &mut CallSchedule) {
        // A silent watch was logged when its silence began.
        if !matches!(lost.error, WatchError::Silent(_)) {
            self.log_loss(lost, schedule);
        }
        schedule.next_call_at = match &mut schedule.backoff {
            Some(backoff) if lost.failed_call_at.is_some() => {
                backoff.next_retry_at(self.environment.now())
            }
            _ if self.is_push => Some(self.call_after_lost_watch(schedule)),
            _ => None,
        };
        if schedule.next_call_at.is_none() {
            schedule.backoff = None;
            let update = self.loss_update(lost);
            self.dispatcher.endpoints_changed(update, Vec::new());
        }
    }

    /// When to call the agent after the loss of a watch: at once, but no sooner than the maximum
    /// retry delay after the last call, in case each watch ends soon after it was opened.
    fn call_after_lost_watch(&self, schedule: &mut CallSchedule) -> Instant {
        let now = self.environment.now();
        let call_retry = self.silent_watch.call_retry;
        schedule.backoff = Some(RetryBackoff::starting_at(now, call_retry));
        let earliest = |last_call_at| last_call_at + to_duration(call_retry.max_delay);
        schedule.last_call_at.map_or(now, earliest).max(now)
    }

    /// The update that reports a loss to the decision library.
    fn loss_update(&self, lost: &LostWatch) -> EndpointUpdate {
        match lost.rejection_wait(self.environment.now()) {
            Some(waited) => EndpointUpdate::PollRejected { waited },
            None => EndpointUpdate::WatchLost,
        }
    }

    /// Opens a watch and returns when it is lost; `None` if the address has changed. A pending call
    /// or a silent watch stays open while further calls try to replace it.
    async fn watch_until_lost(self: &Rc<Self>, schedule: &mut CallSchedule) -> Option<LostWatch> {
        let mut watches = WatchSet::default();
        let call_retry = self.silent_watch.call_retry;
        let now = self.environment.now();
        let interval = self.hedged_call_interval(schedule);
        let first_call = ReconnectSchedule::after_first_call(now, interval, call_retry);
        let mut reconnect = Some(first_call);
        schedule.last_call_at = Some(now);
        self.open_watch(&mut watches);
        loop {
            let next_call_at = reconnect.as_ref().and_then(ReconnectSchedule::next_call_at);
            let wake_at = next_call_at.unwrap_or_else(|| self.environment.now());
            tokio::select! {
                biased;
                () = self.addr_changed.notified() => return None,
                // A subscription while a call is pending: the first data answer both.
                () = self.dispatcher.subscription_wanted() => {}
                event = watches.next() => match event {
                    WatchEvent::InService => {
                        schedule.longest_rejection_wait = None;
                        reconnect = None;
                    }
                    WatchEvent::Silent => {
                        self.log_loss(&self.silent_watch_lost(None), schedule);
                        let now = self.environment.now();
                        let interval = self.hedged_call_interval(schedule);
                        reconnect =
                            Some(ReconnectSchedule::after_silence(now, interval, call_retry));
                    }
                    WatchEvent::Lost(lost) => {
                        let now = self.environment.now();
                        schedule.longest_rejection_wait =
                            schedule.longest_rejection_wait.max(lost.rejection_wait(now));
                        match &mut reconnect {
                            Some(reconnect)
                                if reconnect.replaces_silent_watch()
                                    || !watches.are_all_calls_answered() =>
                            {
                                if !reconnect.replaces_silent_watch() {
                                    self.log_loss(&lost, schedule);
                                }
                                let interval = self.hedged_call_interval(schedule);
                                reconnect.on_loss(now, &lost, interval);
                            }
                            _ => return Some(lost),
                        }
                    }
                },
                () = self.environment.sleep_until(wake_at), if next_call_at.is_some() => {
                    if let Some(reconnect) = &mut reconnect {
                        reconnect.record_call(self.environment.now());
                    }
                    self.open_watch(&mut watches);
                }
            }
            // The calls that were to replace the watch have ended, and no further one is due.
            let given_up = reconnect
                .as_ref()
                .filter(|reconnect| reconnect.next_call_at().is_none());
            if let Some(reconnect) = given_up
                && watches.are_all_calls_answered()
            {
                return Some(self.silent_watch_lost(reconnect.rejected_call_at()));
            }
        }
    }

    /// Calls discovery and adds the watch to `watches`.
    fn open_watch(self: &Rc<Self>, watches: &mut WatchSet) {
        let progress = Rc::new(WatchProgress::new(self.environment.now()));
        let (discovery, task_progress) = (self.clone(), progress.clone());
        watches.open(progress, async move {
            let Err(error) = discovery.watch(&task_progress).await;
            if !task_progress.is_answered.get() {
                discovery.log_failed_call(&task_progress, &error);
            }
            error
        });
    }

    /// Interval between calls while others are pending; `None` if no further ones are made.
    fn hedged_call_interval(&self, schedule: &CallSchedule) -> Option<Duration> {
        let interval = self
            .silent_watch
            .hedged_call_interval(schedule.longest_rejection_wait);
        interval.map(to_duration)
    }

    /// A watch that brings no data for this long counts as silent.
    fn silence_timeout(&self) -> Duration {
        to_duration(self.silent_watch.silence_limit)
    }

    /// The loss of a silent watch. `rejected_call_at` is the time of a call that was to replace it
    /// and was rejected, if there was one.
    fn silent_watch_lost(&self, rejected_call_at: Option<Instant>) -> LostWatch {
        LostWatch {
            error: WatchError::Silent(self.silence_timeout()),
            failed_call_at: None,
            rejected_call_at,
        }
    }

    /// Logs the failure of a call, at most once per [`FAILED_CALL_LOG_INTERVAL`].
    fn log_failed_call(&self, call: &WatchProgress, error: &WatchError) {
        let now = self.environment.now();
        let since = |logged: Instant| now.saturating_duration_since(logged);
        let last_logged = self.failed_call_logged_at.get();
        if last_logged.is_some_and(|logged| since(logged) < FAILED_CALL_LOG_INTERVAL) {
            return;
        }
        self.failed_call_logged_at.set(Some(now));
        let waited = since(call.called_at).as_secs_f64();
        self.environment.log(format_args!(
            "discovery call failed after {waited:.3} s: {error}, {}",
            self.dispatcher.log_time()
        ));
    }

    /// Marks the call as answered, and logs its first answer.
    fn mark_answered(&self, progress: &WatchProgress) {
        if !progress.is_answered.replace(true) {
            let waited = self.environment.now() - progress.called_at;
            self.environment.log(format_args!(
                "discovery answered after {:.3} s, version {}, {}",
                waited.as_secs_f64(),
                self.endpoints.version(),
                self.dispatcher.log_time()
            ));
        }
    }
}
