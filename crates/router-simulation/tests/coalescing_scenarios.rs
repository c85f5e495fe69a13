//! Joining's hard cases at an exact microsecond, with the real engine in between and the judge throughout.

use router_simulation::executor::Time;
use router_simulation::fault_plan::{MILLI, SECOND};
use router_simulation::scenario::{DEADLINE, Does, LATENCY, Scene, Told};

fn text(told: &Told) -> String {
    told.borrow()
        .iter()
        .map(|(_, bytes)| String::from_utf8_lossy(bytes).into_owned())
        .collect()
}

fn served(told: &Told) -> usize {
    text(told).matches("@scene;").count()
}

fn refused(told: &Told) -> usize {
    text(told).matches("-BUSY").count()
}

/// 500 reads for one key over 50 connections, all at the router's machine at this time.
fn crowd(scene: &Scene, at: Time, key: u64, wait: Time) -> Vec<Told> {
    let ask = |_| {
        let bytes: Vec<u8> = (0..10).flat_map(|_| scene.words(0, key, wait).0).collect();
        scene.client(vec![(at - LATENCY, bytes)], None)
    };
    (0..50).map(ask).collect()
}

fn all(told: &[Told], count: fn(&Told) -> usize) -> usize {
    told.iter().map(count).sum()
}

/// Nothing was broken, and nothing is held.
fn ends_well(scene: &Scene) {
    assert_eq!(scene.breaches().len(), 0, "{:#?}", scene.breaches());
    let held = scene.engine.resource_usage();
    assert_eq!(
        (
            held.unanswered_requests,
            held.open_requests,
            held.tracked_requests,
            held.coalesced_waiters,
            held.coalesced_flights
        ),
        (0, 0, 0, 0, 0),
        "{held:?}"
    );
}

/// The owner of a key among these servers.
fn owner(servers: usize, key: u64) -> usize {
    let scene = Scene::new(servers, 1);
    scene.ask_at(SECOND, 0, key, SECOND);
    scene.run_until(2 * SECOND);
    (0..servers)
        .find(|&server| !scene.seen(server).is_empty())
        .expect("one has it")
}

#[test]
fn five_hundred_identical_reads_at_once_are_one_fetch() {
    for seed in 0..5 {
        let scene = Scene::joining(3, seed);
        scene.all_do(&Does::Serves(100 * MILLI));
        let told = crowd(&scene, SECOND, 7, SECOND);
        scene.run_until(3 * SECOND);
        assert_eq!(scene.all_seen(), 1);
        assert_eq!(all(&told, served), 500);
        ends_well(&scene);
    }
}

#[test]
fn without_joining_they_are_as_many_as_the_limits_let_through() {
    let scene = Scene::new(3, 1);
    scene.all_do(&Does::Serves(100 * MILLI));
    crowd(&scene, SECOND, 7, SECOND);
    scene.run_until(3 * SECOND);
    assert!(scene.all_seen() > 10, "{}", scene.all_seen());
}

#[test]
fn a_failed_flight_is_tried_once_more_for_all() {
    for does in [
        Does::Resets(50 * MILLI),
        Does::Says(50 * MILLI, b"-BUSY\r\n"),
    ] {
        let scene = Scene::joining(3, 1);
        let owner = owner(3, 7);
        scene.all_do(&Does::Serves(50 * MILLI));
        scene.does(owner, does.clone());
        let told = crowd(&scene, SECOND, 7, SECOND);
        scene.run_until(3 * SECOND);
        assert_eq!(
            (scene.seen(owner).len(), scene.all_seen()),
            (1, 2),
            "{does:?}"
        );
        assert_eq!(all(&told, served), 500, "{does:?}");
        ends_well(&scene);
    }
}

#[test]
fn refused_by_all_the_group_is_told_at_once_and_called_back_at_different_times() {
    let scene = Scene::joining(3, 1);
    scene.all_do(&Does::Says(10 * MILLI, b"-BUSY\r\n"));
    let told = crowd(&scene, SECOND, 7, SECOND);
    scene.run_until(SECOND + 200 * MILLI);
    assert!(scene.all_seen() <= 5, "{} attempts", scene.all_seen());
    assert_eq!(all(&told, refused), 500, "long before their time is up");
    let said: String = told.iter().map(text).collect();
    let times: std::collections::BTreeSet<&str> = said.lines().collect();
    assert!(times.len() > 5, "{times:?}");
    ends_well(&scene);
}

