//! Clients: the listener, commands in, and answers out in the order of the commands.

use crate::driver::{Answer, Ask, Driver};
use crate::resp::{BytesFrame, Command, READ_SIZE, RespError, next_frame};
use bytes::{Bytes, BytesMut};
use md5::{Digest, Md5};
use onyxpick::params::Names;
use onyxpick::*;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Duration, Instant, timeout};

/// Commands on one connection that wait for their answers; past this its next ones stay unread.
const PIPELINE: usize = 64;
/// A client that takes none of its answer for this long is given up.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// How long to leave the listener alone after it failed, out of descriptors for instance.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

pub struct Clients {
    driver: Rc<Driver>,
    names: Rc<Names>,
    /// By class: how long a client waits that does not say.
    deadlines: Vec<Micros>,
    most: usize,
    open: RefCell<HashMap<u64, Rc<Client>>>,
    last: Cell<u64>,
    closing: Cell<bool>,
    ended: Notify,
}

/// What a connection's two halves and the listener share.
struct Client {
    /// Asked to close as soon as nothing is owed on it.
    closing: Cell<bool>,
    changed: Notify,
    /// Answers owed and not yet written.
    owed: Cell<usize>,
    /// A command has begun to arrive.
    partial: Cell<bool>,
    used: Cell<Instant>,
    waiting: RefCell<HashSet<RequestId>>,
}

enum Owed {
    Now(Bytes),
    Later(RequestId, oneshot::Receiver<Answer>),
}

/// Binds so that a restart at the same address succeeds at once.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(1024)
}

impl Clients {
    pub fn new(driver: Rc<Driver>, names: Rc<Names>, deadlines: Vec<Micros>, most: usize) -> Rc<Clients> {
        Rc::new(Clients {
            driver,
            names,
            deadlines,
            most,
            open: RefCell::default(),
            last: Cell::new(0),
            closing: Cell::new(false),
            ended: Notify::new(),
        })
    }

