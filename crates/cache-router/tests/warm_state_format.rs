//! Compatibility of the stored warm state: the golden bytes of an earlier version are decoded,
//! restored, and encoded again without any difference.
//!
//! The golden bytes were written by that version. The format is not self-describing, so a field
//! that is added, moved or changed in type corrupts all fields after it.

use hot_restart::message::Message;
use load_balancer::{
    Action, AttemptEnd, AttemptNumber, CacheStatus, Class, ClassId, Endpoint, EndpointUpdate,
    Event, Idempotency, Micros, Outcome, Request, RequestId, Router, ServerId, Settings, WarmState,
};

/// The clock of the earlier version when it wrote the golden bytes.
const GOLDEN_CLOCK: Micros = Micros(100_720_000);

/// Returns the golden bytes. They hold 3 servers, 17 keys, and an origin that was asked for new and
/// for known keys.
fn golden_bytes() -> Vec<u8> {
    let message = include_bytes!("../../hot-restart/tests/golden/state.message");
    let message = Message::decode(message).expect("failed to decode");
    message
        .into_state("n1")
        .expect("state of another router")
        .warm_state
}

/// Creates a router with the settings and endpoints of the earlier one, without any other state.
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
    let mut router = Router::new(settings, 1).expect("invalid settings");
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
    let (warm_state, rest) =
        postcard::take_from_bytes::<WarmState>(&bytes).expect("failed to decode");
    assert!(
        rest.is_empty(),
        "{} bytes are left over after decoding",
        rest.len()
    );
    let mut router = new_router();
    let cold = postcard::to_stdvec(&router.warm_state()).expect("failed to encode");
    assert_ne!(
        cold, bytes,
        "the golden bytes hold no more than the state of a new router"
    );
    router.restore_warm_state(GOLDEN_CLOCK, warm_state);
    let written = postcard::to_stdvec(&router.warm_state()).expect("failed to encode");
    assert_eq!(written, bytes);
}

/// Replays request `number` of the earlier version's run, and its answer if the request is sent.
/// Returns the time afterwards.
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
        is_answered: true,
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

/// Guards against two fields of the same type that swap places: they would be read and written
/// without a difference, but with the wrong meaning.
#[test]
fn replayed_events_produce_the_golden_warm_state() {
    let mut router = new_router();
    let mut now = Micros::from_millis(100_000);
    for number in 0..60 {
        now = replay_request(&mut router, number, now.plus(Micros::from_millis(7)));
    }
    assert_eq!(now, GOLDEN_CLOCK);
    let written = postcard::to_stdvec(&router.warm_state()).expect("failed to encode");
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

/// Guards against processes of an earlier version that reject a warm state, which they read with
/// [`postcard::from_bytes`], for the time that follows it.
#[test]
fn the_time_after_a_warm_state_does_not_disturb_earlier_versions() {
    let mut bytes = golden_bytes();
    let expected: WarmState = postcard::from_bytes(&bytes).expect("failed to decode");
    let taken_at = postcard::to_stdvec(&1_700_000_000_000_000_u64).expect("failed to encode");
    bytes.extend(taken_at);
    let read: WarmState = postcard::from_bytes(&bytes).expect("failed to decode");
    assert_eq!(read, expected);
}

#[test]
fn ages_stay_the_same_on_another_clock() {
    let bytes = golden_bytes();
    let warm_state: WarmState = postcard::from_bytes(&bytes).expect("failed to decode");
    let wall = 1_700_000_000_000_000;
    let stored = warm_state.clone().moved_to_clock(GOLDEN_CLOCK.0, wall);
    assert_ne!(stored, warm_state);
    assert_eq!(stored.moved_to_clock(wall, GOLDEN_CLOCK.0), warm_state);
}
