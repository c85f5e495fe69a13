//! The endpoint list: watches, changes and outages of discovery. The real binary against stand-ins on loopback sockets.

use test_support::*;

/// Each way in which a watch is lost is followed by a new call, which continues from the last version.
#[test]
fn a_lost_watch_is_reopened_from_the_last_version() {
    type LoseWatch = fn(&Discovery);
    let cases: [(&str, LoseWatch); 4] = [
        ("its end", |d| d.close_watch()),
        ("a malformed line", |d| {
            d.write_to_watch("{\"seq\":9,\"hosts\":[{\"host\":7}]}\n")
        }),
        ("no JSON", |d| d.write_to_watch("what?\n")),
        ("silence", |d| d.set_silent(true)),
    ];
    for (what, lose_watch) in cases {
        let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
        let Fleet {
            mut router,
            discovery,
        } = start_router(&[&old]);
        assert!(
            discovery.calls()[0].contains("/api/targets?watch=1&after=7 "),
            "{what}: {:?}",
            discovery.calls()
        );
        discovery.write_to_watch(&format!("{}\n", endpoint_list(8, false, &[])));
        discovery.set_initial_list(endpoint_list(12, true, &[new.entry("up")]));
        lose_watch(&discovery);
        wait_until(what, || discovery.calls().len() >= 2);
        assert!(
            discovery.calls()[1].contains("after=8 "),
            "{what}: {:?}",
            discovery.calls()
        );
        let mut client = router.client();
        wait_until("the whole list replaces the old one", || {
            client.request("read", "00000000000000aa").contains("s-b")
        });
        assert!(router.is_running(), "{what}");
        assert!(
            router.log_contains("discovery watch lost: "),
            "{what}: logged"
        );
    }
}

#[test]
fn a_refused_watch_is_retried() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    discovery.set_failing(true);
    let router = RouterProcess::start(&configuration(discovery.addr, &[server.entry("up")]));
    wait_until("it calls again", || discovery.calls().len() >= 3);
    // The last list stays in use.
    assert!(
        router
            .client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
    discovery.set_failing(false);
    let new = CacheServer::start("s-b");
    discovery.set_initial_list(endpoint_list(9, true, &[new.entry("up")]));
    let mut client = router.client();
    wait_until("the new list", || {
        client.request("read", "00000000000000aa").contains("s-b")
    });
}

#[test]
fn a_line_may_arrive_in_pieces() {
    let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let Fleet { router, discovery } = start_router(&[&old]);
    let line = format!(
        "{}\n\n",
        endpoint_list(8, false, &[new.entry("up"), old.entry("removed")])
    );
    let (first, rest) = line.split_at(31);
    discovery.write_to_watch(first);
    discovery.write_to_watch(rest);
    let mut client = router.client();
    wait_until("the change", || {
        client.request("read", "00000000000000aa").contains("s-b")
    });
    assert_eq!(discovery.calls().len(), 1);
}

#[test]
fn a_server_may_move_to_another_address() {
    let (old, new) = (CacheServer::start("s-a"), CacheServer::start("moved"));
    let Fleet { router, discovery } = start_router(&[&old]);
    let mut client = router.client();
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    discovery.write_to_watch(&format!(
        "{}\n",
        endpoint_list(8, false, &[endpoint_entry("s-a", new.addr, "up")])
    ));
    wait_until("the new address", || {
        client.request("read", "00000000000000aa").contains("moved")
    });
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let key = "7f3a9c21e0b4d655";
    let TwoServerFleet {
        owner,
        other,
        router,
        discovery,
    } = start_router_with_two_servers(key);
    discovery.write_to_watch(&format!(
        "{}\n",
        endpoint_list(8, false, &[owner.entry("draining")])
    ));
    let mut client = router.client();
    wait_until("its key moves", || {
        client.request("read", key).contains(&other.name)
    });
    let before = owner.commands().len();
    for _ in 0..20 {
        assert!(client.request("read", key).contains(&other.name));
    }
    assert_eq!(owner.commands().len(), before);
}

/// Servers are replaced again and again, under new ids and at reused addresses: the state of each goes with it, and
/// requests find the current ones.
#[test]
fn many_replaced_servers_leak_nothing() {
    let servers = [
        CacheServer::start("s-a"),
        CacheServer::start("s-b"),
        CacheServer::start("s-c"),
    ];
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[servers[0].entry("up")]);
    // The state of a removed server stays while it may still have requests, and goes soon after.
    for class in config["settings"]["request_classes"]
        .as_array_mut()
        .unwrap()
    {
        class["give_up"] = 0.2.into();
        class["target"] = 0.1.into();
    }
    let router = RouterProcess::start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    let mut client = router.client();
    let mut seq = 8;
    let mut baseline_kb = 0;
    for round in 0..8 {
        for number in 0..400 {
            let name = |number: usize| format!("server-{number:05}");
            let newest = round * 400 + number + 1;
            let (old, new) = (name(newest - 1), name(newest));
            let changed = [
                endpoint_entry(&old, servers[(newest - 1) % 3].addr, "removed"),
                endpoint_entry(&new, servers[newest % 3].addr, "up"),
                servers[0].entry("removed"),
            ];
            discovery.write_to_watch(&format!("{}\n", endpoint_list(seq, false, &changed)));
            seq += 1;
            if number % 20 == 0 {
                let owner = &servers[newest % 3].name;
                wait_until("the newest serves", || {
                    client
                        .request("read", &format!("{newest:016x}"))
                        .contains(owner.as_str())
                });
            }
        }
        if round == 2 {
            baseline_kb = router.memory_kb();
        }
    }
    let growth_kb = router.memory_kb().saturating_sub(baseline_kb);
    assert!(growth_kb < 1_500, "grown by {growth_kb} KB");
    assert!(router.descriptors() < 40, "{}", router.descriptors());
}

