//! The operators' desk: calls become words to the engine, are kept on disk, and are told to another process of this
//! router while there is one.

use admin_api::Operated;
use hot_restart::form::{Message, Said, State};
use hot_restart::store::Store;
use load_balancer::{Micros, ServerId, Word};
use router_runtime::service::Service;
use router_runtime::{Engine, Figures};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::mpsc;

/// See the module.
pub struct Desk {
    engine: Rc<Engine<Service>>,
    /// Where words are kept; `None`: nowhere.
    store: Option<Store>,
    /// Other processes of this router that are to hear of them.
    others: RefCell<Vec<mpsc::UnboundedSender<Message>>>,
    /// The process before this one, if there is one, knows that this one serves.
    relieves: Cell<bool>,
}

impl Desk {
    /// A desk in front of this engine. `relieves`: no other process serves.
    pub fn new(engine: Rc<Engine<Service>>, store: Option<Store>, relieves: bool) -> Rc<Desk> {
        Rc::new(Desk {
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
            Message::Word(server, said) => {
                self.engine
                    .told([(ServerId::from(server.as_str()), word(said))]);
                self.keep();
            }
            Message::Drained(true) => self.engine.evacuate(),
            Message::Drained(false) => self.engine.rejoin(),
            _ => {}
        }
    }

    /// The operators' words, as they are handed over.
    pub fn words(&self) -> Vec<(String, Said)> {
        let words = self.engine.words().into_iter();
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
        if let Err(problem) = store.save(State {
            words: self.words(),
            ..State::default()
        }) {
            eprintln!("asterport: {}: {problem}", store.path().display());
        }
    }

    /// What was said last of this server goes to disk and to the other processes, if the server is known.
    fn spread(&self, server: &str, is_known: bool) -> bool {
        if is_known {
            self.keep();
            if let Some((server, said)) =
                self.words().into_iter().find(|(named, _)| named == server)
            {
                self.say(&Message::Word(server, said));
            }
        }
        is_known
    }
}

impl Operated for Desk {
    fn is_ready(&self) -> bool {
        self.has_relieved() && self.engine.life().is_ready()
    }

    fn figures(&self) -> Figures {
        self.engine.figures()
    }

    fn exclude(&self, server: &str) -> bool {
        self.spread(server, self.engine.exclude(server))
    }

    fn include(&self, server: &str) -> bool {
        self.spread(server, self.engine.include(server))
    }

    fn evacuate(&self) {
        self.engine.evacuate();
        self.say(&Message::Drained(true));
    }

    fn rejoin(&self) {
        self.engine.rejoin();
        self.say(&Message::Drained(false));
    }
}

/// A word as it is handed over.
fn said(word: Word) -> Said {
    match word {
        Word::Out => Said::Out,
        Word::Back(at) => Said::Back(at.0),
    }
}

/// A word as the engine takes it.
pub fn word(said: Said) -> Word {
    match said {
        Said::Out => Word::Out,
        Said::Back(at) => Word::Back(Micros(at)),
    }
}
