//! The warm state that an earlier version of the program handed over is read, restored, and written again byte for
//! byte.
//!
//! The bytes are that program's own: the form is not self-describing, so that a field that is added, moved or of
//! another type spoils all that follow it.

use hot_restart::message::Message;
use load_balancer::{
    Action, AttemptEnd, AttemptNumber, CacheStatus, Class, ClassId, Endpoint, EndpointUpdate,
    Event, Idempotency, Micros, Outcome, Request, RequestId, Router, ServerId, Settings, WarmState,
};

/// The clock of the earlier program when it wrote the bytes.
const GOLDEN_CLOCK: Micros = Micros(100_720_000);

/// The earlier program's bytes: 3 servers, 17 keys, an origin that was asked for new and for known keys.
fn golden_bytes() -> Vec<u8> {
    let message = include_bytes!("../../hot-restart/tests/golden/state.message");
    let message = Message::decode(message).expect("readable");
    message.into_state("n1").expect("of this router").warm_state
}

/// A router with the earlier one's settings and endpoints, new to all else.
fn new_router() -> Router {
    let class = Class {
        latency_objective: Micros::from_millis(300),
        deadline: Micros::from_millis(1_000),
        priority_weight: 1.0,
        late_weight: 0.3,
        idempotency: Idempotency::Idempotent,
    };
    let settings = Settings {
        routers: 4,
        classes: vec![class],
        ..Settings::default()
    };
    let mut router = Router::new(settings, 1).expect("usable settings");
    let endpoints = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"]
        .map(|name| Endpoint::ready(ServerId::from(name)))
        .to_vec();
    let event = Event::EndpointsChanged {
        update: EndpointUpdate::Snapshot,
        endpoints,
    };
    router.handle(Micros::from_millis(100_000), event, &mut Vec::new());
    router
}

#[test]
fn the_golden_warm_state_is_read_restored_and_written_unchanged() {
    let bytes = golden_bytes();
    let (warm_state, rest) = postcard::take_from_bytes::<WarmState>(&bytes).expect("readable");
    assert!(rest.is_empty(), "{} bytes are left over", rest.len());
    let mut router = new_router();
    let cold = postcard::to_stdvec(&router.warm_state()).expect("written");
    assert_ne!(cold, bytes, "the bytes say more than a new router knows");
    router.restore_warm_state(GOLDEN_CLOCK, warm_state);
    let written = postcard::to_stdvec(&router.warm_state()).expect("written");
    assert_eq!(written, bytes);
}

/// Request `number` of the earlier program's run, and its answer if it is sent; the time after that.
fn replay_request(router: &mut Router, number: u32, now: Micros) -> Micros {
    let request = Request {
        id: RequestId(number),
        class: ClassId(0),
        tenant: None,
        key: Some(u64::from(number % 17)),
        expires: now.plus(Micros::from_millis(800)),
        cost_hint: None,
        retry: false,
        write: false,
    };
    let mut actions = Vec::new();
    router.handle(now, Event::Request(request), &mut actions);
    let is_sent = actions
        .iter()
        .any(|action| matches!(action, Action::Send { .. }));
    if !is_sent {
        return now;
    }
    let elapsed = Micros::from_millis(3 + u64::from(number % 5));
    let is_miss = number.is_multiple_of(4);
    let end = AttemptEnd {
        complete: true,
        cache_status: Some(if is_miss {
            CacheStatus::Miss
        } else {
            CacheStatus::Hit
        }),
        ..AttemptEnd::new(
            RequestId(number),
            AttemptNumber(0),
            Outcome::Success,
            elapsed,
        )
    };
    let completed_at = now.plus(elapsed);
    router.handle(completed_at, Event::AttemptEnded(end), &mut actions);
    completed_at
}

/// A field that changes its place with another of its type is read and written alike, and yet means another thing.
#[test]
fn replayed_events_produce_the_golden_warm_state() {
    let mut router = new_router();
    let mut now = Micros::from_millis(100_000);
    for number in 0..60 {
        now = replay_request(&mut router, number, now.plus(Micros::from_millis(7)));
    }
    assert_eq!(now, GOLDEN_CLOCK);
    let written = postcard::to_stdvec(&router.warm_state()).expect("written");
    assert_eq!(written, golden_bytes());
}

#[test]
fn a_truncated_warm_state_is_rejected_at_every_length() {
    let bytes = golden_bytes();
    for length in 0..bytes.len() {
        assert!(
            postcard::from_bytes::<WarmState>(&bytes[..length]).is_err(),
            "{length}"
        );
    }
}
