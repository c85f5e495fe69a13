//! Attempts at cache servers: outcomes, retries, and the bytes on the wire. The real binary against stand-ins on
//! loopback sockets.

use std::time::Instant;
use test_support::*;

#[test]
fn requests_are_forwarded_unchanged_except_for_the_deadline() {
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    client.write(&encode_command(&["PING"]));
    assert_eq!(client.read_reply().unwrap(), "+PONG\r\n");
    client.write(&encode_command(&[
        "C.GET",
        "7f3a9c21e0b4d655",
        "9b1f",
        "c=read,t=acme,d=900,h=1200,size=2.172",
    ]));
    assert_eq!(
        client.read_reply().unwrap().into_bytes(),
        value_reply("s-a")
    );
    // A connection is used again once it has stayed quiet for a moment.
    std::thread::sleep(std::time::Duration::from_millis(100));
    client.write(&encode_command(&[
        "C.SET",
        "7f3a9c21e0b4d655",
        "9b20",
        "c=put,t=acme,d=900,k=5c0f",
        "answers",
    ]));
    assert_eq!(
        client.read_reply().unwrap().into_bytes(),
        value_reply("s-a")
    );
    let commands = server.commands();
    let deadline_ms = |fields: &str| {
        fields
            .split(",d=")
            .nth(1)
            .unwrap()
            .split(',')
            .next()
            .unwrap()
            .parse::<u64>()
            .unwrap()
    };
    let (read, write) = (&commands[0], &commands[1]);
    assert_eq!(read[..3], ["C.GET", "7f3a9c21e0b4d655", "9b1f"]);
    assert!((1..=900).contains(&deadline_ms(&read[3])), "{}", read[3]);
    assert_eq!(
        read[3].replace(&format!("d={}", deadline_ms(&read[3])), "d="),
        "c=read,t=acme,d=,h=1200,size=2.172"
    );
    assert_eq!(write[..3], ["C.SET", "7f3a9c21e0b4d655", "9b20"]);
    assert_eq!(write[4], "answers");
    assert!(write[3].ends_with(",k=5c0f"));
    assert_eq!(
        server.connections().accepted,
        1,
        "the second request takes the idle connection"
    );
}

/// Each row of the outcome table, with a request that must never run twice: it is rejected only where it cannot have
/// run.
#[test]
fn a_request_is_rejected_only_where_it_cannot_have_run() {
    let null = b"*3\r\n$-1\r\n$3\r\nhit\r\n$-1\r\n".to_vec();
    let rows = [
        ("a value", Behavior::Serve, "*3"),
        (
            "an error",
            Behavior::Reply(b"-ERR failed\r\n".to_vec()),
            "-ERR",
        ),
        (
            "an error with a load report",
            Behavior::Reply(b"-ERR failed inflight=7,queue=2\r\n".to_vec()),
            "-ERR",
        ),
        ("busy", Behavior::Reply(b"-BUSY\r\n".to_vec()), "-BUSY"),
        (
            "busy with a load report",
            Behavior::Reply(b"-BUSY inflight=7,queue=2\r\n".to_vec()),
            "-BUSY",
        ),
        ("a null", Behavior::Reply(null), "-ERR"),
        ("no value", Behavior::Reply(b"*0\r\n".to_vec()), "-ERR"),
        ("another form", Behavior::Reply(b":7\r\n".to_vec()), "-ERR"),
        ("no RESP", Behavior::Reply(b"what?\r\n".to_vec()), "-ERR"),
        (
            "an end after the command",
            Behavior::ReplyAndClose(Vec::new()),
            "-ERR",
        ),
        (
            "an end within the value",
            Behavior::ReplyAndClose(b"*3\r\n$9\r\nhalf".to_vec()),
            "-ERR",
        ),
        ("nothing", Behavior::StaySilent, "-ERR"),
    ];
    for (what, behavior, expected) in rows {
        let server = CacheServer::start("s-a");
        server.set_default_behavior(behavior);
        let Fleet { router, .. } = start_router(&[&server]);
        let mut client = router.client();
        client.send("once", "7f3a9c21e0b4d655", 300);
        let answer = client
            .read_reply()
            .unwrap_or_else(|| panic!("{what}: no answer"));
        assert!(answer.starts_with(expected), "{what}: {answer}");
        assert_eq!(server.commands().len(), 1, "{what}: sent once");
        client.write(&encode_command(&["PING"]));
        assert_eq!(
            client.read_reply().unwrap(),
            "+PONG\r\n",
            "{what}: one answer"
        );
    }
}

