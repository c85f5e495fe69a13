//! State that operators control: overrides of cache servers, and drains of the router. Changes are
//! applied to the runtime, saved to disk, and sent to the other process of this router during a hot
//! restart.
//!
//! Single-threaded: no `RefCell` borrow is held across an await point.

use crate::Runtime;
use crate::stored_state;
use admin_api::RouterControl;
use hot_restart::message::{HandoverState, Message};
use hot_restart::store::{StateStore, StoreError};
use load_balancer::{OverrideSource, ServerId};
use router_runtime::Metrics;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_blocking;

/// Delay before a failed write of the overrides is retried.
const SAVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Applies operators' commands to the router of this process.
pub struct AdminState {
    runtime: Rc<Runtime>,
    /// Where overrides are saved; `None` if they are not saved.
    store: Option<StateStore>,
    /// Notified after each write of the overrides: after a success they have to be synced to disk,
    /// after a failure written again.
    save_attempted: Notify,
    /// Whether the last write or sync failed.
    last_save_failed: Cell<bool>,
    /// Channels to other processes of this router, which receive each change. A closed channel is
    /// removed at the next change.
    peers: RefCell<Vec<mpsc::UnboundedSender<Message>>>,
    /// Whether this process is the active one: there is no predecessor process, or the predecessor
    /// has been told that this one serves, or it has ended.
    has_taken_over: Cell<bool>,
}

impl AdminState {
    /// Creates the admin state of `runtime`. `has_predecessor` says that another process serves and
    /// that this one will take over from it.
    pub fn new(
        runtime: Rc<Runtime>,
        store: Option<StateStore>,
        has_predecessor: bool,
    ) -> Rc<AdminState> {
        Rc::new(AdminState {
            runtime,
            store,
            save_attempted: Notify::new(),
            last_save_failed: Cell::new(false),
            peers: RefCell::default(),
            has_taken_over: Cell::new(!has_predecessor),
        })
    }

    /// Records that the predecessor process no longer serves.
    pub fn set_taken_over(&self) {
        self.has_taken_over.set(true);
    }

    /// Returns whether this process is the active one, because no predecessor process serves.
    pub fn has_taken_over(&self) -> bool {
        self.has_taken_over.get()
    }

    /// Subscribes another process to all later changes, until the receiver is dropped.
    pub fn subscribe(&self) -> mpsc::UnboundedReceiver<Message> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.peers.borrow_mut().push(sender);
        receiver
    }

    /// Applies a change that operators made in another process.
    pub fn apply_from_peer(&self, message: Message) {
        match message {
            Message::Override(server, stored) => {
                let server = ServerId::from(server.as_str());
                let admin_override = stored_state::from_other_process(stored, self.runtime.now());
                self.runtime.apply_admin_overrides(
                    [(server, admin_override)],
                    OverrideSource::OtherProcess,
                );
                self.save();
            }
            Message::Drained(true) => self.runtime.drain_router(),
            Message::Drained(false) => self.runtime.resume_router(),
            _ => {}
        }
    }

    fn send_to_peers(&self, message: &Message) {
        self.peers
            .borrow_mut()
            .retain(|peer| peer.send(message.clone()).is_ok());
    }

    /// Saves the overrides. A drain is not saved, so that a process that replaces a killed one
    /// starts in service.
    fn save(&self) {
        let Some(store) = &self.store else { return };
        let state = HandoverState {
            overrides: stored_state::stored_overrides(&self.runtime),
            endpoint_list: stored_state::stored_disabled_endpoints(&self.runtime),
            ..HandoverState::default()
        };
        let saved = store.save(state);
        self.log_save_result(store, saved);
        self.save_attempted.notify_one();
    }

    /// Records the result of a save. Of a series of failures only the first one is logged, and then
    /// the save that ends it.
    fn log_save_result(&self, store: &StateStore, saved: Result<(), StoreError>) {
        let had_failed = self.last_save_failed.replace(saved.is_err());
        match saved {
            Err(error) if !had_failed => {
                eprintln!(
                    "asterport: {}: overrides not saved: {error}",
                    store.path().display()
                );
            }
            Ok(()) if had_failed => {
                eprintln!("asterport: {}: overrides saved", store.path().display())
            }
            _ => {}
        }
    }

    /// Retries failed writes of the overrides until they succeed, and syncs the overrides to disk
    /// on a blocking thread. Runs until the process ends.
    pub async fn sync_and_retry_saves(self: Rc<Self>) {
        let Some(store) = self.store.clone() else {
            return;
        };
        loop {
            self.save_attempted.notified().await;
            while self.last_save_failed.get() {
                tokio::time::sleep(SAVE_RETRY_DELAY).await;
                self.save();
            }
            let store_to_sync = store.clone();
            // Joining cannot fail, because the blocking task neither panics nor is aborted.
            if let Ok(synced) = spawn_blocking(move || store_to_sync.sync()).await
                && synced.is_err()
            {
                self.log_save_result(&store, synced);
                self.save_attempted.notify_one();
            }
        }
    }

    /// Saves a server's override that has just changed, and sends it to the other processes.
    fn publish_override(&self, server: &str) {
        self.save();
        let changed = stored_state::stored_overrides(&self.runtime)
            .into_iter()
            .find(|(name, _)| name == server);
        if let Some((name, stored)) = changed {
            self.send_to_peers(&Message::Override(name, stored));
        }
    }
}

impl RouterControl for AdminState {
    fn is_ready(&self) -> bool {
        self.has_taken_over() && self.runtime.lifecycle().is_ready()
    }

    fn metrics(&self) -> Metrics {
        self.runtime.metrics()
    }

    fn disable_server(&self, server: &str) -> bool {
        let is_known = self.runtime.disable_server(server);
        if is_known {
            self.publish_override(server);
        }
        is_known
    }

    fn enable_server(&self, server: &str) -> bool {
        let is_known = self.runtime.enable_server(server);
        if is_known {
            self.publish_override(server);
        }
        is_known
    }

    fn drain_router(&self) {
        self.runtime.drain_router();
        self.send_to_peers(&Message::Drained(true));
    }

    fn resume_router(&self) {
        self.runtime.resume_router();
        self.send_to_peers(&Message::Drained(false));
    }
}
