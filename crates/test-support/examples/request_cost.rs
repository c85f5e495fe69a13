//! Measures the CPU time of the router per request, or its system calls if `strace` is given. The
//! requests are unpipelined reads that all hit.
//!
//! ```text
//! ASTERPORT_PROGRAM=target/release/cache-router \
//!     cargo run --release -p test-support --example request_cost
//! ```
//! The first argument sets how many requests each of the 16 clients sends (default 500). With
//! `strace` as the second argument, system calls are counted.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use test_support::{CacheServer, Client, Fleet, start_router};

const CLIENT_COUNT: usize = 16;
/// Time between the requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

fn send_requests(addr: std::net::SocketAddr, requests_per_client: usize) {
    let run_client = |number: usize| {
        let mut client = Client::connect(addr);
        let start = Instant::now();
        for round in 0..requests_per_client {
            let key = format!("{:016x}", (number * 7919 + round * 104_729) % 200);
            assert!(
                client.request("read", &key).contains("s-"),
                "a request was not served"
            );
            let next = start + REQUEST_INTERVAL * (round as u32 + 1);
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    };
    std::thread::scope(|scope| {
        for number in 0..CLIENT_COUNT {
            scope.spawn(move || run_client(number));
        }
    });
}

fn main() {
    let mut args = std::env::args().skip(1);
    let requests_per_client: usize = args.next().map_or(500, |text| {
        text.parse()
            .expect("the first argument is not a number of requests")
    });
    let servers: Vec<CacheServer> = (0..8)
        .map(|i| CacheServer::start(&format!("s-{i}")))
        .collect();
    let Fleet { router, .. } = start_router(&servers.iter().collect::<Vec<_>>());
    send_requests(router.addr, 50);
    let mut tracer = args.next().map(|tool| {
        let pid = router.pid().to_string();
        let child = Command::new(tool)
            .args(["-c", "-f", "-p", &pid])
            .stderr(Stdio::piped())
            .spawn();
        std::thread::sleep(Duration::from_millis(500));
        child.expect("failed to start the tracer")
    });
    let (cpu_ns_before, count) = (router.cpu_ns(), CLIENT_COUNT * requests_per_client);
    send_requests(router.addr, requests_per_client);
    let used_ns = router.cpu_ns() - cpu_ns_before;
    drop(router);
    if let Some(tracer) = tracer.take() {
        let output = tracer
            .wait_with_output()
            .expect("failed to read the output of the tracer");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        let total = text
            .lines()
            .rev()
            .find(|line| line.ends_with("total"))
            .unwrap_or("strace printed no total");
        println!("{text}\n{count} requests; total of system calls: {total}");
    } else {
        println!(
            "{count} requests, {:.2} us of CPU time per request",
            used_ns as f64 / 1e3 / count as f64
        );
    }
}
