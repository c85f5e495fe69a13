//! Replies of cache servers that are late, malformed, too long or duplicated. Runs the router
//! binary against fake peers on loopback sockets.

use std::time::Instant;
use test_support::*;

/// Guards against replies to the wrong request: a connection on which a reply may still arrive is
/// not reused.
#[test]
fn a_late_reply_is_dropped() {
    let server = CacheServer::start("s-a");
    server.set_behavior("00000000000000aa", Behavior::ServeOnceGateOpens);
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    client.send("once", "00000000000000aa", 200);
    assert!(client.read_reply().unwrap().starts_with("-ERR"));
    server.set_behavior("00000000000000bb", Behavior::Reply(value_reply("right")));
    server.open_gate();
    assert!(client.request("read", "00000000000000bb").contains("right"));
    let double = [value_reply("right"), value_reply("stray")].concat();
    server.set_behavior("00000000000000cc", Behavior::Reply(double));
    assert!(client.request("read", "00000000000000cc").contains("right"));
    assert!(client.request("read", "00000000000000dd").contains("s-a"));
}

/// A request with a malformed reply may have run, so a request that must not run twice fails. It
/// fails promptly although the cache server leaves the connection open, and the router closes that
/// connection instead of using it again.
#[test]
fn malformed_replies_fail_soon_and_close_their_connection() {
    let reply = |text: &str| Behavior::Reply(text.as_bytes().to_vec());
    let cases = [
        ("a simple string", reply("+x\r\n")),
        ("an integer", reply(":1\r\n")),
        ("a bulk string", reply("$3\r\nabc\r\n")),
        ("a null array", reply("*-1\r\n")),
        ("an array of two", reply("*2\r\n$1\r\nv\r\n$3\r\nhit\r\n")),
        (
            "an array of four",
            reply("*4\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n$-1\r\n"),
        ),
        ("a null value", reply("*3\r\n$-1\r\n$3\r\nhit\r\n$-1\r\n")),
        (
            "an integer value",
            reply("*3\r\n:7\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        (
            "a nested array",
            reply("*3\r\n*1\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        (
            "an unprintable cache status",
            reply("*3\r\n$1\r\nv\r\n$3\r\n\u{1}\u{2}\u{3}\r\n$-1\r\n"),
        ),
        (
            "a length shorter than the value",
            reply("*3\r\n$2\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        (
            "a length longer than the value",
            reply("*3\r\n$50\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        (
            "a length with a sign",
            reply("*3\r\n$+1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        (
            "a negative length",
            reply("*3\r\n$-2\r\nv\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        ("a huge length", reply("*3\r\n$99999999999999999999999\r\n")),
        ("an unknown error", reply("-SYNTAX no\r\n")),
        ("an unprintable error", reply("-ERR \u{1}\u{2}\r\n")),
        ("half a value", reply("*3\r\n$5\r\nva")),
        ("half a header", reply("*")),
        ("bytes that are not RESP", Behavior::Reply(vec![0xFF; 300])),
        (
            "an endless line",
            Behavior::ReplyEndlessly(b"-ERR ".to_vec(), vec![b'x'; 1_000]),
        ),
        (
            "a value of 3 GB",
            Behavior::ReplyEndlessly(b"*3\r\n$3221225472\r\n".to_vec(), vec![b'v'; 65_536]),
        ),
    ];
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    for (count, (what, behavior)) in cases.into_iter().enumerate() {
        server.set_behavior("00000000000000aa", behavior);
        let start = Instant::now();
        let answer = client.request("once", "00000000000000aa");
        assert!(answer.starts_with("-ERR"), "{what}: {answer}");
        assert!(
            start.elapsed().as_millis() < 3_000,
            "{what}: {:?}",
            start.elapsed()
        );
        wait_until(&format!("the connection is closed after {what}"), || {
            server.connections().closed == count + 1
        });
        assert!(
            client.request("once", "00000000000000bb").contains("s-a"),
            "{what}: the next request was not served"
        );
    }
}

#[test]
fn a_read_with_a_malformed_reply_is_served_elsewhere() {
    let key = "7f3a9c21e0b4d655";
    let TwoServerFleet {
        owner,
        other,
        router,
        ..
    } = start_router_with_two_servers(key);
    owner.set_default_behavior(Behavior::Reply(b"what?\r\n".to_vec()));
    assert!(router.client().request("read", key).contains(&other.name));
}

/// A complete value is served even if invalid bytes follow it, but its connection is not reused.
#[test]
fn a_valid_reply_with_trailing_bytes_is_served() {
    let good = "*3\r\n$5\r\nright\r\n$3\r\nhit\r\n";
    let cases = [
        ("a duplicate reply", format!("{good}$-1\r\n{good}$-1\r\n")),
        (
            "unprintable trailing bytes",
            format!("{good}$-1\r\n\u{1}\u{2}\u{3}"),
        ),
        (
            "a load report that is not RESP",
            format!("{good}\u{1}\u{2}\u{3}\r\n"),
        ),
        (
            "an unprintable load report",
            format!("{good}$3\r\n\u{1}\u{2}\u{3}\r\n"),
        ),
        ("an integer as the load report", format!("{good}:7\r\n")),
        (
            "a load report with a huge length",
            format!("{good}$99999\r\n"),
        ),
        (
            "a load report longer than its length",
            format!("{good}$3\r\nutil=0.61\r\n"),
        ),
        ("half a load report", format!("{good}$30\r\nutil=0.61\r\n")),
        ("no load report", good.to_string()),
    ];
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    for (count, (what, bytes)) in cases.into_iter().enumerate() {
        server.set_behavior("00000000000000aa", Behavior::Reply(bytes.into_bytes()));
        let answer = client.request("once", "00000000000000aa");
        assert_eq!(answer, format!("{good}$-1\r\n"), "{what}");
        wait_until(&format!("the connection is closed after {what}"), || {
            server.connections().closed == count + 1
        });
        assert!(
            client.request("once", "00000000000000bb").contains("s-a"),
            "{what}: the next request was not served"
        );
    }
}

/// Guards against a duplicate reply that arrives when the connection is back in the pool: the next
/// request, which follows at once, must not receive it.
#[test]
fn a_duplicate_reply_answers_no_other_request() {
    let server = CacheServer::start("s-a");
    server.set_behavior(
        "00000000000000aa",
        Behavior::ReplyInTwoParts(value_reply("first"), 3, value_reply("first")),
    );
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    // A duplicate that the fake server wrote too late shows nothing, because it may arrive after
    // the next request.
    let count_prompt_copies = || {
        server
            .two_part_reply_durations()
            .iter()
            .filter(|gap| gap.as_millis() < 5)
            .count()
    };
    wait_until("enough prompt duplicates", || {
        let before = (
            count_prompt_copies(),
            server.two_part_reply_durations().len(),
        );
        assert!(client.request("read", "00000000000000aa").contains("first"));
        let next = client.request("read", "00000000000000bb");
        wait_until("the duplicate has been written", || {
            server.two_part_reply_durations().len() > before.1
        });
        if count_prompt_copies() == before.0 {
            // Closing the connections also discards the late duplicate.
            let accepted = server.connections().accepted;
            server.close_connections();
            wait_until("all connections are closed", || {
                server.connections()
                    == ConnectionCounts {
                        accepted,
                        closed: accepted,
                    }
            });
        } else {
            assert!(next.contains("s-a"), "{next}");
        }
        count_prompt_copies() >= 20
    });
}