#[test]
fn those_without_time_for_a_further_attempt_are_told_when_the_first_fails() {
    let scene = Scene::joining(2, 1);
    let owner = owner(2, 7);
    scene.all_do(&Does::Serves(300 * MILLI));
    scene.does(owner, Does::Resets(100 * MILLI));
    let long = scene.ask_at(SECOND, 0, 7, SECOND);
    // A fifth of the aim, 100 ms, is what a further attempt needs.
    let short = scene.ask_at(SECOND + MILLI, 0, 7, 150 * MILLI);
    scene.run_until(SECOND + 110 * MILLI);
    assert_eq!((refused(&short), served(&long)), (1, 0));
    scene.run_until(3 * SECOND);
    assert_eq!(served(&long), 1);
    ends_well(&scene);
}

#[test]
fn each_is_told_at_its_own_deadline_and_the_longest_lengthens_the_flight() {
    let scene = Scene::joining(1, 1);
    scene.all_do(&Does::Serves(700 * MILLI));
    let first = scene.ask_at(SECOND, 0, 7, 300 * MILLI);
    let long = scene.ask_at(SECOND + 50 * MILLI, 0, 7, 1_500 * MILLI);
    let short = scene.ask_at(SECOND + 60 * MILLI, 0, 7, 100 * MILLI);
    scene.run_until(4 * SECOND);
    assert_eq!((refused(&first), refused(&short), served(&long)), (1, 1, 1));
    assert_eq!(
        first.borrow()[0].0,
        SECOND + 300 * MILLI + LATENCY,
        "to the microsecond"
    );
    assert_eq!(short.borrow()[0].0, SECOND + 160 * MILLI + LATENCY);
    assert_eq!(
        scene.all_seen(),
        1,
        "the attempt that was out is the one that serves"
    );
    ends_well(&scene);
}

#[test]
fn the_flight_goes_on_without_its_leader_and_is_cancelled_without_anybody() {
    let scene = Scene::joining(1, 1);
    scene.all_do(&Does::Serves(500 * MILLI));
    let (bytes, _) = scene.words(0, 7, SECOND);
    scene.client(vec![(SECOND, bytes)], Some(SECOND + 100 * MILLI));
    let other = scene.ask_at(SECOND + 50 * MILLI, 0, 7, SECOND);
    scene.run_until(3 * SECOND);
    assert_eq!((served(&other), scene.all_seen()), (1, 1));
    let (bytes, _) = scene.words(0, 8, SECOND);
    let (more, _) = scene.words(0, 8, SECOND);
    scene.client(vec![(4 * SECOND, bytes)], Some(4 * SECOND + 100 * MILLI));
    scene.client(vec![(4 * SECOND, more)], Some(4 * SECOND + 200 * MILLI));
    scene.run_until(4 * SECOND + 199 * MILLI);
    assert_eq!(scene.engine.resource_usage().coalesced_flights, 1);
    scene.run_until(4 * SECOND + 210 * MILLI);
    ends_well(&scene);
    assert_eq!(
        scene.engine.resource_usage().idle_upstream_connections,
        0,
        "its connection went with it"
    );
}

#[test]
fn newcomers_to_a_flight_that_hangs_begin_a_second_and_no_third() {
    let scene = Scene::joining(2, 1);
    let owner = owner(2, 7);
    // What is usual is learnt from others: 5 ms.
    for key in 100..180 {
        scene.ask_at(SECOND + key * 10 * MILLI, 0, key, SECOND);
    }
    scene.run_until(3 * SECOND);
    let before = scene.all_seen();
    scene.does(owner, Does::Nothing);
    let first = crowd(&scene, 4 * SECOND, 7, DEADLINE);
    scene.run_until(4 * SECOND + 40 * MILLI);
    assert_eq!(scene.all_seen() - before, 1);
    scene.all_do(&Does::Serves(30 * MILLI));
    let second = crowd(&scene, 4 * SECOND + 50 * MILLI, 7, DEADLINE);
    let third = crowd(&scene, 4 * SECOND + 60 * MILLI, 7, DEADLINE);
    scene.run_until(5 * SECOND);
    assert_eq!(
        scene.all_seen() - before,
        2,
        "the cause that was lost, and one more"
    );
    assert_eq!(
        [&first, &second, &third].map(|told| all(told, served)),
        [500; 3],
        "the first crowd too"
    );
    scene.run_until(9 * SECOND);
    ends_well(&scene);
}

