//! Measures the cost of the coalescer's decisions for one waiter, from joining a flight to its
//! answer. Run with `cargo bench -p request-coalescing`.
#![allow(missing_docs)] // A program.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use load_balancer::{ClassId, Micros, RequestId};
use request_coalescing::*;
use std::hint::black_box;

/// Opens one flight, lets `waiters` reads share it, and serves it. Ids are consecutive from
/// `first_id` on.
fn serve_one_flight(
    coalescer: &mut Coalescer,
    first_id: u32,
    waiters: u32,
    actions: &mut Vec<Action>,
) {
    let now = Micros::from_millis(10_000 + u64::from(first_id));
    for id in first_id..first_id + waiters {
        let read = Read {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            key: b"7f3a9c21e0b4d655",
            variant: b"",
            expires: now.plus(Micros::from_millis(1_000 + u64::from(id % 7))),
        };
        coalescer.handle(now, Event::Read(read), actions);
    }
    let served = Event::FlightEnded {
        flight: FlightId(RequestId(first_id)),
        outcome: FlightOutcome::Served,
    };
    coalescer.handle(now.plus(Micros::from_millis(5)), served, actions);
    black_box(&actions);
    actions.clear();
}

fn waiters(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("waiters of one flight");
    let latency_objective = Micros::from_millis(100);
    let class = ClassSettings {
        latency_objective,
        minimum_retry_time: latency_objective.scaled(0.2),
    };
    for waiters in [1, 500, 5_000] {
        group.throughput(Throughput::Elements(u64::from(waiters)));
        let id = BenchmarkId::from_parameter(waiters);
        group.bench_with_input(id, &waiters, |bencher, &waiters| {
            let mut coalescer = Coalescer::new(Bounds::default(), &[class]);
            let mut first_id = 0;
            let mut actions = Vec::new();
            bencher.iter(|| {
                first_id = (first_id + waiters) % 1_000_000_000;
                serve_one_flight(&mut coalescer, first_id, waiters, &mut actions);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, waiters);
criterion_main!(benches);
