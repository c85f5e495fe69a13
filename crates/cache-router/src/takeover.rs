//! One process of this router after another: meets the one before, takes over from it, and gives way to the next.

use crate::admin_state::AdminState;
use bytes::BytesMut;
use hot_restart::channel::{ChannelError, HandoverChannel, RendezvousSocket};
use hot_restart::message::{HandoverState, Message, MessageError, VERSION};
use router_runtime::tokio_environment::TokioEnvironment;
use router_runtime::{IdleConnection, RouterRuntime};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// A process that serves answers within this time, or this one starts without what it knows.
const STATE_LIMIT: Duration = Duration::from_millis(1_000);
/// How often a process that takes over looks whether it can serve.
const LOOK: Duration = Duration::from_millis(2);
/// A successor that has said nothing of use by then is none: platforms give a new process 6 s.
const GREETING_LIMIT: Duration = Duration::from_secs(2);

/// The process that serves, if there is one, and what it knows.
pub async fn meet(
    meeting: &RendezvousSocket,
    router: &str,
) -> Option<(HandoverChannel, HandoverState)> {
    let link = meeting.join().await?;
    let asked = async {
        link.send(
            &Message::Hello {
                version: VERSION,
                name: router.into(),
            },
            None,
        )
        .await?;
        Ok(link.receive().await?.0.state(router)?)
    };
    match timeout(STATE_LIMIT, asked).await {
        Ok(Ok(state)) => Some((link, state)),
        Ok(Err(problem)) => say_met::<ChannelError>(problem),
        Err(_) => say_met("no answer"),
    }
}

fn say_met<P: std::fmt::Display>(problem: P) -> Option<(HandoverChannel, HandoverState)> {
    eprintln!("asterport: the process before this one: {problem}");
    None
}

/// Takes over from the process that serves, as soon as this one can serve, and serves the connections that it gives
/// up. Returns when that process has ended.
pub async fn take_over(
    link: HandoverChannel,
    engine: Rc<RouterRuntime<TokioEnvironment>>,
    desk: Rc<AdminState>,
) {
    engine.share_connection_slots(true);
    let (tell, mut words) = mpsc::unbounded_channel();
    desk.tell(tell);
    while !engine.lifecycle().is_ready() {
        sleep(LOOK).await;
    }
    let mut ended = link.send(&Message::SuccessorServes, None).await;
    desk.relieve();
    let mut taken = 0;
    let mut coming = Box::pin(next(&link));
    while ended.is_ok() {
        ended = tokio::select! {
            got = &mut coming => match again(&mut coming, next(&link), got) {
                Ok(Some(Taken::Connection(resting))) => {
                    taken += 1;
                    engine.adopt_connection(resting);
                    Ok(())
                }
                Ok(Some(Taken::StoredOverride(message))) => {
                    desk.heard(message);
                    Ok(())
                }
                Ok(None) => Ok(()),
                Err(error) => Err(error),
            },
            Some(message) = words.recv() => link.send(&message, None).await,
        };
    }
    engine.share_connection_slots(false);
    eprintln!("asterport: the process before this one has ended; {taken} connections taken over");
}

enum Taken {
    Connection(IdleConnection<TcpStream>),
    StoredOverride(Message),
}

/// What a future gave, with the next in its place: one that is left off halfway would lose a part of a message.
fn again<F: Future>(place: &mut std::pin::Pin<Box<F>>, next: F, gave: F::Output) -> F::Output {
    place.set(next);
    gave
}

/// The next message; none for a connection that is broken.
async fn next(link: &HandoverChannel) -> Result<Option<Taken>, ChannelError> {
    match link.receive().await? {
        (
            Message::Connection {
                unread,
                has_sent_command,
            },
            Some(descriptor),
        ) => {
            let stream = std::net::TcpStream::from(descriptor);
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            let unread = BytesMut::from(&unread[..]);
            Ok(stream.ok().map(|stream| {
                Taken::Connection(IdleConnection {
                    stream,
                    unread,
                    has_sent_command,
                })
            }))
        }
        (message @ (Message::Override(..) | Message::Drained(_)), _) => {
            Ok(Some(Taken::StoredOverride(message)))
        }
        _ => Err(MessageError::Unexpected.into()),
    }
}