/// A read under way, a write, and reads that come after the write began, and after its answer.
fn around_a_write(write: Does) -> Scene {
    let scene = Scene::joining(1, 1);
    scene.all_do(&Does::Serves(400 * MILLI));
    let before = scene.ask_at(SECOND, 0, 7, DEADLINE);
    scene.run_until(SECOND + 10 * MILLI);
    scene.all_do(&write);
    scene.ask_at(SECOND + 50 * MILLI, 1, 7, 300 * MILLI);
    scene.run_until(SECOND + 60 * MILLI);
    scene.all_do(&Does::Serves(500 * MILLI));
    let during = scene.ask_at(SECOND + 70 * MILLI, 0, 7, DEADLINE);
    scene.run_until(SECOND + 399 * MILLI);
    let after = scene.ask_at(SECOND + 400 * MILLI, 0, 7, DEADLINE);
    scene.run_until(4 * SECOND);
    assert_eq!(
        (served(&before), served(&during), served(&after)),
        (1, 1, 1)
    );
    ends_well(&scene);
    scene
}

#[test]
fn no_read_after_a_write_has_an_answer_from_before_it() {
    // Served 100 ms later; failed, so that it may have run; and without an answer until its time is up.
    for write in [
        Does::Serves(100 * MILLI),
        Does::Says(100 * MILLI, b"-ERR failed\r\n"),
        Does::Nothing,
    ] {
        let scene = around_a_write(write.clone());
        let reads = scene.seen(0).iter().filter(|(_, call)| !call.write).count();
        assert_eq!(reads, 3, "{write:?}: each has one of its own");
    }
}

#[test]
fn a_write_for_another_key_ends_nothing() {
    let scene = Scene::joining(1, 1);
    scene.all_do(&Does::Serves(400 * MILLI));
    scene.ask_at(SECOND, 0, 7, DEADLINE);
    scene.ask_at(SECOND + 50 * MILLI, 1, 8, DEADLINE);
    scene.ask_at(SECOND + 70 * MILLI, 0, 7, DEADLINE);
    scene.run_until(4 * SECOND);
    assert_eq!(scene.all_seen(), 2);
    ends_well(&scene);
}

#[test]
fn writes_are_never_joined() {
    let scene = Scene::joining(1, 1);
    scene.all_do(&Does::Serves(50 * MILLI));
    for class in [1, 2, 3] {
        let before = scene.all_seen();
        let at = SECOND * class as Time;
        let told: Vec<Told> = (0..3).map(|_| scene.ask_at(at, class, 7, SECOND)).collect();
        scene.run_until(at + 900 * MILLI);
        assert_eq!(
            (scene.all_seen() - before, all(&told, served)),
            (3, 3),
            "class {class}"
        );
    }
    ends_well(&scene);
}

#[test]
fn a_large_answer_reaches_all_and_those_who_do_not_read_hold_nobody_up() {
    let scene = Scene::joining(1, 1);
    scene.all_do(&Does::ServesLarge(50 * MILLI, 65_536));
    // Each of them leaves ten answers of 64 KiB unread, with room for one on the way.
    for _ in 0..10 {
        let bytes: Vec<u8> = (0..10).flat_map(|_| scene.words(0, 7, SECOND).0).collect();
        scene.deaf_client(SECOND - LATENCY, bytes, 4 * SECOND);
    }
    let told = crowd(&scene, SECOND, 7, SECOND);
    scene.run_until(SECOND + 100 * MILLI);
    assert_eq!((scene.all_seen(), all(&told, served)), (1, 500));
    scene.run_until(6 * SECOND);
    ends_well(&scene);
}

#[test]
fn at_sigterm_all_who_wait_for_a_flight_are_answered() {
    let scene = Scene::joining(2, 1);
    scene.all_do(&Does::Serves(500 * MILLI));
    let told = crowd(&scene, SECOND, 7, SECOND);
    scene.run_until(SECOND + 20 * MILLI);
    scene.terminate();
    scene.run_until(SECOND + 20 * MILLI + DEADLINE + 700 * MILLI);
    assert!(scene.has_ended());
    assert_eq!((all(&told, served), scene.all_seen()), (500, 1));
    assert_eq!(scene.breaches().len(), 0, "{:#?}", scene.breaches());
}

#[test]
fn a_flight_outlasts_its_servers_drain_and_newcomers_share_it_still() {
    let scene = Scene::joining(2, 1);
    let owner = owner(2, 7);
    scene.all_do(&Does::Serves(500 * MILLI));
    let told = crowd(&scene, SECOND, 7, SECOND);
    scene.told_at(SECOND + 100 * MILLI, owner, "draining", 0);
    let late = crowd(&scene, SECOND + 400 * MILLI, 7, SECOND);
    scene.run_until(4 * SECOND);
    assert_eq!((scene.seen(owner).len(), scene.all_seen()), (1, 1));
    assert_eq!((all(&told, served), all(&late, served)), (500, 500));
    ends_well(&scene);
}

