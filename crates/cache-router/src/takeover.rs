//! The new process's side of a hot restart: it requests the state of the process that serves,
//! starts, and adopts the connections that the other process hands over.

use crate::Runtime;
use crate::admin_state::AdminState;
use crate::shared_memory::SharedMemory;
use hot_restart::channel::{ChannelError, HandoverChannel, MessageReceiver, Received};
use hot_restart::message::{HandoverState, Message, MessageError, VERSION};
use hot_restart::rendezvous::RendezvousSocket;
use router_runtime::IdleConnection;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Timeout for the predecessor's state; after it this process starts from its own files.
const STATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which a process checks whether it is ready to take over.
pub const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The process that serves until this process takes over.
pub struct Predecessor {
    /// The channel to it.
    pub channel: HandoverChannel,
    /// Its state.
    pub state: HandoverState,
}

/// Requests the state of the process that serves. Returns `None` if there is no such process, or if
/// it does not answer with a usable state.
pub async fn request_takeover(socket: &RendezvousSocket, router: &str) -> Option<Predecessor> {
    let channel = socket.connect().await?;
    match timeout(STATE_TIMEOUT, request_state(&channel, router)).await {
        Ok(Ok(state)) => Some(Predecessor { channel, state }),
        Ok(Err(error)) => {
            eprintln!("asterport: state of the previous process not taken over: {error}");
            None
        }
        Err(_) => {
            eprintln!(
                "asterport: state of the previous process not taken over: \
                 no answer within {STATE_TIMEOUT:?}"
            );
            None
        }
    }
}

async fn request_state(
    channel: &HandoverChannel,
    router: &str,
) -> Result<HandoverState, ChannelError> {
    let hello = Message::Hello {
        version: VERSION,
        name: router.into(),
    };
    channel.send(&hello, None).await?;
    let (message, _) = channel.receive().await?;
    Ok(message.into_state(router)?)
}

/// Takes over from the predecessor once this process is ready, and adopts the connections that the
/// predecessor hands over. Returns when the predecessor has ended.
pub async fn complete_takeover(
    channel: HandoverChannel,
    runtime: Rc<Runtime>,
    admin_state: Rc<AdminState>,
    shared_memory: Rc<SharedMemory>,
) {
    runtime.share_connection_slots(true);
    let _peer = shared_memory.add_peer();
    let mut changes = admin_state.subscribe();
    while !runtime.lifecycle().is_ready() {
        sleep(READINESS_POLL_INTERVAL).await;
    }
    let mut result = channel.send(&Message::SuccessorServes, None).await;
    admin_state.set_taken_over();
    let mut adopted_count = 0;
    let mut receiver = MessageReceiver::new(&channel);
    while result.is_ok() {
        result = tokio::select! {
            received = receiver.receive() => match received.and_then(interpret) {
                Ok(Some(PredecessorMessage::Connection(connection))) => {
                    adopted_count += 1;
                    runtime.adopt_connection(connection);
                    Ok(())
                }
                Ok(Some(PredecessorMessage::AdminChange(message))) => {
                    admin_state.apply_from_peer(message);
                    Ok(())
                }
                Ok(None) => Ok(()),
                Err(error) => Err(error),
            },
            Some(message) = changes.recv() => channel.send(&message, None).await,
        };
    }
    runtime.share_connection_slots(false);
    eprintln!("asterport: previous process ended; {adopted_count} connections taken over");
}

/// A message from the predecessor.
enum PredecessorMessage {
    /// A client connection.
    Connection(IdleConnection<TcpStream>),
    /// A change that operators made in the predecessor.
    AdminChange(Message),
}

/// Interprets a received message. Returns `None` for a connection whose socket cannot be used.
fn interpret(received: Received) -> Result<Option<PredecessorMessage>, ChannelError> {
    match received {
        (
            Message::Connection {
                unread,
                has_sent_command,
            },
            Some(descriptor),
        ) => {
            let stream = client_stream(descriptor).ok();
            Ok(stream.map(|stream| {
                PredecessorMessage::Connection(IdleConnection {
                    stream,
                    unread: unread.0,
                    has_sent_command,
                })
            }))
        }
        (message @ (Message::Override(..) | Message::Drained(_)), _) => {
            Ok(Some(PredecessorMessage::AdminChange(message)))
        }
        _ => Err(MessageError::Unexpected.into()),
    }
}

fn client_stream(descriptor: OwnedFd) -> std::io::Result<TcpStream> {
    let stream = std::net::TcpStream::from(descriptor);
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