/// Meets the processes that come after this one, for as long as the program runs; returns once one of them has all
/// connections and the engine has ended.
pub async fn give_way(
    meeting: RendezvousSocket,
    router: String,
    engine: Rc<RouterRuntime<TokioEnvironment>>,
    desk: Rc<AdminState>,
) {
    // Until then the one before this one is to be met: this one may die before it serves.
    while !desk.has_relieved() {
        sleep(LOOK).await;
    }
    let mut meets = meeting.take();
    loop {
        let listener = match &meets {
            Ok(listener) => listener,
            Err(problem) => return eprintln!("asterport: no process can take over: {problem}"),
        };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let link = HandoverChannel::new(stream);
        let greeted = async {
            link.receive().await?.0.greets(&router)?;
            let (name, state) = (router.clone(), state(&engine, &desk));
            link.send(
                &Message::State {
                    version: VERSION,
                    name,
                    state,
                },
                None,
            )
            .await
        };
        match timeout(GREETING_LIMIT, greeted).await {
            Ok(Ok(())) => {
                if accompany(&link, &engine, &desk).await {
                    return;
                }
                // That one may have had itself met.
                meets = meeting.take();
            }
            Ok(Err(problem)) => eprintln!("asterport: another process: {problem}"),
            Err(_) => eprintln!("asterport: another process: says nothing"),
        }
    }
}

fn state(engine: &RouterRuntime<TokioEnvironment>, desk: &AdminState) -> HandoverState {
    let (addr, list) = engine.list();
    let list = serde_json::to_vec(&list).ok().map(|list| (addr, list));
    let learnt = postcard::to_stdvec(&engine.warm_state()).unwrap_or_default();
    HandoverState {
        words: desk.admin_overrides(),
        drained: engine.lifecycle().is_drained(),
        list,
        learnt,
    }
}

/// Gives a successor what it needs until it has gone; from when it serves it gets the connections. True if this process
/// ends with all of them passed on.
async fn accompany(
    link: &HandoverChannel,
    engine: &Rc<RouterRuntime<TokioEnvironment>>,
    desk: &Rc<AdminState>,
) -> bool {
    engine.share_connection_slots(true);
    let (tell, mut words) = mpsc::unbounded_channel();
    desk.tell(tell);
    let (give, mut given) = mpsc::unbounded_channel::<IdleConnection<TcpStream>>();
    let mut give = Some(give);
    // One that could not be passed on is served here.
    let mut back = None;
    let mut coming = Box::pin(link.receive());
    let problem = loop {
        let sent = tokio::select! {
            biased;
            resting = given.recv() => {
                // The engine has ended, and gives none any more.
                let Some(resting) = resting else { return true };
                let message =
                    Message::Connection { unread: resting.unread.to_vec(), has_sent_command: resting.has_sent_command };
                let sent = link.send(&message, Some(resting.stream.as_fd())).await;
                back = sent.is_err().then_some(resting);
                sent
            }
            Some(message) = words.recv() => link.send(&message, None).await,
            got = &mut coming => match again(&mut coming, link.receive(), got) {
                Ok((Message::SuccessorServes, _)) => {
                    give.take().into_iter().for_each(|give| engine.hand_over_to(give));
                    Ok(())
                }
                Ok((message @ (Message::Override(..) | Message::Drained(_)), _)) => {
                    desk.heard(message);
                    Ok(())
                }
                Ok(_) => Err(MessageError::Unexpected.into()),
                Err(error) => Err(error),
            },
        };
        if let Err(problem) = sent {
            break problem;
        }
    };
    engine.successor_lost();
    engine.share_connection_slots(false);
    eprintln!("asterport: the process that was to take over: {problem}");
    given.close();
    back.into_iter()
        .for_each(|resting| engine.adopt_connection(resting));
    while let Ok(resting) = given.try_recv() {
        engine.adopt_connection(resting);
    }
    false
}
