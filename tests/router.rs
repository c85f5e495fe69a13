//! The router on real sockets: the real binary against fake cache servers, discovery and clients.

mod common;

use common::sockets::*;
use std::time::Instant;

/// A router that knows these servers, and its discovery, which has nothing new.
fn router_of(servers: &[&Server]) -> (Router, Discovery) {
    let discovery = Discovery::start(list(7, false, &[]));
    let known: Vec<String> = servers.iter().map(|server| server.entry("up")).collect();
    let router = Router::start(&config(discovery.addr, &known));
    wait_until("the router watches", || !discovery.calls().is_empty());
    (router, discovery)
}

/// Two servers; the first is the owner of the key.
fn pair_for(key: &str) -> (Server, Server, Router, Discovery) {
    let (a, b) = (Server::start("s-a"), Server::start("s-b"));
    let (router, discovery) = router_of(&[&a, &b]);
    assert!(router.client().ask("read", key).contains("s-"));
    let (owner, other) = if a.commands().is_empty() { (b, a) } else { (a, b) };
    (owner, other, router, discovery)
}

#[test]
fn a_read_and_a_write_are_served_unchanged_but_for_the_wait() {
    let server = Server::start("s-a");
    let (router, _discovery) = router_of(&[&server]);
    let mut client = router.client();
    client.write(&command(&["PING"]));
    assert_eq!(client.answer().unwrap(), "+PONG\r\n");
    client.write(&command(&["C.GET", "7f3a9c21e0b4d655", "9b1f", "c=read,t=acme,d=900,h=1200,size=7"]));
    assert_eq!(client.answer().unwrap().into_bytes(), value("s-a"));
    client.write(&command(&["C.SET", "7f3a9c21e0b4d655", "9b20", "c=put,t=acme,d=900,k=5c0f", "answers"]));
    assert_eq!(client.answer().unwrap().into_bytes(), value("s-a"));
    let commands = server.commands();
    let wait =
        |fields: &str| fields.split(",d=").nth(1).unwrap().split(',').next().unwrap().parse::<u64>().unwrap();
    let (read, write) = (&commands[0], &commands[1]);
    assert_eq!(read[..3], ["C.GET", "7f3a9c21e0b4d655", "9b1f"]);
    assert!((1..=900).contains(&wait(&read[3])), "{}", read[3]);
    assert_eq!(read[3].replace(&format!("d={}", wait(&read[3])), "d="), "c=read,t=acme,d=,h=1200,size=7");
    assert_eq!(write[..3], ["C.SET", "7f3a9c21e0b4d655", "9b20"]);
    assert_eq!(write[4], "answers");
    assert!(write[3].ends_with(",k=5c0f"));
    assert_eq!(server.connections().0, 1, "the second request takes the idle connection");
}

/// Each row of the table of what comes back, with a request that must never run twice: it is declined only where
/// nothing can have run.
#[test]
fn every_row_of_the_outcome_table() {
    let null = b"*3\r\n$-1\r\n$3\r\nhit\r\n$-1\r\n".to_vec();
    let rows = [
        ("a value", Does::Serves, "*3"),
        ("an error", Does::Says(b"-ERR failed\r\n".to_vec()), "-ERR"),
        ("an error with a load report", Does::Says(b"-ERR failed inflight=7,queue=2\r\n".to_vec()), "-ERR"),
        ("busy", Does::Says(b"-BUSY\r\n".to_vec()), "-BUSY"),
        ("busy with a load report", Does::Says(b"-BUSY inflight=7,queue=2\r\n".to_vec()), "-BUSY"),
        ("a null", Does::Says(null), "-ERR"),
        ("no value", Does::Says(b"*0\r\n".to_vec()), "-ERR"),
        ("another form", Does::Says(b":7\r\n".to_vec()), "-ERR"),
        ("no RESP", Does::Says(b"what?\r\n".to_vec()), "-ERR"),
        ("an end after the command", Does::SaysAndEnds(Vec::new()), "-ERR"),
        ("an end within the value", Does::SaysAndEnds(b"*3\r\n$9\r\nhalf".to_vec()), "-ERR"),
        ("nothing", Does::IsSilent, "-ERR"),
    ];
    for (what, does, expected) in rows {
        let server = Server::start("s-a");
        server.usually(does);
        let (router, _discovery) = router_of(&[&server]);
        let mut client = router.client();
        client.send("once", "7f3a9c21e0b4d655", 300);
        let answer = client.answer().unwrap_or_else(|| panic!("{what}: no answer"));
        assert!(answer.starts_with(expected), "{what}: {answer}");
        assert_eq!(server.commands().len(), 1, "{what}: sent once");
        client.write(&command(&["PING"]));
        assert_eq!(client.answer().unwrap(), "+PONG\r\n", "{what}: one answer");
    }
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let server = Server::start("s-a");
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::start(list(7, false, &[]));
    let router = Router::start(&config(discovery.addr, &[entry(&server.name, closed, "up")]));
    let start = Instant::now();
    let answer = router.client().ask("once", "7f3a9c21e0b4d655");
    // At once, and with advice in milliseconds on when to come back.
    let advice = answer.strip_prefix("-BUSY ").unwrap_or_else(|| panic!("{answer}"));
    assert!((1..=1_000).contains(&advice.trim_end().parse::<u64>().unwrap()), "{answer}");
    assert!(start.elapsed().as_millis() < 3_000, "{:?}", start.elapsed());
    assert!(server.commands().is_empty());
}