#[test]
fn a_server_that_goes_with_its_flight_costs_the_group_one_further_attempt() {
    let scene = Scene::joining(2, 1);
    let owner = owner(2, 7);
    scene.all_do(&Does::Serves(200 * MILLI));
    scene.does(owner, Does::Resets(300 * MILLI));
    let told = crowd(&scene, SECOND, 7, SECOND);
    scene.told_at(SECOND + 100 * MILLI, owner, "removed", 0);
    scene.run_until(4 * SECOND);
    assert_eq!(
        (
            scene.seen(owner).len(),
            scene.all_seen(),
            all(&told, served)
        ),
        (1, 2, 500)
    );
    ends_well(&scene);
}

#[test]
fn a_list_that_moves_the_key_leaves_the_flight_and_takes_the_next() {
    let scene = Scene::joining(2, 1);
    let owner = owner(2, 7);
    // The owner is not there at first.
    scene.told_at(500 * MILLI, owner, "removed", 0);
    scene.all_do(&Does::Serves(500 * MILLI));
    let told = crowd(&scene, SECOND, 7, SECOND);
    scene.told_at(SECOND + 100 * MILLI, owner, "up", 1_000);
    scene.run_until(SECOND + 400 * MILLI);
    assert_eq!((scene.seen(owner).len(), scene.all_seen()), (0, 1));
    let next = crowd(&scene, 3 * SECOND, 7, SECOND);
    scene.run_until(5 * SECOND);
    assert_eq!((scene.seen(owner).len(), scene.all_seen()), (1, 2));
    assert_eq!((all(&told, served), all(&next, served)), (500, 500));
    ends_well(&scene);
}

#[test]
fn one_client_may_wait_twice_on_one_connection_and_on_two() {
    let scene = Scene::joining(1, 1);
    scene.all_do(&Does::Serves(100 * MILLI));
    let (first, _) = scene.words(0, 7, SECOND);
    let (second, _) = scene.words(0, 7, SECOND);
    let told = scene.client(vec![(SECOND, first), (SECOND + 10 * MILLI, second)], None);
    let other = scene.ask_at(SECOND + 20 * MILLI, 0, 7, SECOND);
    scene.run_until(3 * SECOND);
    assert_eq!((served(&told), served(&other), scene.all_seen()), (2, 1, 1));
    ends_well(&scene);
}

#[test]
fn an_id_that_waits_already_is_turned_away_whether_it_is_joined_or_not() {
    let scene = Scene::joining(1, 1);
    scene.all_do(&Does::Serves(100 * MILLI));
    let (bytes, _) = scene.words(0, 7, SECOND);
    let told = scene.client(vec![(SECOND, bytes.clone())], None);
    let again = scene.client(vec![(SECOND + 10 * MILLI, bytes)], None);
    scene.run_until(3 * SECOND);
    assert_eq!(served(&told), 1);
    assert!(
        text(&again).starts_with("-ERR a request of this id is open"),
        "{}",
        text(&again)
    );
    assert_eq!(scene.engine.resource_usage().unanswered_requests, 0);
}

/// How many of 60 reads of the first tenant go out at once, after 150 of this one have shared one flight.
fn room_after_a_crowd_of(tenant: usize) -> usize {
    let scene = Scene::joining(1, 1);
    scene.all_do(&Does::Serves(100 * MILLI));
    let told: Vec<Told> = (0..150)
        .map(|_| scene.ask_as(tenant, SECOND, 7, SECOND))
        .collect();
    scene.run_until(3 * SECOND);
    assert_eq!((scene.all_seen(), all(&told, served)), (1, 150));
    scene.all_do(&Does::Nothing);
    (0..60).for_each(|key| _ = scene.ask_as(0, 4 * SECOND, 100 + key, SECOND));
    scene.run_until(4 * SECOND + 50 * MILLI);
    scene.all_seen() - 1
}

#[test]
fn each_waiter_counts_for_its_own_tenant() {
    let (own, other) = (room_after_a_crowd_of(0), room_after_a_crowd_of(1));
    assert!(
        0 < own && own < other,
        "{own} after its own crowd, {other} after the other's"
    );
}
