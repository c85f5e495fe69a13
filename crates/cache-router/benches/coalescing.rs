//! Benchmark of coalescing: compares upstream load, latency and CPU time of the router binary with
//! coalescing on and off, on loopback sockets.
//!
//! Four fake cache servers cache each key for a limited time and fetch it from one slow origin;
//! misses for the same key do not share a fetch. An open-loop client sends reads at their intended
//! times regardless of replies, and latency is measured from the intended time. A second
//! measurement gives memory and CPU time per read for 10,000 reads that wait for one flight.
//!
//! ```text
//! cargo bench -p cache-router --bench coalescing
//! ```
//! The first argument sets the seconds of load for each row of the table (default 6).
#![allow(missing_docs)] // A program without a public API.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use test_support::{
    Behavior, CacheServer, Client, Discovery, Fleet, RouterProcess, configuration, encode_command,
    endpoint_entry, endpoint_list, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;

const SERVER_COUNT: usize = 4;
const KEY_COUNT: usize = 1_000;
/// Number of the most requested keys whose fetches are counted separately.
const HOT_KEY_COUNT: usize = 10;
const REQUESTS_PER_SECOND: f64 = 2_000.0;
/// Time for which a cache server keeps a key.
const CACHE_TTL: Duration = Duration::from_secs(4);
/// Duration of a fetch from the origin.
const ORIGIN_FETCH_TIME: Duration = Duration::from_millis(300);
/// Maximum number of concurrent fetches at the origin.
const MAX_CONCURRENT_FETCHES: usize = 128;
/// Duration of a hit.
const HIT_TIME: Duration = Duration::from_micros(500);
const DEADLINE_MS: u64 = 2_000;
const COALESCE_READS: &str =
    "[joining]\nclasses = [\"read\"]\nbounds = { waiters_per_flight = 20000 }\n";
const WAITER_COUNT: usize = 10_000;
/// Maximum number of pending commands on one connection.
const PIPELINE_DEPTH: usize = 64;
const VALUE_BYTES: usize = 600;
/// Seed of the sequence of keys, which is the same in all rows.
const KEY_SEED: u64 = 17;

/// The origin behind all cache servers, and counters of requests and fetches.
struct Upstream {
    origin: Semaphore,
    requests: AtomicUsize,
    fetches: AtomicUsize,
    hot_fetches: AtomicUsize,
}

impl Upstream {
    fn new() -> Upstream {
        Upstream {
            origin: Semaphore::new(MAX_CONCURRENT_FETCHES),
            requests: AtomicUsize::new(0),
            fetches: AtomicUsize::new(0),
            hot_fetches: AtomicUsize::new(0),
        }
    }

    async fn fetch(&self, key: &str) -> io::Result<()> {
        self.fetches.fetch_add(1, Ordering::Relaxed);
        let rank = usize::from_str_radix(key, 16);
        if rank.is_ok_and(|rank| rank < HOT_KEY_COUNT) {
            self.hot_fetches.fetch_add(1, Ordering::Relaxed);
        }
        let _slot = self.origin.acquire().await.map_err(io::Error::other)?;
        tokio::time::sleep(ORIGIN_FETCH_TIME).await;
        Ok(())
    }
}

/// Removes the next command from the buffer and returns its arguments, if it is complete.
fn next_command(buffer: &mut Vec<u8>) -> Option<Vec<String>> {
    let mut at = 0;
    let mut line = |buffer: &[u8]| {
        let end = at
            + buffer
                .get(at..)?
                .windows(2)
                .position(|pair| pair == b"\r\n")?;
        let text = std::str::from_utf8(&buffer[at..end]).ok()?.to_string();
        at = end + 2;
        Some(text)
    };
    let count: usize = line(buffer)?[1..].parse().ok()?;
    let arguments = (0..count)
        .map(|_| line(buffer).and_then(|_| line(buffer)))
        .collect::<Option<Vec<_>>>()?;
    buffer.drain(..at);
    Some(arguments)
}

/// Serves a cache server's connections. Each task ends with its connection.
async fn serve(listener: TcpListener, upstream: Arc<Upstream>) {
    let expiries: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    while let Ok((stream, _)) = listener.accept().await {
        let upstream = upstream.clone();
        let expiries = expiries.clone();
        tokio::spawn(async move { serve_connection(stream, &upstream, &expiries).await });
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    upstream: &Upstream,
    expiries: &Mutex<HashMap<String, Instant>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let Some(arguments) = next_command(&mut buffer) else {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
            continue;
        };
        upstream.requests.fetch_add(1, Ordering::Relaxed);
        let key = &arguments[1];
        let expiry = expiries.lock().expect("poisoned lock").get(key).copied();
        let cache_status = if expiry.is_some_and(|expiry| Instant::now() < expiry) {
            tokio::time::sleep(HIT_TIME).await;
            "hit"
        } else {
            upstream.fetch(key).await?;
            let expiry = Instant::now() + CACHE_TTL;
            expiries
                .lock()
                .expect("poisoned lock")
                .insert(key.clone(), expiry);
            "miss"
        };
        let value = "v".repeat(VALUE_BYTES);
        let reply = format!(
            "*3\r\n${VALUE_BYTES}\r\n{value}\r\n${}\r\n{cache_status}\r\n$-1\r\n",
            cache_status.len()
        );
        stream.write_all(reply.as_bytes()).await?;
    }
}