/// A listener whose queue of connections is full: new ones stay unanswered, as with a machine that vanished.
fn silent_listener() -> (std::net::TcpListener, Vec<std::net::TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener = std::net::TcpListener::from(socket);
    let addr = listener.local_addr().unwrap();
    let limit = std::time::Duration::from_millis(100);
    let fillers = (0..4).map_while(|_| std::net::TcpStream::connect_timeout(&addr, limit).ok()).collect();
    (listener, fillers)
}

#[test]
fn a_connection_that_never_comes_up_has_its_own_limit() {
    let (silent, _fillers) = silent_listener();
    let discovery = Discovery::start(list(7, false, &[]));
    let router = Router::start(&config(discovery.addr, &[entry("s-a", silent.local_addr().unwrap(), "up")]));
    let start = Instant::now();
    // Declined: the proof that nothing ran. And long before the client's 4 s are up.
    assert!(router.client().ask("once", "7f3a9c21e0b4d655").starts_with("-BUSY"));
    assert!(start.elapsed().as_millis() < 3_000, "{:?}", start.elapsed());
}

/// Guards the drain grace: a connection that comes up after the notice carries nothing.
#[test]
fn nothing_reaches_a_server_that_drains_while_its_connection_comes_up() {
    let (silent, fillers) = silent_listener();
    let other = Server::start("s-b");
    let addr = silent.local_addr().unwrap();
    let discovery = Discovery::start(list(7, false, &[]));
    let mut config = config(discovery.addr, &[entry("s-a", addr, "up")]);
    config["settings"]["limits"]["dial_timeout"] = 15.0.into();
    let router = Router::start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    let mut client = router.client();
    client.send("once", "7f3a9c21e0b4d655", 16_000);
    client.write(&command(&["PING"]));
    let news = list(8, false, &[entry("s-a", addr, "draining"), other.entry("up")]);
    discovery.writes(&format!("{news}\n"));
    let mut second = router.client();
    wait_until("the drain is known", || second.ask("read", "00000000000000aa").contains("s-b"));
    drop(fillers);
    let drained = Server::on("s-a", silent);
    // It never ran there, so that it may go to the other server.
    assert!(client.answer().unwrap().contains("s-b"));
    assert!(drained.commands().is_empty(), "{:?}", drained.commands());
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let key = "7f3a9c21e0b4d655";
    let (owner, other, router, discovery) = pair_for(key);
    discovery.writes(&format!("{}\n", list(8, false, &[owner.entry("draining")])));
    let mut client = router.client();
    wait_until("its key moves", || client.ask("read", key).contains(&other.name));
    let before = owner.commands().len();
    for _ in 0..20 {
        assert!(client.ask("read", key).contains(&other.name));
    }
    assert_eq!(owner.commands().len(), before);
}

#[test]
fn a_keyed_write_that_may_have_run_is_sent_again_as_it_was() {
    let key = "7f3a9c21e0b4d655";
    let (owner, other, router, _discovery) = pair_for(key);
    owner.usually(Does::SaysAndEnds(Vec::new()));
    let mut client = router.client();
    assert!(client.ask("put", key).contains(&other.name));
    let (first, second) = (owner.commands().pop().unwrap(), other.commands().pop().unwrap());
    assert_eq!(first[..3], second[..3]);
    assert!(first[3].ends_with(",k=5c0f") && second[3].ends_with(",k=5c0f"));
    assert_eq!(first[4], second[4]);
}

