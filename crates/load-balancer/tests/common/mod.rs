//! A router with its list, clock and actions, as an embedding program would hold it.
#![allow(dead_code)]

use load_balancer::*;

pub fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: ms(300),
        deadline: ms(1_000),
        priority_weight: 1.0,
        late_weight: 0.3,
        idempotency,
    }
}

/// One of four routers. Class 0 is safe, 1 unsafe, 2 keyed (all servers, 400 ms).
pub fn settings() -> Settings {
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        deduplication_window: ms(400),
    };
    Settings {
        routers: 4,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NotIdempotent),
            class(keyed),
        ],
        ..Settings::default()
    }
}

/// The same, where an answer past the aim is worth this share.
pub fn settings_with_late_worth(late_weight: f64) -> Settings {
    let mut settings = settings();
    settings
        .classes
        .iter_mut()
        .for_each(|class| class.late_weight = late_weight);
    settings
}

pub fn name(i: usize) -> ServerId {
    ServerId::from(format!("10.0.0.{i}:80").as_str())
}

pub fn ready(count: usize) -> Vec<Endpoint> {
    (1..=count).map(|i| Endpoint::ready(name(i))).collect()
}

pub struct Rig {
    pub router: Router,
    pub now: Micros,
    next_id: u32,
}

impl Rig {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Rig {
        let router = Router::new(settings, 1).expect("usable settings");
        let mut rig = Rig {
            router,
            now: ms(100_000),
            next_id: 0,
        };
        rig.list(EndpointUpdate::Snapshot, endpoints);
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.event(Event::EndpointsChanged { update, endpoints })
    }

    /// A request with 800 ms to live.
    pub fn ask(&mut self, class: usize, key: u64) -> (RequestId, Vec<Action>) {
        self.ask_as(class, key, false)
    }

    /// A client's repeat, marked as such, with 800 ms to live.
    pub fn retry(&mut self, class: usize, key: u64) -> (RequestId, Vec<Action>) {
        self.ask_as(class, key, true)
    }

    fn ask_as(&mut self, class: usize, key: u64, retry: bool) -> (RequestId, Vec<Action>) {
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let expires = self.now.plus(ms(800));
        let request = Request {
            id,
            class: ClassId(class),
            tenant: None,
            key: Some(key),
            expires,
            cost_hint: None,
            retry,
            write: class != 0,
        };
        (id, self.event(Event::Request(request)))
    }

    pub fn end(&mut self, id: RequestId, attempt: u32, outcome: Outcome, took: u64) -> Vec<Action> {
        self.event(Event::AttemptEnded(ended(id, attempt, outcome, took)))
    }

    /// Asks for a key, has it served, and tells by whom.
    pub fn served_by(&mut self, key: u64) -> Option<ServerId> {
        let (id, actions) = self.ask(0, key);
        let server = sent(&actions)?;
        self.end(id, 0, Outcome::Success, 5);
        Some(server)
    }
}

/// An end without a note; a success completes the request.
pub fn ended(id: RequestId, attempt: u32, outcome: Outcome, took: u64) -> AttemptEnd {
    let complete = outcome == Outcome::Success;
    AttemptEnd {
        complete,
        ..AttemptEnd::new(id, AttemptNumber(attempt), outcome, ms(took))
    }
}

pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
