//! Connections that the router ends while their clients still read a long answer, and send on
//! before they have read it. Runs the router binary against fake peers on loopback sockets.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use test_support::*;

/// More than a client's receive buffer, and less than the router's send buffer.
const VALUE_BYTES: usize = 1024 * 1024;
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
const LONG_KEY: &str = "00000000000000aa";
const SHORT_KEY: &str = "00000000000000bb";

/// A router whose server answers reads of [`LONG_KEY`] with a long value.
struct SlowReaderFleet {
    router: RouterProcess,
    admin: SocketAddr,
    _discovery: Discovery,
    _server: CacheServer,
}

/// Starts a fleet whose router may hold this many descriptors.
fn start_fleet(descriptors: usize) -> SlowReaderFleet {
    let server = CacheServer::start("s-a");
    server.set_behavior(LONG_KEY, Behavior::Reply(long_reply()));
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let admin = unused_addr();
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["admin"] = admin.to_string().into();
    config["limits"]["sockets"] = descriptors.into();
    SlowReaderFleet {
        router: RouterProcess::start(&config),
        admin,
        _discovery: discovery,
        _server: server,
    }
}

fn long_reply() -> Vec<u8> {
    value_reply(&"v".repeat(VALUE_BYTES))
}

/// A client that has asked for a long value and has read nothing of the answer.
struct SlowReader {
    stream: TcpStream,
}

impl SlowReader {
    /// Returns once the router has written the whole answer to the socket.
    fn start(fleet: &SlowReaderFleet) -> SlowReader {
        let mut stream = connect_with_receive_buffer(fleet.router.addr, RECEIVE_BUFFER_BYTES);
        stream
            .set_read_timeout(Some(MAX_WAIT))
            .expect("failed to set the timeout");
        stream
            .write_all(&read_command("long", LONG_KEY))
            .expect("failed to write");
        wait_until("the answer is written", || {
            let metrics = http_request(fleet.admin, "GET", "/api/telemetry", "").body;
            metrics.contains("router_passed_total{category=\"read\"} 1\n")
        });
        SlowReader { stream }
    }

    /// Sends another command, and then reads the long answer.
    fn send_on_and_read(mut self) -> Vec<u8> {
        // A router that has closed the connection answers the command with a reset.
        let _ = self.stream.write_all(&read_command("short", SHORT_KEY));
        std::thread::sleep(Duration::from_millis(20));
        read_frame(&mut BufReader::new(self.stream)).expect("the answer was cut off")
    }
}

fn read_command(id: &str, key: &str) -> Vec<u8> {
    encode_command(&["C.GET", key, id, "c=read,t=acme,d=4000"])
}

/// Guards against a shutdown that closes a connection whose client has not taken its answer yet.
#[test]
fn after_sigterm_a_slow_reader_that_sends_on_gets_its_whole_answer() {
    let mut fleet = start_fleet(1_024);
    let mut idle = fleet.router.client();
    assert!(idle.request("put", SHORT_KEY).contains("s-a"));
    let reader = SlowReader::start(&fleet);
    fleet.router.terminate();
    assert_eq!(idle.read_reply(), None);
    assert!(reader.send_on_and_read() == long_reply());
    assert_eq!(fleet.router.wait().code(), Some(0));
}

/// Guards against the same on a router that operators drain.
#[test]
fn a_slow_reader_of_a_drained_router_that_sends_on_gets_its_whole_answer() {
    let fleet = start_fleet(1_024);
    let mut idle = fleet.router.client();
    assert!(idle.request("put", SHORT_KEY).contains("s-a"));
    let reader = SlowReader::start(&fleet);
    let drained = http_request(fleet.admin, "POST", "/api/evacuate", "");
    assert_eq!(drained.status, 200);
    assert_eq!(idle.read_reply(), None);
    assert!(reader.send_on_and_read() == long_reply());
}

/// Guards against the same where the router closes idle clients to make room for others.
#[test]
fn a_slow_reader_is_not_evicted_for_new_clients() {
    // Slots for 4 clients, of which 1 may be idle.
    let fleet = start_fleet(56);
    let reader = SlowReader::start(&fleet);
    for _ in 0..12 {
        let mut client = fleet.router.client();
        assert!(client.request("put", SHORT_KEY).contains("s-a"));
        // Longer than a client needs to count as idle.
        std::thread::sleep(Duration::from_millis(120));
    }
    assert!(reader.send_on_and_read() == long_reply());
}

/// Guards against an error that ends a connection while an earlier answer on it is not taken yet.
#[test]
fn a_malformed_command_does_not_cut_off_an_earlier_answer() {
    let fleet = start_fleet(1_024);
    let mut reader = SlowReader::start(&fleet);
    reader
        .stream
        .write_all(&encode_command(&["C.GET", SHORT_KEY]))
        .expect("failed to write");
    // Longer than the router lingers on a connection whose client has taken all of its answers.
    std::thread::sleep(Duration::from_millis(800));
    assert!(reader.send_on_and_read() == long_reply());
}
