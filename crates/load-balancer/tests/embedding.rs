//! Several routers in one program, each with a small fake fleet behind it: the public API as an embedding program uses it.

use load_balancer::*;
use std::collections::{BTreeMap, HashMap};

/// One router with what an embedding program keeps beside it.
struct Embedded {
    router: Router,
    timers: BTreeMap<(Micros, u64), u64>,
    timers_set: u64,
    sent: HashMap<RequestId, (ServerId, u32)>,
    answers: HashMap<RequestId, &'static str>,
}

impl Embedded {
    fn new(settings: Settings, seed: u64) -> Result<Embedded, SettingsError> {
        let router = Router::new(settings, seed)?;
        Ok(Embedded {
            router,
            timers: BTreeMap::new(),
            timers_set: 0,
            sent: HashMap::new(),
            answers: HashMap::new(),
        })
    }

    fn tell(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => {
                    let attempt = self.sent.get(&id).map_or(0, |s| s.1 + 1);
                    self.sent.insert(id, (server, attempt));
                }
                Action::Reject { id, .. } => assert!(self.answers.insert(id, "rejected").is_none()),
                Action::Fail { id } => assert!(self.answers.insert(id, "failed").is_none()),
                Action::SetTimer { after, token } => {
                    self.timers_set += 1;
                    self.timers
                        .insert((now.plus(after), self.timers_set), token);
                }
                Action::Cancel { .. }
                | Action::CloseIdle { .. }
                | Action::Subscribe
                | Action::Log(_) => {}
            }
        }
    }

    fn served(&mut self, now: Micros, id: RequestId) {
        let attempt = AttemptNumber(self.sent[&id].1);
        self.answers.insert(id, "served");
        let end = AttemptEnd::new(id, attempt, Outcome::Success, Micros::from_millis(12));
        let end = AttemptEnd {
            complete: true,
            cache_status: Some(CacheStatus::Hit),
            ..end
        };
        self.tell(now, Event::AttemptEnded(end));
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
        Embedded::new(settings(), 1)?,
        Embedded::new(settings(), 2)?,
        Embedded::new(settings(), 3)?,
    ];
    let endpoints: Vec<Endpoint> = (0..6)
        .map(|i| Endpoint::ready(format!("cache-{i}:11211").as_str().into()))
        .collect();
    let mut now = Micros::from_millis(1_000);
    for router in &mut routers {
        let endpoints = endpoints.clone();
        router.tell(
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
            router.tell(now, request(id, u64::from(id % 50), now));
            router.served(now, RequestId(id));
        }
        let servers_used = routers.each_ref().map(|r| r.sent[&RequestId(id)].0.clone());
        assert!(
            servers_used.iter().all(|h| *h == servers_used[0]),
            "{servers_used:?}"
        );
    }
    // One router finds a server full; the others know nothing of it.
    let owner = routers[1].sent[&RequestId(0)].0.clone();
    for id in 1_000..1_020 {
        routers[0].tell(now, request(id, 0, now));
        let (server, attempt) = routers[0].sent[&RequestId(id)].clone();
        if server == owner {
            let end = AttemptEnd::new(
                RequestId(id),
                AttemptNumber(attempt),
                Outcome::Overloaded,
                Micros::from_millis(2),
            );
            routers[0].tell(now, Event::AttemptEnded(end));
        }
        if routers[0].sent[&RequestId(id)].0 != owner {
            routers[0].served(now, RequestId(id));
        }
    }
    for router in &mut routers {
        router.tell(now, request(2_000, 0, now));
    }
    let servers_used = routers
        .each_ref()
        .map(|r| r.sent[&RequestId(2_000)].0.clone());
    assert_ne!(servers_used[0], owner);
    assert_eq!((&servers_used[1], &servers_used[2]), (&owner, &owner));
    Ok(())
}

#[test]
fn every_request_ends_once_its_timers_have_run() -> Result<(), SettingsError> {
    let mut embedded = Embedded::new(settings(), 9)?;
    let now = Micros::from_millis(1_000);
    let endpoints = vec![Endpoint::ready("cache-1:11211".into())];
    embedded.tell(
        now,
        Event::EndpointsChanged {
            update: EndpointUpdate::Snapshot,
            endpoints,
        },
    );
    for id in 0..200 {
        embedded.tell(now, request(id, u64::from(id), now));
    }
    while let Some(((due, _), token)) = embedded.timers.pop_first() {
        embedded.tell(due, Event::Timer { token });
    }
    assert_eq!(embedded.answers.len(), 200);
    assert_eq!(
        embedded.router.tracked_counts(),
        TrackedCounts {
            requests: 0,
            servers: 1
        },
        "no state remains of requests that have ended"
    );
    Ok(())
}
