//! Discovery: keeps a watch on the list of servers, and calls again when it is lost.
//!
//! In subscription mode the decision library asks for calls and says how long to wait between them; in push mode the agent
//! that has the lists is called at once, again and again. It relies on one thread: no borrow crosses an await.

mod endpoint_table;
mod error;
mod reopening;
mod watch;
mod watch_set;

use crate::clock::duration;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::EndpointList;
use crate::environment::Environment;
use crate::mutation::hooks;
use crate::upstream::UpstreamPools;
use endpoint_table::EndpointTable;
use error::WatchError;
use load_balancer::deployment::Names;
use load_balancer::{CallRetryPolicy, EndpointUpdate, Micros, SilentWatchPolicy};
use reopening::{FastRetry, Reopening};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use watch_set::{LostWatch, WatchEvent, WatchProgress, WatchSet};

/// The ends of failed calls are logged at most this often.
const FAILED_CALL_LOG_INTERVAL: Duration = Duration::from_millis(400);

/// The source of the list of servers, and how it is watched.
pub struct DiscoveryConfig {
    /// The discovery server.
    pub addr: SocketAddr,
    /// Names of zones and kinds.
    pub names: Rc<Names>,
    /// Push mode: lists are sent without a subscription of the decision library.
    pub is_push: bool,
    /// When a watch is silent, and how discovery is called then.
    pub silent_watch: SilentWatchPolicy,
}

/// See the module.
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

/// When to call, from one watch to the next.
#[derive(Default)]
struct CallSchedule {
    fast_retry: Option<FastRetry>,
    /// When to call without a subscription.
    next_call: Option<Instant>,
    /// When discovery was called last.
    last_call: Option<Instant>,
    /// A watch was lost before.
    has_lost: bool,
    /// The longest that a call has waited since the last answer before discovery turned it away.
    rejected_after: Option<Micros>,
}

impl CallSchedule {
    /// Calls at once. What was learnt of another discovery, or in an outage of this one, is forgotten.
    fn call_now(&mut self, now: Instant, calls: CallRetryPolicy) {
        self.fast_retry = Some(FastRetry::from(now, calls));
        self.next_call = Some(now);
        self.rejected_after = None;
    }
}

impl<E: Environment> Discovery<E> {
    /// A discovery that does not call before [`Discovery::run`].
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

    /// Applies the list that the router had before its start.
    pub fn restore(&self, list: EndpointList) {
        self.endpoints.restore(list);
    }

    /// The discovery server.
    pub fn addr(&self) -> SocketAddr {
        self.addr.get()
    }

    /// The list of servers as it stands.
    pub fn list(&self) -> EndpointList {
        self.endpoints.list()
    }

    /// Leaves the watch for a new one at this address, at once.
    pub fn move_to(&self, addr: SocketAddr) {
        self.addr.set(addr);
        self.endpoints.reset_version();
        self.addr_changed.notify_one();
    }

    /// Watches whenever the decision library subscribes, a call is due or the address has changed, for as long as the
    /// process runs.
    pub async fn run(self: Rc<Self>) {
        let mut schedule = CallSchedule::default();
        if self.is_push {
            self.call_now(&mut schedule);
        }
        loop {
            self.until_call(&mut schedule).await;
            match self.watch_until_moved(&mut schedule).await {
                None => self.call_now(&mut schedule),
                Some(lost) => self.watch_lost(&lost, &mut schedule),
            }
        }
    }

    fn call_now(&self, schedule: &mut CallSchedule) {
        schedule.call_now(self.environment.now(), self.silent_watch.call_retry);
    }

    /// Returns when the next call is to be made.
    async fn until_call(&self, schedule: &mut CallSchedule) {
        loop {
            tokio::select! {
                biased;
                () = self.addr_changed.notified() => {
                    self.call_now(schedule);
                    return;
                }
                () = self.dispatcher.subscription_wanted() => {
                    if schedule.next_call.is_none() {
                        return;
                    }
                }
                () = self.next_call(schedule.next_call) => return,
            }
        }
    }

    /// Returns when a call is due that the decision library does not ask for.
    async fn next_call(&self, next_call: Option<Instant>) {
        match next_call {
            Some(at) => self.environment.sleep_until(hooks::call_at(at)).await,
            None => std::future::pending().await,
        }
    }

    /// Logs the loss of a watch: one line for each outage, not for each call during one.
    fn log_loss(&self, lost: &LostWatch, schedule: &mut CallSchedule) {
        if lost.failed_call.is_none() || !schedule.has_lost {
            self.environment
                .log(format_args!("discovery watch lost: {}", lost.error));
        }
        schedule.has_lost = true;
    }

    /// Logs the loss of a watch, and sets when to call again or tells the decision library of the loss.
    fn watch_lost(&self, lost: &LostWatch, schedule: &mut CallSchedule) {
        // The silence was logged when it began.
        if !matches!(lost.error, WatchError::Silent(_)) {
            self.log_loss(lost, schedule);
        }
        schedule.next_call = match &mut schedule.fast_retry {
            Some(fast_retry) if lost.failed_call.is_some() => {
                fast_retry.next(self.environment.now())
            }
            _ if self.is_push => Some(self.call_after_lost_watch(schedule)),
            _ => None,
        };
        if schedule.next_call.is_none() {
            schedule.fast_retry = None;
            let update = self.update_of_loss(lost);
            self.dispatcher.endpoints_changed(update, Vec::new());
        }
    }

