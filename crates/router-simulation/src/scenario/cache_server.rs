//! The scripted cache servers of a scenario.

use crate::executor::{Executor, Node, Time};
use crate::network::{Network, SimulatedStream};
use crate::wire::{
    CacheRequest, Command, DecodedFrame, FrameDecoder, SELECTED, served_reply, value_for,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The default size of a value, in bytes.
const VALUE_SIZE: usize = 20;

/// How a scripted cache server handles requests. Times are in microseconds.
#[derive(Clone, Debug)]
pub enum ServerBehavior {
    /// Serves a request after this time.
    Serve(Time),
    /// Serves a request after this time with a value of this many bytes.
    ServeLarge(Time, usize),
    /// Replies with these bytes after this time.
    Reply(Time, &'static [u8]),
    /// Serves a request after the first time, and sends the same reply again after the second.
    ServeTwice(Time, Time),
    /// Never replies.
    NeverReply,
    /// Resets the connection this long after a request.
    Reset(Time),
    /// Reads nothing, and resets the connection this long after it was accepted.
    NeverRead(Time),
}

/// A request that a scripted server has received completely.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// When it was received, in microseconds of virtual time.
    pub at: Time,
    /// The request.
    pub request: CacheRequest,
}

/// A scripted cache server. Its tasks run until the end of the scenario.
pub(super) struct ScriptedServer {
    pub(super) node: Node,
    pub(super) address: SocketAddr,
    pub(super) behavior: RefCell<ServerBehavior>,
    pub(super) received_requests: RefCell<Vec<ReceivedRequest>>,
    pub(super) accepted_connections: Cell<usize>,
}

impl ScriptedServer {
    pub(super) fn new(node: Node, address: SocketAddr, behavior: ServerBehavior) -> ScriptedServer {
        ScriptedServer {
            node,
            address,
            behavior: RefCell::new(behavior),
            received_requests: RefCell::default(),
            accepted_connections: Cell::new(0),
        }
    }

    pub(super) fn start(self: &Rc<Self>, executor: &Executor, network: &Network) {
        let listener = network.listen(self.node, self.address);
        let server = self.clone();
        let spawner = executor.clone();
        executor.spawn(self.node, async move {
            while let Ok(stream) = listener.accept().await {
                let accepted = server.accepted_connections.get() + 1;
                server.accepted_connections.set(accepted);
                let connection = server.clone().serve(spawner.clone(), stream);
                spawner.spawn(server.node, connection);
            }
        });
    }

    async fn serve(self: Rc<Self>, executor: Executor, mut stream: SimulatedStream) {
        let unread_for = match *self.behavior.borrow() {
            ServerBehavior::NeverRead(time) => Some(time),
            _ => None,
        };
        if let Some(time) = unread_for {
            executor.sleep(time).await;
            return stream.reset();
        }
        let mut frames = FrameDecoder::default();
        while let Some(request) = read_request(&executor, &mut stream, &mut frames).await {
            let received = ReceivedRequest {
                at: executor.now(),
                request: request.clone(),
            };
            self.received_requests.borrow_mut().push(received);
            let behavior = self.behavior.borrow().clone();
            if !respond(&executor, &mut stream, &request, &behavior).await {
                return;
            }
        }
    }
}

/// Reads the next request; `None` if the connection ends or anything else arrives.
async fn read_request(
    executor: &Executor,
    stream: &mut SimulatedStream,
    frames: &mut FrameDecoder,
) -> Option<CacheRequest> {
    let mut buffer = vec![0; 8_192];
    loop {
        match frames.next(executor.now()) {
            Ok(Some(DecodedFrame { frame, .. })) => match Command::parse(&frame) {
                Command::CacheRequest(request) => return Some(request),
                Command::Select => {
                    if stream.write_all(SELECTED).await.is_err() {
                        return None;
                    }
                    continue;
                }
                Command::Ping | Command::Other => return None,
            },
            Ok(None) => {}
            Err(_) => return None,
        }
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => frames.feed(executor.now(), &buffer[..count]),
            _ => return None,
        }
    }
}

/// Handles a request according to the behavior. Returns false if the connection has ended.
async fn respond(
    executor: &Executor,
    stream: &mut SimulatedStream,
    request: &CacheRequest,
    behavior: &ServerBehavior,
) -> bool {
    let served = |size| served_reply(&value_for(request.id, "scene", size), "hit");
    match *behavior {
        ServerBehavior::Serve(time) => {
            executor.sleep(time).await;
            stream.write_all(&served(VALUE_SIZE)).await.is_ok()
        }
        ServerBehavior::ServeLarge(time, size) => {
            executor.sleep(time).await;
            stream.write_all(&served(size)).await.is_ok()
        }
        ServerBehavior::Reply(time, bytes) => {
            executor.sleep(time).await;
            stream.write_all(bytes).await.is_ok()
        }
        ServerBehavior::ServeTwice(time, later) => {
            executor.sleep(time).await;
            if stream.write_all(&served(VALUE_SIZE)).await.is_err() {
                return false;
            }
            executor.sleep(later).await;
            stream.write_all(&served(VALUE_SIZE)).await.is_ok()
        }
        ServerBehavior::NeverReply => true,
        ServerBehavior::Reset(time) | ServerBehavior::NeverRead(time) => {
            executor.sleep(time).await;
            stream.reset();
            false
        }
    }
}