    /// Accepts clients, for as long as it is polled.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut failing = false;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    failing = false;
                    self.start(stream);
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        eprintln!("asterport: accepting a client: {error}");
                    }
                    self.close_longest_idle();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn start(self: &Rc<Self>, stream: TcpStream) {
        if self.open.borrow().len() >= self.most {
            self.close_longest_idle();
        }
        let id = self.last.get() + 1;
        self.last.set(id);
        let client = Rc::new(Client {
            closing: Cell::new(self.closing.get()),
            changed: Notify::new(),
            owed: Cell::new(0),
            partial: Cell::new(false),
            used: Cell::new(Instant::now()),
            waiting: RefCell::default(),
        });
        self.open.borrow_mut().insert(id, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            clients.serve(stream, &client).await;
            for id in client.waiting.take() {
                clients.driver.gone(id);
            }
            clients.open.borrow_mut().remove(&id);
            clients.ended.notify_one();
        });
    }

    /// Makes room for a client that waits by closing one that does not.
    fn close_longest_idle(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter(|c| c.owed.get() == 0 && !c.partial.get() && !c.closing.get());
        if let Some(client) = idle.min_by_key(|c| c.used.get()) {
            client.close();
        }
    }

    /// Closes every connection as soon as nothing is owed on it, and returns when all are closed.
    pub async fn close(&self) {
        self.closing.set(true);
        self.open.borrow().values().for_each(|client| client.close());
        while !self.open.borrow().is_empty() {
            self.ended.notified().await;
        }
    }

    async fn serve(&self, mut stream: TcpStream, client: &Client) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (reader, writer) = stream.split();
        let (owed, answers) = mpsc::channel(PIPELINE);
        let writing = write_answers(writer, answers, client);
        tokio::pin!(writing);
        tokio::select! {
            // The client has left, or its connection is of no more use: what it waited for is not owed.
            left = self.read_commands(reader, owed, client) => if left { return },
            // It takes no answers.
            () = &mut writing => return,
        }
        writing.await;
    }

    /// Reads commands until the client leaves (true) or until no more are to be read and the answers that are owed
    /// can go out (false).
    async fn read_commands(
        &self,
        mut reader: ReadHalf<'_>,
        owed: mpsc::Sender<Owed>,
        client: &Client,
    ) -> bool {
        let mut buffer = BytesMut::new();
        loop {
            loop {
                let next = match next_frame(&mut buffer) {
                    Ok(Some((frame, _))) => self.take(frame, client),
                    Ok(None) => break,
                    Err(error) => {
                        let text = match error {
                            RespError::TooLarge => "-ERR command too large\r\n",
                            RespError::Malformed => "-ERR protocol error\r\n",
                        };
                        // What follows cannot be told apart: the connection ends after this answer.
                        client.owed.set(client.owed.get() + 1);
                        return owed.send(Owed::Now(Bytes::from_static(text.as_bytes()))).await.is_err();
                    }
                };
                client.owed.set(client.owed.get() + 1);
                if owed.send(next).await.is_err() {
                    return true;
                }
            }
            client.partial.set(!buffer.is_empty());
            buffer.reserve(READ_SIZE);
            let may_close = client.closing.get() && client.owed.get() == 0 && buffer.is_empty();
            tokio::select! {
                biased;
                // Reads first: a command that has arrived is served, also when the connection is to close.
                read = reader.read_buf(&mut buffer) => match read {
                    Ok(count) if count > 0 => client.used.set(Instant::now()),
                    _ => return true,
                },
                () = std::future::ready(()), if may_close => return false,
                () = client.changed.notified() => {}
            }
        }
    }

    fn take(&self, frame: BytesFrame, client: &Client) -> Owed {
        let error = |text: &str| Owed::Now(Bytes::from(format!("-{text}\r\n")));
        let Some(words) = Command::words(frame) else { return error("ERR protocol error") };
        let name = words[0].to_ascii_uppercase();
        match &name[..] {
            b"C.GET" | b"C.SET" => match Command::new(words).and_then(|command| self.ask(command)) {
                Ok(ask) => {
                    let (id, answer) = self.driver.request(ask);
                    client.waiting.borrow_mut().insert(id);
                    Owed::Later(id, answer)
                }
                Err(text) => error(text),
            },
            b"PING" => Owed::Now(Bytes::from_static(b"+PONG\r\n")),
            b"CLIENT" | b"SELECT" => Owed::Now(Bytes::from_static(b"+OK\r\n")),
            _ => error("ERR unknown command"),
        }
    }

    fn ask(&self, command: Command) -> Result<Ask, &'static str> {
        let among = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = command.field("c").and_then(|name| among(&self.names.classes, name));
        let class = class.ok_or("ERR unknown class")?;
        let wait = match command.field("d") {
            Some(text) => Micros::from_millis(text.parse().map_err(|_| "ERR malformed fields")?),
            None => self.deadlines[class],
        };
        Ok(Ask {
            class: ClassId(class),
            tenant: command.field("t").and_then(|name| among(&self.names.tenants, name)).map(TenantId),
            key: key_number(command.key()),
            wait,
            cost_hint: command.field("h").and_then(|text| text.parse().ok()).map(Micros),
            retry: command.field("r") == Some("1"),
            command,
        })
    }
}

impl Client {
    fn close(&self) {
        self.closing.set(true);
        self.changed.notify_one();
    }
}

/// A key as a number: its hex digits, or what its digest begins with; the same at every router.
fn key_number(key: &[u8]) -> u64 {
    let digits = std::str::from_utf8(key).ok().filter(|text| text.len() == 16);
    let number = digits.and_then(|text| u64::from_str_radix(text, 16).ok());
    number.unwrap_or_else(|| u128::from_be_bytes(Md5::digest(key).into()) as u64)
}

/// Writes answers in the order of the commands, each in one go.
async fn write_answers(mut writer: WriteHalf<'_>, mut answers: mpsc::Receiver<Owed>, client: &Client) {
    while let Some(owed) = answers.recv().await {
        let bytes = match owed {
            Owed::Now(bytes) => bytes,
            Owed::Later(id, answer) => {
                // The sender is never dropped without an answer; should it be, the client must not wait.
                let answer = answer.await.unwrap_or(Answer::Failed);
                client.waiting.borrow_mut().remove(&id);
                match answer {
                    Answer::Served(bytes) => bytes,
                    Answer::Refused(Some(after)) => {
                        Bytes::from(format!("-BUSY {}\r\n", after.0.div_ceil(1_000)))
                    }
                    Answer::Refused(None) => Bytes::from_static(b"-BUSY\r\n"),
                    Answer::Failed => Bytes::from_static(b"-ERR failed\r\n"),
                }
            }
        };
        if !matches!(timeout(WRITE_LIMIT, writer.write_all(&bytes)).await, Ok(Ok(()))) {
            return;
        }
        client.owed.set(client.owed.get() - 1);
        client.used.set(Instant::now());
        client.changed.notify_one();
    }
}