#[test]
fn a_refused_connection_proves_that_the_request_did_not_run() {
    let server = CacheServer::start("s-a");
    let closed_addr = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let router = RouterProcess::start(&configuration(
        discovery.addr,
        &[endpoint_entry(&server.name, closed_addr, "up")],
    ));
    let start = Instant::now();
    let answer = router.client().request("once", "7f3a9c21e0b4d655");
    // At once, and with the time in milliseconds after which to retry.
    let retry_after = answer
        .strip_prefix("-BUSY ")
        .unwrap_or_else(|| panic!("{answer}"));
    assert!(
        (1..=1_000).contains(&retry_after.trim_end().parse::<u64>().unwrap()),
        "{answer}"
    );
    assert!(start.elapsed().as_millis() < 3_000, "{:?}", start.elapsed());
    assert!(server.commands().is_empty());
}

#[test]
fn a_keyed_write_that_may_have_run_is_retried_unchanged() {
    let key = "7f3a9c21e0b4d655";
    let TwoServerFleet {
        owner,
        other,
        router,
        ..
    } = start_router_with_two_servers(key);
    owner.set_default_behavior(Behavior::ReplyAndClose(Vec::new()));
    let mut client = router.client();
    assert!(client.request("put", key).contains(&other.name));
    let (first, second) = (
        owner.commands().pop().unwrap(),
        other.commands().pop().unwrap(),
    );
    assert_eq!(first[..3], second[..3]);
    assert!(first[3].ends_with(",k=5c0f") && second[3].ends_with(",k=5c0f"));
    assert_eq!(first[4], second[4]);
}

/// Guards a failing origin: on sockets only the time of an error shows that a fetch has failed.
#[test]
fn a_failed_fetch_is_not_retried_elsewhere_and_a_quick_error_is() {
    let (a, b) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let error = b"-ERR failed\r\n".to_vec();
    for server in [&a, &b] {
        server.set_behavior("00000000000000aa", Behavior::Reply(error.clone()));
        server.set_behavior("00000000000000bb", Behavior::ReplyAfter(600, error.clone()));
    }
    let Fleet { router, .. } = start_router(&[&a, &b]);
    let mut client = router.client();
    let attempts_for = |key: &str| {
        a.commands()
            .iter()
            .chain(&b.commands())
            .filter(|arguments| arguments[1] == key)
            .count()
    };
    assert!(
        client
            .request("read", "00000000000000aa")
            .starts_with("-BUSY ")
    );
    assert_eq!(attempts_for("00000000000000aa"), 2);
    assert!(
        client
            .request("read", "00000000000000bb")
            .starts_with("-BUSY ")
    );
    assert_eq!(attempts_for("00000000000000bb"), 1);
}

