//! Cache servers that come up at the address of one that has gone. Runs the router binary against fake
//! peers on loopback sockets.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use test_support::*;

const KEY: &str = "00000000000000aa";
const MINUTE_MS: i64 = 60_000;
const HOUR_MS: i64 = 60 * MINUTE_MS;
/// `drain_grace` of the settings and the slack for sockets, rounded up.
const DRAIN_GRACE: Duration = Duration::from_millis(450);

struct ReusedAddressFleet {
    router: RouterProcess,
    admin: SocketAddr,
    discovery: Discovery,
    server: CacheServer,
}

/// Starts a router that knows a server under the name `s-old`.
fn start_fleet() -> ReusedAddressFleet {
    let server = CacheServer::start("s-old");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let admin = unused_addr();
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["admin"] = admin.to_string().into();
    let router = RouterProcess::start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    ReusedAddressFleet {
        router,
        admin,
        discovery,
        server,
    }
}

/// The entry of a process that has started a minute ago, so that it is not cold.
fn entry_of_new_process(addr: SocketAddr) -> String {
    entry_started_at("s-new", addr, "up", -MINUTE_MS)
}

/// The entry of a process whose listed start is `offset_ms` after the present time of this machine.
fn entry_started_at(name: &str, addr: SocketAddr, health: &str, offset_ms: i64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.expect("the clock is wrong").as_millis() as i64;
    let started = format!(r#""born_ms":{}"#, now_ms + offset_ms);
    endpoint_entry(name, addr, health).replace(r#""born_ms":0"#, &started)
}

fn known_servers(admin: SocketAddr) -> usize {
    let text = http_request(admin, "GET", "/api/telemetry", "").body;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("router_known_cache_servers "));
    line.and_then(|count| count.parse().ok())
        .expect("the metric is missing")
}

/// Guards against work for a server that has gone, sent to the process that has come up at its address.
#[test]
fn a_server_whose_address_another_process_has_taken_counts_as_removed() {
    let fleet = start_fleet();
    let mut client = fleet.router.client();
    assert!(client.request("read", KEY).contains("s-old"));
    assert_eq!(fleet.server.connections().closed, 0);
    let new = entry_of_new_process(fleet.server.addr);
    let delta = endpoint_list(8, false, std::slice::from_ref(&new));
    fleet.discovery.write_to_watch(&delta);
    wait_until("the connection to the old process is closed", || {
        fleet.server.connections().closed == 1
    });
    assert_eq!(known_servers(fleet.admin), 1);
    // The list may tell of the old one once more before it leaves.
    let old = fleet.server.entry("draining");
    fleet
        .discovery
        .write_to_watch(&endpoint_list(9, false, std::slice::from_ref(&old)));
    assert!(client.request("read", KEY).starts_with("*3"));
    assert_eq!(known_servers(fleet.admin), 1);
    fleet
        .discovery
        .write_to_watch(&endpoint_list(10, true, &[old, new]));
    let both_are_told = || client.request("read", KEY).starts_with("*3");
    wait_until("the new process serves", both_are_told);
    assert_eq!(known_servers(fleet.admin), 1);
}

/// A router, a server `s-other`, and a process at whose address `s-old` is listed, with a start in the
/// future of this machine's clock.
struct SteppedFleet {
    router: RouterProcess,
    discovery: Discovery,
    reused: CacheServer,
    other: CacheServer,
    old_entry: String,
}

fn start_stepped_fleet(old_start_offset_ms: i64) -> SteppedFleet {
    let reused = CacheServer::start("s-new");
    let other = CacheServer::start("s-other");
    let old_entry = entry_started_at("s-old", reused.addr, "up", old_start_offset_ms);
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let known = [old_entry.clone(), other.entry("up")];
    let router = RouterProcess::start(&configuration(discovery.addr, &known));
    wait_until("the router watches", || !discovery.calls().is_empty());
    SteppedFleet {
        router,
        discovery,
        reused,
        other,
        old_entry,
    }
}

impl SteppedFleet {
    fn new_entry(&self, health: &str) -> String {
        endpoint_entry("s-new", self.reused.addr, health).replace(
            r#""born_ms":0"#,
            &format!(r#""born_ms":{}"#, 1_700_000_000_000_u64),
        )
    }

    /// Reads other keys for a while, and returns how many reads reached the reused address.
    fn reads_at_reused_address(&self, duration: Duration) -> usize {
        let before = self.reused.commands().len();
        let mut client = self.router.client();
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < duration {
            client.request("read", &format!("{number:016x}"));
            number += 1;
            sleep(Duration::from_millis(5));
        }
        self.reused.commands().len() - before
    }
}

/// Guards against work for a draining server under the name of one that has gone, which is listed at the
/// same address with a later start.
#[test]
fn nothing_is_sent_to_a_draining_server_at_the_address_of_one_with_a_later_start() {
    for old_start_offset_ms in [HOUR_MS, MINUTE_MS, -HOUR_MS] {
        for is_snapshot in [false, true] {
            let fleet = start_stepped_fleet(old_start_offset_ms);
            let new = fleet.new_entry("up");
            fleet
                .discovery
                .write_to_watch(&endpoint_list(8, false, &[new]));
            sleep(Duration::from_millis(100));
            let mut told = vec![fleet.new_entry("draining")];
            if is_snapshot {
                told.extend([fleet.old_entry.clone(), fleet.other.entry("up")]);
            }
            fleet
                .discovery
                .write_to_watch(&endpoint_list(9, is_snapshot, &told));
            sleep(DRAIN_GRACE);
            let late = fleet.reads_at_reused_address(Duration::from_millis(800));
            assert_eq!(late, 0, "{old_start_offset_ms} ms, {is_snapshot}");
        }
    }
}

/// Guards against a server that is never used, since an entry with a later start was listed at its
/// address for a moment.
#[test]
fn a_server_serves_after_an_entry_with_a_later_start_has_left_its_address() {
    for old_start_offset_ms in [HOUR_MS, MINUTE_MS, -HOUR_MS] {
        let fleet = start_stepped_fleet(old_start_offset_ms);
        let new = fleet.new_entry("up");
        fleet
            .discovery
            .write_to_watch(&endpoint_list(8, false, &[new]));
        sleep(Duration::from_millis(300));
        let old = fleet.old_entry.replace(r#""up""#, r#""removed""#);
        fleet
            .discovery
            .write_to_watch(&endpoint_list(9, false, &[old]));
        let served = fleet.reads_at_reused_address(Duration::from_millis(1_500));
        assert!(served > 0, "{old_start_offset_ms} ms: no read");
    }
}

/// Guards against work for a process that has left the list, under the name of an entry that the successor of the
/// router finds at its address.
#[test]
fn a_successor_leaves_the_address_of_a_process_that_has_just_left_alone() {
    let platform = Platform::new();
    let (left, other) = (CacheServer::start("s-new"), CacheServer::start("s-other"));
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let known = [endpoint_entry("s-old", left.addr, "up"), other.entry("up")];
    let mut config = configuration(discovery.addr, &known);
    let admin = unused_addr();
    config["admin"] = admin.to_string().into();
    let first = platform.start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    for (version, health) in [(8, "up"), (9, "removed")] {
        let told = endpoint_list(version, false, &[left.entry(health)]);
        discovery.write_to_watch(&told);
        sleep(Duration::from_millis(50));
    }
    config["admin"] = unused_addr().to_string().into();
    let second = platform.start(&config);
    wait_until("the successor is ready", || {
        http_request(admin, "GET", "/api/ready", "").status == 503
    });
    first.terminate();
    let before = left.commands().len();
    let mut client = second.client();
    for number in 0..40 {
        client.request("read", &format!("{number:016x}"));
    }
    assert_eq!(left.commands().len(), before);
    assert!(!other.commands().is_empty());
}

/// Guards against work for an excluded process under the name of another one, which a later process finds at
/// its address on an older list.
#[test]
fn an_excluded_process_gets_nothing_under_another_name_after_a_kill() {
    let platform = Platform::new();
    let (excluded, other) = (CacheServer::start("s-new"), CacheServer::start("s-other"));
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let known = [excluded.entry("up"), other.entry("up")];
    let mut config = configuration(discovery.addr, &known);
    let admin = unused_addr();
    config["admin"] = admin.to_string().into();
    let mut first = platform.start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    let exclude = http_request(admin, "POST", "/api/exclude", r#"{"host":"s-new"}"#);
    assert_eq!(exclude.status, 200);
    first.kill();
    first.wait();
    discovery.set_failing(true);
    let older = [
        endpoint_entry("s-old", excluded.addr, "up"),
        other.entry("up"),
    ];
    let older = endpoint_list(6, true, &older);
    config["known"] = serde_json::from_str(&older).expect("malformed endpoint list");
    let second = platform.start(&config);
    let before = excluded.commands().len();
    let mut client = second.client();
    for number in 0..40 {
        client.request("read", &format!("{number:016x}"));
    }
    assert_eq!(excluded.commands().len(), before);
    assert!(!other.commands().is_empty());
}
