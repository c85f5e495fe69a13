//! The operators' desk: calls become words to the engine, are kept on disk, and are told to another process of this
//! router while there is one.

use admin_api::Operated;
use hot_restart::message::{HandoverState, Message, StoredOverride};
use hot_restart::store::StateStore;
use load_balancer::{AdminOverride, Micros, ServerId};
use router_runtime::tokio_environment::TokioEnvironment;
use router_runtime::{Metrics, RouterRuntime};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::mpsc;

/// See the module.
pub struct AdminState {
    engine: Rc<RouterRuntime<TokioEnvironment>>,
    /// Where words are kept; `None`: nowhere.
    store: Option<StateStore>,
    /// Other processes of this router that are to hear of them.
    others: RefCell<Vec<mpsc::UnboundedSender<Message>>>,
    /// The process before this one, if there is one, knows that this one serves.
    relieves: Cell<bool>,
}

impl AdminState {
    /// A desk in front of this engine. `relieves`: no other process serves.
    pub fn new(
        engine: Rc<RouterRuntime<TokioEnvironment>>,
        store: Option<StateStore>,
        relieves: bool,
    ) -> Rc<AdminState> {
        Rc::new(AdminState {
            engine,
            store,
            others: RefCell::default(),
            relieves: Cell::new(relieves),
        })
    }

    /// The other process has been told that this one serves, or is gone.
    pub fn relieve(&self) {
        self.relieves.set(true);
    }

    /// Whether that is so.
    pub fn has_relieved(&self) -> bool {
        self.relieves.get()
    }

    /// Whom to tell what operators say, until it is gone.
    pub fn tell(&self, other: mpsc::UnboundedSender<Message>) {
        self.others.borrow_mut().push(other);
    }

    /// Takes what operators told another process.
    pub fn heard(&self, message: Message) {
        match message {
            Message::Override(server, said) => {
                self.engine
                    .apply_admin_overrides([(ServerId::from(server.as_str()), word(said))]);
                self.keep();
            }
            Message::Drained(true) => self.engine.drain_router(),
            Message::Drained(false) => self.engine.resume_router(),
            _ => {}
        }
    }

    /// The operators' words, as they are handed over.
    pub fn admin_overrides(&self) -> Vec<(String, StoredOverride)> {
        let words = self.engine.admin_overrides().into_iter();
        words
            .map(|(server, word)| (server.to_string(), said(word)))
            .collect()
    }

    fn say(&self, message: &Message) {
        self.others
            .borrow_mut()
            .retain(|other| other.send(message.clone()).is_ok());
    }

    /// A drain is not kept: a process that was killed starts in service, as its front expects.
    fn keep(&self) {
        let Some(store) = &self.store else { return };
        if let Err(problem) = store.save(HandoverState {
            words: self.admin_overrides(),
            ..HandoverState::default()
        }) {
            eprintln!("asterport: {}: {problem}", store.path().display());
        }
    }

    /// What was said last of this server goes to disk and to the other processes, if the server is known.
    fn spread(&self, server: &str, is_known: bool) -> bool {
        if is_known {
            self.keep();
            if let Some((server, said)) = self
                .admin_overrides()
                .into_iter()
                .find(|(named, _)| named == server)
            {
                self.say(&Message::Override(server, said));
            }
        }
        is_known
    }
}

impl Operated for AdminState {
    fn is_ready(&self) -> bool {
        self.has_relieved() && self.engine.lifecycle().is_ready()
    }

    fn metrics(&self) -> Metrics {
        self.engine.metrics()
    }

    fn disable_server(&self, server: &str) -> bool {
        self.spread(server, self.engine.disable_server(server))
    }

    fn enable_server(&self, server: &str) -> bool {
        self.spread(server, self.engine.enable_server(server))
    }

    fn drain_router(&self) {
        self.engine.drain_router();
        self.say(&Message::Drained(true));
    }

    fn resume_router(&self) {
        self.engine.resume_router();
        self.say(&Message::Drained(false));
    }
}

/// A word as it is handed over.
fn said(word: AdminOverride) -> StoredOverride {
    match word {
        AdminOverride::Disabled => StoredOverride::Disabled,
        AdminOverride::EnabledAt(at) => StoredOverride::EnabledAt(at.0),
    }
}

/// A word as the engine takes it.
pub fn word(said: StoredOverride) -> AdminOverride {
    match said {
        StoredOverride::Disabled => AdminOverride::Disabled,
        StoredOverride::EnabledAt(at) => AdminOverride::EnabledAt(Micros(at)),
    }
}