    /// When to call the agent after the loss of a watch: at once, unless watches keep ending.
    fn call_after_lost_watch(&self, schedule: &mut CallSchedule) -> Instant {
        let now = self.environment.now();
        let calls = self.silent_watch.call_retry;
        schedule.fast_retry = Some(FastRetry::from(now, calls));
        let earliest = |last_call| last_call + duration(calls.max_delay);
        schedule.last_call.map_or(now, earliest).max(now)
    }

    /// What the decision library is told of a loss.
    fn update_of_loss(&self, lost: &LostWatch) -> EndpointUpdate {
        match lost.rejected_after(self.environment.now()) {
            Some(waited) => EndpointUpdate::PollRejected { waited },
            None => EndpointUpdate::WatchLost,
        }
    }

    /// A watch until it is lost, or until the address has changed: then none. A call that waits, or a watch that falls
    /// silent, stays open beside the calls that are to replace it.
    async fn watch_until_moved(self: &Rc<Self>, schedule: &mut CallSchedule) -> Option<LostWatch> {
        let mut watches = WatchSet::default();
        let calls = self.silent_watch.call_retry;
        let now = self.environment.now();
        let first_call = Reopening::beside_call(now, self.call_interval(schedule), calls);
        let mut reopening = Some(first_call);
        schedule.last_call = Some(now);
        self.open_watch(&mut watches);
        loop {
            let next_call = reopening.as_ref().and_then(Reopening::next_call);
            let next_call_at = next_call.unwrap_or_else(|| self.environment.now());
            tokio::select! {
                biased;
                () = self.addr_changed.notified() => return None,
                // A subscription during a call that it did not cause: the first line answers both.
                () = self.dispatcher.subscription_wanted() => {}
                event = watches.next() => match event {
                    WatchEvent::InService => {
                        schedule.rejected_after = None;
                        reopening = None;
                    }
                    WatchEvent::Silent => {
                        self.log_loss(&self.silent_watch(None), schedule);
                        let now = self.environment.now();
                        let call_interval = self.call_interval(schedule);
                        reopening = Some(Reopening::of_silent_watch(now, call_interval, calls));
                    }
                    WatchEvent::Lost(lost) => {
                        let now = self.environment.now();
                        schedule.rejected_after =
                            schedule.rejected_after.max(lost.rejected_after(now));
                        match &mut reopening {
                            Some(reopening)
                                if reopening.replaces_silent_watch() || !watches.has_no_call() =>
                            {
                                if !reopening.replaces_silent_watch() {
                                    self.log_loss(&lost, schedule);
                                }
                                reopening.watch_lost(now, &lost, self.call_interval(schedule));
                            }
                            _ => return Some(lost),
                        }
                    }
                },
                () = self.environment.sleep_until(next_call_at), if next_call.is_some() => {
                    if let Some(reopening) = &mut reopening {
                        reopening.called(self.environment.now());
                    }
                    self.open_watch(&mut watches);
                }
            }
            let given_up = reopening
                .as_ref()
                .filter(|reopening| reopening.next_call().is_none());
            if let Some(reopening) = given_up
                && watches.has_no_call()
            {
                return Some(self.silent_watch(reopening.rejected_call()));
            }
        }
    }

    /// Calls discovery.
    fn open_watch(self: &Rc<Self>, watches: &mut WatchSet) {
        let progress = Rc::new(WatchProgress::called(self.environment.now()));
        let (discovery, watched) = (self.clone(), progress.clone());
        watches.open(progress, async move {
            let Err(error) = discovery.watch(&watched).await;
            if !watched.is_answered.get() {
                discovery.log_failed_call(&watched, &error);
            }
            error
        });
    }

    /// Between calls beside those that wait; `None`: none are made.
    fn call_interval(&self, schedule: &CallSchedule) -> Option<Duration> {
        let interval = self
            .silent_watch
            .hedged_call_interval(schedule.rejected_after);
        interval.map(duration)
    }

    /// A watch without data for this long has fallen silent.
    fn silence_limit(&self) -> Duration {
        duration(self.silent_watch.silence_limit)
    }

    /// The loss of a watch that is silent; `rejected_call` was to replace it.
    fn silent_watch(&self, rejected_call: Option<Instant>) -> LostWatch {
        LostWatch {
            error: WatchError::Silent(self.silence_limit()),
            failed_call: None,
            rejected_call,
        }
    }

    /// Logs the end of a call without an answer, unless the one of another call was logged just before.
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
            "discovery call failed after {waited:.3} s: {error}"
        ));
    }

    /// The call has its answer.
    fn mark_answered(&self, progress: &WatchProgress) {
        if !progress.is_answered.replace(true) {
            let waited = self.environment.now() - progress.called_at;
            self.environment.log(format_args!(
                "discovery answered after {:.3} s, version {}",
                waited.as_secs_f64(),
                self.endpoints.version()
            ));
        }
    }
}
