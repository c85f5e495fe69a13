//! The list of cache servers as the router has it. The real binary against fake peers on loopback sockets.

use asterport_testkit::*;

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

/// A fleet whose servers are replaced all day, under new ids and at addresses that were others': what each brought goes
/// with it, and requests find those that are there.
#[test]
fn many_replaced_servers_leave_nothing_behind() {
    let servers = [Server::start("s-a"), Server::start("s-b"), Server::start("s-c")];
    let discovery = Discovery::start(list(7, false, &[]));
    let mut config = config(discovery.addr, &[servers[0].entry("up")]);
    // What is remembered of a server for the requests that it may still hold goes soon.
    for class in config["settings"]["request_classes"].as_array_mut().unwrap() {
        class["give_up"] = 0.2.into();
        class["target"] = 0.1.into();
    }
    let router = Router::start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    let mut client = router.client();
    let mut seq = 8;
    let mut before = 0;
    for round in 0..8 {
        for number in 0..400 {
            let name = |number: usize| format!("server-{number:05}");
            let here = round * 400 + number + 1;
            let (old, new) = (name(here - 1), name(here));
            let changed = [
                entry(&old, servers[(here - 1) % 3].addr, "removed"),
                entry(&new, servers[here % 3].addr, "up"),
                servers[0].entry("removed"),
            ];
            discovery.writes(&format!("{}\n", list(seq, false, &changed)));
            seq += 1;
            if number % 20 == 0 {
                let owner = &servers[here % 3].name;
                wait_until("the newest serves", || {
                    client.ask("read", &format!("{here:016x}")).contains(owner.as_str())
                });
            }
        }
        if round == 2 {
            before = router.memory_kb();
        }
    }
    let grown = router.memory_kb().saturating_sub(before);
    assert!(grown < 1_500, "grown by {grown} KB");
    assert!(router.descriptors() < 40, "{}", router.descriptors());
}