/// A watch that falls silent counts as lost in every discovery mode, and its changes have to be known 6 s later: a new
/// call is answered by then, with an agent also if the first call hangs. Where discovery is polled a call may wait longer.
#[test]
fn a_silent_watch_is_reopened_in_time_in_every_discovery_mode() {
    let run = |mode: &'static str, hanging_calls: usize| {
        let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
        let discovery = Discovery::start(endpoint_list(7, false, &[]));
        let mut config = configuration(discovery.addr, &[old.entry("up")]);
        config["settings"]["discovery"] = mode.into();
        let router = RouterProcess::start(&config);
        wait_until("the router watches", || !discovery.calls().is_empty());
        // It has heard of this: from here on there is silence.
        discovery.write_to_watch(&format!(
            "{}\n",
            endpoint_list(8, false, &[new.entry("up")])
        ));
        let mut client = router.client();
        let mut key = 0;
        wait_until("the list is known", || {
            key += 1;
            client
                .request("read", &format!("{key:016x}"))
                .contains("s-b")
        });
        discovery.set_silent(true);
        let start = std::time::Instant::now();
        discovery.hang_next_calls(hanging_calls);
        discovery.set_initial_list(endpoint_list(9, true, &[new.entry("up")]));
        wait_until("the old server is gone", || {
            (0..16).all(|key| {
                client
                    .request("read", &format!("{key:016x}"))
                    .contains("s-b")
            })
        });
        assert!(
            start.elapsed().as_secs_f64() < 6.0,
            "{mode}: {:?}",
            start.elapsed()
        );
        assert_eq!(
            discovery.calls().len(),
            2 + hanging_calls,
            "{mode}: {:?}",
            discovery.calls()
        );
    };
    let runs = [("subscribe", 0), ("automatic", 1)]
        .map(|(mode, hanging_calls)| std::thread::spawn(move || run(mode, hanging_calls)));
    runs.into_iter()
        .for_each(|run| run.join().expect("both hold"));
}

/// An agent that is silent while discovery is down costs calls, and no endpoint.
#[test]
fn a_silent_agent_removes_no_endpoint() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    discovery.hang_next_calls(usize::MAX);
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["settings"]["discovery"] = "automatic".into();
    let router = RouterProcess::start(&config);
    wait_until("it has called and called again", || {
        discovery.calls().len() >= 2
    });
    assert!(
        router
            .client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
    // The second call is made beside the first, which has not ended yet.
    wait_until("the first call has ended", || {
        router.log_contains("discovery watch lost: no answer within 2.5 s")
    });
}

#[test]
fn lists_may_span_lines_and_chunks() {
    let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let Fleet { router, discovery } = start_router(&[&old]);
    let text: serde_json::Value =
        serde_json::from_str(&endpoint_list(8, true, &[new.entry("up")])).expect("a list");
    let text = serde_json::to_string_pretty(&text).expect("written") + "\n";
    // Without its last byte nothing of the list counts.
    let (prefix, last) = text.split_at(text.len() - 2);
    for piece in prefix.as_bytes().chunks(7) {
        discovery.write_to_watch(std::str::from_utf8(piece).expect("text"));
    }
    let mut client = router.client();
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    discovery.write_to_watch(last);
    wait_until("the list is known", || {
        client.request("read", "00000000000000aa").contains("s-b")
    });
    // Two lists at once, with an empty line between them.
    let (ready, draining) = (old.entry("up"), new.entry("draining"));
    discovery.write_to_watch(&format!(
        "{}\n\n{}\n",
        endpoint_list(9, true, std::slice::from_ref(&ready)),
        endpoint_list(10, true, &[ready, draining])
    ));
    wait_until("the last one holds", || {
        client.request("read", "00000000000000aa").contains("s-a")
    });
    assert_eq!(discovery.calls().len(), 1, "{:?}", discovery.calls());
}

/// Half a list, followed by nothing but heartbeats.
#[test]
fn a_list_that_never_completes_counts_as_silence() {
    let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let Fleet { router, discovery } = start_router(&[&old]);
    discovery.write_to_watch("{\"seq\":8,\n\"hosts\":[\n");
    discovery.set_initial_list(endpoint_list(9, true, &[new.entry("up")]));
    let mut client = router.client();
    wait_until("a new watch", || {
        client.request("read", "00000000000000aa").contains("s-b")
    });
}

/// A drain in the last chunk before the end of the watch is applied.
#[test]
fn a_change_right_before_the_end_of_a_watch_is_applied() {
    let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let Fleet { router, discovery } = start_router(&[&old, &new]);
    discovery.set_failing(true);
    discovery.write_to_watch(&format!(
        "{}\n",
        endpoint_list(8, false, &[old.entry("draining")])
    ));
    discovery.close_watch();
    let mut client = router.client();
    wait_until("the drain is known", || {
        (0..16).all(|key| {
            client
                .request("read", &format!("{key:016x}"))
                .contains("s-b")
        })
    });
    assert_eq!(
        discovery
            .calls()
            .iter()
            .filter(|call| call.contains("after=7 "))
            .count(),
        1
    );
}
