//! Random event sequences, both valid and invalid. Checks that the router does not panic, that each
//! request gets exactly one final answer and none late, that no non-idempotent request
//! runs twice, and that nothing is sent to servers that are not ready.

mod common;
use common::*;
use load_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::HashMap;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Request {
        class: usize,
        key: u64,
        lifetime_ms: u64,
        write: bool,
        tenant: usize,
    },
    RepeatRequest(u32),
    End {
        nth: usize,
        outcome: usize,
        cache_status: usize,
    },
    UnknownAttemptEnd {
        id: u32,
        attempt: u32,
    },
    ClientDisconnected(usize),
    StartStream(usize),
    UnknownTimer(u64),
    UpdateEndpoints {
        update: usize,
        states: Vec<(usize, usize, u64, u32)>,
    },
}

const OUTCOMES: [Outcome; 9] = [
    Outcome::Success,
    Outcome::Failure,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::Unreachable,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Miss,
];

fn step() -> impl Strategy<Value = Step> {
    let endpoint = (0..7usize, 0..3usize, 0..120_000u64, 0..4u32);
    prop_oneof![
        4 => (0..400u64).prop_map(Step::Wait),
        8 => (0..4usize, 0..40u64, 0..900u64, any::<bool>(), 0..3usize)
            .prop_map(|(class, key, lifetime_ms, write, tenant)| Step::Request { class, key, lifetime_ms, write, tenant }),
        1 => (0..60u32).prop_map(Step::RepeatRequest),
        8 => (0..6usize, 0..9usize, 0..4usize)
            .prop_map(|(nth, outcome, cache_status)| Step::End { nth, outcome, cache_status }),
        1 => (0..60u32, 0..5u32).prop_map(|(id, attempt)| Step::UnknownAttemptEnd { id, attempt }),
        1 => (0..9usize).prop_map(Step::ClientDisconnected),
        1 => (0..9usize).prop_map(Step::StartStream),
        1 => any::<u64>().prop_map(Step::UnknownTimer),
        2 => (0..5usize, proptest::collection::vec(endpoint, 0..9))
            .prop_map(|(update, states)| Step::UpdateEndpoints { update, states }),
    ]
}

#[derive(Default)]
struct SentAttempt {
    server: Option<ServerId>,
    at: Micros,
    end: Option<Outcome>,
}

/// The recorded attempts and answers of a request, to check the actions of the router against.
struct ExpectedRequest {
    class: usize,
    expires: Micros,
    answers: u32,
    is_finished: bool,
    streaming: bool,
    sent: Vec<SentAttempt>,
}

