//! Coalescing: identical reads that share one upstream request. Runs the router binary against fake
//! peers on loopback sockets.

use std::time::{Duration, Instant};
use test_support::*;

const KEY: &str = "7f3a9c21e0b4d655";

/// Starts a router with this operator file and these cache servers. `change` edits its
/// configuration.
fn start_router_with_operator_file(
    operator_file: &str,
    servers: &[&CacheServer],
    change: impl FnOnce(&mut serde_json::Value),
) -> Fleet {
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let known: Vec<String> = servers.iter().map(|server| server.entry("up")).collect();
    let mut config = configuration(discovery.addr, &known);
    config["settings"]["limits"]["cancel"] = true.into();
    change(&mut config);
    let router = RouterProcess::start_with_operator_file(&config, operator_file);
    wait_until("the router has opened a watch", || {
        !discovery.calls().is_empty()
    });
    Fleet { router, discovery }
}

fn configure_two_tenants(config: &mut serde_json::Value) {
    let customer =
        |name: &str| serde_json::json!({"name": name, "quota_per_s": 100.0, "share": 0.5});
    config["settings"]["customers"] = serde_json::json!([customer("acme"), customer("bima")]);
}

const COALESCE_READS: &str = "[joining]\nclasses = [\"read\"]\n";

fn start_coalescing_router(servers: &[&CacheServer]) -> Fleet {
    start_router_with_operator_file(COALESCE_READS, servers, |_| {})
}

fn encode_read(client: usize, number: usize, deadline_ms: u64) -> Vec<u8> {
    let (id, fields) = (
        format!("read-{client}-{number}"),
        format!("c=read,t=acme,d={deadline_ms}"),
    );
    encode_command(&["C.GET", KEY, &id, &fields])
}

/// Sends 500 reads of the key over 50 connections.
fn send_many_reads(router: &RouterProcess, deadline_ms: u64) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..50).map(|_| router.client()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        let bytes: Vec<u8> = (0..10)
            .flat_map(|number| encode_read(index, number, deadline_ms))
            .collect();
        client.write(&bytes);
    }
    clients
}

/// Reads the replies to [`send_many_reads`]; returns the numbers of served and of rejected reads.
fn count_replies(clients: &mut [Client]) -> (usize, usize) {
    let (mut served, mut rejected) = (0, 0);
    for client in clients {
        for _ in 0..10 {
            let answer = client
                .read_reply()
                .expect("connection closed without an answer");
            served += usize::from(answer.starts_with('*'));
            rejected += usize::from(answer.starts_with("-BUSY "));
        }
    }
    (served, rejected)
}

/// Waits until this many reads wait for a flight.
fn wait_for_waiters(router: &RouterProcess, count: usize) {
    wait_until("the reads wait", || {
        let before = router.log.lock().unwrap().len();
        router.log_coalescing_counters();
        wait_until("the counters are logged", || {
            router.log.lock().unwrap().len() > before
        });
        router.log.lock().unwrap()[before..]
            .iter()
            .any(|line| line.contains(&format!("now {count} waiters")))
    });
}

#[test]
fn five_hundred_concurrent_identical_reads_share_one_fetch() {
    let server = CacheServer::start("s-a");
    server.set_behavior(KEY, Behavior::ServeOnceGateOpens);
    let Fleet { router, .. } = start_coalescing_router(&[&server]);
    let mut clients = send_many_reads(&router, 4_000);
    wait_for_waiters(&router, 500);
    server.open_gate();
    assert_eq!(count_replies(&mut clients), (500, 0));
    assert_eq!(server.commands().len(), 1);
    assert!(
        clients[0].request("read", KEY).starts_with('*'),
        "the next read was not served"
    );
    assert_eq!(server.commands().len(), 2);
}

