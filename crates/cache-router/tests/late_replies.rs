//! Replies of a cache server that come after the reply to their command, when the next command has
//! been sent on the connection. Runs the router binary against fake peers on loopback sockets.

use std::time::Duration;
use test_support::*;

const FIRST_KEY: &str = "00000000000000aa";
const SECOND_KEY: &str = "00000000000000bb";
/// How long after its command a server turns the next one away, in milliseconds.
const BUSY_AFTER_MS: u64 = 25;
/// Long enough for a connection to be used again.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// The id that a client gives its first request, for [`FIRST_KEY`].
const FIRST_ID: &str = "id-00000000000000aa-1";

/// Sends requests of a class for two keys to one server, one after the other, and returns the
/// answers.
fn two_answers(server: &CacheServer, class: &str, keys: [&str; 2]) -> [String; 2] {
    let Fleet { router, .. } = start_router(&[server]);
    let mut client = router.client();
    keys.map(|key| {
        std::thread::sleep(SETTLE_TIME);
        client.request(class, key)
    })
}

fn server_that_repeats(reply: RepeatedReply) -> CacheServer {
    let server = CacheServer::start("s-a");
    server.set_default_behavior(Behavior::RepeatBeforeNextReply(BUSY_AFTER_MS, reply));
    server
}

fn runs(server: &CacheServer, key: &str) -> usize {
    let commands = server.commands();
    let with_key = commands.iter().filter(|arguments| arguments[1] == key);
    with_key.count()
}

/// Guards against a late second reply that is served to the next request on the connection.
#[test]
fn a_late_second_value_is_not_served_to_the_next_read() {
    for next_key in [SECOND_KEY, FIRST_KEY] {
        let server = server_that_repeats(RepeatedReply::ValueBeforeBusy);
        let [first, second] = two_answers(&server, "read", [FIRST_KEY, next_key]);
        assert!(first.contains(FIRST_ID), "{first}");
        assert!(!second.contains(FIRST_ID), "{second}");
    }
}

/// Guards against the same where a request must not run twice.
#[test]
fn a_late_second_receipt_is_not_served_to_the_next_write() {
    for next_key in [SECOND_KEY, FIRST_KEY] {
        let server = server_that_repeats(RepeatedReply::ValueBeforeBusy);
        let [first, second] = two_answers(&server, "once", [FIRST_KEY, next_key]);
        assert!(first.contains(FIRST_ID), "{first}");
        assert!(!second.contains(FIRST_ID), "{second}");
    }
}

/// Guards against the same where the value is forwarded before it is complete.
#[test]
fn a_late_second_long_value_is_not_served_whole_to_the_next_read() {
    let server = server_that_repeats(RepeatedReply::LongValueBeforeBusy);
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    let first = client.request("read", FIRST_KEY);
    assert!(first.contains(FIRST_ID));
    std::thread::sleep(SETTLE_TIME);
    client.send("read", SECOND_KEY, 4_000);
    // A value that breaks off ends the connection.
    let second = client.read_reply();
    assert!(second.is_none_or(|answer| !answer.contains(FIRST_ID)));
}

/// Guards against a late second `-BUSY` that is taken for the reply to a write, which then runs
/// twice.
#[test]
fn a_late_second_rejection_does_not_let_a_write_run_twice() {
    let TwoServerFleet {
        owner,
        other,
        router,
        ..
    } = start_router_with_two_servers(FIRST_KEY);
    let behavior = Behavior::RepeatBeforeNextReply(BUSY_AFTER_MS, RepeatedReply::BusyBeforeValue);
    owner.set_default_behavior(behavior);
    let runs_before = (runs(&owner, FIRST_KEY), runs(&other, FIRST_KEY));
    let mut client = router.client();
    assert!(client.request("once", FIRST_KEY).contains(&other.name));
    std::thread::sleep(SETTLE_TIME);
    let second = client.request("once", FIRST_KEY);
    assert_eq!(runs(&owner, FIRST_KEY), runs_before.0 + 2, "{second}");
    assert_eq!(runs(&other, FIRST_KEY), runs_before.1 + 1, "{second}");
}

/// Guards against a late second error that is taken for the reply to a command, whose own reply is
/// then served to the one after it.
#[test]
fn the_reply_behind_a_late_second_error_is_not_served_to_another_request() {
    let server = server_that_repeats(RepeatedReply::ErrorBeforeValue);
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    assert!(client.request("once", FIRST_KEY).starts_with("-ERR"));
    std::thread::sleep(SETTLE_TIME);
    assert!(client.request("once", SECOND_KEY).starts_with("-ERR"));
    // Long enough for the connection to be used again, and shorter than the second reply takes.
    std::thread::sleep(Duration::from_millis(12));
    let third = client.request("once", FIRST_KEY);
    let second_id = format!("id-{SECOND_KEY}-2");
    assert!(!third.contains(&second_id), "{third}");
}

/// The same reply may be given to several commands; their connection is used on.
#[test]
fn replies_that_are_the_same_on_purpose_are_served() {
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    for class in ["read", "put", "once"] {
        for key in [FIRST_KEY, SECOND_KEY, FIRST_KEY] {
            assert!(client.request(class, key).contains("s-a"));
            std::thread::sleep(SETTLE_TIME);
        }
    }
    assert_eq!(server.commands().len(), 9);
    assert_eq!(server.connections().accepted, 1);
}

/// A rejection that comes late is not taken for anything else.
#[test]
fn a_rejection_that_takes_its_time_is_the_reply_to_its_own_command() {
    let server = CacheServer::start("s-a");
    server.set_behavior(
        SECOND_KEY,
        Behavior::ReplyAfter(BUSY_AFTER_MS, b"-BUSY\r\n".to_vec()),
    );
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    for _ in 0..20 {
        assert!(client.request("read", FIRST_KEY).contains("s-a"));
        assert!(client.request("read", SECOND_KEY).starts_with("-BUSY"));
    }
}

/// An attempt that ends before its reply takes its connection with it.
#[test]
fn replies_to_expired_and_abandoned_attempts_are_not_served_to_others() {
    let server = CacheServer::start("s-a");
    let late = value_reply(FIRST_KEY);
    server.set_behavior(FIRST_KEY, Behavior::ReplyAfter(60, late));
    server.set_behavior(SECOND_KEY, Behavior::Reply(value_reply(SECOND_KEY)));
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    for _ in 0..20 {
        let mut expiring = router.client();
        expiring.send("read", FIRST_KEY, 30);
        let mut leaving = router.client();
        leaving.send("read", FIRST_KEY, 4_000);
        leaving.shutdown_write();
        let answer = client.request("read", SECOND_KEY);
        assert!(!answer.contains(FIRST_KEY), "{answer}");
        let answer = expiring.read_reply().expect("connection closed");
        assert!(answer.starts_with('-'), "{answer}");
    }
}
