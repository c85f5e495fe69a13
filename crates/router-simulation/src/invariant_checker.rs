//! The invariant checker: it sees what passes on the wire, and facts of the world that no router sees, and holds both against the
//! four rules of the protocol after every step. It shares nothing with the router's logic.
//!
//! The rules' times are kept to the microsecond: the simulated sockets have none of the noise for which the protocol
//! allows real ones 50 ms.

use crate::executor::{Node, Time};
use crate::network::{CloseKind, Observer, Side};
use crate::wire::{self, CacheRequest, Command, FrameDecoder, Response};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::hash::{Hash, Hasher};

/// How many of the steps that touched a request a violation is shown with.
const SHOWN: usize = 50;

/// A request whose client has left is not sent so much later: the operators allow 0.3 s.
const LEFT_GRACE: Time = 100_000;

/// What discovery has to tell counts as told so much later, whether or not it arrived.
const DEEMED_TOLD: Time = 6_000_000;

/// The rules of the protocol, and what else every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// 1: whatever a running router has taken gets exactly one final answer in time, and nothing goes out after it.
    Answered,
    /// Nothing goes out for a client that has left.
    Departed,
    /// 2: no effect happens twice.
    Effects,
    /// 3: nothing new for a server that drains or is gone.
    Drains,
    /// 4: no cold server is pushed over.
    SlowStart,
    /// All settles once faults have ended.
    Liveness,
    /// Descriptors and memory are bounded.
    ResourceLimits,
    /// What is shared was there to be shared: by reads for the same, from a flight no older than the last write that
    /// the reader came after, and each upstream request once for all.
    Coalescing,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Answered => "rule 1, every request answered once and in time",
            Rule::Departed => "departures, nothing is sent for who has left",
            Rule::Effects => "rule 2, no effect twice",
            Rule::Drains => "rule 3, drains kept",
            Rule::SlowStart => "rule 4, no cold server pushed over",
            Rule::Liveness => "liveness, all settles once faults end",
            Rule::ResourceLimits => "bounds on what is held",
            Rule::Coalescing => "joining, only what may be shared is",
        })
    }
}

/// A rule that was not kept.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When.
    pub time: Time,
    /// At which step of the run.
    pub step: u64,
    /// Whose request, if it is about one.
    pub request: Option<u64>,
    /// What was seen.
    pub text: String,
    /// The last steps that touched the request.
    pub steps: Vec<String>,
}

/// Whether a request may run twice, as the protocol has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Its repeats are dropped by a group of servers for so long.
    Keyed(DeduplicationScope, Time),
    /// Never.
    NotIdempotent,
}

/// Which servers drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All.
    All,
    /// Those of one zone.
    Zone,
}

/// The figures that the invariant checker goes by.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// Each class by its name.
    pub classes: BTreeMap<String, Idempotency>,
    /// A final answer may come this much after the client's time is up.
    pub answer_grace: Time,
    /// A send to a draining server may come this much after the router was told.
    pub drain_grace: Time,
    /// Attempts of one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be out together.
    pub hedging: bool,
    /// A cold server falls over when sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_duration: Time,
    /// Bytes that a connection takes without their being read.
    pub window: usize,
    /// Work beyond that which chance may bring, in microseconds.
    pub fall_slack: f64,
    /// Which reads may share an answer; `None`: none may.
    pub coalescing: Option<CoalescingParameters>,
    /// Requests from this id on are of crowds: what becomes of a crowd is the fate of a few upstream requests, and does
    /// not count toward the share that is served in the calm.
    pub crowds_from: u64,
}

/// The figures of joining.
#[derive(Clone, Debug)]
pub struct CoalescingParameters {
    /// The class whose reads may.
    pub class: String,
    /// Flights for one key that newcomers may join.
    pub flights: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRan,
}

#[derive(Debug)]
struct Attempt {
    conn: u32,
    server: usize,
    whole_at: Time,
    fate: Fate,
    /// Its connection is still open at the router.
    is_open: bool,
}

#[derive(Debug)]
struct Asked {
    router: usize,
    idempotency: Idempotency,
    /// Class and key, and whether it is a write.
    what: (String, Vec<u8>),
    is_write: bool,
    /// When its first attempt was whole on the wire, and when the reply that served it was at the router's machine.
    first_sent: Option<Time>,
    served_at: Option<Time>,
    conn: u32,
    /// How long its client waits, from when its last byte is at the router's machine.
    timeout: Time,
    /// The end of that time; unknown before it has arrived.
    deadline: Time,
    /// When its last byte came to the router's machine.
    arrived: Option<Time>,
    attempts: Vec<Attempt>,
    answered: Option<Time>,
    /// The client or the router is gone: nothing more is owed.
    is_over: bool,
    /// When its client's leaving was at the router's machine.
    left_at: Option<Time>,
}

/// The requests for one key at one router.
#[derive(Default)]
struct OfKey {
    writes: Vec<u64>,
    reads: Vec<u64>,
}

/// What a client waits for on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owed {
    Pong,
    Request(u64),
    /// Something that a client should not send: an error or an end is owed.
    Anything,
}

#[derive(Default)]
struct ToClient {
    router: usize,
    asked: FrameDecoder,
    answers: FrameDecoder,
    owed: VecDeque<Owed>,
    /// For each command still on its way: the bytes up to its end, and whose it is.
    on_the_way: VecDeque<(usize, u64)>,
    written: usize,
    arrived: usize,
    /// Bytes of answers that are on their way.
    untaken: usize,
    /// When an answer last could go on: its own time does not count before.
    free_at: Time,
    /// The router has begun to leave.
    is_closing: bool,
    /// What the client sends cannot be read: it is not judged further.
    is_rude: bool,
}