#[test]
fn invalid_coalescing_rules_prevent_the_start_with_a_one_line_error() {
    let cases = [
        (
            "classes = [\"put\"]",
            "joining.classes: 'put' cannot be coalesced: its effect is deduplicated, not idempotent",
        ),
        (
            "classes = [\"once\"]",
            "joining.classes: 'once' cannot be coalesced: its effect is at_most_once, not idempotent",
        ),
        (
            "classes = [\"read\", \"reed\"]",
            "joining.classes: there is no class 'reed'",
        ),
        (
            "classes = [\"read\"]\nbounds = { waiters = 0 }",
            "joining.bounds.waiters: 0 does not lie between 1 and",
        ),
        (
            "classes = [\"read\"]\nignore = [\"c\"]",
            "joining.ignore: 'c' cannot be ignored; remove it (not allowed: c, t, k, empty)",
        ),
        ("clases = [\"read\"]", "line 2: unknown field `clases`"),
    ];
    for (text, expected) in cases {
        let config = configuration(([127, 0, 0, 1], 1).into(), &[]).to_string();
        let Exit { status, log } =
            run_to_end_with_operator_file(&config, &format!("[joining]\n{text}\n"));
        assert_eq!(status.code(), Some(2), "{text}");
        assert!(
            log.contains(expected) && log.lines().count() == 1,
            "{text}: {log}"
        );
    }
}

#[test]
fn a_failed_flight_is_retried_once_for_all_waiters() {
    let (a, b) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let owner = if owns_key(&a, &b) { &a } else { &b };
    owner.set_behavior(KEY, Behavior::ReplyAfter(300, b"-BUSY\r\n".to_vec()));
    let Fleet { router, .. } = start_coalescing_router(&[&a, &b]);
    let mut clients = send_many_reads(&router, 4_000);
    assert_eq!(count_replies(&mut clients), (500, 0));
    let attempts_for_key = |server: &CacheServer| {
        server
            .commands()
            .iter()
            .filter(|arguments| arguments[1] == KEY)
            .count()
    };
    // Reads after the reply may start further flights, but far fewer than one for each read.
    let sent = attempts_for_key(&a) + attempts_for_key(&b);
    assert!((2..20).contains(&sent), "{sent}");
}

/// Returns whether the first of two servers owns the key.
fn owns_key(a: &CacheServer, b: &CacheServer) -> bool {
    let Fleet { router, .. } = start_router(&[a, b]);
    assert!(router.client().request("read", KEY).contains("s-"));
    !a.commands().is_empty()
}

#[test]
fn each_waiter_expires_at_its_own_deadline_and_the_latest_extends_the_flight() {
    let server = CacheServer::start("s-a");
    server.set_behavior(KEY, Behavior::ReplyAfter(1_500, value_reply("s-a")));
    let Fleet { router, .. } = start_coalescing_router(&[&server]);
    let start = Instant::now();
    let (mut first, mut second) = (router.client(), router.client());
    first.write(&encode_read(0, 0, 300));
    wait_for_waiters(&router, 1);
    second.write(&encode_read(1, 0, 4_000));
    assert!(
        first
            .read_reply()
            .expect("connection closed without an answer")
            .starts_with("-BUSY ")
    );
    let elapsed_ms = start.elapsed().as_millis();
    assert!((300..1_400).contains(&elapsed_ms), "{elapsed_ms}");
    assert!(
        second
            .read_reply()
            .expect("connection closed without an answer")
            .starts_with('*')
    );
    assert_eq!(server.commands().len(), 1);
}

#[test]
fn a_flight_continues_without_its_leader_and_is_cancelled_without_waiters() {
    let server = CacheServer::start("s-a");
    server.set_behavior(KEY, Behavior::ServeOnceGateOpens);
    let Fleet { router, .. } = start_coalescing_router(&[&server]);
    let (mut leader, mut other) = (router.client(), router.client());
    leader.write(&encode_read(0, 0, 4_000));
    wait_for_waiters(&router, 1);
    other.write(&encode_read(1, 0, 4_000));
    wait_for_waiters(&router, 2);
    drop(leader);
    wait_for_waiters(&router, 1);
    server.open_gate();
    assert!(
        other
            .read_reply()
            .expect("connection closed without an answer")
            .starts_with('*')
    );
    assert_eq!(server.commands().len(), 1);
    // The next flight loses its only waiter.
    server.set_behavior(KEY, Behavior::StaySilent);
    let mut alone = router.client();
    alone.write(&encode_read(2, 0, 4_000));
    wait_until("the server has received the flight's request", || {
        server.commands().len() == 2
    });
    let ended = server.connections().closed;
    drop(alone);
    wait_until("the connection of the cancelled flight is closed", || {
        server.connections().closed > ended
    });
}