/// Guards a failing origin: on sockets an error does not tell that a fetch failed, only its time does.
#[test]
fn a_failed_fetch_is_not_repeated_elsewhere_and_a_quick_error_is() {
    let (a, b) = (Server::start("s-a"), Server::start("s-b"));
    let error = b"-ERR failed\r\n".to_vec();
    for server in [&a, &b] {
        server.does("00000000000000aa", Does::Says(error.clone()));
        server.does("00000000000000bb", Does::SaysAfter(600, error.clone()));
    }
    let (router, _discovery) = router_of(&[&a, &b]);
    let mut client = router.client();
    let sent = |key: &str| a.commands().iter().chain(&b.commands()).filter(|words| words[1] == key).count();
    assert!(client.ask("read", "00000000000000aa").starts_with("-BUSY "));
    assert_eq!(sent("00000000000000aa"), 2);
    assert!(client.ask("read", "00000000000000bb").starts_with("-BUSY "));
    assert_eq!(sent("00000000000000bb"), 1);
}

#[test]
fn answers_keep_the_order_of_pipelined_commands() {
    let server = Server::start("s-a");
    server.does("00000000000000aa", Does::ServesLater);
    server.does("00000000000000bb", Does::Says(value("second")));
    let (router, _discovery) = router_of(&[&server]);
    let mut client = router.client();
    client.send("read", "00000000000000aa", 15_000);
    client.send("read", "00000000000000bb", 15_000);
    client.write(&command(&["PING"]));
    // The second is answered by the server while the first still waits: no request stands behind another.
    wait_until("both are at the server", || server.commands().len() == 2);
    assert_eq!(server.connections().0, 2);
    server.open_gate();
    assert!(client.answer().unwrap().contains("s-a"));
    assert!(client.answer().unwrap().contains("second"));
    assert_eq!(client.answer().unwrap(), "+PONG\r\n");
}

#[test]
fn nothing_goes_out_for_a_client_that_left() {
    let key = "7f3a9c21e0b4d655";
    let (owner, other, router, _discovery) = pair_for(key);
    owner.usually(Does::IsSilent);
    let before = owner.commands().len();
    let mut leaving = router.client();
    leaving.write(&command(&["C.GET", key, "left", "c=read,t=acme,d=15000"]));
    wait_until("it is at the server", || owner.commands().len() > before);
    drop(leaving);
    // The router sees the end of this connection no later than that of the next one's first answer.
    let mut client = router.client();
    client.write(&command(&["PING"]));
    assert_eq!(client.answer().unwrap(), "+PONG\r\n");
    owner.usually(Does::SaysAndEnds(Vec::new()));
    owner.end_connections();
    // Another client's request, whose attempt breaks after that of the one that left, goes on to the other server.
    assert!(client.ask("read", key).contains(&other.name));
    assert!(other.commands().iter().all(|words| words[2] != "left"), "{:?}", other.commands());
}

#[test]
fn after_sigterm_all_that_was_taken_is_answered() {
    let server = Server::start("s-a");
    server.does("00000000000000aa", Does::ServesLater);
    let (mut router, _discovery) = router_of(&[&server]);
    let (mut busy, mut idle) = (router.client(), router.client());
    assert!(idle.ask("read", "00000000000000bb").contains("s-a"));
    busy.send("read", "00000000000000aa", 4_000);
    wait_until("it is at the server", || server.commands().len() == 2);
    router.terminate();
    // New connections go on coming for a while, and are served.
    assert!(router.client().ask("read", "00000000000000cc").contains("s-a"));
    // An idle one is closed, with nothing lost on it.
    assert_eq!(idle.answer(), None);
    assert!(router.is_running(), "it waits for the answer that it owes");
    server.open_gate();
    assert!(busy.answer().unwrap().contains("s-a"));
    assert_eq!(busy.answer(), None);
    assert_eq!(router.wait().code(), Some(0));
}

#[test]
fn after_sigterm_it_ends_before_it_is_killed() {
    let server = Server::start("s-a");
    server.usually(Does::IsSilent);
    let (mut router, _discovery) = router_of(&[&server]);
    let mut client = router.client();
    client.send("once", "00000000000000aa", 60_000);
    wait_until("it is at the server", || server.commands().len() == 1);
    let start = Instant::now();
    router.terminate();
    assert_eq!(router.wait().code(), Some(0));
    // The longest deadline is 4 s, and SIGKILL comes 0.7 s after it.
    assert!(start.elapsed().as_millis() < 4_700, "{:?}", start.elapsed());
}

#[test]
fn it_starts_again_at_the_same_address() {
    let server = Server::start("s-a");
    let discovery = Discovery::start(list(7, false, &[]));
    let mut config = config(discovery.addr, &[server.entry("up")]);
    let first = Router::start(&config);
    let addr = first.addr;
    let mut client = first.client();
    assert!(client.ask("read", "00000000000000aa").contains("s-a"));
    // Killed with a client connected: its side of that connection lingers.
    drop(first);
    config["listen"] = addr.to_string().into();
    let second = Router::start(&config);
    assert_eq!(second.addr, addr);
    assert!(second.client().ask("read", "00000000000000aa").contains("s-a"));
}