#[derive(Default)]
struct ToServer {
    router: usize,
    server: usize,
    calls: FrameDecoder,
    replies: FrameDecoder,
    /// Bytes that the server has written and that have not come to the router.
    coming: VecDeque<u8>,
    current: Option<u64>,
    spoilt: bool,
}

#[derive(Default)]
struct ToDiscovery {
    router: usize,
    /// Bytes that discovery has written and that have not come to the router.
    coming: VecDeque<u8>,
    text: Vec<u8>,
}

enum Line {
    Client(ToClient),
    Server(ToServer),
    Discovery(ToDiscovery),
    Other,
}

/// What a machine is to the invariant checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A router, by its number.
    Router(usize),
    /// A cache server, by its number.
    Server(usize),
    /// Clients.
    Client,
    /// Discovery.
    Discovery,
}

/// What a router was told of a server.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Since when it counts as draining or gone.
    out_since: Option<Time>,
    born: u64,
}

/// A cache server's process as the world knows it.
#[derive(Debug, Default)]
struct Process {
    born: u64,
    started: Time,
    starting_capacity_ratio: f64,
    slow_start_duration: Time,
    /// Work that arrived while it was cold: when, how much, from whom.
    arrived: VecDeque<(Time, f64, usize)>,
    has_fallen: bool,
}

impl Process {
    /// The part of its capacity that it has at this time.
    fn capacity(&self, at: Time) -> f64 {
        capacity(
            self.starting_capacity_ratio,
            self.slow_start_duration,
            at.saturating_sub(self.started),
        )
    }
}

/// The part of its capacity that a server has so long after its start: it rises evenly.
pub fn capacity(starting_capacity_ratio: f64, slow_start_duration: Time, age: Time) -> f64 {
    if age >= slow_start_duration {
        1.0
    } else {
        starting_capacity_ratio
            + (1.0 - starting_capacity_ratio) * age as f64 / slow_start_duration as f64
    }
}

struct Step {
    time: Time,
    conn: u32,
    request: Option<u64>,
    text: String,
}

/// Counts of what passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that a router took.
    pub taken: u64,
    /// Those served.
    pub served: u64,
    /// Of those, with the value that was made for another.
    pub coalesced: u64,
    /// Those refused.
    pub rejected: u64,
    /// Those failed.
    pub failed: u64,
    /// Attempts at cache servers.
    pub attempts: u64,
    /// Connections between routers and cache servers.
    pub connections: u64,
    /// Requests whose clients had left before anything of them was sent, and those of them sent over 0.3 s later.
    pub departed_unsent: u64,
    /// See there.
    pub sent_after_departure: u64,
}

/// See the module.
pub struct InvariantChecker {
    rule_parameters: RuleParameters,
    roles: Vec<Role>,
    server_names: BTreeMap<String, usize>,
    server_zones: Vec<usize>,
    lines: BTreeMap<u32, Line>,
    requests: HashMap<u64, Asked>,
    /// Requests that wait for their answer, by when it is due.
    due: BTreeSet<(Time, u64)>,
    told: BTreeMap<(usize, usize), Told>,
    /// Since when operators have had a server out, by router and server. It holds whatever the list says.
    called_out: BTreeMap<(usize, usize), Time>,
    /// Where reads may share answers: of each router and key the writes and the reads.
    of_keys: BTreeMap<(usize, Vec<u8>), OfKey>,
    /// What the list said lately: from when it counts as told, of which server, what.
    listed: VecDeque<(Time, usize, bool, u64)>,
    /// What the list says now.
    latest: BTreeMap<usize, (bool, u64)>,
    processes: Vec<Process>,
    step: u64,
    digest: DefaultHasher,
    trace: Vec<Step>,
    keeps_trace: bool,
    /// What passed.
    pub counts: Counts,
    /// Attempts for reads of crowds, their clients' own repeats aside, by key.
    pub crowds: BTreeMap<Vec<u8>, u64>,
    /// What was not kept, at most a few.
    pub violations: Vec<Violation>,
    /// Requests that a router took since the calm began, and those of them served.
    pub calm: Option<(Time, u64, u64)>,
}

impl InvariantChecker {
    /// A invariant checker of a world with these servers: their names and zones.
    pub fn new(
        rule_parameters: RuleParameters,
        servers: &[(String, usize)],
        keeps_trace: bool,
    ) -> InvariantChecker {
        InvariantChecker {
            rule_parameters,
            roles: Vec::new(),
            server_names: servers
                .iter()
                .enumerate()
                .map(|(i, server)| (server.0.clone(), i))
                .collect(),
            server_zones: servers.iter().map(|server| server.1).collect(),
            lines: BTreeMap::new(),
            requests: HashMap::new(),
            due: BTreeSet::new(),
            told: BTreeMap::new(),
            called_out: BTreeMap::new(),
            of_keys: BTreeMap::new(),
            listed: VecDeque::new(),
            latest: BTreeMap::new(),
            processes: servers.iter().map(|_| Process::default()).collect(),
            step: 0,
            digest: DefaultHasher::new(),
            trace: Vec::new(),
            keeps_trace,
            counts: Counts::default(),
            crowds: BTreeMap::new(),
            violations: Vec::new(),
            calm: None,
        }
    }

    /// The next machine of the network is this.
    pub fn add_machine(&mut self, role: Role) {
        self.roles.push(role);
    }

