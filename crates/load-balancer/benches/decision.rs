//! Benchmark of a router's decisions for fleets of several sizes: one request with its attempt and
//! its answer. Run with `cargo bench -p load-balancer`.
#![allow(missing_docs)] // A binary target has no public API.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use load_balancer::*;
use std::hint::black_box;

/// Other requests in flight while a request is measured, as on a busy router.
const IN_FLIGHT_COUNT: u32 = 32;
/// The number of distinct keys that are requested.
const KEY_COUNT: u64 = 2_000;

struct Fleet {
    router: Router,
    now: Micros,
    next_id: u32,
    in_flight: Vec<RequestId>,
    actions: Vec<Action>,
}

impl Fleet {
    fn new(servers: usize) -> Fleet {
        let latency_objective = Micros::from_millis(300);
        let class = Class {
            latency_objective,
            deadline: latency_objective.scaled(4.0),
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::Idempotent,
        };
        let settings = Settings {
            routers: 4,
            classes: vec![class],
            ..Settings::default()
        };
        let mut router = Router::new(settings, 7).expect("usable settings");
        let endpoints = (0..servers)
            .map(|i| Endpoint::ready(format!("10.0.{}.{}:80", i / 250, i % 250).as_str().into()));
        let (now, mut actions) = (Micros::from_millis(100_000), Vec::new());
        let endpoints = endpoints.collect();
        router.handle(
            now,
            Event::EndpointsChanged {
                update: EndpointUpdate::Snapshot,
                endpoints,
            },
            &mut actions,
        );
        actions.clear();
        let mut fleet = Fleet {
            router,
            now,
            next_id: 0,
            in_flight: Vec::new(),
            actions,
        };
        for _ in 0..IN_FLIGHT_COUNT {
            fleet.request();
        }
        fleet
    }

    fn request(&mut self) {
        self.next_id = self.next_id.wrapping_add(1);
        self.now = self.now.plus(Micros(1_000));
        let id = RequestId(self.next_id);
        let request = Request {
            id,
            class: ClassId(0),
            tenant: None,
            key: Some(u64::from(self.next_id).wrapping_mul(0x9E37_79B9_7F4A_7C15) % KEY_COUNT),
            expires: self.now.plus(Micros::from_millis(1_200)),
            cost_hint: None,
            retry: false,
            write: false,
        };
        self.router
            .handle(self.now, Event::Request(request), &mut self.actions);
        if self
            .actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }))
        {
            self.in_flight.push(id);
        }
        black_box(&self.actions);
        self.actions.clear();
    }

    /// Ends the attempt of the oldest request in flight with a success.
    fn serve(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let id = self.in_flight.remove(0);
        let end = AttemptEnd::new(
            id,
            AttemptNumber(0),
            Outcome::Success,
            Micros::from_millis(u64::from(IN_FLIGHT_COUNT)),
        );
        let end = AttemptEnd {
            is_answered: true,
            cache_status: Some(CacheStatus::Hit),
            ..end
        };
        self.router
            .handle(self.now, Event::AttemptEnded(end), &mut self.actions);
        self.actions.clear();
    }
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a request and its answer");
    for servers in [15, 100, 1_000] {
        group.bench_with_input(
            BenchmarkId::from_parameter(servers),
            &servers,
            |bencher, &servers| {
                let mut fleet = Fleet::new(servers);
                bencher.iter(|| {
                    fleet.request();
                    fleet.serve();
                });
            },
        );
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
