//! A test harness that drives a coalescer event by event, with a simulated clock.

use load_balancer::{ClassId, Micros, RequestId, TenantId};
use request_coalescing::*;

pub const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

pub fn flight(id: u32) -> FlightId {
    FlightId(RequestId(id))
}

pub struct Harness {
    pub coalescer: Coalescer,
    pub now: Micros,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with(Bounds::default())
    }

    pub fn with(bounds: Bounds) -> Harness {
        let coalescer = Coalescer::new(
            bounds,
            &[ClassSettings {
                latency_objective: ms(100),
                minimum_retry_time: ms(20),
            }],
        )
        .with_max_retry_after(Some(ms(1_000)));
        Harness {
            coalescer,
            now: ms(10_000),
        }
    }

    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.coalescer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn read_of(&mut self, id: u32, key: &[u8], variant: &[u8], wait: u64) -> Action {
        let expires = self.now.plus(ms(wait));
        let read = Read {
            id: RequestId(id),
            class: ClassId(0),
            tenant: Some(TenantId(1)),
            key,
            variant,
            expires,
        };
        let actions = self.event(Event::Read(read));
        assert_eq!(actions.len(), 1, "{actions:?}");
        actions[0]
    }

    /// Sends a read of the key `key` whose deadline is in one second.
    pub fn read(&mut self, id: u32) -> Action {
        self.read_of(id, b"key", b"", 1_000)
    }

    pub fn write(&mut self) {
        assert_eq!(self.event(Event::Write { key: b"key" }), []);
    }

    pub fn ended(&mut self, id: u32, outcome: FlightOutcome) -> Vec<Action> {
        self.event(Event::FlightEnded {
            flight: flight(id),
            outcome,
        })
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now.plus(ms(millis));
    }

    /// Serves flights of other keys with this latency until the class has an estimate.
    pub fn learn_latency(&mut self, millis: u64) {
        for id in 900_000..900_064 {
            assert_eq!(
                self.read_of(id, &id.to_le_bytes(), b"", 10_000),
                Action::Open { flight: flight(id) }
            );
            self.advance(millis);
            assert_eq!(self.ended(id, FlightOutcome::Served).len(), 1);
        }
    }
}

pub fn joins(action: Action) -> Option<u32> {
    match action {
        Action::Join { flight, .. } => Some(flight.0.0),
        _ => None,
    }
}

pub fn answers(actions: &[Action]) -> Vec<(u32, FlightOutcome)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Answer { id, outcome } => Some((id.0, *outcome)),
            _ => None,
        })
        .collect()
}

pub fn withdrawn(actions: &[Action]) -> Vec<u32> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Withdraw { flight } => Some(flight.0.0),
            _ => None,
        })
        .collect()
}
