//! Operators' overrides and drains: applied to the runtime, saved on disk, and sent to the other process of this
//! router while there is one.
//!
//! Relies on one thread: its `RefCell` borrows never cross an await.

use crate::Runtime;
use admin_api::RouterControl;
use hot_restart::message::{HandoverState, Message, StoredOverride};
use hot_restart::store::{StateStore, StoreError};
use load_balancer::{AdminOverride, Micros, ServerId};
use router_runtime::Metrics;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_blocking;

/// The pause before a failed write of the overrides is repeated.
const SAVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The router of this process as operators control it.
pub struct AdminState {
    runtime: Rc<Runtime>,
    /// Where overrides are saved; `None`: nowhere.
    store: Option<StateStore>,
    /// Overrides were written, or failed to be: they are to be synced to the disk, or written again.
    save_attempted: Notify,
    /// The last write or sync failed.
    last_save_failed: Cell<bool>,
    /// Other processes of this router, which get each change. One that has ended is dropped at the next change.
    peers: RefCell<Vec<mpsc::UnboundedSender<Message>>>,
    /// No predecessor process serves: there is none, it knows that this one serves, or it has ended.
    has_taken_over: Cell<bool>,
}

impl AdminState {
    /// Controls `runtime`. `has_predecessor`: another process serves, and this one is going to take over from it.
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

    /// Records that no predecessor process serves any more.
    pub fn set_taken_over(&self) {
        self.has_taken_over.set(true);
    }

    /// Whether no predecessor process serves.
    pub fn has_taken_over(&self) -> bool {
        self.has_taken_over.get()
    }

    /// The changes from here on, for another process; they end with the receiver.
    pub fn subscribe(&self) -> mpsc::UnboundedReceiver<Message> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.peers.borrow_mut().push(sender);
        receiver
    }

    /// Applies a change that operators made at another process.
    pub fn apply_from_peer(&self, message: Message) {
        match message {
            Message::Override(server, stored) => {
                let server = ServerId::from(server.as_str());
                self.runtime
                    .apply_admin_overrides([(server, from_stored(stored))]);
                self.save();
            }
            Message::Drained(true) => self.runtime.drain_router(),
            Message::Drained(false) => self.runtime.resume_router(),
            _ => {}
        }
    }

    /// All overrides, in their stored form.
    pub fn stored_overrides(&self) -> Vec<(String, StoredOverride)> {
        let overrides = self.runtime.admin_overrides().into_iter();
        overrides
            .map(|(server, admin_override)| (server.to_string(), to_stored(admin_override)))
            .collect()
    }

    fn send_to_peers(&self, message: &Message) {
        self.peers
            .borrow_mut()
            .retain(|peer| peer.send(message.clone()).is_ok());
    }

    /// Saves the overrides. A drain is not saved: a process that replaces a killed one starts in service.
    fn save(&self) {
        let Some(store) = &self.store else { return };
        let state = HandoverState {
            overrides: self.stored_overrides(),
            ..HandoverState::default()
        };
        let saved = store.save(state);
        self.log_save_result(store, saved);
        self.save_attempted.notify_one();
    }

    /// Notes whether the overrides are stored. Failures on end are logged once, and so is their end.
    fn log_save_result(&self, store: &StateStore, saved: Result<(), StoreError>) {
        let had_failed = self.last_save_failed.replace(saved.is_err());
        match saved {
            Err(error) if !had_failed => {
                eprintln!("asterport: {}: {error}", store.path().display());
            }
            Ok(()) if had_failed => eprintln!("asterport: {}: saved", store.path().display()),
            _ => {}
        }
    }

    /// Writes overrides again that could not be written, until they are, and syncs them to the disk on a thread of its
    /// own. Runs until the process ends.
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
            // The task does not panic; it is not aborted.
            if let Ok(synced) = spawn_blocking(move || store_to_sync.sync()).await
                && synced.is_err()
            {
                self.log_save_result(&store, synced);
                self.save_attempted.notify_one();
            }
        }
    }

    /// Saves the override of a server that has just changed, and sends it to the other processes.
    fn publish_override(&self, server: &str) {
        self.save();
        let changed = self
            .stored_overrides()
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

fn to_stored(admin_override: AdminOverride) -> StoredOverride {
    match admin_override {
        AdminOverride::Disabled => StoredOverride::Disabled,
        AdminOverride::EnabledAt(at) => StoredOverride::EnabledAt(at.0),
    }
}

/// An override as the runtime takes it.
pub fn from_stored(stored: StoredOverride) -> AdminOverride {
    match stored {
        StoredOverride::Disabled => AdminOverride::Disabled,
        StoredOverride::EnabledAt(at) => AdminOverride::EnabledAt(Micros(at)),
    }
}
