//! A cache server on a loopback socket, with the faults of a plan. Its tasks end with its process, which a plan may kill
//! and start again at the same address.

use crate::recorder::{Recorder, server_name};
use router_simulation::network::{CloseKind, Side};
use router_simulation::rng::SeededRng;
use router_simulation::wire::{
    CacheRequest, Command, DecodedFrame, FrameDecoder, served_reply, value_for,
};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

/// The ratio of requests that a fault of a server concerns.
const FAULT_RATIO: f64 = 0.3;
/// The ratio of reads with a long value while values are long, and of those that are broken off.
const LONG_VALUE_RATIO: f64 = 0.3;
const BREAK_RATIO: f64 = 0.3;
/// Replies beyond this are long, in bytes.
const LONG_REPLY_BYTES: usize = 65_536;
/// The longest value, in bytes.
const MAX_VALUE_BYTES: u64 = 600_000;
/// How long a value pauses at most, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;
/// How late the first command of a late connection is answered at most, in milliseconds.
const MAX_LATENESS_MS: u64 = 900;

/// What is wrong with a server now.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerFaults {
    pub is_draining: bool,
    pub hangs: bool,
    pub is_malformed: bool,
    pub resets: bool,
    pub is_late: bool,
    pub has_long_values: bool,
    /// Long values pause half-way.
    pub has_pauses: bool,
    /// It neither reads nor answers nor closes.
    pub has_vanished: bool,
}

/// See the module.
pub(crate) struct Server {
    number: usize,
    pub address: SocketAddr,
    pub faults: Cell<ServerFaults>,
    service_ms: u64,
    recorder: Rc<Recorder>,
    rng: RefCell<SeededRng>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Server {
    /// Starts a server on a free port.
    pub async fn start(
        number: usize,
        seed: u64,
        service_ms: u64,
        recorder: Rc<Recorder>,
    ) -> Rc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Rc::new(Server {
            number,
            address: listener.local_addr().expect("an address"),
            faults: Cell::default(),
            service_ms,
            recorder,
            rng: RefCell::new(SeededRng::new(seed, 100 + number as u64)),
            tasks: RefCell::default(),
        });
        server.clone().accept_on(listener);
        server
    }

    /// Changes what is wrong with it.
    pub fn change(&self, change: impl FnOnce(&mut ServerFaults)) {
        let mut faults = self.faults.get();
        change(&mut faults);
        self.faults.set(faults);
    }

    /// Kills its process: its connections end, and new ones are refused.
    pub fn kill(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    /// Starts its process again.
    pub async fn restart(self: &Rc<Self>) {
        self.change(|faults| *faults = ServerFaults::default());
        // The old listener is dropped once its task has been polled.
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address).await {
                return self.clone().accept_on(listener);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the port of server {} is taken", self.number);
    }

    fn accept_on(self: Rc<Self>, listener: TcpListener) {
        let server = self.clone();
        let task = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = server.recorder.server_accepted(server.number);
                let guard = ConnectionGuard {
                    recorder: server.recorder.clone(),
                    connection,
                };
                let serving = server.clone();
                let task = spawn_local(async move { serving.serve(stream, guard).await });
                server.tasks.borrow_mut().push(task);
            }
        });
        self.tasks.borrow_mut().push(task);
    }

    async fn serve(&self, mut stream: TcpStream, guard: ConnectionGuard) {
        let _ = stream.set_nodelay(true);
        let mut frames = FrameDecoder::default();
        let mut buffer = vec![0; 64 * 1024];
        let mut is_new = true;
        loop {
            while let Ok(Some(DecodedFrame { frame, .. })) = frames.next(0) {
                let Command::CacheRequest(request) = Command::parse(&frame) else {
                    return;
                };
                self.recorder.attempted(request.id);
                let is_first = std::mem::take(&mut is_new);
                if !self.execute(&mut stream, &guard, &request, is_first).await {
                    return;
                }
            }
            let read = stream.read(&mut buffer).await;
            if self.faults.get().has_vanished {
                std::future::pending::<()>().await;
            }
            match read {
                Ok(count @ 1..) => {
                    let bytes = &buffer[..count];
                    self.recorder
                        .passed(guard.connection, Side::Initiator, bytes);
                    frames.feed(0, bytes);
                }
                _ => return,
            }
        }
    }

    /// Executes a request; false if the connection is over.
    async fn execute(
        &self,
        stream: &mut TcpStream,
        guard: &ConnectionGuard,
        request: &CacheRequest,
        is_first: bool,
    ) -> bool {
        let faults = self.faults.get();
        if faults.hangs || faults.has_vanished {
            std::future::pending::<()>().await;
        }
        if is_first && faults.is_late {
            self.sleep_up_to(MAX_LATENESS_MS).await;
        }
        self.sleep_up_to(self.service_ms).await;
        if faults.resets && self.chance(FAULT_RATIO) {
            // A close without waiting for unsent bytes is a reset.
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            return false;
        }
        let reply = self.reply(request, faults);
        let is_whole = reply.is_whole;
        self.recorder
            .passed(guard.connection, Side::Acceptor, &reply.bytes);
        let is_long = reply.bytes.len() > LONG_REPLY_BYTES;
        let written = if faults.has_pauses && is_long {
            self.write_with_pause(stream, &reply.bytes).await
        } else {
            stream.write_all(&reply.bytes).await
        };
        written.is_ok() && is_whole
    }

    /// Writes a reply in two parts, with a pause in between.
    async fn write_with_pause(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        let (first, second) = bytes.split_at(bytes.len() / 2);
        stream.write_all(first).await?;
        self.sleep_up_to(MAX_PAUSE_MS).await;
        stream.write_all(second).await
    }

    fn reply(&self, request: &CacheRequest, faults: ServerFaults) -> Reply {
        if faults.is_draining {
            return Reply::whole(b"-BUSY\r\n".to_vec());
        }
        if faults.is_malformed && self.chance(FAULT_RATIO) {
            return Reply::broken(b"%what\r\n".to_vec());
        }
        let is_long = faults.has_long_values && !request.is_write && self.chance(LONG_VALUE_RATIO);
        let size = if is_long {
            self.rng.borrow_mut().range(70_000, MAX_VALUE_BYTES) as usize
        } else {
            self.rng.borrow_mut().range(40, 900) as usize
        };
        let value = value_for(request.id, &server_name(self.number), size);
        let reply = served_reply(&value, "hit");
        if is_long && self.chance(BREAK_RATIO) {
            let length = self.rng.borrow_mut().index(reply.len() - 30);
            return Reply::broken(reply[..length].to_vec());
        }
        Reply::whole(reply)
    }

    fn chance(&self, ratio: f64) -> bool {
        self.rng.borrow_mut().chance(ratio)
    }

    async fn sleep_up_to(&self, millis: u64) {
        let drawn = self.rng.borrow_mut().range(0, millis * 1_000);
        tokio::time::sleep(Duration::from_micros(drawn)).await;
    }
}

struct Reply {
    bytes: Vec<u8>,
    /// Else the connection ends behind it.
    is_whole: bool,
}

impl Reply {
    fn whole(bytes: Vec<u8>) -> Reply {
        Reply {
            bytes,
            is_whole: true,
        }
    }

    fn broken(bytes: Vec<u8>) -> Reply {
        Reply {
            bytes,
            is_whole: false,
        }
    }
}

/// Records the end of a connection, also where its task is aborted.
struct ConnectionGuard {
    recorder: Rc<Recorder>,
    connection: u32,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.recorder
            .ended(self.connection, Side::Acceptor, CloseKind::Fin);
    }
}
