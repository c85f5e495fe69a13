//! The decisions on their own: who shares what, and what each waiter is told.

use load_balancer::{ClassId, Micros, RequestId, TenantId};
use request_coalescing::*;

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn flight(id: u32) -> FlightId {
    FlightId(RequestId(id))
}

struct Rig {
    joining: Coalescer,
    now: Micros,
}

impl Rig {
    fn new() -> Rig {
        Rig::with(Bounds::default())
    }

    fn with(bounds: Bounds) -> Rig {
        let joining = Coalescer::new(
            bounds,
            &[ClassSettings {
                latency_objective: ms(100),
                needs: ms(20),
            }],
        )
        .advising(Some(ms(1_000)));
        Rig {
            joining,
            now: ms(10_000),
        }
    }

    fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.joining.handle(self.now, event, &mut actions);
        actions
    }

    fn read_of(&mut self, id: u32, key: &[u8], what: &[u8], wait: u64) -> Action {
        let expires = self.now.plus(ms(wait));
        let read = Read {
            id: RequestId(id),
            class: ClassId(0),
            tenant: Some(TenantId(1)),
            key,
            what,
            expires,
        };
        let actions = self.event(Event::Read(read));
        assert_eq!(actions.len(), 1, "{actions:?}");
        actions[0]
    }

    /// A read of the one key, for a second.
    fn read(&mut self, id: u32) -> Action {
        self.read_of(id, b"key", b"", 1_000)
    }

    fn write(&mut self) {
        assert_eq!(self.event(Event::Write { key: b"key" }), []);
    }

    fn ended(&mut self, id: u32, how: FlightOutcome) -> Vec<Action> {
        self.event(Event::Ended {
            flight: flight(id),
            how,
        })
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now.plus(ms(millis));
    }

    /// Flights of other keys that take so long, until their class is known.
    fn learn(&mut self, millis: u64) {
        for id in 900_000..900_064 {
            assert_eq!(
                self.read_of(id, &id.to_le_bytes(), b"", 10_000),
                Action::Open { flight: flight(id) }
            );
            self.pass(millis);
            assert_eq!(self.ended(id, FlightOutcome::Served).len(), 1);
        }
    }
}

fn joins(action: Action) -> Option<u32> {
    match action {
        Action::Join { flight, .. } => Some(flight.0.0),
        _ => None,
    }
}

fn told(actions: &[Action]) -> Vec<(u32, FlightOutcome)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Answer { id, how } => Some((id.0, *how)),
            _ => None,
        })
        .collect()
}

fn withdrawn(actions: &[Action]) -> Vec<u32> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Withdraw { flight } => Some(flight.0.0),
            _ => None,
        })
        .collect()
}

#[test]
fn all_who_ask_for_the_same_wait_for_one_flight_and_nothing_outlives_it() {
    let mut rig = Rig::new();
    assert_eq!(rig.read(1), Action::Open { flight: flight(1) });
    for id in 2..=500 {
        assert_eq!(joins(rig.read(id)), Some(1));
    }
    let actions = rig.ended(1, FlightOutcome::Served);
    assert_eq!(
        told(&actions),
        (1..=500)
            .map(|id| (id, FlightOutcome::Served))
            .collect::<Vec<_>>()
    );
    assert_eq!(rig.joining.held(), (0, 0));
    assert_eq!(rig.joining.next_due(), None);
    assert_eq!(
        rig.read(501),
        Action::Open {
            flight: flight(501)
        },
        "no value is kept"
    );
}

#[test]
fn reads_that_differ_in_what_changes_the_answer_do_not_meet() {
    let mut rig = Rig::new();
    rig.read(1);
    assert_eq!(
        rig.read_of(2, b"key", b"size=2", 1_000),
        Action::Open { flight: flight(2) }
    );
    assert_eq!(
        rig.read_of(3, b"other", b"", 1_000),
        Action::Open { flight: flight(3) }
    );
    assert_eq!(joins(rig.read_of(4, b"key", b"size=2", 1_000)), Some(2));
}

#[test]
fn a_read_after_a_write_never_joins_a_flight_from_before_its_begin_or_its_end() {
    let mut rig = Rig::new();
    rig.read(1);
    rig.write();
    assert_eq!(
        rig.read(2),
        Action::Open { flight: flight(2) },
        "after its begin"
    );
    assert_eq!(joins(rig.read(3)), Some(2), "those after it share");
    rig.write();
    assert_eq!(
        rig.read(4),
        Action::Open { flight: flight(4) },
        "after its end"
    );
    assert_eq!(
        told(&rig.ended(1, FlightOutcome::Served)),
        [(1, FlightOutcome::Served)],
        "what it was opened for it still serves"
    );
}

