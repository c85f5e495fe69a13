//! Discovery: the list and the watch on it, as membership events.

use crate::driver::Driver;
use crate::servers::Servers;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use onyxpick::params::Names;
use onyxpick::*;
use serde::Deserialize;
use std::cell::Cell;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{Duration, timeout};

/// An empty line comes every 2 s at the least; a watch that misses two is dead. Guards against a discovery that
/// vanished without a word, and leaves time to ask again before the router counts as told.
const SILENCE: Duration = Duration::from_millis(4_500);
/// A longer line is no list of any fleet.
const MAX_LINE: usize = 4 * 1024 * 1024;
/// Where lists are pushed: how soon the agent is asked again.
const REDIAL: Duration = Duration::from_millis(500);

/// A list, or the changes to one, as discovery writes it.
#[derive(Debug, Default, Deserialize)]
pub struct List {
    seq: u64,
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<Host>,
}

impl List {
    pub fn len(&self) -> usize {
        self.hosts.len()
    }
}

#[derive(Debug, Deserialize)]
struct Host {
    host: String,
    dial: SocketAddr,
    #[serde(default)]
    site: Option<String>,
    #[serde(default)]
    class: Option<String>,
    #[serde(default)]
    block: u64,
    health: Health,
    #[serde(default = "usual_share")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Health {
    Up,
    Draining,
    Removed,
}

fn usual_share() -> f64 {
    1.0
}

/// Why a watch ended.
#[derive(Debug)]
enum WatchError {
    Io(std::io::Error),
    Http(hyper::Error),
    Status(StatusCode),
    Line(String),
    Ended,
    Silent,
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Io(error) => write!(f, "{error}"),
            WatchError::Http(error) => write!(f, "{error}"),
            WatchError::Status(status) => write!(f, "answered {status}"),
            WatchError::Line(problem) => write!(f, "malformed line: {problem}"),
            WatchError::Ended => f.write_str("ended"),
            WatchError::Silent => f.write_str("silent for too long"),
        }
    }
}

impl From<hyper::Error> for WatchError {
    fn from(error: hyper::Error) -> Self {
        WatchError::Http(error)
    }
}

pub struct Discovery {
    pub addr: SocketAddr,
    pub names: Rc<Names>,
    /// Lists come unasked: the module does not subscribe.
    pub pushed: bool,
    pub driver: Rc<Driver>,
    pub servers: Rc<Servers>,
    /// The version of the list that the router has.
    pub seq: Cell<u64>,
}

impl Discovery {
    /// Feeds the list that the router had before its start.
    pub fn known(&self, list: List) {
        self.take(list, Some(MembershipKind::Cached));
    }

    /// Watches whenever the module subscribes, for as long as the program runs.
    pub async fn run(self) {
        let mut lost_before = false;
        loop {
            if self.pushed {
                tokio::time::sleep(REDIAL).await;
            } else {
                self.driver.subscribe.notified().await;
            }
            let mut told = false;
            let Err(error) = self.watch(&mut told).await;
            // One line for each outage, not for each call during one.
            if told || !lost_before {
                eprintln!("asterport: discovery: watch {error}");
            }
            lost_before = true;
            if !self.pushed {
                self.driver.membership(MembershipKind::Lost, Vec::new());
            }
        }
    }

    /// One watch, from its call to its end. Its first line answers the subscription.
    async fn watch(&self, told: &mut bool) -> Result<std::convert::Infallible, WatchError> {
        let limit = if self.pushed { Duration::from_secs(3_600) } else { SILENCE };
        let late = |_| WatchError::Silent;
        let stream =
            timeout(limit, TcpStream::connect(self.addr)).await.map_err(late)?.map_err(WatchError::Io)?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let connection = tokio::task::spawn_local(connection);
        // The connection ends with this watch, however it ends.
        let _guard = AbortOnDrop(connection.abort_handle());
        let request = Request::get(format!("/api/targets?watch=1&after={}", self.seq.get()))
            .header(header::HOST, self.addr.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|error| WatchError::Line(error.to_string()))?;
        let answer = timeout(limit, sender.send_request(request)).await.map_err(late)??;
        if answer.status() != StatusCode::OK {
            return Err(WatchError::Status(answer.status()));
        }
        let mut body = answer.into_body();
        let mut buffer = BytesMut::new();
        loop {
            let frame = timeout(limit, body.frame()).await.map_err(late)?.ok_or(WatchError::Ended)??;
            let Ok(data) = frame.into_data() else { continue };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
                let line = buffer.split_to(end + 1);
                if !line.trim_ascii().is_empty() {
                    let list = serde_json::from_slice(&line).map_err(|e| WatchError::Line(e.to_string()))?;
                    self.take(list, None);
                    *told = true;
                } else if !std::mem::replace(told, true) {
                    // Nothing has changed since the version that was named: that answers the call too.
                    self.driver.membership(MembershipKind::Changes, Vec::new());
                }
            }
            if buffer.len() > MAX_LINE {
                return Err(WatchError::Line("too long".into()));
            }
        }
    }

    /// Takes a list: first the addresses, so that the module's actions find them.
    fn take(&self, list: List, kind: Option<MembershipKind>) {
        let whole = list.whole || kind == Some(MembershipKind::Cached);
        let mut members = Vec::with_capacity(list.hosts.len());
        for host in list.hosts {
            let state = match host.health {
                Health::Up => ServerState::Ready,
                Health::Draining => ServerState::Draining,
                Health::Removed => ServerState::Gone,
            };
            let server = ServerId::from(host.host.as_str());
            self.servers.list(&server, host.dial, state, host.born_ms);
            let among =
                |names: &[String], name: Option<String>| names.iter().position(|n| Some(n) == name.as_ref());
            members.push(Member {
                server,
                state,
                zone: among(&self.names.zones, host.site).map(ZoneId),
                cell: CellId(host.block),
                kind: among(&self.names.kinds, host.class).map(KindId),
                started: Micros::from_millis(host.born_ms),
                weight: if host.share.is_finite() && host.share >= 0.0 { host.share } else { 1.0 },
            });
        }
        if whole {
            let listed: HashSet<&ServerId> = members.iter().map(|member| &member.server).collect();
            self.servers.keep_only(|server| listed.contains(server));
        }
        self.seq.set(list.seq);
        let told = if whole { MembershipKind::Full } else { MembershipKind::Changes };
        self.driver.membership(kind.unwrap_or(told), members);
    }
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
