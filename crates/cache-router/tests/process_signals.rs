//! Start, SIGHUP, SIGTERM and exit of the process. Runs the router binary against fake peers on
//! loopback sockets.

use std::time::Instant;
use test_support::*;

#[test]
fn after_sigterm_all_accepted_requests_are_answered() {
    let server = CacheServer::start("s-a");
    server.set_behavior("00000000000000aa", Behavior::ServeOnceGateOpens);
    let Fleet { mut router, .. } = start_router(&[&server]);
    let (mut busy, mut idle) = (router.client(), router.client());
    assert!(idle.request("read", "00000000000000bb").contains("s-a"));
    busy.send("read", "00000000000000aa", 4_000);
    wait_until("the server has received the request", || {
        server.commands().len() == 2
    });
    router.terminate();
    // New connections are still accepted and served for a while.
    assert!(
        router
            .client()
            .request("read", "00000000000000cc")
            .contains("s-a")
    );
    // An idle connection is closed without losing a request.
    assert_eq!(idle.read_reply(), None);
    assert!(
        router.is_running(),
        "the process exited before the pending reply was sent"
    );
    server.open_gate();
    assert!(busy.read_reply().unwrap().contains("s-a"));
    assert_eq!(busy.read_reply(), None);
    assert_eq!(router.wait().code(), Some(0));
}

#[test]
fn after_sigterm_the_process_ends_before_sigkill() {
    let server = CacheServer::start("s-a");
    server.set_default_behavior(Behavior::StaySilent);
    let Fleet { mut router, .. } = start_router(&[&server]);
    let mut client = router.client();
    client.send("once", "00000000000000aa", 60_000);
    client.send("once", "00000000000000bb", 60_000);
    wait_until("the server has received both requests", || {
        server.commands().len() == 2
    });
    let start = Instant::now();
    router.terminate();
    // SIGKILL comes 0.7 s after the longest deadline, which is 4 s here and counts as at most 3 s.
    // Pending requests have to fail before that.
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed\r\n"));
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed\r\n"));
    assert_eq!(client.read_reply(), None);
    assert_eq!(router.wait().code(), Some(0));
    assert!(start.elapsed().as_millis() < 3_700, "{:?}", start.elapsed());
    wait_until("the router has logged the shutdown", || {
        router.log_contains("stopped, 2 answered as failed")
    });
}

/// The kernel has accepted the connections of these clients, and closing the listener would reset
/// them.
#[test]
fn after_sigterm_clients_waiting_for_a_connection_slot_are_answered() {
    let server = CacheServer::start("s-a");
    server.set_default_behavior(Behavior::StaySilent);
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    // Connection slots for two clients.
    config["limits"]["sockets"] = 52.into();
    let mut router = RouterProcess::start(&config);
    let mut busy = [router.client(), router.client()];
    busy[0].send("once", "00000000000000aa", 60_000);
    busy[1].send("once", "00000000000000bb", 60_000);
    wait_until("both connection slots are in use", || {
        server.commands().len() == 2
    });
    let mut waiting = [router.client(), router.client(), router.client()];
    waiting
        .iter_mut()
        .for_each(|client| client.write(&encode_command(&["PING"])));
    router.terminate();
    for client in &mut waiting {
        assert_eq!(client.read_reply().as_deref(), Some("+PONG\r\n"));
        assert_eq!(client.read_reply(), None, "an idle connection stayed open");
    }
    assert!(
        router.is_running(),
        "the process exited before the pending replies were sent"
    );
    server.close_connections();
    busy.iter_mut().for_each(|client| {
        assert!(
            client
                .read_reply()
                .expect("connection closed without an answer")
                .starts_with("-ERR")
        )
    });
    assert_eq!(router.wait().code(), Some(0));
}

#[test]
fn a_new_process_listens_on_the_same_address() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    let first = RouterProcess::start(&config);
    let addr = first.addr;
    let mut client = first.client();
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    // Killed with a connected client, so a socket of the address lingers in the kernel.
    drop(first);
    config["listen"] = addr.to_string().into();
    let second = RouterProcess::start(&config);
    assert_eq!(second.addr, addr);
    assert!(
        second
            .client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
}

#[test]
fn an_invalid_configuration_prevents_the_start_with_a_one_line_error() {
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let good = configuration(discovery.addr, &[]);
    let mut no_classes = good.clone();
    no_classes["settings"]
        .as_object_mut()
        .unwrap()
        .remove("request_classes");
    let mut bad_address = good;
    bad_address["listen"] = "here".into();
    for text in ["{", "[]", &no_classes.to_string(), &bad_address.to_string()] {
        let Exit { status, log } = run_to_end(text);
        assert_eq!(status.code(), Some(2), "{log}");
        assert_eq!(log.lines().count(), 1, "{log}");
    }
}