    /// Steps so far.
    pub fn steps(&self) -> u64 {
        self.step
    }

    /// A number that is equal for equal runs.
    pub fn digest(&self) -> u64 {
        self.digest.finish()
    }

    /// The whole trace, if it was kept.
    pub fn trace(&self) -> impl Iterator<Item = String> + '_ {
        self.trace
            .iter()
            .enumerate()
            .map(|(step, seen)| shown(step as u64 + 1, seen))
    }

    fn take_step(&mut self, time: Time, conn: u32, kind: u8, bytes: &[u8]) {
        self.deem_told(time);
        self.step += 1;
        (time, conn, kind).hash(&mut self.digest);
        self.digest.write(bytes);
        self.overdue(time);
    }

    fn note(&mut self, time: Time, conn: u32, request: Option<u64>, text: impl FnOnce() -> String) {
        if self.keeps_trace {
            self.trace.push(Step {
                time,
                conn,
                request,
                text: text(),
            });
        }
    }

    /// Records a violation.
    pub fn record_violation(&mut self, rule: Rule, time: Time, request: Option<u64>, text: String) {
        if self.violations.len() >= 8 {
            return;
        }
        let connection_ids: BTreeSet<u32> = match request.and_then(|id| self.requests.get(&id)) {
            Some(asked) => asked
                .attempts
                .iter()
                .map(|attempt| attempt.conn)
                .chain([asked.conn])
                .collect(),
            None => BTreeSet::new(),
        };
        let touched = |step: &&(usize, &Step)| {
            request.is_none()
                || step.1.request == request
                || (step.1.request.is_none() && connection_ids.contains(&step.1.conn))
        };
        let numbered: Vec<(usize, &Step)> = self.trace.iter().enumerate().collect();
        let mut steps: Vec<String> = numbered
            .iter()
            .rev()
            .filter(touched)
            .take(SHOWN)
            .map(|(i, seen)| shown(*i as u64 + 1, seen))
            .collect();
        steps.reverse();
        self.violations.push(Violation {
            rule,
            time,
            step: self.step,
            request,
            text,
            steps,
        });
    }

    /// Operators call a server out at a router, or back.
    pub fn server_override_changed(
        &mut self,
        now: Time,
        router: usize,
        server: usize,
        is_out: bool,
    ) {
        if is_out {
            self.called_out.entry((router, server)).or_insert(now);
        } else {
            self.called_out.remove(&(router, server));
        }
    }

    // ---- facts of the world

    /// A router starts, and its configuration holds this list.
    pub fn router_started(&mut self, now: Time, router: usize, known: &str) {
        self.told.retain(|&(other, _), _| other != router);
        self.apply_endpoint_list(now, router, known, true);
        self.take_step(now, 0, 1, &[router as u8]);
        self.note(now, 0, None, || format!("router {router} starts"));
    }

    /// A router's process dies: what it held is its clients' to retry.
    pub fn router_died(&mut self, now: Time, router: usize) {
        let theirs: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, asked)| asked.router == router && asked.answered.is_none())
            .map(|(&id, _)| id)
            .collect();
        theirs.into_iter().for_each(|id| self.over(id));
        for line in self.lines.values_mut() {
            match line {
                Line::Client(line) if line.router == router => line.is_closing = true,
                _ => {}
            }
        }
        self.take_step(now, 0, 2, &[router as u8]);
        self.note(now, 0, None, || format!("router {router} dies"));
    }

    /// A cache server's process starts, with this part of its capacity, and is warm after so long.
    pub fn server_started(
        &mut self,
        now: Time,
        server: usize,
        born: u64,
        starting_capacity_ratio: f64,
        slow_start_duration: Time,
    ) {
        let (arrived, has_fallen) = (VecDeque::new(), false);
        self.processes[server] = Process {
            born,
            started: now,
            starting_capacity_ratio,
            slow_start_duration,
            arrived,
            has_fallen,
        };
        self.take_step(now, 0, 3, &[server as u8]);
        self.note(now, 0, None, || format!("server {server} starts"));
    }

    /// Work arrived at a cache server, in microseconds of a warm server's whole capacity; whether that pushes it over.
    pub fn work_arrived(&mut self, now: Time, server: usize, router: usize, work: f64) -> bool {
        let (overload_duration, multiple, slack) = (
            self.rule_parameters.overload_duration,
            self.rule_parameters.overload_multiple,
            self.rule_parameters.fall_slack,
        );
        let process = &mut self.processes[server];
        if process.has_fallen
            || process.born == 0
            || now.saturating_sub(process.started) >= process.slow_start_duration
        {
            return false;
        }
        process.arrived.push_back((now, work, router));
        while process
            .arrived
            .front()
            .is_some_and(|&(at, ..)| at + overload_duration < now)
        {
            process.arrived.pop_front();
        }
        let since = process.started.max(now.saturating_sub(overload_duration));
        let middle = (process.capacity(since) + process.capacity(now)) / 2.0;
        let allowed = multiple * middle * overload_duration as f64 + slack;
        let sum: f64 = process.arrived.iter().map(|arrived| arrived.1).sum();
        if sum <= allowed {
            return false;
        }
        process.has_fallen = true;
        let born = process.born;
        let arrived = std::mem::take(&mut process.arrived);
        let knew = |router: usize| {
            self.told
                .get(&(router, server))
                .is_some_and(|told| told.born == born)
        };
        let known: f64 = arrived
            .iter()
            .filter(|arrived| knew(arrived.2))
            .map(|arrived| arrived.1)
            .sum();
        if known >= sum * 2.0 / 3.0 {
            let text = format!(
                "server {server}, {} ms after its start: {:.0} ms of work within {} ms where {:.0} ms push it over, {:.0} ms of it from routers that knew",
                now.saturating_sub(self.processes[server].started) / 1_000,
                sum / 1e3,
                overload_duration / 1_000,
                allowed / 1e3,
                known / 1e3
            );
            self.record_violation(Rule::SlowStart, now, None, text);
        }
        true
    }

    /// The list says something of a server from now on; what it says counts as told so much later at the latest.
    pub fn listed(&mut self, now: Time, server: usize, up: bool, born: u64) {
        self.listed.push_back((now + DEEMED_TOLD, server, up, born));
        self.latest.insert(server, (up, born));
        self.take_step(now, 0, 4, &[server as u8]);
    }

    /// What counts as told by now, whether or not it arrived.
    fn deem_told(&mut self, now: Time) {
        while let Some(&(at, server, up, born)) =
            self.listed.front().filter(|listed| listed.0 <= now)
        {
            self.listed.pop_front();
            let routers: BTreeSet<usize> = self.told.keys().map(|told| told.0).collect();
            for router in routers {
                let told = self.told.entry((router, server)).or_insert(Told {
                    out_since: None,
                    born,
                });
                // News from a later list stands.
                if told.born <= born && !up && self.latest.get(&server) == Some(&(up, born)) {
                    told.out_since = told.out_since.or(Some(at));
                }
            }
        }
    }

    // ---- requests

    fn over(&mut self, id: u64) {
        if let Some(asked) = self.requests.get_mut(&id) {
            asked.is_over = true;
            self.due
                .remove(&(asked.deadline + self.rule_parameters.answer_grace, id));
        }
    }

    /// Those whose time is up without an answer.
    fn overdue(&mut self, now: Time) {
        while let Some(&(due, id)) = self.due.first().filter(|&&(due, _)| due < now) {
            self.due.remove(&(due, id));
            let Some(asked) = self.requests.get(&id) else {
                continue;
            };
            if asked.answered.is_some() || asked.is_over {
                continue;
            }
            // The time for which it waits for those before it does not count.
            let waits = match self.lines.get(&asked.conn) {
                Some(Line::Client(line)) => {
                    // One that has begun and cannot go on, since its client reads slowly, is not the router's fault.
                    line.answers.buffered_bytes() > 0
                        || line.untaken >= self.rule_parameters.window / 2
                        || line
                            .owed
                            .front()
                            .is_some_and(|&first| first != Owed::Request(id))
                }
                _ => false,
            };
            if !waits {
                self.over(id);
                self.record_violation(
                    Rule::Answered,
                    now,
                    Some(id),
                    "no answer when its time was up".into(),
                );
            }
        }
    }

    /// A client has written a whole command.
    fn asked(&mut self, conn: u32, router: usize, call: &CacheRequest) -> Option<u64> {
        let idempotency = *self.rule_parameters.classes.get(&call.class)?;
        if self.requests.contains_key(&call.id) {
            return None;
        }
        let (timeout, deadline) = (call.timeout_ms * 1_000, Time::MAX / 2);
        let (arrived, attempts, answered, is_over) = (None, Vec::new(), None, false);
        let (what, is_write) = ((call.class.clone(), call.key.clone()), call.is_write);
        let (first_sent, served_at, left_at) = (None, None, None);
        let asked = Asked {
            router,
            idempotency,
            what,
            is_write,
            first_sent,
            served_at,
            conn,
            timeout,
            deadline,
            arrived,
            attempts,
            answered,
            is_over,
            left_at,
        };
        if self.rule_parameters.coalescing.is_some() {
            let of_key = self.of_keys.entry((router, call.key.clone())).or_default();
            if call.is_write {
                of_key.writes.push(call.id)
            } else {
                of_key.reads.push(call.id)
            }
        }
        self.requests.insert(call.id, asked);
        Some(call.id)
    }

    /// A router has written a whole answer, whose first byte it wrote at `begun`.
    fn answer(
        &mut self,
        (begun, now): (Time, Time),
        conn: u32,
        owed: Option<Owed>,
        answer: &Response,
        free_at: Time,
    ) {
        let id = match owed {
            None => {
                self.record_violation(
                    Rule::Answered,
                    now,
                    None,
                    format!("an answer that nobody waits for, on connection {conn}"),
                );
                return;
            }
            Some(Owed::Pong | Owed::Anything) => return,
            Some(Owed::Request(id)) => id,
        };
        let grace = self.rule_parameters.answer_grace;
        let Some(asked) = self.requests.get_mut(&id) else {
            return;
        };
        asked.answered = Some(now);
        self.due.remove(&(asked.deadline + grace, id));
        let late = begun.saturating_sub(asked.deadline.max(free_at));
        let may_have_run = asked
            .attempts
            .iter()
            .any(|attempt| attempt.fate != Fate::NeverRan);
        let (effect, came) = (asked.idempotency, asked.deadline);
        if let Some((since, taken, served)) = &mut self.calm
            && came >= *since
            && id < self.rule_parameters.crowds_from
        {
            *taken += 1;
            *served += u64::from(matches!(answer, Response::Served(_)));
        }
        if late > grace {
            self.record_violation(
                Rule::Answered,
                now,
                Some(id),
                format!("answered {late} us after its time was up"),
            );
        }
        match answer {
            Response::Served(value) => {
                self.counts.served += 1;
                match wire::request_id_of_value(value) {
                    Some(own) if own == id => {}
                    Some(other) if self.rule_parameters.coalescing.is_some() => {
                        self.shared(now, id, other)
                    }
                    _ => {
                        let text = "served with a value that was not made for it".into();
                        self.record_violation(Rule::Answered, now, Some(id), text);
                    }
                }
            }
            Response::Rejected(_) => {
                self.counts.rejected += 1;
                let promises = !matches!(
                    effect,
                    Idempotency::NotIdempotent | Idempotency::Keyed(DeduplicationScope::Zone, _)
                );
                if may_have_run && !promises {
                    self.record_violation(
                        Rule::Effects,
                        now,
                        Some(id),
                        "refused as harmless to repeat, but it may have run".into(),
                    );
                }
            }
            Response::Failed => self.counts.failed += 1,
        }
    }

    // ---- joining

    /// A request was served with the value that a server made for another.
    fn shared(&mut self, now: Time, id: u64, other: u64) {
        self.counts.coalesced += 1;
        let (Some(reader), Some(first)) = (self.requests.get(&id), self.requests.get(&other))
        else {
            return self.record_violation(
                Rule::Coalescing,
                now,
                Some(id),
                "served with a value that nobody asked for".into(),
            );
        };
        let class = self
            .rule_parameters
            .coalescing
            .as_ref()
            .map(|coalescing_parameters| &coalescing_parameters.class);
        let mut found = Vec::new();
        if reader.is_write || first.is_write || class != Some(&reader.what.0) {
            found.push("served with another's value, and it is no read that may be".to_string());
        }
        if reader.what != first.what || reader.router != first.router {
            found.push(format!(
                "served with the value for {:?} of router {}",
                first.what, first.router
            ));
        }
        let (came, began) = (
            reader.arrived.unwrap_or(0),
            first.first_sent.unwrap_or(Time::MAX),
        );
        // A value whose load report never came whole has no time.
        if first.first_sent.is_none() || first.served_at.is_some_and(|at| came > at) {
            found.push("served with a value that was there before it asked".to_string());
        }
        let writes = self
            .of_keys
            .get(&(reader.router, reader.what.1.clone()))
            .map_or(&[][..], |of| &of.writes);
        for write in writes.iter().filter_map(|id| self.requests.get(id)) {
            // It begins at the router between its arrival and its first attempt, and ends between the reply to that and
            // its answer.
            let begins = write.arrived.zip(write.first_sent);
            let after_begin = begins.is_some_and(|(arrived, sent)| began < arrived && came > sent);
            let ended = write.answered.zip(write.served_at);
            let after_end =
                ended.is_some_and(|(answered, served)| began < served && came > answered);
            if after_begin || after_end {
                found.push(
                    "served from a flight that is older than a write it came after".to_string(),
                );
                break;
            }
        }
        for text in found {
            self.record_violation(Rule::Coalescing, now, Some(id), text);
        }
    }

    /// What is not kept by sending on a read that may be shared, of which an attempt goes out now.
    fn stampede(&self, now: Time, id: u64) -> Option<String> {
        let (coalescing_parameters, asked) = (
            self.rule_parameters.coalescing.as_ref()?,
            self.requests.get(&id)?,
        );
        if asked.is_write || asked.what.0 != coalescing_parameters.class {
            return None;
        }
        let OfKey { writes, reads } = self.of_keys.get(&(asked.router, asked.what.1.clone()))?;
        let reads = || reads.iter().filter_map(|id| self.requests.get(id));
        if asked.answered.is_some() && !reads().any(|r| r.arrived.is_some() && r.answered.is_none())
        {
            return Some("sent on when nobody waits for it any more".to_string());
        }
        let is_out = |r: &&Asked| r.attempts.iter().any(|a| a.fate == Fate::Out && a.is_open);
        let out = reads().filter(is_out).count() + usize::from(!is_out(&asked));
        let since = reads()
            .filter(is_out)
            .filter_map(|r| r.arrived)
            .chain(asked.arrived)
            .min()
            .unwrap_or(now);
        // Each begin and each end of a write closes what had begun, and no flight is older than its first reader.
        let is_near = |w: &&Asked| w.arrived.is_some() && w.answered.is_none_or(|at| at >= since);
        let latency_within_zone = writes
            .iter()
            .filter_map(|id| self.requests.get(id))
            .filter(is_near)
            .count();
        let most = coalescing_parameters.flights * (1 + 2 * latency_within_zone);
        (out > most).then(|| format!("{out} attempts for its key are out where {most} would do"))
    }

    // ---- attempts

    /// A router's first byte of a command for a server.
    fn send_begun(&mut self, now: Time, router: usize, server: usize) {
        let grace = self.rule_parameters.drain_grace;
        let told = self
            .told
            .get(&(router, server))
            .and_then(|told| told.out_since);
        let out_since = told
            .into_iter()
            .chain(self.called_out.get(&(router, server)).copied())
            .min();
        if let Some(since) = out_since.filter(|&since| now > since + grace) {
            let text = format!(
                "router {router} sends to server {server} {} us after it was told that it drains or is gone",
                now - since
            );
            self.record_violation(Rule::Drains, now, None, text);
        }
    }

    /// A router has written a whole command for a server.
    fn sent(&mut self, now: Time, conn: u32, router: usize, server: usize, call: &CacheRequest) {
        self.counts.attempts += 1;
        let id = call.id;
        // The last two digits of an id are the number of the client's try.
        if id >= self.rule_parameters.crowds_from && id.is_multiple_of(256) && !call.is_write {
            *self.crowds.entry(call.key.clone()).or_default() += 1;
        }
        let Some(asked) = self.requests.get(&id) else {
            self.record_violation(
                Rule::Answered,
                now,
                Some(id),
                "sent on, but nobody asked for it".into(),
            );
            return;
        };
        let mut found = Vec::new();
        if asked.router != router {
            found.push((
                Rule::Answered,
                "sent on by another router than was asked".to_string(),
            ));
        }
        if let Some(text) = self.stampede(now, id) {
            found.push((Rule::Coalescing, text));
        }
        // A flight goes on for the others when its first waiter has its answer.
        let is_shared = self
            .rule_parameters
            .coalescing
            .as_ref()
            .is_some_and(|coalescing_parameters| coalescing_parameters.class == asked.what.0);
        if let Some(at) = asked.answered.filter(|_| !is_shared) {
            found.push((
                Rule::Answered,
                format!(
                    "sent to server {server} {} us after its final answer",
                    now - at
                ),
            ));
        }
        let ran = asked
            .attempts
            .iter()
            .find(|attempt| attempt.fate != Fate::NeverRan);
        let zone = |server: usize| self.server_zones[server];
        match (asked.idempotency, ran) {
            (Idempotency::NotIdempotent, Some(_)) => {
                found.push((
                    Rule::Effects,
                    "an unsafe request sent again that may have run".to_string(),
                ));
            }
            (Idempotency::Keyed(group, deduplication_window), Some(first)) => {
                if group == DeduplicationScope::Zone && zone(first.server) != zone(server) {
                    found.push((
                        Rule::Effects,
                        "a keyed request sent outside its group".to_string(),
                    ));
                }
                let age = now - first.whole_at;
                if age > deduplication_window {
                    found.push((
                        Rule::Effects,
                        format!(
                            "a keyed request sent again {} us after its memory ended",
                            age - deduplication_window
                        ),
                    ));
                }
            }
            _ => {}
        }
        // A flight goes out under the name of the read that came first, and others may wait for it.
        let is_shared = self.rule_parameters.coalescing.is_some() && !asked.is_write;
        if let Some(left) = asked
            .left_at
            .filter(|left| !is_shared && now > left + LEFT_GRACE)
        {
            self.counts.sent_after_departure +=
                u64::from(asked.attempts.is_empty() && now > left + 300_000);
            found.push((
                Rule::Departed,
                format!("sent {} us after its client had left", now - left),
            ));
        }
        if asked.attempts.len() >= self.rule_parameters.max_attempts {
            found.push((Rule::Effects, "more attempts than are allowed".to_string()));
        }
        let out = asked
            .attempts
            .iter()
            .any(|attempt| attempt.fate == Fate::Out && attempt.is_open);
        if out && !self.rule_parameters.hedging {
            found.push((
                Rule::Effects,
                "two attempts out together where that is not allowed".to_string(),
            ));
        }
        for (rule, text) in found {
            self.record_violation(rule, now, Some(id), text);
        }
        let attempt = Attempt {
            conn,
            server,
            whole_at: now,
            fate: Fate::Out,
            is_open: true,
        };
        if let Some(asked) = self.requests.get_mut(&id) {
            asked.first_sent = asked.first_sent.or(Some(now));
            asked.attempts.push(attempt);
        }
    }

    fn attempt_on(&mut self, conn: u32, id: u64) -> Option<&mut Attempt> {
        self.requests
            .get_mut(&id)?
            .attempts
            .iter_mut()
            .rev()
            .find(|attempt| attempt.conn == conn)
    }

    // ---- lists

    /// A list, or changes to one, that counts as told to a router now.
    fn apply_endpoint_list(&mut self, now: Time, router: usize, line: &str, is_whole: bool) {
        let Ok(list) = serde_json::from_str::<serde_json::Value>(line) else {
            return;
        };
        let whole = is_whole || list["whole"].as_bool().unwrap_or(false);
        let mut listed = BTreeSet::new();
        for host in list["hosts"].as_array().into_iter().flatten() {
            let Some(&server) = host["host"]
                .as_str()
                .and_then(|name| self.server_names.get(name))
            else {
                continue;
            };
            listed.insert(server);
            let (up, born) = (
                host["health"] == "up",
                host["born_ms"].as_u64().unwrap_or(0),
            );
            let told = self.told.entry((router, server)).or_insert(Told {
                out_since: None,
                born,
            });
            told.born = born;
            told.out_since = if up {
                None
            } else {
                told.out_since.or(Some(now))
            };
        }
        if whole {
            for server in 0..self.processes.len() {
                if let Some(told) = self
                    .told
                    .get_mut(&(router, server))
                    .filter(|_| !listed.contains(&server))
                {
                    told.out_since = told.out_since.or(Some(now));
                }
            }
        }
    }

    // ---- lines

    fn client_wrote(&mut self, now: Time, conn: u32, line: &mut ToClient, bytes: &[u8]) {
        line.written += bytes.len();
        if line.is_rude {
            return;
        }
        line.asked.feed(now, bytes);
        loop {
            let frame = match line.asked.next(now) {
                Ok(Some((frame, _))) => frame,
                Ok(None) => return,
                Err(_) => {
                    line.is_rude = true;
                    line.owed.push_back(Owed::Anything);
                    return;
                }
            };
            let owed = match Command::of(&frame) {
                Command::CacheRequest(call) => match self.asked(conn, line.router, &call) {
                    Some(id) => {
                        line.on_the_way
                            .push_back((line.written - line.asked.buffered_bytes(), id));
                        self.note(now, conn, Some(id), || format!("client asks: {call:?}"));
                        Owed::Request(id)
                    }
                    None => Owed::Anything,
                },
                Command::Ping => Owed::Pong,
                Command::Other => Owed::Anything,
            };
            line.owed.push_back(owed);
        }
    }

    fn router_answered(&mut self, now: Time, conn: u32, line: &mut ToClient, bytes: &[u8]) {
        line.untaken += bytes.len();
        line.answers.feed(now, bytes);
        loop {
            match line.answers.next(now) {
                Ok(Some((frame, begun))) => {
                    let (owed, answer) = (line.owed.pop_front(), Response::of(&frame));
                    let id = match owed {
                        Some(Owed::Request(id)) => Some(id),
                        _ => None,
                    };
                    self.note(now, conn, id, || match &answer {
                        Response::Served(value) => {
                            format!("router answers: served, {} bytes", value.len())
                        }
                        answer => format!("router answers: {answer:?}"),
                    });
                    self.answer((begun, now), conn, owed, &answer, line.free_at);
                    line.free_at = now;
                    // The next one's time may have passed while it waited for this one.
                    let grace = self.rule_parameters.answer_grace;
                    if let Some(&Owed::Request(next)) = line.owed.front()
                        && self
                            .requests
                            .get(&next)
                            .is_some_and(|asked| asked.deadline + grace < now)
                    {
                        self.due.insert((now + grace, next));
                    }
                }
                Ok(None) => return,
                Err(_) => {
                    if !line.is_rude {
                        self.record_violation(
                            Rule::Answered,
                            now,
                            None,
                            "an answer that is no RESP2".into(),
                        );
                    }
                    line.is_rude = true;
                    return;
                }
            }
        }
    }

    fn client_line_ended(&mut self, now: Time, conn: u32, line: &mut ToClient, by_router: bool) {
        let owed: Vec<u64> = line
            .owed
            .iter()
            .filter_map(|owed| match owed {
                Owed::Request(id) => Some(*id),
                Owed::Pong | Owed::Anything => None,
            })
            .collect();
        let had_left = std::mem::replace(&mut line.is_closing, true);
        for id in owed {
            let Some(asked) = self.requests.get(&id) else {
                continue;
            };
            let (arrived, sent_on) = (asked.arrived, !asked.attempts.is_empty());
            let is_lost = by_router && !had_left && !asked.is_over && !line.is_rude
                // What crosses the router's closing on the way is sent once more by its client.
                && (arrived.is_some_and(|at| at < now) || sent_on);
            self.over(id);
            if is_lost {
                self.record_violation(
                    Rule::Answered,
                    now,
                    Some(id),
                    format!("lost: the router ended connection {conn} without its answer"),
                );
            }
        }
    }

    /// A client's leaving is at the router's machine: from here on nobody waits for what it asked.
    fn client_has_left(&mut self, now: Time, line: &ToClient) {
        for owed in &line.owed {
            let Owed::Request(id) = owed else { continue };
            if let Some(asked) = self
                .requests
                .get_mut(id)
                .filter(|asked| asked.answered.is_none())
            {
                asked.left_at = asked.left_at.or(Some(now));
                self.counts.departed_unsent += u64::from(asked.attempts.is_empty());
            }
        }
    }

    fn router_wrote(&mut self, now: Time, conn: u32, line: &mut ToServer, bytes: &[u8]) {
        if line.calls.buffered_bytes() == 0 {
            self.send_begun(now, line.router, line.server);
        }
        line.calls.feed(now, bytes);
        while let Ok(Some((frame, _))) = line.calls.next(now) {
            if let Command::CacheRequest(call) = Command::of(&frame) {
                self.note(now, conn, Some(call.id), || {
                    format!(
                        "router {} sends to server {}: d={}",
                        line.router, line.server, call.timeout_ms
                    )
                });
                self.sent(now, conn, line.router, line.server, &call);
                line.current = Some(call.id);
            }
        }
    }

    fn router_heard(&mut self, now: Time, conn: u32, line: &mut ToServer, count: usize) {
        let bytes: Vec<u8> = line.coming.drain(..count.min(line.coming.len())).collect();
        if line.spoilt {
            return;
        }
        line.replies.feed(now, &bytes);
        loop {
            let frame = match line.replies.next(now) {
                Ok(Some((frame, _))) => frame,
                Ok(None) => return,
                Err(_) => {
                    line.spoilt = true;
                    return;
                }
            };
            let Some(id) = line.current.take() else {
                return;
            };
            let answer = Response::of(&frame);
            self.note(now, conn, Some(id), || match &answer {
                Response::Served(_) => format!("server {} has served it", line.server),
                answer => format!("server {} has answered: {answer:?}", line.server),
            });
            let fate = if matches!(answer, Response::Rejected(_)) {
                Fate::NeverRan
            } else {
                Fate::MayHaveRan
            };
            if let Some(attempt) = self.attempt_on(conn, id) {
                attempt.fate = fate;
            }
            if let (Response::Served(_), Some(asked)) = (&answer, self.requests.get_mut(&id)) {
                asked.served_at = asked.served_at.or(Some(now));
            }
        }
    }

    fn server_line_ended(&mut self, conn: u32, line: &mut ToServer) {
        if let Some(attempt) = line.current.and_then(|id| self.attempt_on(conn, id)) {
            attempt.is_open = false;
            if attempt.fate == Fate::Out {
                attempt.fate = Fate::MayHaveRan;
            }
        }
    }

    fn router_told(&mut self, now: Time, line: &mut ToDiscovery, count: usize) {
        line.text
            .extend(line.coming.drain(..count.min(line.coming.len())));
        while let Some(end) = line.text.iter().position(|&byte| byte == b'\n') {
            let text: Vec<u8> = line.text.drain(..=end).collect();
            if text.first() == Some(&b'{')
                && let Ok(text) = std::str::from_utf8(&text)
            {
                let router = line.router;
                self.apply_endpoint_list(now, router, text, false);
            }
        }
    }

    fn with_line(&mut self, conn: u32, action: impl FnOnce(&mut InvariantChecker, &mut Line)) {
        if let Some(mut line) = self.lines.remove(&conn) {
            action(self, &mut line);
            self.lines.insert(conn, line);
        }
    }
}

