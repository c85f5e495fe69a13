//! Discovery: keeps a watch on the list of servers, and calls again when it is lost.
//!
//! In subscription mode the decision library asks for each call and backs off between calls; in push mode the lists
//! are sent without a subscription. It relies on one thread: no borrow crosses an await.

mod endpoint_table;
mod error;
mod watch;

use crate::dispatcher::Dispatcher;
use crate::endpoint_list::EndpointList;
use crate::environment::Environment;
use crate::upstream::UpstreamPools;
use endpoint_table::EndpointTable;
use error::WatchError;
use load_balancer::EndpointUpdate;
use load_balancer::deployment::Names;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// After a new configuration, and when a watch in push mode has fallen silent, failed calls are repeated for this long:
/// the decision library's own back-off may have grown long with the old address.
const FAST_RETRY_WINDOW: Duration = Duration::from_millis(3_500);
/// The pause before the first repeated call; it doubles with each.
const FAST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The pause between calls in push mode.
const PUSH_REDIAL_PAUSE: Duration = Duration::from_millis(500);

/// The source of the list of servers, and how it is watched.
pub struct DiscoveryConfig {
    /// The discovery server.
    pub addr: SocketAddr,
    /// Names of zones and kinds.
    pub names: Rc<Names>,
    /// Push mode: lists are sent without a subscription of the decision library.
    pub is_push: bool,
}

/// See the module.
pub struct Discovery<E: Environment> {
    environment: E,
    addr: Cell<SocketAddr>,
    is_push: bool,
    dispatcher: Rc<Dispatcher<E>>,
    upstream: Rc<UpstreamPools<E>>,
    endpoints: Rc<EndpointTable<E>>,
    /// The decision library waits for the answer to its subscription or counts as subscribed: a loss is reported to it.
    is_subscribed: Cell<bool>,
    addr_changed: Notify,
}

/// How far a watch has come.
#[derive(Default)]
struct WatchProgress {
    is_answered: Cell<bool>,
}

impl WatchProgress {
    /// Whether the call has its answer.
    fn is_answered(&self) -> bool {
        self.is_answered.get()
    }
}

/// The time in which failed calls are repeated fast.
struct FastRetry {
    until: Instant,
    pause: Duration,
}

impl FastRetry {
    fn from(now: Instant) -> FastRetry {
        FastRetry {
            until: now + FAST_RETRY_WINDOW,
            pause: FAST_RETRY_PAUSE,
        }
    }

    /// When to call again after a failed call; `None` once the window is over.
    fn next(&mut self, now: Instant) -> Option<Instant> {
        let at = now + self.pause;
        self.pause *= 2;
        (at < self.until).then_some(at)
    }
}

/// When to call, from one watch to the next.
#[derive(Default)]
struct CallSchedule {
    fast_retry: Option<FastRetry>,
    /// When to call without a subscription.
    next_call: Option<Instant>,
    /// A watch was lost before.
    has_lost: bool,
}

impl CallSchedule {
    fn call_now(&mut self, now: Instant) {
        self.fast_retry = Some(FastRetry::from(now));
        self.next_call = Some(now);
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
            dispatcher,
            upstream,
            endpoints,
            is_subscribed: Cell::new(false),
            addr_changed: Notify::new(),
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
        loop {
            self.until_call(&mut schedule).await;
            let progress = WatchProgress::default();
            match self.watch_until_moved(&progress).await {
                None => schedule.call_now(self.environment.now()),
                Some(error) => self.watch_lost(&error, &progress, &mut schedule),
            }
        }
    }

    /// Returns when the next call is to be made.
    async fn until_call(&self, schedule: &mut CallSchedule) {
        loop {
            tokio::select! {
                biased;
                () = self.addr_changed.notified() => {
                    schedule.fast_retry = Some(FastRetry::from(self.environment.now()));
                    return;
                }
                () = self.dispatcher.subscription_wanted() => {
                    self.is_subscribed.set(true);
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
            Some(at) => self.environment.sleep_until(at).await,
            None if self.is_push => self.environment.sleep(PUSH_REDIAL_PAUSE).await,
            None => std::future::pending().await,
        }
    }

    /// Logs the loss of a watch, and sets when to call again or tells the decision library of the loss.
    fn watch_lost(
        &self,
        error: &WatchError,
        progress: &WatchProgress,
        schedule: &mut CallSchedule,
    ) {
        // One line for each outage, not for each call during one.
        if progress.is_answered() || !schedule.has_lost {
            self.environment
                .log(format_args!("discovery watch lost: {error}"));
        }
        schedule.has_lost = true;
        let now = self.environment.now();
        let has_fallen_silent = progress.is_answered() && matches!(error, WatchError::Silent(_));
        if self.is_push && has_fallen_silent {
            schedule.call_now(now);
            return;
        }
        schedule.next_call = match &mut schedule.fast_retry {
            Some(fast_retry) if !progress.is_answered() => fast_retry.next(now),
            _ => None,
        };
        if schedule.next_call.is_none() {
            schedule.fast_retry = None;
            if self.is_subscribed.replace(false) {
                self.dispatcher
                    .endpoints_changed(EndpointUpdate::WatchLost, Vec::new());
            }
        }
    }

    /// One watch until it is lost, or until the address has changed: then none.
    async fn watch_until_moved(&self, progress: &WatchProgress) -> Option<WatchError> {
        let watch = self.watch(progress);
        tokio::pin!(watch);
        loop {
            tokio::select! {
                biased;
                () = self.addr_changed.notified() => return None,
                // A subscription during a call that it did not cause: the first line answers both.
                () = self.dispatcher.subscription_wanted() => self.is_subscribed.set(true),
                Err(error) = &mut watch => return Some(error),
            }
        }
    }

    /// The call has its answer.
    fn mark_answered(&self, progress: &WatchProgress) {
        if !progress.is_answered.replace(true) {
            self.is_subscribed.set(!self.is_push);
        }
    }
}