struct Simulation {
    settings: Settings,
    router: Router,
    now: Micros,
    next_id: u32,
    requests: HashMap<RequestId, ExpectedRequest>,
    ids: Vec<RequestId>,
    timers: Vec<(Micros, u64)>,
    server_states: HashMap<ServerId, EndpointState>,
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Simulation {
        let router = Router::new(settings.clone(), seed).expect("usable settings");
        Simulation {
            settings,
            router,
            now: ms(100_000),
            next_id: 0,
            requests: HashMap::new(),
            ids: vec![],
            timers: vec![],
            server_states: HashMap::new(),
        }
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.check_send(id, server),
                Action::Reject { id, .. } => self.check_answer(id, true),
                Action::Fail { id } => self.check_answer(id, false),
                Action::SetTimer { after, token } => {
                    self.timers.push((self.now.plus(after), token))
                }
                Action::Cancel { .. }
                | Action::CloseIdle { .. }
                | Action::Subscribe
                | Action::Log(_) => {}
            }
        }
    }

    fn check_send(&mut self, id: RequestId, server: ServerId) {
        let limits = &self.settings.limits;
        let expected = self
            .requests
            .get_mut(&id)
            .expect("an attempt of a known request");
        assert!(
            !expected.is_finished && !expected.streaming,
            "sent after the final answer"
        );
        assert!(self.now < expected.expires, "sent after the deadline");
        assert_eq!(
            self.server_states.get(&server),
            Some(&EndpointState::Ready),
            "sent to {server}"
        );
        assert!(expected.sent.len() < limits.max_attempts as usize);
        let ran = |s: &&SentAttempt| !s.end.is_some_and(Outcome::never_ran);
        if let Some(first) = expected.sent.iter().find(ran) {
            match self.settings.classes[expected.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("a non-idempotent request may run twice"),
                Idempotency::Keyed {
                    deduplication_window,
                    ..
                } => {
                    assert!(self.now.since(first.at) < deduplication_window)
                }
            }
        }
        assert!(
            limits.hedging || expected.sent.iter().all(|s| s.end.is_some()),
            "two attempts in flight"
        );
        expected.sent.push(SentAttempt {
            server: Some(server),
            at: self.now,
            end: None,
        });
    }

    fn check_answer(&mut self, id: RequestId, rejected: bool) {
        let expected = self
            .requests
            .get_mut(&id)
            .expect("an answer to a known request");
        assert!(!expected.is_finished, "a second answer");
        assert!(
            self.now <= expected.expires.plus(self.settings.rules.answer_grace),
            "a late answer"
        );
        let may_have_run = expected
            .sent
            .iter()
            .any(|s| !s.end.is_some_and(Outcome::never_ran));
        if rejected && may_have_run {
            assert_ne!(
                self.settings.classes[expected.class].idempotency,
                Idempotency::NotIdempotent,
                "a non-idempotent request that may have run was rejected"
            );
        }
        expected.answers += 1;
        expected.is_finished = true;
    }

    /// Advances the time, firing timers and attempt timeouts when they are due.
    fn wait(&mut self, until: Micros) {
        loop {
            let overdue = self.ids.iter().find_map(|id| {
                let expected = &self.requests[id];
                let in_flight = expected.sent.iter().position(|s| s.end.is_none())?;
                (!expected.streaming && expected.expires <= until).then_some((
                    expected.expires,
                    *id,
                    in_flight,
                ))
            });
            let timer = self.timers.iter().copied().filter(|t| t.0 <= until).min();
            match (overdue, timer) {
                (Some((at, id, in_flight)), timer) if timer.is_none_or(|t| at <= t.0) => {
                    self.now = self.now.max(at);
                    self.end(id, in_flight, Outcome::TimedOut, None);
                }
                (_, Some(timer)) => {
                    let index = self
                        .timers
                        .iter()
                        .position(|t| *t == timer)
                        .expect("the timer");
                    self.timers.swap_remove(index);
                    self.now = self.now.max(timer.0);
                    self.event(Event::Timer { token: timer.1 });
                }
                _ => break,
            }
        }
        self.now = self.now.max(until);
    }

    fn end(
        &mut self,
        id: RequestId,
        in_flight: usize,
        outcome: Outcome,
        cache_status: Option<CacheStatus>,
    ) {
        let expected = self.requests.get_mut(&id).expect("a known request");
        expected.sent[in_flight].end = Some(outcome);
        let ends = outcome == Outcome::Success
            || (expected.streaming && outcome == Outcome::ConnectionLost);
        expected.answers += u32::from(ends && !expected.is_finished);
        expected.is_finished |= ends;
        let is_answered = expected.is_finished;
        let elapsed = self.now.since(expected.sent[in_flight].at);
        let attempt = AttemptNumber(in_flight as u32);
        let end = AttemptEnd {
            is_answered,
            cache_status,
            ..AttemptEnd::new(id, attempt, outcome, elapsed)
        };
        self.event(Event::AttemptEnded(end));
    }

    fn update_endpoints(&mut self, update: usize, states: &[(usize, usize, u64, u32)]) {
        let update = [
            EndpointUpdate::Delta,
            EndpointUpdate::Snapshot,
            EndpointUpdate::Restored,
            EndpointUpdate::WatchLost,
            EndpointUpdate::PollRejected { waited: ms(2_000) },
        ][update];
        let has_entries = !matches!(
            update,
            EndpointUpdate::WatchLost | EndpointUpdate::PollRejected { .. }
        );
        let states = if has_entries { states } else { &[] };
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Restored) {
            for state in self.server_states.values_mut() {
                *state = EndpointState::Removed;
            }
        }
        let endpoint = |&(server, state, started, weight): &(usize, usize, u64, u32)| Endpoint {
            state: [
                EndpointState::Ready,
                EndpointState::Draining,
                EndpointState::Removed,
            ][state],
            started: WallTime::from_unix_millis(started),
            age: ProcessAge::Unknown,
            weight: [0.0, 1.0, f64::MAX, 0.5][weight as usize],
            kind: (server == 0).then_some(MachineKindId(9)),
            zone: Some(ZoneId(server % 3)),
            ..Endpoint::ready(name(server))
        };
        let endpoints: Vec<Endpoint> = states.iter().map(endpoint).collect();
        for endpoint in &endpoints {
            self.server_states
                .insert(endpoint.server.clone(), endpoint.state);
        }
        self.event(Event::EndpointsChanged { update, endpoints });
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(millis) => self.wait(self.now.plus(ms(*millis))),
            Step::Request {
                class,
                key,
                lifetime_ms,
                write,
                tenant,
            } => self.request(*class, *key, *lifetime_ms, *write, *tenant),
            Step::RepeatRequest(id) => {
                if self.requests.contains_key(&RequestId(*id)) {
                    let is_pending = !self.requests[&RequestId(*id)].is_finished;
                    let request = request(*id, 0, 1, self.now.plus(ms(500)), false, 0);
                    if is_pending {
                        self.event(Event::Request(request));
                    }
                }
            }
            Step::End {
                nth,
                outcome,
                cache_status,
            } => {
                let in_flight = self.ids.iter().flat_map(|id| {
                    let sent = self.requests[id].sent.iter().enumerate();
                    sent.filter(|s| s.1.end.is_none()).map(move |s| (*id, s.0))
                });
                let Some((id, in_flight)) = in_flight.collect::<Vec<_>>().get(*nth).copied() else {
                    return;
                };
                let statuses = [
                    None,
                    Some(CacheStatus::Hit),
                    Some(CacheStatus::Miss),
                    Some(CacheStatus::MissPending),
                ];
                self.end(id, in_flight, OUTCOMES[*outcome], statuses[*cache_status]);
            }
            Step::UnknownAttemptEnd { id, attempt } => {
                let known = self.requests.get(&RequestId(*id));
                if known.is_some_and(|c| {
                    c.sent
                        .get(*attempt as usize)
                        .is_some_and(|s| s.end.is_none())
                }) {
                    return;
                }
                self.event(Event::AttemptEnded(AttemptEnd::new(
                    RequestId(*id),
                    AttemptNumber(*attempt),
                    Outcome::Failure,
                    ms(1),
                )));
            }
            Step::ClientDisconnected(nth) => {
                let Some(&id) = self.ids.iter().rev().nth(*nth) else {
                    return;
                };
                let expected = self.requests.get_mut(&id).expect("a known request");
                expected.answers += u32::from(!expected.is_finished);
                expected.is_finished = true;
                self.event(Event::ClientDisconnected { id });
            }
            Step::StartStream(nth) => {
                let Some(&id) = self.ids.iter().rev().nth(*nth) else {
                    return;
                };
                let expected = self.requests.get_mut(&id).expect("a known request");
                let in_flight = expected.sent.iter().position(|s| s.end.is_none());
                let Some(in_flight) = in_flight.filter(|_| !expected.is_finished) else {
                    return;
                };
                expected.streaming = true;
                self.event(Event::StreamStarted {
                    id,
                    attempt: AttemptNumber(in_flight as u32),
                });
            }
            Step::UnknownTimer(token) => self.event(Event::Timer { token: *token }),
            Step::UpdateEndpoints { update, states } => self.update_endpoints(*update, states),
        }
    }

    fn request(&mut self, class: usize, key: u64, lifetime_ms: u64, write: bool, tenant: usize) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let expires = self.now.plus(ms(lifetime_ms));
        if class < self.settings.classes.len() {
            self.requests.insert(
                id,
                ExpectedRequest {
                    class,
                    expires,
                    answers: 0,
                    is_finished: false,
                    streaming: false,
                    sent: vec![],
                },
            );
            self.ids.push(id);
        }
        self.event(Event::Request(request(
            id.0, class, key, expires, write, tenant,
        )));
    }
}