/// Results of the clients of one row.
#[derive(Default)]
struct ClientResults {
    /// For each served request, the time from its intended start to the reply.
    latencies: Vec<Duration>,
    not_served: usize,
    idle_connections: Vec<TcpStream>,
}

impl ClientResults {
    /// Returns the latency in milliseconds below which this share of the requests stays. The
    /// latencies have to be sorted.
    fn percentile_ms(&self, share: f64) -> f64 {
        let index = (self.latencies.len() as f64 * share) as usize;
        self.latencies
            .get(index)
            .map_or(f64::NAN, |latency| latency.as_secs_f64() * 1e3)
    }
}

async fn request(
    router: SocketAddr,
    bytes: Vec<u8>,
    intended_start: Instant,
    results: &Mutex<ClientResults>,
) -> io::Result<()> {
    let idle = results
        .lock()
        .expect("poisoned lock")
        .idle_connections
        .pop();
    let mut stream = match idle {
        Some(stream) => stream,
        None => TcpStream::connect(router).await?,
    };
    stream.set_nodelay(true)?;
    stream.write_all(&bytes).await?;
    let mut reply = Vec::new();
    while !(reply.ends_with(b"$-1\r\n")
        || (reply.first() == Some(&b'-') && reply.ends_with(b"\r\n")))
    {
        if stream.read_buf(&mut reply).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let mut results = results.lock().expect("poisoned lock");
    if reply.first() == Some(&b'*') {
        results.latencies.push(intended_start.elapsed());
    } else {
        results.not_served += 1;
    }
    results.idle_connections.push(stream);
    Ok(())
}

/// Returns the next number of SplitMix64, scaled to [0, 1).
fn next_unit_interval(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

fn start_router_with_operator_file(known: &[String], operator_file: &str) -> Fleet {
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut configuration = configuration(discovery.addr, known);
    configuration["settings"]["limits"]["cancel"] = true.into();
    configuration["limits"]["sockets"] = 4_096.into();
    let router = RouterProcess::start_with_operator_file(&configuration, operator_file);
    Fleet { router, discovery }
}

/// Starts the cache servers and returns their entries in the endpoint list.
fn start_servers(runtime: &Runtime, upstream: &Arc<Upstream>) -> Vec<String> {
    (0..SERVER_COUNT)
        .map(|index| {
            let listener = runtime
                .block_on(TcpListener::bind("127.0.0.1:0"))
                .expect("failed to bind an ephemeral port");
            let addr = listener
                .local_addr()
                .expect("failed to read the local address");
            // The task ends with the runtime at the end of the row.
            runtime.spawn(serve(listener, upstream.clone()));
            endpoint_entry(&format!("s-{index}"), addr, "up")
        })
        .collect()
}

/// Returns the cumulative shares of requests by rank of the key, for Zipf's law with this exponent.
fn cumulative_shares(skew: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=KEY_COUNT)
        .map(|rank| (rank as f64).powf(-skew))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut sum = 0.0;
    let mut shares = Vec::with_capacity(KEY_COUNT);
    for weight in weights {
        sum += weight / total;
        shares.push(sum);
    }
    shares
}

/// Sends requests at their intended times regardless of earlier replies, and then waits for all
/// replies.
async fn send_open_loop(
    router: SocketAddr,
    shares: &[f64],
    count: usize,
    results: &Arc<Mutex<ClientResults>>,
) {
    let start = Instant::now();
    let mut random = KEY_SEED;
    let mut tasks = Vec::new();
    for number in 0..count {
        let intended_start = start + Duration::from_secs_f64(number as f64 / REQUESTS_PER_SECOND);
        tokio::time::sleep_until(intended_start.into()).await;
        let draw = next_unit_interval(&mut random);
        let rank = shares.partition_point(|&share| share < draw);
        let key = format!("{:016x}", rank.min(KEY_COUNT - 1));
        let id = format!("id-{number}");
        let fields = format!("c=read,t=acme,d={DEADLINE_MS}");
        let bytes = encode_command(&["C.GET", &key, &id, &fields]);
        let results = results.clone();
        tasks.push(tokio::spawn(async move {
            request(router, bytes, intended_start, &results).await
        }));
    }
    for task in tasks {
        task.await
            .expect("a task panicked")
            .expect("connection closed without a reply");
    }
}

/// Measures one row: load with this skew for this many seconds, with or without coalescing.
fn measure_load(skew: f64, coalesces: bool, seconds: f64) -> String {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("failed to start the runtime");
    let upstream = Arc::new(Upstream::new());
    let known = start_servers(&runtime, &upstream);
    let Fleet { router, .. } =
        start_router_with_operator_file(&known, if coalesces { COALESCE_READS } else { "" });
    let shares = cumulative_shares(skew);
    let results: Arc<Mutex<ClientResults>> = Arc::default();
    let count = (REQUESTS_PER_SECOND * seconds) as usize;
    let cpu_before = router.cpu_ns();
    runtime.block_on(send_open_loop(router.addr, &shares, count, &results));
    let cpu_us = (router.cpu_ns() - cpu_before) as f64 / 1e3 / count as f64;
    let mut results = results.lock().expect("poisoned lock");
    results.latencies.sort_unstable();
    let value = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    format!(
        "| {skew:.1} | {} | {count} | {:.1} % | {} | {} | {} | {:.1} | {:.0} | {cpu_us:.1} |",
        if coalesces { "on" } else { "off" },
        100.0 * results.latencies.len() as f64 / count as f64,
        value(&upstream.requests),
        value(&upstream.fetches),
        value(&upstream.hot_fetches),
        results.percentile_ms(0.5),
        results.percentile_ms(0.99),
    )
}

fn connect_clients(router: &RouterProcess) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..WAITER_COUNT.div_ceil(PIPELINE_DEPTH))
        .map(|_| router.client())
        .collect();
    for client in &mut clients {
        client.write(&encode_command(&["PING"]));
        client
            .read_reply()
            .expect("connection closed without an answer");
    }
    clients
}

