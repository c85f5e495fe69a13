//! Endpoint discovery: watches, changes of the endpoint list, and outages of the discovery service.
//! Runs the router binary against fake peers on loopback sockets.

use test_support::*;

/// However a watch is lost, the router makes a new call that continues from the last version.
#[test]
fn a_lost_watch_is_reopened_from_the_last_version() {
    type LoseWatch = fn(&Discovery);
    let cases: [(&str, LoseWatch); 4] = [
        ("the end of the watch", |d| d.close_watch()),
        ("a malformed line", |d| {
            d.write_to_watch("{\"seq\":9,\"hosts\":[{\"host\":7}]}\n")
        }),
        ("a line that is not JSON", |d| d.write_to_watch("what?\n")),
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
        wait_until(&format!("a new call after {what}"), || {
            discovery.calls().len() >= 2
        });
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
            "{what}: the lost watch was not logged"
        );
    }
}

#[test]
fn a_refused_watch_is_retried() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    discovery.set_failing(true);
    let router = RouterProcess::start(&configuration(discovery.addr, &[server.entry("up")]));
    wait_until("the router has retried the call", || {
        discovery.calls().len() >= 3
    });
    // The previous list stays in use.
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
    wait_until("the router has applied the new list", || {
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
    wait_until("the router has applied the change", || {
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
    wait_until("the router uses the new address", || {
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
    wait_until("the key moves to the other server", || {
        client.request("read", key).contains(&other.name)
    });
    let before = owner.commands().len();
    for _ in 0..20 {
        assert!(client.request("read", key).contains(&other.name));
    }
    assert_eq!(owner.commands().len(), before);
}

/// Servers are replaced many times, with new ids at reused addresses. Guards against state of
/// removed servers that is never freed, and against requests to removed servers.
#[test]
fn many_replaced_servers_leak_nothing() {
    let servers = [
        CacheServer::start("s-a"),
        CacheServer::start("s-b"),
        CacheServer::start("s-c"),
    ];
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[servers[0].entry("up")]);
    // Short deadlines, because the state of a removed server is kept while it may have requests.
    for class in config["settings"]["request_classes"]
        .as_array_mut()
        .unwrap()
    {
        class["give_up"] = 0.2.into();
        class["target"] = 0.1.into();
    }
    let router = RouterProcess::start(&config);
    wait_until("the router has opened a watch", || {
        !discovery.calls().is_empty()
    });
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
                wait_until("the newest server serves", || {
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

/// A silent watch is treated as lost in every discovery mode, and the changes that it missed have
/// to be applied within 6 s of the silence. With pushed lists this holds even if the first new call
/// hangs; when subscribed, a call may take longer, so no call hangs in this test.
#[test]
fn a_silent_watch_is_reopened_in_time_in_every_discovery_mode() {
    let run = |mode: &'static str, hanging_calls: usize| {
        let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
        let discovery = Discovery::start(endpoint_list(7, false, &[]));
        let mut config = configuration(discovery.addr, &[old.entry("up")]);
        config["settings"]["discovery"] = mode.into();
        let router = RouterProcess::start(&config);
        wait_until("the router has opened a watch", || {
            !discovery.calls().is_empty()
        });
        // The last data on the watch: the silence begins here.
        discovery.write_to_watch(&format!(
            "{}\n",
            endpoint_list(8, false, &[new.entry("up")])
        ));
        let mut client = router.client();
        let mut key = 0;
        wait_until("the router has applied the list", || {
            key += 1;
            client
                .request("read", &format!("{key:016x}"))
                .contains("s-b")
        });
        discovery.set_silent(true);
        let start = std::time::Instant::now();
        discovery.hang_next_calls(hanging_calls);
        discovery.set_initial_list(endpoint_list(9, true, &[new.entry("up")]));
        wait_until("the old server gets no more requests", || {
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
        .for_each(|run| run.join().expect("a case panicked"));
}

/// While neither the agent nor the discovery service responds, the router repeats its calls and
/// keeps its endpoints.
#[test]
fn a_silent_agent_removes_no_endpoint() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    discovery.hang_next_calls(usize::MAX);
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["settings"]["discovery"] = "automatic".into();
    let router = RouterProcess::start(&config);
    wait_until("the router has made a second call", || {
        discovery.calls().len() >= 2
    });
    assert!(
        router
            .client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
    // The second call is made while the first is still open.
    wait_until("the first call has timed out", || {
        router.log_contains("discovery watch lost: no answer within 2.5 s")
    });
}

#[test]
fn lists_may_span_lines_and_chunks() {
    let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let Fleet { router, discovery } = start_router(&[&old]);
    let text: serde_json::Value = serde_json::from_str(&endpoint_list(8, true, &[new.entry("up")]))
        .expect("malformed endpoint list");
    let text = serde_json::to_string_pretty(&text).expect("failed to encode") + "\n";
    // Without its last bytes no part of the list is applied.
    let (prefix, last) = text.split_at(text.len() - 2);
    for piece in prefix.as_bytes().chunks(7) {
        discovery.write_to_watch(std::str::from_utf8(piece).expect("not UTF-8"));
    }
    let mut client = router.client();
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    discovery.write_to_watch(last);
    wait_until("the router has applied the list", || {
        client.request("read", "00000000000000aa").contains("s-b")
    });
    // Two lists in one chunk, with an empty line between them.
    let (ready, draining) = (old.entry("up"), new.entry("draining"));
    discovery.write_to_watch(&format!(
        "{}\n\n{}\n",
        endpoint_list(9, true, std::slice::from_ref(&ready)),
        endpoint_list(10, true, &[ready, draining])
    ));
    wait_until("the router has applied the last list", || {
        client.request("read", "00000000000000aa").contains("s-a")
    });
    assert_eq!(discovery.calls().len(), 1, "{:?}", discovery.calls());
}

/// An incomplete list is followed by heartbeats only: the watch is replaced.
#[test]
fn a_list_that_never_completes_counts_as_silence() {
    let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let Fleet { router, discovery } = start_router(&[&old]);
    discovery.write_to_watch("{\"seq\":8,\n\"hosts\":[\n");
    discovery.set_initial_list(endpoint_list(9, true, &[new.entry("up")]));
    let mut client = router.client();
    wait_until("the router has applied the list of a new watch", || {
        client.request("read", "00000000000000aa").contains("s-b")
    });
}

/// Guards against a change in the last chunk that is dropped when the watch ends.
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
    wait_until("the router has applied the drain", || {
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
