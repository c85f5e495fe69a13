//! Stand-ins for clients: they keep connections, wait as long as they said, and try again as the protocol lets them.

use crate::executor::{Exec, Node, Time};
use crate::fault_plan::{Ask, CLASSES, MILLI, Plan};
use crate::net::{Net, SimStream};
use crate::wire::{Answer, Frames, command};
use router_runtime::environment::Environment;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Tries of one ask.
const TRIES: u64 = 3;
/// A client that was told nothing on when to come back waits so long.
const BACK_OFF: Time = 30 * MILLI;
/// A client gives a connection up so long after its time was up: late enough to see a late answer.
const PATIENCE: Time = 120 * MILLI;

/// What became of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Came {
    Served,
    Refused(Option<u64>),
    Failed,
    /// Nothing was sent: no connection came up.
    Unreachable,
    /// The client left by itself.
    Left,
}

/// How a client behaves with one ask.
#[derive(Clone, Copy, Debug, Default)]
pub struct Manner {
    /// It leaves so long after it has asked.
    pub leaves: Option<Time>,
    /// It reads its answer so much later.
    pub reads_late: Time,
}

/// The clients of one router.
pub struct Clients {
    exec: Exec,
    net: Net,
    node: Node,
    router: SocketAddr,
    plan: Rc<Plan>,
    idle: RefCell<Vec<SimStream>>,
}

impl Clients {
    /// On this machine, for the router at this address.
    pub fn new(
        exec: Exec,
        net: Net,
        node: Node,
        router: SocketAddr,
        plan: Rc<Plan>,
    ) -> Rc<Clients> {
        Rc::new(Clients {
            exec,
            net,
            node,
            router,
            plan,
            idle: RefCell::default(),
        })
    }

    /// Asks all of these at once, on one connection, and tries again what may be tried again.
    pub fn ask(self: &Rc<Self>, asks: Vec<Ask>, manner: Manner) {
        let clients = self.clone();
        self.exec.spawn(self.node, async move {
            let came = clients.try_all(&asks, 0, manner).await;
            for (ask, came) in asks.into_iter().zip(came) {
                let again = clients.clone();
                clients.exec.spawn(
                    clients.node,
                    async move { again.try_again(ask, came).await },
                );
            }
        });
    }

    /// Asks all of these at once, on one connection, and again what was declined, still on one: a crowd keeps the
    /// connections that it has.
    pub fn ask_as_crowd(self: &Rc<Self>, mut asks: Vec<Ask>, manner: Manner) {
        let clients = self.clone();
        self.exec.spawn(self.node, async move {
            for number in 0..TRIES {
                let came = clients.try_all(&asks, number, manner).await;
                let mut pause = 0;
                let declined = asks.into_iter().zip(came).filter_map(|(ask, came)| {
                    let after = match came {
                        Came::Refused(after) => after.map_or(BACK_OFF, |millis| millis * MILLI),
                        Came::Unreachable => BACK_OFF,
                        Came::Failed if ask.class == 0 => BACK_OFF,
                        Came::Failed | Came::Served | Came::Left => return None,
                    };
                    pause = pause.max(after);
                    Some(ask)
                });
                asks = declined.collect();
                clients.exec.sleep(pause).await;
                asks.retain_mut(|ask| {
                    let deadline = ask.at + clients.plan.longest_deadline();
                    ask.wait = ask.wait.min(deadline.saturating_sub(clients.exec.now()));
                    ask.wait >= 50 * MILLI
                });
                if asks.is_empty() {
                    return;
                }
            }
        });
    }