fn shown(step: u64, seen: &Step) -> String {
    let request = seen
        .request
        .map_or(String::new(), |id| format!(" {id:016x}"));
    format!(
        "{step:>6} {:>10} us conn {:<4}{request} {}",
        seen.time, seen.conn, seen.text
    )
}

impl Observer for InvariantChecker {
    fn opened(&mut self, now: Time, conn: u32, dialer: Node, listener: Node) {
        self.take_step(now, conn, 10, &[dialer.0 as u8, listener.0 as u8]);
        let line = match (
            self.roles[dialer.0 as usize],
            self.roles[listener.0 as usize],
        ) {
            (Role::Client, Role::Router(router)) => Line::Client(ToClient {
                router,
                ..ToClient::default()
            }),
            (Role::Router(router), Role::Server(server)) => {
                self.counts.connections += 1;
                Line::Server(ToServer {
                    router,
                    server,
                    ..ToServer::default()
                })
            }
            (Role::Router(router), Role::Discovery) => Line::Discovery(ToDiscovery {
                router,
                ..ToDiscovery::default()
            }),
            _ => Line::Other,
        };
        self.note(now, conn, None, || {
            format!("opened, {:?} to {:?}", dialer, listener)
        });
        self.lines.insert(conn, line);
    }

    fn written(&mut self, now: Time, conn: u32, side: Side, bytes: &[u8]) {
        self.take_step(now, conn, 11 + side as u8, bytes);
        self.with_line(conn, |checker, line| match (line, side) {
            (Line::Client(line), Side::Dialer) => checker.client_wrote(now, conn, line, bytes),
            (Line::Client(line), Side::Listener) => checker.router_answered(now, conn, line, bytes),
            (Line::Server(line), Side::Dialer) => checker.router_wrote(now, conn, line, bytes),
            (Line::Server(line), Side::Listener) => line.coming.extend(bytes),
            (Line::Discovery(line), Side::Listener) => line.coming.extend(bytes),
            (Line::Discovery(_), Side::Dialer) | (Line::Other, _) => {}
        });
    }