/// The second flight is younger than what the first's waiters asked for, but not the other way round.
#[test]
fn an_answer_serves_earlier_flights_and_never_later_ones() {
    let mut rig = Rig::new();
    rig.read(1);
    rig.write();
    rig.read(2);
    rig.write();
    rig.read(3);
    let actions = rig.ended(2, FlightOutcome::Served);
    assert_eq!(
        told(&actions),
        [(2, FlightOutcome::Served), (1, FlightOutcome::Served)]
    );
    assert_eq!(withdrawn(&actions), [1]);
    assert_eq!(rig.joining.held(), (1, 1), "the flight of 3 goes on");
    assert_eq!(told(&rig.ended(1, FlightOutcome::Served)), [], "it is over");
}

#[test]
fn a_waiter_is_told_at_its_own_deadline_and_neither_ends_nor_shortens_the_flight() {
    let mut rig = Rig::new();
    rig.read(1);
    let Action::Join { expires, .. } = rig.read_of(2, b"key", b"", 50) else {
        panic!("joined")
    };
    assert_eq!(expires, rig.now.plus(ms(1_000)), "not shortened");
    assert_eq!(rig.joining.next_due(), Some(rig.now.plus(ms(50))));
    rig.pass(49);
    assert_eq!(rig.event(Event::Due), []);
    rig.pass(1);
    let actions = rig.event(Event::Due);
    assert!(
        matches!(told(&actions)[..], [(2, FlightOutcome::Rejected(Some(_)))]),
        "{actions:?}"
    );
    assert_eq!(withdrawn(&actions), []);
    assert_eq!(
        told(&rig.ended(1, FlightOutcome::Served)),
        [(1, FlightOutcome::Served)]
    );
}

#[test]
fn a_waiter_with_more_time_lengthens_the_flight() {
    let mut rig = Rig::new();
    rig.read(1);
    let Action::Join { expires, .. } = rig.read_of(2, b"key", b"", 4_000) else {
        panic!("joined")
    };
    assert_eq!(expires, rig.now.plus(ms(4_000)));
}

#[test]
fn the_leader_leaves_and_the_flight_goes_on_until_the_last_one_does() {
    let mut rig = Rig::new();
    rig.read(1);
    rig.read(2);
    rig.read(3);
    assert_eq!(
        rig.event(Event::ClientDisconnected { id: RequestId(1) }),
        []
    );
    assert_eq!(
        rig.event(Event::ClientDisconnected { id: RequestId(3) }),
        []
    );
    assert_eq!(joins(rig.read(4)), Some(1));
    assert_eq!(
        rig.event(Event::ClientDisconnected { id: RequestId(2) }),
        []
    );
    assert_eq!(
        withdrawn(&rig.event(Event::ClientDisconnected { id: RequestId(4) })),
        [1]
    );
    assert_eq!(rig.joining.held(), (0, 0));
    assert_eq!(
        rig.event(Event::ClientDisconnected { id: RequestId(4) }),
        [],
        "said twice"
    );
}

#[test]
fn the_last_ones_deadline_ends_the_flight() {
    let mut rig = Rig::new();
    rig.read(1);
    rig.pass(1_000);
    assert_eq!(withdrawn(&rig.event(Event::Due)), [1]);
    assert_eq!(rig.joining.held(), (0, 0));
}

#[test]
fn a_flight_that_hangs_is_joined_no_more_and_a_second_one_is_the_last() {
    let mut rig = Rig::new();
    rig.learn(10);
    rig.read(1);
    rig.pass(20);
    assert_eq!(
        joins(rig.read(2)),
        Some(1),
        "twice what is long, and no more"
    );
    rig.pass(1);
    assert_eq!(rig.read(3), Action::Open { flight: flight(3) });
    assert_eq!(joins(rig.read(4)), Some(3));
    rig.pass(21);
    assert_eq!(joins(rig.read(5)), Some(3), "a third one would be too many");
    let actions = rig.ended(3, FlightOutcome::Served);
    assert_eq!(
        told(&actions).len(),
        5,
        "those of the hanging one have the answer too"
    );
    assert_eq!(withdrawn(&actions), [1]);
    assert_eq!(rig.joining.counters().second, 1);
}

#[test]
fn a_refusal_goes_to_all_at_once_and_calls_them_back_at_different_times() {
    let mut rig = Rig::new();
    (1..=500).for_each(|id| _ = rig.read(id));
    let told = told(&rig.ended(1, FlightOutcome::Rejected(Some(ms(100)))));
    assert_eq!(told.len(), 500);
    let mut back: Vec<u64> = told
        .iter()
        .map(|(_, how)| match how {
            FlightOutcome::Rejected(Some(after)) => after.0,
            how => panic!("{how:?}"),
        })
        .collect();
    back.sort_unstable();
    assert!(back[0] >= 100_000 && back[499] <= 200_000, "{back:?}");
    let widest = back
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .expect("pairs");
    assert!(
        widest < 2_000,
        "500 over 100 ms: no more than ten times their mean distance of 200 us, not {widest}"
    );
}

