//! What joining identical reads saves and costs, on and off in one run, with the real binary on loopback sockets.
//!
//! Four stand-ins for cache servers keep each key for a while and fetch it from one slow origin, where misses for one
//! key do not share a fetch. An open loop sends reads at their intended times whatever came back; latency counts from
//! there. Then 10,000 reads wait for one flight: memory and CPU for each.
//!
//! ```text
//! cargo bench -p cache-router --bench joining
//! ```
//! A first argument sets the seconds of load for each row (6).
#![allow(missing_docs)] // A program.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use test_support::{
    Behavior, CacheServer, Client, Discovery, RouterProcess, command, configuration, entry, list,
    wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

const SERVERS: usize = 4;
const KEYS: usize = 1_000;
/// The keys that are asked for most.
const HOT: usize = 10;
const RATE: f64 = 2_000.0;
/// How long a server keeps a key.
const KEEPS: Duration = Duration::from_secs(4);
/// What a fetch from the origin takes, and how many it works on at a time.
const FETCH: Duration = Duration::from_millis(300);
const FETCHES: usize = 128;
/// What a hit takes.
const HIT: Duration = Duration::from_micros(500);
const WAIT_MS: u64 = 2_000;
const READS: &str = "[joining]\nclasses = [\"read\"]\nbounds = { waiters_per_flight = 20000 }\n";
const WAITERS: usize = 10_000;
/// Commands that may wait on one connection.
const PIPELINE: usize = 64;

/// What the stand-ins see.
struct Fleet {
    origin: Semaphore,
    upstream: AtomicUsize,
    fetches: AtomicUsize,
    hot_fetches: AtomicUsize,
}

/// The arguments of the next command in the buffer, if it is whole.
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

async fn serve(listener: TcpListener, fleet: Arc<Fleet>) {
    let cached: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    while let Ok((stream, _)) = listener.accept().await {
        let (fleet, cached) = (fleet.clone(), cached.clone());
        tokio::spawn(async move { serve_one(stream, &fleet, &cached).await });
    }
}

