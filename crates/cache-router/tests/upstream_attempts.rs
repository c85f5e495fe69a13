//! Attempts at cache servers: outcomes, retries, and the commands that are sent. Runs the router
//! binary against fake peers on loopback sockets.

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
    // A connection returns to the pool only after a short quiet time.
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
        "the second request did not use the idle connection"
    );
}

/// Covers each outcome of an attempt, with a request that must not run twice: it is rejected as
/// retryable only if it cannot have run, and fails otherwise.
#[test]
fn a_request_is_rejected_only_where_it_cannot_have_run() {
    let null = b"*3\r\n$-1\r\n$3\r\nhit\r\n$-1\r\n".to_vec();
    let cases = [
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
        ("a null value", Behavior::Reply(null), "-ERR"),
        (
            "an empty array",
            Behavior::Reply(b"*0\r\n".to_vec()),
            "-ERR",
        ),
        ("an integer", Behavior::Reply(b":7\r\n".to_vec()), "-ERR"),
        ("not RESP", Behavior::Reply(b"what?\r\n".to_vec()), "-ERR"),
        (
            "the connection closed after the command",
            Behavior::ReplyAndClose(Vec::new()),
            "-ERR",
        ),
        (
            "the connection closed within the value",
            Behavior::ReplyAndClose(b"*3\r\n$9\r\nhalf".to_vec()),
            "-ERR",
        ),
        ("no reply", Behavior::StaySilent, "-ERR"),
    ];
    for (what, behavior, expected) in cases {
        let server = CacheServer::start("s-a");
        server.set_default_behavior(behavior);
        let Fleet { router, .. } = start_router(&[&server]);
        let mut client = router.client();
        client.send("once", "7f3a9c21e0b4d655", 300);
        let answer = client
            .read_reply()
            .unwrap_or_else(|| panic!("{what}: no answer"));
        assert!(answer.starts_with(expected), "{what}: {answer}");
        assert_eq!(server.commands().len(), 1, "{what}: not sent exactly once");
        client.write(&encode_command(&["PING"]));
        assert_eq!(
            client.read_reply().unwrap(),
            "+PONG\r\n",
            "{what}: more than one answer"
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
    // Rejected promptly, with the Retry-After time in milliseconds.
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

/// Guards against additional load on a failing origin: an error that comes late shows that an
/// origin fetch has failed, and such a request is not retried. The time of the error is the only
/// sign of that on the wire.
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

/// A hanging server delays neither requests for its own keys nor those for other keys, and gets its
/// keys back when it recovers.
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
    // Distinct keys, so that none becomes hot and gets replicas.
    let mut keys =
        (1_u64..).map(|number| format!("{:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15)));
    for key in keys.by_ref().take(20) {
        client.send("read", &key, 400);
        assert!(client.read_reply().unwrap().contains(&other.name));
    }
    assert_eq!(owner.commands().len(), before);
    // An occasional request is tried at the hanging server, and then retried at the other one.
    wait_until("a request is tried at the unresponsive server", || {
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
    wait_until("the owner serves its keys again", || {
        is_served_by_owner() && is_served_by_owner() && is_served_by_owner()
    });
}

/// Sets the late weight of reads to 0: a reply after the latency objective of 500 ms has no value.
fn without_late_weight(settings: &mut serde_json::Value) {
    settings["request_classes"][0]["late_value"] = 0.0.into();
}

/// Guards against giving up on a reply that is about to arrive: the server's work continues, and a
/// retry would double its cost.
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

/// Guards against waiting for a lost reply up to the latency objective when all other replies are
/// quick. Such a reply is overdue earlier, and another server serves the request.
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

/// Guards against clients' retries that worsen an overload: after the latency objective, a retry of
/// a rejected request uses no capacity that other requests need. A new request for the same key is
/// not a retry.
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
        client
            .read_reply()
            .expect("connection closed without an answer")
            .starts_with("-BUSY"),
        "the request was not rejected at its deadline"
    );
    let mut others: Vec<Client> = (0..pending_count).map(|_| router.client()).collect();
    others
        .iter_mut()
        .enumerate()
        .for_each(|(i, other)| other.send("read", &format!("other{i}"), 4_000));
    wait_until("half of the server's capacity is in use", || {
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
        client
            .read_reply()
            .expect("connection closed without an answer")
            .starts_with("-BUSY"),
        "a retry past the latency objective was not rejected"
    );
    assert_eq!(
        server.commands().len(),
        1 + pending_count,
        "the retry was sent to the server"
    );
    server.set_behavior(key, Behavior::Serve);
    client.write(&encode_command(&[
        "C.GET",
        key,
        "new",
        "c=read,t=acme,d=3000",
    ]));
    assert!(
        client
            .read_reply()
            .expect("connection closed without an answer")
            .contains("s-a")
    );
    server.open_gate();
    others.iter_mut().for_each(|other| {
        assert!(
            other
                .read_reply()
                .expect("connection closed without an answer")
                .contains("s-a")
        )
    });
}

/// A router that is one of forty limits what it sends to a server that has rejected requests,
/// unless the load reports in the server's replies show spare capacity.
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
        "not all requests were sent"
    );
    assert!(
        sent_requests("utilization,backlog", "util=1.0,queue=9") < 8,
        "a load report with a queue"
    );
    assert!(
        sent_requests("utilization,backlog", "util=lots,queue=-3") < 8,
        "a load report without numbers"
    );
    assert!(
        sent_requests("", "util=0.2,queue=0") < 8,
        "no format of load reports"
    );
}