#[test]
fn a_failure_goes_to_all_as_it_is() {
    let mut rig = Rig::new();
    rig.read(1);
    rig.read(2);
    assert_eq!(
        told(&rig.ended(1, FlightOutcome::Failed)),
        [(1, FlightOutcome::Failed), (2, FlightOutcome::Failed)]
    );
}

#[test]
fn with_a_further_attempt_those_whom_it_cannot_help_are_told_at_once() {
    let mut rig = Rig::new();
    rig.read(1);
    rig.read_of(2, b"key", b"", 100);
    rig.read_of(3, b"key", b"", 101);
    rig.pass(81);
    let actions = rig.event(Event::Retried { flight: flight(1) });
    assert!(
        matches!(told(&actions)[..], [(2, FlightOutcome::Rejected(Some(_)))]),
        "{actions:?}"
    );
    assert_eq!(withdrawn(&actions), []);
    assert_eq!(
        told(&rig.ended(1, FlightOutcome::Served)),
        [(1, FlightOutcome::Served), (3, FlightOutcome::Served)]
    );
}

/// What the decision library allowed for the one with the most time is not taken from it a moment later.
#[test]
fn the_one_with_the_most_time_keeps_its_further_attempt() {
    let mut rig = Rig::new();
    rig.read_of(1, b"key", b"", 100);
    rig.pass(81);
    assert_eq!(rig.event(Event::Retried { flight: flight(1) }), []);
}

#[test]
fn a_flight_lasts_as_long_as_the_longest_of_those_who_still_wait() {
    let mut rig = Rig::new();
    let start = rig.now;
    rig.read_of(1, b"key", b"", 300);
    rig.read_of(2, b"key", b"", 900);
    rig.read_of(3, b"key", b"", 500);
    let shorten = |millis| {
        [Action::Shorten {
            flight: flight(1),
            expires: start.plus(ms(millis)),
        }]
    };
    assert_eq!(
        rig.event(Event::ClientDisconnected { id: RequestId(2) }),
        shorten(500)
    );
    assert_eq!(
        rig.event(Event::ClientDisconnected { id: RequestId(1) }),
        []
    );
    let Action::Join { expires, .. } = rig.read_of(4, b"key", b"", 400) else {
        panic!("joined")
    };
    assert_eq!(expires, start.plus(ms(500)));
    assert_eq!(
        rig.event(Event::ClientDisconnected { id: RequestId(3) }),
        shorten(400)
    );
}

#[test]
fn past_each_bound_reads_travel_alone() {
    let bounds = Bounds {
        waiters: 5,
        waiters_per_flight: 3,
        flights_per_key: 2,
        second_flights: 1,
    };
    let mut rig = Rig::with(bounds);
    let alone = |id| Action::Alone { id: RequestId(id) };
    (1..=3).for_each(|id| _ = rig.read(id));
    assert_eq!(rig.read(4), alone(4), "the flight is full");
    assert_eq!(
        rig.read_of(5, b"key", b"x", 1_000),
        Action::Open { flight: flight(5) }
    );
    assert_eq!(
        rig.read_of(6, b"key", b"y", 1_000),
        alone(6),
        "the key has its flights"
    );
    assert_eq!(
        rig.read_of(7, b"other", b"", 1_000),
        Action::Open { flight: flight(7) }
    );
    assert_eq!(
        rig.read_of(8, b"third", b"", 1_000),
        alone(8),
        "enough wait in all"
    );
    assert_eq!(rig.joining.counters().alone, 3);
    rig.ended(7, FlightOutcome::Served);
    assert_eq!(
        rig.read_of(9, b"third", b"", 1_000),
        Action::Open { flight: flight(9) },
        "there is room again"
    );
}

mod any_order {
    use super::*;
    use proptest::prelude::*;
    use std::collections::{BTreeMap, BTreeSet};