#[test]
fn reads_after_a_hanging_flight_start_one_replacement_flight() {
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_coalescing_router(&[&server]);
    let mut client = router.client();
    for key in 0..80 {
        assert!(
            client
                .request("read", &format!("{key:016x}"))
                .starts_with('*')
        );
    }
    let before = server.commands().len();
    server.set_behavior(KEY, Behavior::StaySilent);
    let mut clients = Vec::new();
    for number in 0..6 {
        let mut client = router.client();
        client.write(&encode_read(number, 0, 3_000));
        clients.push(client);
        std::thread::sleep(Duration::from_millis(200));
    }
    wait_until(
        "the server has received the replacement flight's request",
        || server.commands().len() - before >= 2,
    );
    assert_eq!(server.commands().len() - before, 2);
    assert!(clients.iter_mut().all(|client| {
        client
            .read_reply()
            .expect("connection closed without an answer")
            .starts_with("-BUSY")
    }));
}

#[test]
fn a_read_after_a_write_does_not_join_an_earlier_flight() {
    for write_reply in [value_reply("s-a"), b"-ERR failed\r\n".to_vec()] {
        let server = CacheServer::start("s-a");
        server.set_behavior(KEY, Behavior::ServeOnceGateOpens);
        let Fleet { router, .. } = start_coalescing_router(&[&server]);
        let mut clients: Vec<Client> = (0..4).map(|_| router.client()).collect();
        clients[0].write(&encode_read(0, 0, 4_000));
        wait_until("the server has received the flight's request", || {
            server.commands().len() == 1
        });
        server.set_behavior(KEY, Behavior::Reply(write_reply.clone()));
        let reply = clients[1].request("put", KEY);
        assert_eq!(reply.as_bytes().first(), write_reply.first());
        server.set_behavior(KEY, Behavior::ServeOnceGateOpens);
        clients[2].write(&encode_read(2, 0, 4_000));
        wait_for_waiters(&router, 2);
        clients[3].write(&encode_read(3, 0, 4_000));
        wait_for_waiters(&router, 3);
        let reads = || {
            server
                .commands()
                .iter()
                .filter(|arguments| arguments[0] == "C.GET")
                .count()
        };
        wait_until("the server has received the read after the write", || {
            reads() == 2
        });
        server.open_gate();
        for index in [0, 2, 3] {
            assert!(
                clients[index]
                    .read_reply()
                    .expect("connection closed without an answer")
                    .starts_with('*')
            );
        }
        assert_eq!(
            reads(),
            2,
            "not one flight before the write and one for both reads after it"
        );
    }
}

#[test]
fn a_large_reply_reaches_all_waiters_despite_slow_readers() {
    let server = CacheServer::start("s-a");
    server.set_behavior(
        KEY,
        Behavior::ReplyAfter(1_000, value_reply(&"x".repeat(65_536))),
    );
    let Fleet { router, .. } = start_coalescing_router(&[&server]);
    let mut slow_readers: Vec<Client> = (0..10).map(|_| router.client()).collect();
    for (index, client) in slow_readers.iter_mut().enumerate() {
        let bytes: Vec<u8> = (0..60)
            .flat_map(|number| encode_read(1_000 + index, number, 4_000))
            .collect();
        client.write(&bytes);
    }
    let mut clients = send_many_reads(&router, 4_000);
    let before = router.memory_kb();
    assert_eq!(count_replies(&mut clients), (500, 0));
    // There are 1,100 waiters, of which 600 do not read. Copies of the reply for these alone would
    // take 39 MB.
    let growth_kb = router.memory_kb().saturating_sub(before);
    assert!(growth_kb < 20_000, "{growth_kb} KB");
    assert!(server.commands().len() < 10, "{}", server.commands().len());
}

#[test]
fn at_sigterm_all_waiters_of_a_flight_are_answered() {
    let server = CacheServer::start("s-a");
    server.set_behavior(KEY, Behavior::ServeOnceGateOpens);
    let Fleet { mut router, .. } = start_coalescing_router(&[&server]);
    let mut clients = send_many_reads(&router, 4_000);
    wait_for_waiters(&router, 500);
    router.terminate();
    server.open_gate();
    assert_eq!(count_replies(&mut clients), (500, 0));
    assert!(router.wait().success());
    assert!(router.log_contains("stopped, all answered"));
}

