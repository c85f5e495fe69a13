//! The public API as used by an embedding program, with several routers and simulated servers.

use load_balancer::*;
use std::collections::{BTreeMap, HashMap};

/// A router with the state that an embedding program keeps for it.
struct EmbeddingProgram {
    router: Router,
    timers: BTreeMap<(Micros, u64), u64>,
    next_timer: u64,
    last_attempts: HashMap<RequestId, (ServerId, u32)>,
    answers: HashMap<RequestId, &'static str>,
}

impl EmbeddingProgram {
    fn new(settings: Settings, seed: u64) -> Result<EmbeddingProgram, SettingsError> {
        let router = Router::new(settings, seed)?;
        Ok(EmbeddingProgram {
            router,
            timers: BTreeMap::new(),
            next_timer: 0,
            last_attempts: HashMap::new(),
            answers: HashMap::new(),
        })
    }

    fn handle(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => {
                    let attempt = self.last_attempts.get(&id).map_or(0, |s| s.1 + 1);
                    self.last_attempts.insert(id, (server, attempt));
                }
                Action::Reject { id, .. } => assert!(self.answers.insert(id, "rejected").is_none()),
                Action::Fail { id } => assert!(self.answers.insert(id, "failed").is_none()),
                Action::SetTimer { after, token } => {
                    self.next_timer += 1;
                    self.timers
                        .insert((now.plus(after), self.next_timer), token);
                }
                Action::Cancel { .. }
                | Action::CloseIdle { .. }
                | Action::Subscribe
                | Action::Log(_) => {}
            }
        }
    }

    fn serve(&mut self, now: Micros, id: RequestId) {
        let attempt = AttemptNumber(self.last_attempts[&id].1);
        self.answers.insert(id, "served");
        let end = AttemptEnd::new(id, attempt, Outcome::Success, Micros::from_millis(12));
        let end = AttemptEnd {
            is_answered: true,
            cache_status: Some(CacheStatus::Hit),
            ..end
        };
        self.handle(now, Event::AttemptEnded(end));
    }
}

fn settings() -> Settings {
    let class = Class {
        latency_objective: Micros::from_millis(300),
        deadline: Micros::from_millis(900),
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    Settings {
        routers: 3,
        classes: vec![class],
        ..Settings::default()
    }
}

fn request(id: u32, key: u64, now: Micros) -> Event {
    Event::Request(Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        key: Some(key),
        expires: now.plus(Micros::from_millis(900)),
        cost_hint: None,
        retry: false,
        write: false,
    })
}

#[test]
fn routers_agree_without_shared_state() -> Result<(), SettingsError> {
    let mut routers = [
        EmbeddingProgram::new(settings(), 1)?,
        EmbeddingProgram::new(settings(), 2)?,
        EmbeddingProgram::new(settings(), 3)?,
    ];
    let endpoints: Vec<Endpoint> = (0..6)
        .map(|i| Endpoint::ready(format!("cache-{i}:11211").as_str().into()))
        .collect();
    let mut now = Micros::from_millis(1_000);
    for router in &mut routers {
        let endpoints = endpoints.clone();
        router.handle(
            now,
            Event::EndpointsChanged {
                update: EndpointUpdate::Snapshot,
                endpoints,
            },
        );
    }
    for id in 0..300 {
        now = now.plus(Micros::from_millis(15));
        for router in &mut routers {
            router.handle(now, request(id, u64::from(id % 50), now));
            router.serve(now, RequestId(id));
        }
        let targets = routers
            .each_ref()
            .map(|r| r.last_attempts[&RequestId(id)].0.clone());
        assert!(targets.iter().all(|h| *h == targets[0]), "{targets:?}");
    }
    // One router finds a server overloaded. The others are not affected.
    let owner = routers[1].last_attempts[&RequestId(0)].0.clone();
    for id in 1_000..1_020 {
        routers[0].handle(now, request(id, 0, now));
        let (server, attempt) = routers[0].last_attempts[&RequestId(id)].clone();
        if server == owner {
            let end = AttemptEnd::new(
                RequestId(id),
                AttemptNumber(attempt),
                Outcome::Overloaded,
                Micros::from_millis(2),
            );
            routers[0].handle(now, Event::AttemptEnded(end));
        }
        if routers[0].last_attempts[&RequestId(id)].0 != owner {
            routers[0].serve(now, RequestId(id));
        }
    }
    for router in &mut routers {
        router.handle(now, request(2_000, 0, now));
    }
    let targets = routers
        .each_ref()
        .map(|r| r.last_attempts[&RequestId(2_000)].0.clone());
    assert_ne!(targets[0], owner);
    assert_eq!((&targets[1], &targets[2]), (&owner, &owner));
    Ok(())
}

#[test]
fn every_request_ends_once_its_timers_have_run() -> Result<(), SettingsError> {
    let mut program = EmbeddingProgram::new(settings(), 9)?;
    let now = Micros::from_millis(1_000);
    let endpoints = vec![Endpoint::ready("cache-1:11211".into())];
    program.handle(
        now,
        Event::EndpointsChanged {
            update: EndpointUpdate::Snapshot,
            endpoints,
        },
    );
    for id in 0..200 {
        program.handle(now, request(id, u64::from(id), now));
    }
    while let Some(((due, _), token)) = program.timers.pop_first() {
        program.handle(due, Event::Timer { token });
    }
    assert_eq!(program.answers.len(), 200);
    assert_eq!(
        program.router.tracked_counts(),
        TrackedCounts {
            requests: 0,
            servers: 1
        },
        "the state of ended requests is released"
    );
    Ok(())
}