    fn delivered(&mut self, now: Time, conn: u32, side: Side, count: usize) {
        self.take_step(now, conn, 13 + side as u8, &count.to_le_bytes());
        self.with_line(conn, |checker, line| match (line, side) {
            (Line::Client(line), Side::Dialer) => {
                line.arrived += count;
                while let Some(&(_, id)) = line
                    .on_the_way
                    .front()
                    .filter(|request| request.0 <= line.arrived)
                {
                    line.on_the_way.pop_front();
                    if let Some(asked) = checker
                        .requests
                        .get_mut(&id)
                        .filter(|asked| !line.is_closing && !asked.is_over)
                    {
                        asked.arrived = Some(now);
                        asked.deadline = now + asked.timeout;
                        checker
                            .due
                            .insert((asked.deadline + checker.rule_parameters.answer_grace, id));
                        checker.counts.taken += 1;
                        checker.note(now, conn, Some(id), || {
                            "its last byte is at the router's machine".into()
                        });
                    }
                }
            }
            (Line::Client(line), Side::Listener) => {
                if line.untaken >= checker.rule_parameters.window / 2 {
                    line.free_at = now;
                }
                line.untaken = line.untaken.saturating_sub(count);
            }
            (Line::Server(line), Side::Listener) => checker.router_heard(now, conn, line, count),
            (Line::Discovery(line), Side::Listener) => checker.router_told(now, line, count),
            _ => {}
        });
    }

