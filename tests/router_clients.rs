//! Clients of the router: what they send, and what they may hold. The real binary against fake peers on loopback sockets.

mod common;

use common::sockets::*;

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