/// Reloads in both discovery modes. The environment variable with the old address is not applied at
/// a reload.
#[test]
fn after_sighup_the_list_comes_from_the_new_discovery() {
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
        let (first, second) = (
            Discovery::start(endpoint_list(41, false, &[])),
            Discovery::start(endpoint_list(3, true, &[new.entry("up")])),
        );
        let mut config = configuration(CacheServer::start("nowhere").addr, &[old.entry("up")]);
        config["settings"]["discovery"] = mode.into();
        let mut router = RouterProcess::start_with_shell_commands(
            &config,
            &format!("export GW_DISCOVERY={};", first.addr),
        );
        wait_until("the router has opened a watch", || {
            !first.calls().is_empty()
        });
        let mut client = router.client();
        assert!(
            client.request("read", "00000000000000aa").contains("s-a"),
            "{mode}"
        );
        config["discovery"] = second.addr.to_string().into();
        let start = Instant::now();
        router.reload(&config.to_string());
        wait_until("the router has applied the new list", || {
            client.request("read", "00000000000000aa").contains("s-b")
        });
        assert!(
            start.elapsed().as_secs_f64() < 4.0,
            "{mode}: {:?}",
            start.elapsed()
        );
        assert!(
            second.calls()[0].contains("after=0 "),
            "{mode}: {:?}",
            second.calls()
        );
        assert_eq!(
            (first.calls().len(), second.calls().len()),
            (1, 1),
            "{mode}: not one call to each discovery service"
        );
        wait_until("the old watch is closed", || first.is_watch_closed());
        // A second reload switches back to the first discovery service.
        first.set_initial_list(endpoint_list(50, true, &[old.entry("up")]));
        config["discovery"] = first.addr.to_string().into();
        router.reload(&config.to_string());
        wait_until("the router has applied the old list again", || {
            client.request("read", "00000000000000aa").contains("s-a")
        });
        // The watch at the last address is in effect.
        first.write_to_watch(&format!(
            "{}\n",
            endpoint_list(51, true, &[new.entry("up")])
        ));
        wait_until("the router has applied the change", || {
            client.request("read", "00000000000000aa").contains("s-b")
        });
        assert!(router.is_running());
    }
}

/// Guards against a long backoff from the old discovery service that delays calls to the new one,
/// also if the new one fails at first.
#[test]
fn after_sighup_the_backoff_does_not_delay_the_new_discovery() {
    let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let (first, second) = (
        Discovery::start(endpoint_list(7, false, &[])),
        Discovery::start(endpoint_list(3, true, &[new.entry("up")])),
    );
    first.set_failing(true);
    second.fail_next_calls(2);
    let mut config = configuration(first.addr, &[old.entry("up")]);
    config["settings"]["invariants"]["ask_within"] = 1_000.0.into();
    let router = RouterProcess::start(&config);
    wait_until("a discovery call has failed", || {
        router.log_contains("discovery watch lost: ")
    });
    config["discovery"] = second.addr.to_string().into();
    router.reload(&config.to_string());
    let mut client = router.client();
    wait_until("the router has applied the new list", || {
        client.request("read", "00000000000000aa").contains("s-b")
    });
    assert_eq!(second.calls().len(), 3);
}

#[test]
fn after_sighup_an_invalid_file_leaves_the_old_configuration() {
    let (old, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let good = configuration(discovery.addr, &[old.entry("up")]);
    let mut router = RouterProcess::start(&good);
    wait_until("the router has opened a watch", || {
        !discovery.calls().is_empty()
    });
    let mut no_classes = good.clone();
    no_classes["settings"]
        .as_object_mut()
        .unwrap()
        .remove("request_classes");
    let mut bad_address = good.clone();
    bad_address["discovery"] = "there".into();
    for (count, text) in ["{", "", &no_classes.to_string(), &bad_address.to_string()]
        .into_iter()
        .enumerate()
    {
        router.reload(text);
        let lines = || {
            router
                .log
                .lock()
                .unwrap()
                .iter()
                .filter(|line| line.contains("configuration not reloaded, the old one holds: "))
                .count()
        };
        wait_until("the failed reload is logged", || lines() == count + 1);
    }
    let mut client = router.client();
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    // The old watch stays open.
    discovery.write_to_watch(&format!("{}\n", endpoint_list(8, true, &[new.entry("up")])));
    wait_until("the router has applied the change", || {
        client.request("read", "00000000000000aa").contains("s-b")
    });
    assert_eq!(discovery.calls().len(), 1);
    assert!(router.is_running());
}