/// The ways in which a watch is lost; each is followed by a new call, which goes on from the last version.
#[test]
fn a_lost_watch_is_called_again_from_the_last_version() {
    type Lose = fn(&Discovery);
    let lose: [(&str, Lose); 4] = [
        ("its end", |d| d.ends()),
        ("a malformed line", |d| d.writes("{\"seq\":9,\"hosts\":[{\"host\":7}]}\n")),
        ("no JSON", |d| d.writes("what?\n")),
        ("silence", |d| d.is_silent(true)),
    ];
    for (what, lost) in lose {
        let (old, new) = (Server::start("s-a"), Server::start("s-b"));
        let (mut router, discovery) = router_of(&[&old]);
        assert!(
            discovery.calls()[0].contains("/api/targets?watch=1&after=7 "),
            "{what}: {:?}",
            discovery.calls()
        );
        discovery.writes(&format!("{}\n", list(8, false, &[])));
        discovery.begins_with(list(12, true, &[new.entry("up")]));
        lost(&discovery);
        wait_until(what, || discovery.calls().len() >= 2);
        assert!(discovery.calls()[1].contains("after=8 "), "{what}: {:?}", discovery.calls());
        let mut client = router.client();
        wait_until("the whole list replaces the old one", || {
            client.ask("read", "00000000000000aa").contains("s-b")
        });
        assert!(router.is_running(), "{what}");
        assert!(router.log_has("discovery: watch"), "{what}: logged");
    }
}

#[test]
fn a_refused_watch_is_called_again() {
    let server = Server::start("s-a");
    let discovery = Discovery::start(list(7, false, &[]));
    discovery.fails(true);
    let router = Router::start(&config(discovery.addr, &[server.entry("up")]));
    wait_until("it calls again", || discovery.calls().len() >= 3);
    // The list that it knew goes on to hold.
    assert!(router.client().ask("read", "00000000000000aa").contains("s-a"));
    discovery.fails(false);
    let new = Server::start("s-b");
    discovery.begins_with(list(9, true, &[new.entry("up")]));
    let mut client = router.client();
    wait_until("the new list", || client.ask("read", "00000000000000aa").contains("s-b"));
}

#[test]
fn a_line_may_come_in_pieces() {
    let (old, new) = (Server::start("s-a"), Server::start("s-b"));
    let (router, discovery) = router_of(&[&old]);
    let line = format!("{}\n\n", list(8, false, &[new.entry("up"), old.entry("removed")]));
    let (first, rest) = line.split_at(31);
    discovery.writes(first);
    discovery.writes(rest);
    let mut client = router.client();
    wait_until("the change", || client.ask("read", "00000000000000aa").contains("s-b"));
    assert_eq!(discovery.calls().len(), 1);
}

#[test]
fn a_server_may_move_to_another_address() {
    let (old, new) = (Server::start("s-a"), Server::start("moved"));
    let (router, discovery) = router_of(&[&old]);
    let mut client = router.client();
    assert!(client.ask("read", "00000000000000aa").contains("s-a"));
    discovery.writes(&format!("{}\n", list(8, false, &[entry("s-a", new.addr, "up")])));
    wait_until("the new address", || client.ask("read", "00000000000000aa").contains("moved"));
}

/// Guards against a reset that may have run: connections are retired before the cache server closes them.
#[test]
fn idle_connections_are_retired_in_time() {
    let server = Server::start("s-a");
    let discovery = Discovery::start(list(7, false, &[]));
    let mut config = config(discovery.addr, &[server.entry("up")]);
    config["settings"]["limits"]["conn_idle"] = 1.0.into();
    let router = Router::start(&config);
    let mut client = router.client();
    assert!(client.ask("read", "00000000000000aa").contains("s-a"));
    wait_until("the router closes it", || server.connections() == (1, 1));
    assert!(client.ask("read", "00000000000000aa").contains("s-a"));
    assert_eq!(server.connections().0, 2);
}

#[test]
fn a_connection_that_ended_while_idle_is_not_written_to() {
    let server = Server::start("s-a");
    let (router, _discovery) = router_of(&[&server]);
    let mut client = router.client();
    assert!(client.ask("once", "00000000000000aa").contains("s-a"));
    server.end_connections();
    wait_until("it has ended", || server.connections() == (1, 1));
    // A request that must never run twice would fail on it.
    assert!(client.ask("once", "00000000000000aa").contains("s-a"));
    assert_eq!(server.connections().0, 2);
}