/// Sends [`WAITER_COUNT`] commands from all clients, up to [`PIPELINE_DEPTH`] from each. `command`
/// creates each command from its number.
fn send_from_all(clients: &mut [Client], command: impl Fn(usize) -> Vec<u8>) {
    let mut left = WAITER_COUNT;
    for client in clients {
        let count = left.min(PIPELINE_DEPTH);
        let pipeline: Vec<u8> = (0..count)
            .flat_map(|position| command(left - position))
            .collect();
        client.write(&pipeline);
        left -= count;
    }
}

fn count_served(clients: &mut [Client]) -> usize {
    let mut left = WAITER_COUNT;
    let mut served = 0;
    for client in clients {
        for _ in 0..left.min(PIPELINE_DEPTH) {
            served += usize::from(
                client
                    .read_reply()
                    .expect("connection closed without an answer")
                    .starts_with('*'),
            );
        }
        left -= left.min(PIPELINE_DEPTH);
    }
    served
}

/// Measures memory and CPU time of many reads that wait for one flight.
fn measure_waiters() {
    let server = CacheServer::start("s-a");
    server.set_default_behavior(Behavior::ServeOnceGateOpens);
    let Fleet { router, .. } =
        start_router_with_operator_file(&[server.entry("up")], COALESCE_READS);
    let mut clients = connect_clients(&router);
    // The cost of the same number of commands that are answered at once, for comparison.
    let cpu_ns = router.cpu_ns();
    send_from_all(&mut clients, |_| encode_command(&["PING"]));
    count_served(&mut clients);
    let ping_cpu_ns = router.cpu_ns() - cpu_ns;
    let memory_kb = router.memory_kb();
    let cpu_ns = router.cpu_ns();
    let read = |number: usize| {
        encode_command(&[
            "C.GET",
            "7f3a9c21e0b4d655",
            &format!("{number:016x}"),
            "c=read,t=acme,d=4000",
        ])
    };
    send_from_all(&mut clients, read);
    wait_until("all reads wait", || {
        router.log_coalescing_counters();
        std::thread::sleep(Duration::from_millis(20));
        router.log_contains(&format!("now {WAITER_COUNT} waiters"))
    });
    let added_kb = router.memory_kb() - memory_kb;
    server.open_gate();
    assert_eq!(count_served(&mut clients), WAITER_COUNT);
    let read_cpu_ns = router.cpu_ns() - cpu_ns;
    assert_eq!(server.commands().len(), 1);
    let each_us = |total_ns: u64| total_ns as f64 / 1e3 / WAITER_COUNT as f64;
    println!(
        "\n{WAITER_COUNT} reads that waited for one flight, on {} connections:",
        clients.len()
    );
    println!(
        "memory: {:.0} bytes per read in addition to the connections ({added_kb} KB in total)",
        added_kb as f64 * 1024.0 / WAITER_COUNT as f64
    );
    println!(
        "CPU: {:.2} us per read with socket I/O, {:.2} us per PING; difference {:.2} us",
        each_us(read_cpu_ns),
        each_us(ping_cpu_ns),
        each_us(read_cpu_ns.saturating_sub(ping_cpu_ns))
    );
}

fn main() {
    // Cargo passes additional arguments, which are skipped.
    let seconds = std::env::args()
        .skip(1)
        .find_map(|word| word.parse().ok())
        .unwrap_or(6.0);
    println!(
        "{KEY_COUNT} keys with a Zipf distribution, {REQUESTS_PER_SECOND} reads per second, origin fetch {ORIGIN_FETCH_TIME:?}, TTL {CACHE_TTL:?}\n"
    );
    println!(
        "| skew | coalescing | reads | served | upstream requests | fetches | fetches of the {HOT_KEY_COUNT} hottest keys | p50 ms | p99 ms | CPU us per read |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for skew in [0.8, 1.0, 1.2] {
        for coalesces in [false, true] {
            println!("{}", measure_load(skew, coalesces, seconds));
        }
    }
    measure_waiters();
}