async fn serve_one(
    mut stream: TcpStream,
    fleet: &Fleet,
    cached: &Mutex<HashMap<String, Instant>>,
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
        fleet.upstream.fetch_add(1, Ordering::Relaxed);
        let key = &arguments[1];
        let is_cached = cached
            .lock()
            .expect("cached")
            .get(key)
            .is_some_and(|&until| Instant::now() < until);
        if is_cached {
            tokio::time::sleep(HIT).await;
        } else {
            fleet.fetches.fetch_add(1, Ordering::Relaxed);
            let is_hot = u64::from_str_radix(key, 16).is_ok_and(|rank| (rank as usize) < HOT);
            fleet
                .hot_fetches
                .fetch_add(usize::from(is_hot), Ordering::Relaxed);
            let place = fleet.origin.acquire().await.map_err(io::Error::other)?;
            tokio::time::sleep(FETCH).await;
            drop(place);
            cached
                .lock()
                .expect("cached")
                .insert(key.clone(), Instant::now() + KEEPS);
        }
        let note = if is_cached { "hit" } else { "miss" };
        let body = "v".repeat(600);
        let answer = format!(
            "*3\r\n$600\r\n{body}\r\n${}\r\n{note}\r\n$-1\r\n",
            note.len()
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// What clients saw.
#[derive(Default)]
struct Seen {
    served: Vec<Duration>,
    others: usize,
    idle: Vec<TcpStream>,
}

async fn ask(
    router: SocketAddr,
    bytes: Vec<u8>,
    due: Instant,
    seen: &Mutex<Seen>,
) -> io::Result<()> {
    let idle = seen.lock().expect("seen").idle.pop();
    let mut stream = match idle {
        Some(stream) => stream,
        None => TcpStream::connect(router).await?,
    };
    stream.set_nodelay(true)?;
    stream.write_all(&bytes).await?;
    let mut answer = Vec::new();
    // Served answers are long and end with a null for the load report; all others are one line.
    while !(answer.ends_with(b"$-1\r\n")
        || (answer.first() == Some(&b'-') && answer.ends_with(b"\r\n")))
    {
        if stream.read_buf(&mut answer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let mut seen = seen.lock().expect("seen");
    if answer.first() == Some(&b'*') {
        seen.served.push(due.elapsed());
    } else {
        seen.others += 1;
    }
    seen.idle.push(stream);
    Ok(())
}

/// SplitMix64, to a number in [0, 1).
fn unit(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

fn start(known: &[String], operator: &str) -> (RouterProcess, Discovery) {
    let discovery = Discovery::start(list(7, false, &[]));
    let mut config = configuration(discovery.addr, known);
    config["settings"]["limits"]["cancel"] = true.into();
    config["limits"]["sockets"] = 4_096.into();
    (
        RouterProcess::start_with_operator_file(&config, operator),
        discovery,
    )
}

fn load(skew: f64, joins: bool, seconds: f64) -> String {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("threads");
    let fleet = Arc::new(Fleet {
        origin: Semaphore::new(FETCHES),
        upstream: AtomicUsize::new(0),
        fetches: AtomicUsize::new(0),
        hot_fetches: AtomicUsize::new(0),
    });
    let known: Vec<String> = (0..SERVERS)
        .map(|i| {
            let listener = runtime
                .block_on(TcpListener::bind("127.0.0.1:0"))
                .expect("a port");
            let addr = listener.local_addr().expect("an address");
            runtime.spawn(serve(listener, fleet.clone()));
            entry(&format!("s-{i}"), addr, "up")
        })
        .collect();
    let (router, _discovery) = start(&known, if joins { READS } else { "" });
    let mut weights: Vec<f64> = (1..=KEYS).map(|rank| (rank as f64).powf(-skew)).collect();
    let all: f64 = weights.iter().sum();
    weights.iter_mut().fold(0.0, |sum, weight| {
        *weight = sum + *weight / all;
        *weight
    });
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let count = (RATE * seconds) as usize;
    let cpu = router.cpu_ns();
    runtime.block_on(async {
        let (start, mut state, mut asks) = (Instant::now(), 17, Vec::new());
        for number in 0..count {
            let due = start + Duration::from_secs_f64(number as f64 / RATE);
            tokio::time::sleep_until(due.into()).await;
            let lot = unit(&mut state);
            let key = weights
                .partition_point(|&weight| weight < lot)
                .min(KEYS - 1);
            let (key, id) = (format!("{key:016x}"), format!("id-{number}"));
            let bytes = command(&["C.GET", &key, &id, &format!("c=read,t=acme,d={WAIT_MS}")]);
            let (seen, addr) = (seen.clone(), router.addr);
            asks.push(tokio::spawn(
                async move { ask(addr, bytes, due, &seen).await },
            ));
        }
        for ask in asks {
            ask.await.expect("a task").expect("an answer");
        }
    });
    let cpu = (router.cpu_ns() - cpu) as f64 / 1e3 / count as f64;
    let mut seen = seen.lock().expect("seen");
    seen.served.sort_unstable();
    let place = |share: f64| {
        let place = (seen.served.len() as f64 * share) as usize;
        seen.served
            .get(place)
            .map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
    };
    let of = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    format!(
        "| {skew:.1} | {} | {count} | {:.1} % | {} | {} | {} | {:.1} | {:.0} | {cpu:.1} |",
        if joins { "on" } else { "off" },
        100.0 * seen.served.len() as f64 / count as f64,
        of(&fleet.upstream),
        of(&fleet.fetches),
        of(&fleet.hot_fetches),
        place(0.5),
        place(0.99),
    )
}

fn clients(router: &RouterProcess) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..WAITERS.div_ceil(PIPELINE))
        .map(|_| router.client())
        .collect();
    for client in &mut clients {
        client.write(&command(&["PING"]));
        client.read_reply().expect("an answer");
    }
    clients
}

/// Each of the clients sends what `bytes` makes of its number and a place, as many as may wait.
fn send(clients: &mut [Client], bytes: impl Fn(usize) -> Vec<u8>) {
    let mut left = WAITERS;
    for client in clients {
        let count = left.min(PIPELINE);
        let all: Vec<u8> = (0..count).flat_map(|place| bytes(left - place)).collect();
        client.write(&all);
        left -= count;
    }
}

fn answers(clients: &mut [Client]) -> usize {
    let mut left = WAITERS;
    let mut served = 0;
    for client in clients {
        for _ in 0..left.min(PIPELINE) {
            served += usize::from(client.read_reply().expect("an answer").starts_with('*'));
        }
        left -= left.min(PIPELINE);
    }
    served
}

/// 10,000 reads that wait for one flight.
fn waiters() {
    let server = CacheServer::start("s-a");
    server.set_default_behavior(Behavior::ServeOnceGateOpens);
    let (router, _discovery) = start(&[server.entry("up")], READS);
    let mut clients = clients(&router);
    // What the same number of commands costs that nobody waits for.
    let cpu = router.cpu_ns();
    send(&mut clients, |_| command(&["PING"]));
    answers(&mut clients);
    let pings = router.cpu_ns() - cpu;
    let (memory, cpu) = (router.memory_kb(), router.cpu_ns());
    let read = |number: usize| {
        command(&[
            "C.GET",
            "7f3a9c21e0b4d655",
            &format!("{number:016x}"),
            "c=read,t=acme,d=4000",
        ])
    };
    send(&mut clients, read);
    wait_until("all wait", || {
        router.log_coalescing_counters();
        std::thread::sleep(Duration::from_millis(20));
        router.log_has(&format!("now {WAITERS} waiters"))
    });
    let added_kb = router.memory_kb() - memory;
    server.open_gate();
    assert_eq!(answers(&mut clients), WAITERS);
    let reads = router.cpu_ns() - cpu;
    assert_eq!(server.commands().len(), 1);
    let each = |all: u64| all as f64 / 1e3 / WAITERS as f64;
    println!(
        "\n{WAITERS} reads that waited for one flight, on {} connections:",
        clients.len()
    );
    println!(
        "memory {:.0} bytes each beside their connections ({added_kb} KB)",
        added_kb as f64 * 1024.0 / WAITERS as f64
    );
    println!(
        "CPU {:.2} us each with reading and writing, {:.2} us for as many PINGs: {:.2} us more",
        each(reads),
        each(pings),
        each(reads.saturating_sub(pings))
    );
}

fn main() {
    // Cargo adds arguments of its own.
    let seconds = std::env::args()
        .skip(1)
        .find_map(|word| word.parse().ok())
        .unwrap_or(6.0);
    println!(
        "{KEYS} keys by Zipf, {RATE} reads a second, a fetch takes {FETCH:?}, kept for {KEEPS:?}\n"
    );
    println!(
        "| skew | joining | reads | served | upstream | fetches | of the {HOT} hottest keys | p50 ms | p99 ms | CPU us a read |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for skew in [0.8, 1.0, 1.2] {
        for joins in [false, true] {
            println!("{}", load(skew, joins, seconds));
        }
    }
    waiters();
}