    #[derive(Clone, Debug)]
    enum Step {
        Read(u8, u8, u16),
        Write(u8),
        Gone(prop::sample::Index),
        Retried(prop::sample::Index),
        Ended(prop::sample::Index, u8),
        Pass(u16),
    }

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            6 => (0..3_u8, 0..2_u8, 1..400_u16).prop_map(|(key, what, wait)| Step::Read(key, what, wait)),
            1 => (0..3_u8).prop_map(Step::Write),
            1 => any::<prop::sample::Index>().prop_map(Step::Gone),
            1 => any::<prop::sample::Index>().prop_map(Step::Retried),
            2 => (any::<prop::sample::Index>(), 0..3_u8).prop_map(|(index, how)| Step::Ended(index, how)),
            3 => (0..150_u16).prop_map(Step::Pass),
        ]
    }

    /// What a reader of the specification knows of a read.
    struct Asked {
        key: u8,
        what: u8,
        came: usize,
        expires: Micros,
    }

    proptest! {
        /// Whatever happens: each read has one answer, none later than its deadline, none from a flight for another
        /// thing or from before a write that it came after; flights without waiters are withdrawn, and nothing is left.
        #[test]
        fn each_read_is_answered_once_in_time_and_from_no_older_flight(steps in prop::collection::vec(step(), 1..200)) {
            let mut rig = Rig::with(Bounds { waiters: 40, waiters_per_flight: 10, flights_per_key: 4, second_flights: 1 });
            let (mut asked, mut waiting, mut flights): (BTreeMap<u32, Asked>, BTreeSet<u32>, BTreeSet<u32>) = Default::default();
            let mut written = [0; 3];
            for (moment, step) in steps.iter().enumerate() {
                let moment = moment + 1;
                let id = moment as u32;
                let mut ended = None;
                let actions = match step {
                    Step::Read(key, what, wait) => {
                        let expires = rig.now.plus(ms(u64::from(*wait)));
                        asked.insert(id, Asked { key: *key, what: *what, came: moment, expires });
                        let (key, what) = ([*key], [*what]);
                        let (id, class) = (RequestId(id), ClassId(0));
                        rig.event(Event::Read(Read { id, class, tenant: None, key: &key, what: &what, expires }))
                    }
                    Step::Write(key) => {
                        written[usize::from(*key)] = moment;
                        rig.event(Event::Write { key: &[*key] })
                    }
                    Step::Gone(index) if !waiting.is_empty() => {
                        let id = *index.get(&waiting.iter().copied().collect::<Vec<_>>());
                        waiting.remove(&id);
                        rig.event(Event::ClientDisconnected { id: RequestId(id) })
                    }
                    Step::Retried(index) if !flights.is_empty() => {
                        let id = *index.get(&flights.iter().copied().collect::<Vec<_>>());
                        rig.event(Event::Retried { flight: flight(id) })
                    }
                    Step::Ended(index, how) if !flights.is_empty() => {
                        let id = *index.get(&flights.iter().copied().collect::<Vec<_>>());
                        ended = Some(id);
                        flights.remove(&id);
                        rig.ended(id, [FlightOutcome::Served, FlightOutcome::Rejected(None), FlightOutcome::Failed][usize::from(*how)])
                    }
                    Step::Pass(millis) => {
                        let end = rig.now.plus(ms(u64::from(*millis)));
                        let mut actions = Vec::new();
                        while let Some(due) = rig.joining.next_due().filter(|&due| due <= end) {
                            prop_assert!(due >= rig.now);
                            rig.now = due;
                            let told = rig.event(Event::Due);
                            for (id, _) in super::told(&told) {
                                prop_assert_eq!(asked[&id].expires, due);
                            }
                            actions.extend(told);
                        }
                        rig.now = end;
                        actions
                    }
                    _ => Vec::new(),
                };
                for action in actions {
                    match action {
                        Action::Open { flight } => {
                            prop_assert_eq!(flight.0.0, id);
                            prop_assert!(flights.insert(id) && waiting.insert(id));
                        }
                        Action::Join { flight, expires, .. } => {
                            let (read, first) = (&asked[&id], &asked[&flight.0.0]);
                            prop_assert!(flights.contains(&flight.0.0) && waiting.insert(id));
                            prop_assert_eq!((read.key, read.what), (first.key, first.what));
                            prop_assert!(first.came > written[usize::from(read.key)], "from before a write");
                            prop_assert!(expires >= read.expires);
                        }
                        Action::Alone { id: alone } => prop_assert_eq!(alone.0, id),
                        Action::Answer { id, how } => {
                            prop_assert!(waiting.remove(&id.0), "answered twice, or unasked");
                            let is_pass = matches!(step, Step::Pass(_));
                            prop_assert!(is_pass || rig.now <= asked[&id.0].expires);
                            if how == FlightOutcome::Served {
                                let (read, first) = (&asked[&id.0], &asked[&ended.expect("a flight")]);
                                prop_assert_eq!((read.key, read.what), (first.key, first.what));
                            }
                        }
                        Action::Shorten { flight, .. } => prop_assert!(flights.contains(&flight.0.0)),
                        Action::Withdraw { flight } => prop_assert!(flights.remove(&flight.0.0)),
                    }
                }
                let (waiters, out) = rig.joining.held();
                prop_assert_eq!((waiters, out), (waiting.len(), flights.len()));
                prop_assert!(out <= waiters, "a flight without a waiter");
            }
            while let Some(due) = rig.joining.next_due() {
                rig.now = due;
                rig.event(Event::Due);
            }
            prop_assert_eq!(rig.joining.held(), (0, 0));
        }
    }
}