#[test]
fn a_flight_survives_its_servers_drain_and_a_list_change() {
    let (a, b) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let owner = if owns_key(&a, &b) { &a } else { &b };
    owner.set_behavior(KEY, Behavior::ServeOnceGateOpens);
    let before = owner.commands().len();
    let Fleet { router, discovery } = start_coalescing_router(&[&a, &b]);
    let mut clients = send_many_reads(&router, 4_000);
    wait_for_waiters(&router, 500);
    wait_until("the server has received the flight's request", || {
        owner.commands().len() > before
    });
    discovery.write_to_watch(&format!(
        "{}\n",
        endpoint_list(8, false, &[owner.entry("draining")])
    ));
    let (mut other, mut key) = (router.client(), 0);
    wait_until("the router has applied the drain", || {
        let had = owner.commands().len();
        (0..20).for_each(|_| {
            key += 1;
            // Writes, because the latency of reads determines when a flight is considered hung.
            assert!(
                other
                    .request("put", &format!("{key:016x}"))
                    .starts_with('*')
            );
        });
        owner.commands().len() == had
    });
    let mut late = router.client();
    late.write(&encode_read(99, 0, 4_000));
    wait_for_waiters(&router, 501);
    owner.open_gate();
    assert_eq!(count_replies(&mut clients), (500, 0));
    assert!(
        late.read_reply()
            .expect("connection closed without an answer")
            .contains(&owner.name)
    );
    assert_eq!(
        owner.commands()[before..]
            .iter()
            .filter(|arguments| arguments[1] == KEY)
            .count(),
        1
    );
}

#[test]
fn reads_over_the_waiter_limit_are_not_coalesced() {
    let server = CacheServer::start("s-a");
    server.set_behavior(KEY, Behavior::ServeOnceGateOpens);
    let operator_file = format!("{COALESCE_READS}bounds = {{ waiters_per_flight = 3 }}\n");
    let Fleet { router, .. } = start_router_with_operator_file(&operator_file, &[&server], |_| {});
    let mut clients: Vec<Client> = (0..5).map(|_| router.client()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        client.write(&encode_read(index, 0, 4_000));
        wait_until("the read has been accepted", || {
            index < 3 || server.commands().len() == index - 1
        });
        if index == 2 {
            wait_for_waiters(&router, 3);
        }
    }
    server.open_gate();
    assert!(clients.iter_mut().all(|client| {
        client
            .read_reply()
            .expect("connection closed without an answer")
            .starts_with('*')
    }));
    assert_eq!(server.commands().len(), 3);
}

#[test]
fn reads_are_coalesced_unless_a_field_differs() {
    let server = CacheServer::start("s-a");
    server.set_behavior(KEY, Behavior::ServeOnceGateOpens);
    let operator_file = format!("{COALESCE_READS}ignore = [\"trace\"]\nper_tenant = true\n");
    let Fleet { router, .. } =
        start_router_with_operator_file(&operator_file, &[&server], configure_two_tenants);
    let mut client = router.client();
    let reads = [
        "c=read,t=acme,d=4000",
        "c=read,t=acme,d=3000,h=5,r=1",
        "trace=17,c=read,d=4000,t=acme",
        "c=read,t=acme,d=4000,size=2",
        "d=4000,size=2,c=read,t=acme",
        "c=read,t=bima,d=4000",
    ];
    for (index, fields) in reads.iter().enumerate() {
        client.write(&encode_command(&[
            "C.GET",
            KEY,
            &format!("id-{index}"),
            fields,
        ]));
    }
    wait_for_waiters(&router, reads.len());
    wait_until("the server has received all requests", || {
        server.commands().len() >= 3
    });
    server.open_gate();
    assert!(
        reads.iter().all(|_| client
            .read_reply()
            .expect("connection closed without an answer")
            .starts_with('*')),
        "a read was not served"
    );
    assert_eq!(server.commands().len(), 3);
}

#[test]
fn waiters_without_time_for_a_retry_fail_with_the_first_attempt() {
    let (a, b) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let (owner, other) = if owns_key(&a, &b) { (&a, &b) } else { (&b, &a) };
    owner.set_behavior(KEY, Behavior::ReplyAfter(1_000, b"-BUSY\r\n".to_vec()));
    other.set_behavior(KEY, Behavior::ReplyAfter(1_000, value_reply("s-b")));
    let Fleet { router, .. } =
        start_router_with_operator_file(COALESCE_READS, &[&a, &b], |config| {
            // A retry needs a fifth of this time.
            config["settings"]["request_classes"][0]["target"] = 4.0.into();
        });
    let (mut long, mut short) = (router.client(), router.client());
    long.write(&encode_read(0, 0, 4_000));
    short.write(&encode_read(1, 0, 1_400));
    assert!(
        short
            .read_reply()
            .expect("connection closed without an answer")
            .starts_with("-BUSY ")
    );
    assert!(
        long.read_reply()
            .expect("connection closed without an answer")
            .starts_with('*')
    );
    router.log_coalescing_counters();
    wait_until("the counters are logged", || {
        router.log_contains(" 0 expired, 1 outrun")
    });
}

