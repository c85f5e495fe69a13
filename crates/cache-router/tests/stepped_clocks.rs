//! Routers whose wall clock is wrong at their start, or stepped. Runs the router binary against fake
//! peers on loopback sockets, with a preloaded library that steps its wall clock.

use std::time::{SystemTime, UNIX_EPOCH};
use test_support::*;

const SECOND_MS: i64 = 1_000;
const MINUTE_MS: i64 = 60 * SECOND_MS;
const HOUR_MS: i64 = 60 * MINUTE_MS;
const WRITE_COUNT: usize = 20;
const READ_COUNT: usize = 60;

/// The entry of a server that has started `age_ms` ago by this machine's clock.
fn entry_of_age(server: &CacheServer, age_ms: i64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let started_ms = now.expect("the clock is wrong").as_millis() as i64 - age_ms;
    let started = format!(r#""born_ms":{started_ms}"#);
    server.entry("up").replace(r#""born_ms":0"#, &started)
}

/// How many of some keyed writes are served by a router whose wall clock is off by `offset_ms` at its
/// start, where each first attempt is closed without an answer. The servers are ten minutes old.
fn served_writes(offset_ms: i64) -> usize {
    let platform = Platform::with_stepped_clock();
    platform.set_clock_offset_ms(offset_ms);
    let closing = CacheServer::start("s-a");
    closing.set_default_behavior(Behavior::ReplyAndClose(Vec::new()));
    let serving = CacheServer::start("s-b");
    let servers = [&closing, &serving];
    let known = servers.map(|server| entry_of_age(server, 10 * MINUTE_MS));
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &known);
    config["settings"]["invariants"]["cold"] = 0.1.into();
    let router = platform.start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    std::thread::sleep(std::time::Duration::from_millis(200));
    let mut client = router.client();
    let served = (0..WRITE_COUNT).filter(|number| {
        let reply = client.request("put", &format!("{number:016x}"));
        std::thread::sleep(std::time::Duration::from_millis(30));
        reply.starts_with("*3")
    });
    served.count()
}

/// Guards against keyed writes that are not tried again, since the router's clock was behind at its start
/// and all servers seem to have started after the write.
#[test]
fn keyed_writes_are_tried_again_whatever_the_clock_says_at_the_start() {
    let right = served_writes(0);
    assert!(right >= WRITE_COUNT * 3 / 4, "{right} with the right clock");
    for offset_ms in [-HOUR_MS, HOUR_MS] {
        let served = served_writes(offset_ms);
        assert!(served >= WRITE_COUNT * 3 / 4, "{offset_ms} ms: {served}");
    }
}

/// How many reads of a new router whose wall clock is off by `offset_ms` reach a server that has started
/// a second before, of [`READ_COUNT`] over two servers.
fn reads_at_cold_server(offset_ms: i64) -> usize {
    let platform = Platform::with_stepped_clock();
    platform.set_clock_offset_ms(offset_ms);
    let (cold, warm) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let known = [entry_of_age(&cold, SECOND_MS), warm.entry("up")];
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &known);
    config["settings"]["invariants"]["cold"] = 60.0.into();
    config["settings"]["invariants"]["cold_from"] = 0.05.into();
    let router = platform.start(&config);
    let mut client = router.client();
    for number in 0..READ_COUNT {
        client.request("read", &format!("{number:016x}"));
    }
    cold.commands().len()
}

/// Guards against the full load on a server that has just started, since the clock of a new router is
/// ahead.
#[test]
fn a_cold_server_is_spared_whatever_the_clock_says_at_the_start() {
    for offset_ms in [0, HOUR_MS, -HOUR_MS] {
        let reads = reads_at_cold_server(offset_ms);
        assert!(reads < READ_COUNT / 6, "{offset_ms} ms: {reads} reads");
    }
}

/// How many reads of a successor reach a server that the previous process was told of `age_ms` before, of
/// [`READ_COUNT`] over two servers, where slow start takes 2 s. The clock is stepped by `offset_ms` just before
/// the successor starts.
fn reads_of_a_successor(age_ms: u64, offset_ms: i64) -> usize {
    let platform = Platform::with_stepped_clock();
    let (restarted, warm) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let known = [restarted.entry("up"), warm.entry("up")];
    let mut config = configuration(discovery.addr, &known);
    config["settings"]["invariants"]["cold"] = 2.0.into();
    config["settings"]["invariants"]["cold_from"] = 0.05.into();
    let first = platform.start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    let delta = endpoint_list(8, false, &[entry_of_age(&restarted, 0)]);
    discovery.write_to_watch(&delta);
    std::thread::sleep(std::time::Duration::from_millis(age_ms));
    platform.set_clock_offset_ms(offset_ms);
    let second = platform.start(&config);
    wait_until("the successor serves", || {
        first.log_contains("stopped") || !second.log.lock().unwrap().is_empty()
    });
    first.terminate();
    std::thread::sleep(std::time::Duration::from_millis(100));
    let mut client = second.client();
    for number in 0..READ_COUNT {
        client.request("read", &format!("{number:016x}"));
    }
    restarted.commands().len()
}

/// Guards against ages that a replacement changes, since it is told times of a clock that is stepped.
#[test]
fn a_replacement_keeps_the_ages_of_servers_whatever_the_clock_says() {
    for offset_ms in [0, HOUR_MS, -HOUR_MS] {
        let cold = reads_of_a_successor(100, offset_ms);
        assert!(
            cold < READ_COUNT / 5,
            "{offset_ms} ms: {cold} reads while cold"
        );
        let warm = reads_of_a_successor(2_200, offset_ms);
        assert!(
            warm > READ_COUNT / 4,
            "{offset_ms} ms: {warm} reads once warm"
        );
    }
}