/// Guards against answers for the wrong request: a connection with a late answer on it is not used again.
#[test]
fn a_late_answer_goes_to_nobody() {
    let server = Server::start("s-a");
    server.does("00000000000000aa", Does::ServesLater);
    let (router, _discovery) = router_of(&[&server]);
    let mut client = router.client();
    client.send("once", "00000000000000aa", 200);
    assert!(client.answer().unwrap().starts_with("-ERR"));
    server.does("00000000000000bb", Does::Says(value("right")));
    server.open_gate();
    assert!(client.ask("read", "00000000000000bb").contains("right"));
    let double = [value("right"), value("stray")].concat();
    server.does("00000000000000cc", Does::Says(double));
    assert!(client.ask("read", "00000000000000cc").contains("right"));
    assert!(client.ask("read", "00000000000000dd").contains("s-a"));
}

#[test]
fn malformed_commands_get_an_error_and_leave_the_connection_sane() {
    let server = Server::start("s-a");
    let (mut router, _discovery) = router_of(&[&server]);
    let mut client = router.client();
    let large = "v".repeat(70_000);
    let commands: [&[&str]; 8] = [
        &["C.GET"],
        &["C.GET", "00000000000000aa", "id"],
        &["C.GET", "00000000000000aa", "id", "c=unknown,t=acme,d=400"],
        &["C.GET", "00000000000000aa", "id", "no fields at all"],
        &["C.GET", "00000000000000aa", "id", "c=read,t=acme,d=soon"],
        &["C.SET", "00000000000000aa", "id", "c=put,t=acme,d=400,k=1", &large],
        &["FLUSHALL"],
        &[""],
    ];
    for words in commands {
        client.write(&command(words));
        let answer = client.answer().unwrap();
        assert!(answer.starts_with("-ERR"), "{:?}: {answer}", words[0]);
    }
    assert!(client.ask("read", "00000000000000aa").contains("s-a"));
    assert_eq!(server.commands().len(), 1);
    let deep = b"*1\r\n".repeat(50_000);
    let endless: [&[u8]; 5] =
        [b"GET x\r\n", b"*1\r\n$99999999999\r\n", b"*99999999999\r\n", b"*1\r\n$-9\r\n", &deep];
    for bytes in endless {
        let mut client = router.client();
        client.write(bytes);
        assert!(client.rest().starts_with(b"-ERR"), "{:?}", String::from_utf8_lossy(&bytes[..8]));
    }
    assert!(router.is_running());
    assert!(router.client().ask("read", "00000000000000aa").contains("s-a"));
}

#[test]
fn a_client_past_the_limit_takes_the_place_of_the_idlest() {
    let server = Server::start("s-a");
    let discovery = Discovery::start(list(7, false, &[]));
    let mut config = config(discovery.addr, &[server.entry("up")]);
    config["limits"]["sockets"] = 56.into();
    let router = Router::start(&config);
    let mut clients: Vec<Client> = (0..12).map(|_| router.client()).collect();
    for client in clients.iter_mut().skip(8) {
        assert!(client.ask("read", "00000000000000aa").contains("s-a"));
    }
    assert_eq!(clients[0].answer(), None, "closed between requests");
}

#[test]
fn running_out_of_descriptors_does_not_end_it() {
    let server = Server::start("s-a");
    let discovery = Discovery::start(list(7, false, &[]));
    let mut router = Router::start_after(&config(discovery.addr, &[server.entry("up")]), "ulimit -n 24;");
    let mut clients: Vec<Client> = (0..40).map(|_| router.client()).collect();
    wait_until("it has run out", || router.log_has("accepting a client"));
    clients.truncate(2);
    assert!(router.client().ask("read", "00000000000000aa").starts_with(['*', '-']));
    wait_until("it serves again", || router.client().ask("read", "00000000000000aa").contains("s-a"));
    assert!(router.is_running());
}

#[test]
fn a_bad_configuration_is_one_plain_line() {
    let discovery = Discovery::start(list(7, false, &[]));
    let good = config(discovery.addr, &[]);
    let mut no_classes = good.clone();
    no_classes["settings"].as_object_mut().unwrap().remove("request_classes");
    let mut bad_address = good;
    bad_address["listen"] = "here".into();
    for text in ["{", "[]", &no_classes.to_string(), &bad_address.to_string()] {
        let (status, log) = run_to_end(text);
        assert_eq!(status.code(), Some(2), "{log}");
        assert_eq!(log.lines().count(), 1, "{log}");
    }
}