#[test]
fn a_list_that_moves_the_key_keeps_the_flight_and_routes_the_next_read() {
    let (a, b) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let (owner, other) = if owns_key(&a, &b) { (&a, &b) } else { (&b, &a) };
    let before = owner.commands().len();
    other.set_behavior(KEY, Behavior::ServeOnceGateOpens);
    let Fleet { router, discovery } = start_coalescing_router(&[other]);
    let mut clients = send_many_reads(&router, 4_000);
    wait_for_waiters(&router, 500);
    discovery.write_to_watch(&format!(
        "{}\n",
        endpoint_list(8, false, &[owner.entry("up")])
    ));
    let (mut writer, mut key) = (router.client(), 0);
    wait_until("the router has applied the new list", || {
        key += 1;
        assert!(
            writer
                .request("put", &format!("{key:016x}"))
                .starts_with('*')
        );
        owner.commands().len() > before
    });
    let attempts_for_key = || {
        owner.commands()[before..]
            .iter()
            .filter(|arguments| arguments[1] == KEY)
            .count()
    };
    assert_eq!(attempts_for_key(), 0);
    other.open_gate();
    assert_eq!(count_replies(&mut clients), (500, 0));
    assert!(router.client().request("read", KEY).contains(&owner.name));
    assert_eq!(attempts_for_key(), 1);
}

/// Returns how many of 60 reads of the tenant `acme` are sent upstream at once, after 150 reads of
/// `tenant` have shared one flight.
fn reads_sent_after_coalesced_reads_of(tenant: &str) -> usize {
    let server = CacheServer::start("s-a");
    server.set_behavior(KEY, Behavior::ServeOnceGateOpens);
    let Fleet { router, .. } =
        start_router_with_operator_file(COALESCE_READS, &[&server], configure_two_tenants);
    let mut clients: Vec<Client> = (0..15).map(|_| router.client()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        let fields = format!("c=read,t={tenant},d=4000");
        let read =
            |number| encode_command(&["C.GET", KEY, &format!("read-{index}-{number}"), &fields]);
        client.write(&(0..10).flat_map(read).collect::<Vec<u8>>());
    }
    wait_for_waiters(&router, 150);
    server.open_gate();
    for client in &mut clients {
        assert!((0..10).all(|_| {
            client
                .read_reply()
                .expect("connection closed without an answer")
                .starts_with('*')
        }));
    }
    server.set_default_behavior(Behavior::StaySilent);
    let before = server.commands().len();
    let mut client = router.client();
    let read = |key| {
        encode_command(&[
            "C.GET",
            &format!("{key:016x}"),
            &format!("id-{key}"),
            "c=read,t=acme,d=4000",
        ])
    };
    client.write(&(0..60).flat_map(read).collect::<Vec<u8>>());
    wait_until("all reads have been accepted", || {
        router.log_coalescing_counters();
        std::thread::sleep(Duration::from_millis(5));
        router.log_contains("joining: 61 flights, 149 joined")
    });
    let line = router
        .log
        .lock()
        .unwrap()
        .iter()
        .rev()
        .find(|line| line.contains("joining: 61"))
        .cloned();
    let waiters = line
        .as_deref()
        .and_then(|line| line.split("now ").nth(1)?.split(' ').next()?.parse().ok());
    let waiters = waiters.expect("not a number");
    wait_until("the server has received all requests", || {
        server.commands().len() - before == waiters
    });
    waiters
}

#[test]
fn each_waiter_counts_for_its_own_tenant() {
    let (own, other) = (
        reads_sent_after_coalesced_reads_of("acme"),
        reads_sent_after_coalesced_reads_of("bima"),
    );
    assert!(
        0 < own && own < other,
        "{own} after its own coalesced reads, {other} after those of the other tenant"
    );
}
