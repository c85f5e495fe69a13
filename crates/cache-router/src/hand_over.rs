//! The old process's side of a hot restart: it sends its state to a new process, and, once that
//! process serves, the client connections that become idle.

use crate::Runtime;
use crate::admin_state::AdminState;
use crate::shared_memory::SharedMemory;
use crate::stored_state;
use crate::takeover::READINESS_POLL_INTERVAL;
use hot_restart::Unread;
use hot_restart::channel::{ChannelError, HandoverChannel, MessageReceiver, Received};
use hot_restart::message::{HandoverState, Message, MessageError, VERSION};
use hot_restart::rendezvous::RendezvousSocket;
use router_runtime::IdleConnection;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpStream, UnixListener};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Timeout for the first message of a new process. A platform waits 6 s for a new process to become
/// ready, of which this may take only a part.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An idle client connection that is handed over to the successor process.
type ClientConnection = IdleConnection<TcpStream>;

/// Hands this process's state and connections over to a new process.
pub struct HandOver {
    /// The socket at which new processes connect.
    pub socket: RendezvousSocket,
    /// Name of the router, which a new process has to give.
    pub router: String,
    /// The runtime of this process.
    pub runtime: Rc<Runtime>,
    /// Operators' overrides and drains.
    pub admin_state: Rc<AdminState>,
    /// The memory that this process shares with the new one.
    pub shared_memory: Rc<SharedMemory>,
}

/// A new process that has been sent the state.
struct Successor {
    channel: HandoverChannel,
    /// The changes that operators have made since the state was taken.
    changes: mpsc::UnboundedReceiver<Message>,
}

/// How a hand-over to a successor process ended.
enum SuccessorOutcome {
    /// The runtime of this process has ended, and all connections have been handed over.
    HandedOver,
    /// The connection to the successor was lost, and this process serves again.
    Lost,
}

impl HandOver {
    /// Accepts new processes while this one runs. Returns once one of them has all connections and
    /// the runtime of this process has ended.
    pub async fn run(self) {
        // Until this process has taken over, new processes have to reach its predecessor, because
        // this process may die before it serves.
        while !self.admin_state.has_taken_over() {
            sleep(READINESS_POLL_INTERVAL).await;
        }
        let mut listener = self.socket.bind();
        loop {
            let bound = match &listener {
                Ok(bound) => bound,
                Err(error) => {
                    return eprintln!(
                        "asterport: hot restart is off: cannot bind the rendezvous socket: {error}"
                    );
                }
            };
            let successor = self.accept(bound).await;
            match self.serve_successor(successor).await {
                SuccessorOutcome::HandedOver => return,
                // The lost process may have been replaced itself before it ended. New processes have
                // to reach the one that serves.
                SuccessorOutcome::Lost if self.socket.is_bound_by_other_process().await => return,
                // The lost process may have bound the socket itself.
                SuccessorOutcome::Lost => listener = self.socket.bind(),
            }
        }
    }

    /// Accepts the next new process of this router and sends it the state.
    async fn accept(&self, listener: &UnixListener) -> Successor {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let channel = HandoverChannel::new(stream);
            match timeout(HELLO_TIMEOUT, self.send_state(&channel)).await {
                Ok(Ok(changes)) => return Successor { channel, changes },
                Ok(Err(error)) => {
                    eprintln!("asterport: state not sent to a new process: {error}");
                }
                Err(_) => eprintln!(
                    "asterport: state not sent to a new process: timed out after {HELLO_TIMEOUT:?}"
                ),
            }
        }
    }

    /// Sends the state. Returns the changes that operators make from then on, those made while it is on its
    /// way included.
    async fn send_state(
        &self,
        channel: &HandoverChannel,
    ) -> Result<mpsc::UnboundedReceiver<Message>, ChannelError> {
        let (hello, _) = channel.receive().await?;
        hello.check_hello(&self.router)?;
        let message = Message::State {
            version: VERSION,
            name: self.router.clone(),
            state: self.state(),
        };
        let changes = self.admin_state.subscribe();
        channel.send(&message, None).await?;
        Ok(changes)
    }

    fn state(&self) -> HandoverState {
        let watched = self.runtime.endpoint_list();
        let endpoints = serde_json::to_vec(&watched.endpoints).ok();
        HandoverState {
            overrides: stored_state::stored_overrides(&self.runtime),
            drained: self.runtime.lifecycle().is_drained(),
            endpoint_list: endpoints.map(|endpoints| (watched.discovery, endpoints)),
            warm_state: stored_state::stored_warm_state(&self.runtime),
        }
    }

    /// Sends operators' changes to a new process and, once it serves, the connections that become
    /// idle, until either that process or the runtime of this one ends.
    async fn serve_successor(&self, successor: Successor) -> SuccessorOutcome {
        let Successor {
            channel,
            mut changes,
        } = successor;
        self.runtime.share_connection_slots(true);
        let _peer = self.shared_memory.add_peer();
        let (sender, mut idle_connections) = mpsc::unbounded_channel::<ClientConnection>();
        let mut sender = Some(sender);
        // A connection whose hand-over failed, which this process continues to serve.
        let mut returned = None;
        let mut receiver = MessageReceiver::new(&channel);
        let error = loop {
            let result = tokio::select! {
                biased;
                connection = idle_connections.recv() => {
                    // The runtime holds the sender, so a closed channel means that it has ended.
                    let Some(connection) = connection else {
                        return SuccessorOutcome::HandedOver;
                    };
                    let result = send_connection(&channel, &connection).await;
                    returned = result.is_err().then_some(connection);
                    result
                }
                Some(message) = changes.recv() => channel.send(&message, None).await,
                received = receiver.receive() => {
                    received.and_then(|received| self.handle(received, &mut sender))
                }
            };
            if let Err(error) = result {
                break error;
            }
        };
        self.runtime.successor_lost();
        self.runtime.share_connection_slots(false);
        eprintln!("asterport: connection to the successor process lost: {error}");
        idle_connections.close();
        if let Some(connection) = returned {
            self.runtime.adopt_connection(connection);
        }
        while let Ok(connection) = idle_connections.try_recv() {
            self.runtime.adopt_connection(connection);
        }
        SuccessorOutcome::Lost
    }

    /// Handles a message from the new process. `sender` is given to the runtime once that process
    /// serves.
    fn handle(
        &self,
        (message, _): Received,
        sender: &mut Option<mpsc::UnboundedSender<ClientConnection>>,
    ) -> Result<(), ChannelError> {
        match message {
            Message::SuccessorServes => {
                if let Some(sender) = sender.take() {
                    self.runtime.hand_over_to(sender);
                }
                Ok(())
            }
            Message::Override(..) | Message::Drained(_) => {
                self.admin_state.apply_from_peer(message);
                Ok(())
            }
            _ => Err(MessageError::Unexpected.into()),
        }
    }
}

async fn send_connection(
    channel: &HandoverChannel,
    connection: &ClientConnection,
) -> Result<(), ChannelError> {
    let message = Message::Connection {
        unread: Unread(connection.unread.clone()),
        has_sent_command: connection.has_sent_command,
    };
    channel
        .send(&message, Some(connection.stream.as_fd()))
        .await
}