fn request(
    id: u32,
    class: usize,
    key: u64,
    expires: Micros,
    write: bool,
    tenant: usize,
) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: Some(TenantId(tenant)),
        key: (key > 0).then_some(key),
        expires,
        cost_hint: None,
        retry: false,
        write,
    }
}

fn settings_variant(flags: u8) -> Settings {
    let mut settings = settings();
    if flags & 1 == 1 {
        settings.mode = CacheMode::Aside {
            origin: MachineKindId(9),
        };
    }
    if flags & 2 == 2 {
        settings.discovery = DiscoveryMode::Subscribe {
            poll_within: ms(10_000),
        };
        settings.tenants = vec![
            Tenant {
                quota_per_s: 5.0,
                share: 0.7,
            },
            Tenant {
                quota_per_s: 0.0,
                share: 0.0,
            },
        ];
    }
    settings.limits.hedging = flags & 4 == 4;
    if flags & 8 == 8 {
        settings.limits.max_attempts = 1;
        settings.rules.slow_start_duration = Micros(0);
        settings.rules.overload_multiple = 0.0;
    }
    settings
}

#[test]
fn random_events_violate_no_invariant() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 600,
            ..Config::default()
        },
        rng,
    );
    let steps = proptest::collection::vec(step(), 1..120);
    let result = runner.run(&(0..16u8, any::<u64>(), steps), |(flags, seed, steps)| {
        let mut simulations = [
            Simulation::new(settings_variant(flags), seed),
            Simulation::new(settings_variant(flags), seed),
        ];
        for simulation in &mut simulations {
            simulation.update_endpoints(
                1,
                &[(1, 0, 0, 1), (2, 0, 0, 1), (3, 0, 99_000, 1), (0, 0, 0, 1)],
            );
            for step in &steps {
                simulation.step(step);
            }
            simulation.wait(simulation.now.plus(ms(5_000)));
            for (id, expected) in &simulation.requests {
                prop_assert!(
                    expected.streaming || expected.answers == 1,
                    "{:?} got {} answers",
                    id,
                    expected.answers
                );
            }
        }
        let [a, b] = &simulations;
        for (id, expected) in &a.requests {
            let sent_by_second: Vec<_> = b.requests[id]
                .sent
                .iter()
                .map(|s| (&s.server, s.at))
                .collect();
            let sent: Vec<_> = expected.sent.iter().map(|s| (&s.server, s.at)).collect();
            prop_assert_eq!(
                sent,
                sent_by_second,
                "the same events led to different attempts"
            );
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