    fn left(&mut self, now: Time, conn: u32, side: Side, how: CloseKind) {
        self.take_step(now, conn, 15 + side as u8, &[how as u8]);
        self.note(now, conn, None, || format!("{side:?} leaves: {how:?}"));
        self.with_line(conn, |checker, line| match (line, side) {
            (Line::Client(line), side) => {
                checker.client_line_ended(now, conn, line, side == Side::Listener)
            }
            (Line::Server(line), Side::Dialer) => checker.server_line_ended(conn, line),
            _ => {}
        });
    }

    fn end_delivered(&mut self, now: Time, conn: u32, side: Side) {
        self.take_step(now, conn, 17 + side as u8, &[]);
        self.with_line(conn, |checker, line| match (line, side) {
            (Line::Server(line), Side::Listener) => checker.server_line_ended(conn, line),
            (Line::Client(line), Side::Dialer) => checker.client_has_left(now, line),
            _ => {}
        });
    }

    fn out_of_descriptors(&mut self, now: Time, node: Node) {
        self.take_step(now, 0, 19, &[node.0 as u8]);
        if let Role::Router(router) = self.roles[node.0 as usize] {
            self.record_violation(
                Rule::ResourceLimits,
                now,
                None,
                format!("router {router} runs out of descriptors"),
            );
        }
    }
}