/// A server that hangs delays neither its arc nor the requests of others; one that recovers gets its arc back.
#[test]
fn an_unresponsive_server_is_avoided_until_it_recovers() {
    let key = "7f3a9c21e0b4d655";
    let TwoServerFleet {
        owner,
        other,
        router,
        ..
    } = start_router_with_two_servers(key);
    let mut client = router.client();
    owner.set_default_behavior(Behavior::StaySilent);
    for _ in 0..2 {
        client.send("read", key, 400);
        assert!(client.read_reply().unwrap().starts_with('-'));
    }
    let before = owner.commands().len();
    // Ever new keys, so that none is so popular that it has further homes.
    let mut keys =
        (1_u64..).map(|number| format!("{:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15)));
    for key in keys.by_ref().take(20) {
        client.send("read", &key, 400);
        assert!(client.read_reply().unwrap().contains(&other.name));
    }
    assert_eq!(owner.commands().len(), before);
    // One that is tried there now and then goes on to the other when it gets no answer.
    wait_until("a trial", || {
        let answer = client.request("read", &keys.next().unwrap());
        assert!(answer.contains(&other.name), "{answer}");
        std::thread::sleep(std::time::Duration::from_millis(20));
        owner.commands().len() > before
    });
    owner.set_default_behavior(Behavior::Serve);
    let mut is_served_by_owner = || {
        client
            .request("read", &keys.next().unwrap())
            .contains(&owner.name)
    };
    wait_until("its arc is its own again", || {
        is_served_by_owner() && is_served_by_owner() && is_served_by_owner()
    });
}

/// A reply after the latency objective of 500 ms is worth nothing.
fn without_late_weight(settings: &mut serde_json::Value) {
    settings["request_classes"][0]["late_value"] = 0.0.into();
}

/// Guards against giving up a reply that is about to come: the work goes on, and the retry costs as much again.
#[test]
fn a_reply_that_takes_most_of_the_objective_is_waited_for() {
    let key = "7f3a9c21e0b4d655";
    let TwoServerFleet {
        owner,
        other,
        router,
        ..
    } = start_router_with_two_servers_and_settings(key, without_late_weight);
    owner.set_behavior(key, Behavior::ReplyAfter(400, value_reply("in time")));
    assert!(router.client().request("read", key).contains("in time"));
    assert!(other.commands().is_empty(), "{:?}", other.commands());
}

/// Guards against a lost reply where all others are quick: it is overdue long before the objective, and another server
/// serves the request.
#[test]
fn an_overdue_reply_is_retried_elsewhere() {
    let key = "7f3a9c21e0b4d655";
    let TwoServerFleet {
        owner,
        other,
        router,
        ..
    } = start_router_with_two_servers_and_settings(key, without_late_weight);
    let mut client = router.client();
    (0..60).for_each(|i| assert!(client.request("read", &format!("other{i}")).contains("s-")));
    owner.set_behavior(key, Behavior::StaySilent);
    assert!(client.request("read", key).contains(&other.name));
}

/// Guards an overload against clients that retry: after the objective a retry of a rejected request takes no capacity
/// that others need. A new request for the same key is no retry.
#[test]
fn a_retry_past_its_objective_takes_no_capacity_from_others() {
    let key = "7f3a9c21e0b4d655";
    let pending_count = 8;
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router_with_settings(&[&server], without_late_weight);
    server.set_default_behavior(Behavior::ServeOnceGateOpens);
    server.set_behavior(key, Behavior::StaySilent);
    let mut client = router.client();
    client.send("read", key, 100);
    assert!(
        client.read_reply().expect("an answer").starts_with("-BUSY"),
        "its time is up"
    );
    let mut others: Vec<Client> = (0..pending_count).map(|_| router.client()).collect();
    others
        .iter_mut()
        .enumerate()
        .for_each(|(i, other)| other.send("read", &format!("other{i}"), 4_000));
    wait_until("half of the places are taken", || {
        server.commands().len() == 1 + pending_count
    });
    std::thread::sleep(std::time::Duration::from_millis(600));
    client.write(&encode_command(&[
        "C.GET",
        key,
        "again",
        "c=read,t=acme,d=3000,r=1",
    ]));
    assert!(
        client.read_reply().expect("an answer").starts_with("-BUSY"),
        "past its aim"
    );
    assert_eq!(
        server.commands().len(),
        1 + pending_count,
        "it was not sent on"
    );
    server.set_behavior(key, Behavior::Serve);
    client.write(&encode_command(&[
        "C.GET",
        key,
        "new",
        "c=read,t=acme,d=3000",
    ]));
    assert!(client.read_reply().expect("an answer").contains("s-a"));
    server.open_gate();
    others
        .iter_mut()
        .for_each(|other| assert!(other.read_reply().expect("an answer").contains("s-a")));
}

/// Guards a router that is one of forty: it paces what it sends to a server that has rejected requests, unless the
/// server reports in its replies that it waits for work.
#[test]
fn load_reports_are_used_if_the_settings_name_their_format() {
    let sent_requests = |columns: &str, report: &str| {
        let server = CacheServer::start("s-a");
        server.set_default_behavior(Behavior::Reply(format!("-BUSY {report}\r\n").into_bytes()));
        let Fleet { router, .. } = start_router_with_settings(&[&server], |config| {
            config["peers_total"] = 40.into();
            config["stats"] = serde_json::json!({"how": "inline", "columns": columns});
        });
        let mut client = router.client();
        (0..12).for_each(|_| {
            assert!(
                client
                    .request("read", "7f3a9c21e0b4d655")
                    .starts_with("-BUSY")
            )
        });
        server.commands().len()
    };
    assert_eq!(
        sent_requests("utilization,backlog", "util=0.2,queue=0"),
        12,
        "all are sent"
    );
    assert!(
        sent_requests("utilization,backlog", "util=1.0,queue=9") < 8,
        "a queue"
    );
    assert!(
        sent_requests("utilization,backlog", "util=lots,queue=-3") < 8,
        "no figures"
    );
    assert!(sent_requests("", "util=0.2,queue=0") < 8, "no reports here");
}
