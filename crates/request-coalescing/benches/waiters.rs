//! What the decisions take for each waiter: it joins, and it is told. `cargo bench -p request-coalescing`.
#![allow(missing_docs)] // A program.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use load_balancer::{ClassId, Micros, RequestId};
use request_coalescing::*;
use std::hint::black_box;

fn round(joining: &mut Coalescer, first: u32, waiters: u32, actions: &mut Vec<Action>) {
    let now = Micros::from_millis(10_000 + u64::from(first));
    for id in first..first + waiters {
        let expires = now.plus(Micros::from_millis(1_000 + u64::from(id % 7)));
        let (id, class) = (RequestId(id), ClassId(0));
        let read = Read {
            id,
            class,
            tenant: None,
            key: b"7f3a9c21e0b4d655",
            what: b"",
            expires,
        };
        joining.handle(now, Event::Read(read), actions);
    }
    let flight = FlightId(RequestId(first));
    joining.handle(
        now.plus(Micros::from_millis(5)),
        Event::Ended {
            flight,
            how: FlightOutcome::Served,
        },
        actions,
    );
    black_box(&actions);
    actions.clear();
}

fn waiters(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("waiters of one flight");
    for waiters in [1, 500, 5_000] {
        group.throughput(Throughput::Elements(u64::from(waiters)));
        group.bench_with_input(
            BenchmarkId::from_parameter(waiters),
            &waiters,
            |bencher, &waiters| {
                let latency_objective = Micros::from_millis(100);
                let mut joining = Coalescer::new(
                    Bounds::default(),
                    &[ClassSettings {
                        latency_objective,
                        needs: latency_objective.scaled(0.2),
                    }],
                );
                let (mut first, mut actions) = (0, Vec::new());
                bencher.iter(|| {
                    first = (first + waiters) % 1_000_000_000;
                    round(&mut joining, first, waiters, &mut actions);
                });
            },
        );
    }
    group.finish();
}

criterion_group!(benches, waiters);
criterion_main!(benches);