    async fn try_again(self: Rc<Self>, ask: Ask, mut came: Came) {
        let deadline = ask.at + self.plan.longest_deadline();
        for number in 1..TRIES {
            let pause = match came {
                Came::Served | Came::Left => return,
                Came::Refused(after) => after.map_or(BACK_OFF, |millis| millis * MILLI),
                Came::Unreachable => BACK_OFF,
                Came::Failed if ask.class == 0 => BACK_OFF,
                // Within the time for which its key is remembered, and a margin for the way.
                Came::Failed
                    if ask.class == 1 && self.exec.now() + ask.wait < ask.at + self.plan.memory =>
                {
                    BACK_OFF
                }
                Came::Failed => return,
            };
            self.exec.sleep(pause).await;
            let left = deadline.saturating_sub(self.exec.now());
            if left < 50 * MILLI {
                return;
            }
            let try_again = Ask {
                wait: ask.wait.min(left),
                ..ask.clone()
            };
            let tried = self.try_all(&[try_again], number, Manner::default()).await;
            came = tried.first().copied().unwrap_or(Came::Failed);
        }
    }

    /// One try of these, on one connection: what became of each.
    async fn try_all(&self, asks: &[Ask], number: u64, manner: Manner) -> Vec<Came> {
        let mut came = vec![Came::Unreachable; asks.len()];
        let kept = self.idle.borrow_mut().pop();
        let stream = match kept {
            Some(stream) => stream,
            None => {
                let world = self.net.world(self.node);
                let longest = asks.iter().map(|ask| ask.wait).max().unwrap_or_default();
                tokio::select! {
                    biased;
                    dialled = world.connect(self.router) => match dialled {
                        Ok(stream) => stream,
                        Err(_) => return came,
                    },
                    () = self.exec.sleep(longest) => return came,
                }
            }
        };
        came.fill(Came::Failed);
        self.exchange(stream, asks, number, manner, &mut came).await;
        came
    }

    async fn exchange(
        &self,
        mut stream: SimStream,
        asks: &[Ask],
        number: u64,
        manner: Manner,
        came: &mut [Came],
    ) {
        let now = self.exec.now();
        let bytes: Vec<u8> = asks.iter().flat_map(|ask| words(ask, number)).collect();
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        if let Some(time) = manner.leaves {
            self.exec.sleep(time).await;
            came.fill(Came::Left);
            return;
        }
        self.exec.sleep(manner.reads_late).await;
        let longest = asks.iter().map(|ask| ask.wait).max().unwrap_or_default();
        let until = now + longest + manner.reads_late + PATIENCE;
        let (mut frames, mut buffer) = (Frames::default(), vec![0; 8_192]);
        for came in came.iter_mut() {
            *came = loop {
                match frames.next(self.exec.now()) {
                    Ok(Some((frame, _))) => match Answer::of(&frame) {
                        Answer::Served(_) => break Came::Served,
                        Answer::Refused(after) => break Came::Refused(after),
                        Answer::Failed => break Came::Failed,
                    },
                    Ok(None) => {}
                    Err(_) => return,
                }
                let read = tokio::select! {
                    biased;
                    read = stream.read(&mut buffer) => read.unwrap_or(0),
                    () = self.exec.sleep_until(until) => 0,
                };
                if read == 0 {
                    return;
                }
                frames.feed(self.exec.now(), &buffer[..read]);
            };
        }
        if frames.rest() == 0 {
            self.idle.borrow_mut().push(stream);
        }
    }
}

fn words(ask: &Ask, number: u64) -> Vec<u8> {
    let id = format!("{:016x}", u64::from(ask.number) << 8 | number);
    let key = format!("{:016x}", ask.key);
    let hint = ask.work as u64;
    let again = if number > 0 { ",r=1" } else { "" };
    let fields = format!(
        "c={},t=t{},d={},h={hint}{again}",
        CLASSES[ask.class],
        ask.number % 2,
        ask.wait / MILLI
    );
    let keyed = format!("{fields},k={:016x}", ask.number);
    match ask.class {
        0 => command(&[b"C.GET", key.as_bytes(), id.as_bytes(), fields.as_bytes()]),
        3 => command(&[
            b"C.SET",
            key.as_bytes(),
            id.as_bytes(),
            fields.as_bytes(),
            b"sheet",
        ]),
        _ => command(&[
            b"C.SET",
            key.as_bytes(),
            id.as_bytes(),
            keyed.as_bytes(),
            b"sheet",
        ]),
    }
}
