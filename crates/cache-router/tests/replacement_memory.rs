//! The memory of the processes of one router while one replaces another, which the platform counts
//! together. Runs the router binary against fake peers on loopback sockets.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};
use test_support::*;

const LONG_VALUE_BYTES: usize = 4 * 1024 * 1024;
const LONG_KEY: &str = "00000000000000aa";
const DELAYED_KEY: &str = "00000000000000bb";

struct Fleet {
    server: CacheServer,
    _discovery: Discovery,
    platform: Platform,
    config: serde_json::Value,
}

impl Fleet {
    fn new(memory_mb: usize) -> Fleet {
        let server = CacheServer::start("s-a");
        let discovery = Discovery::start(endpoint_list(7, false, &[]));
        let mut config = configuration(discovery.addr, &[server.entry("up")]);
        config["limits"]["memory_mb"] = memory_mb.into();
        Fleet {
            server,
            _discovery: discovery,
            platform: Platform::new(),
            config,
        }
    }

    /// Starts a process of the router, and waits until it is ready.
    fn start_process(&self) -> RouterProcess {
        let admin = unused_addr();
        let mut config = self.config.clone();
        config["admin"] = admin.to_string().into();
        let process = self.platform.start(&config);
        wait_until("the process is ready", || {
            TcpStream::connect(admin).is_ok()
                && http_request(admin, "GET", "/api/ready", "").status == 200
        });
        process
    }
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("failed to connect");
    stream
        .set_read_timeout(Some(MAX_WAIT))
        .expect("failed to set the timeout");
    stream
}

fn write_command(number: usize) -> Vec<u8> {
    encode_command(&[
        "C.SET",
        &format!("{number:016x}"),
        &format!("w{number}"),
        &format!("c=put,t=acme,d=4000,k=k{number}"),
        &"w".repeat(LONG_VALUE_BYTES),
    ])
}

/// A client that writes a long value, the last part of it over 4 s. Returns the answer.
fn start_slow_write(addr: SocketAddr, number: usize) -> JoinHandle<String> {
    const REST_BYTES: usize = 200_000;
    const PIECE_BYTES: usize = 2_500;
    spawn(move || {
        let mut stream = connect(addr);
        let command = write_command(number);
        let (first, rest) = command.split_at(command.len() - REST_BYTES);
        stream.write_all(first).expect("failed to write");
        for piece in rest.chunks(PIECE_BYTES) {
            sleep(Duration::from_millis(50));
            stream.write_all(piece).expect("failed to write a piece");
        }
        let answer = read_frame(&mut BufReader::new(&stream)).unwrap_or_default();
        String::from_utf8_lossy(&answer).into_owned()
    })
}

/// A client that sends two reads at once, the second one of a long value, and reads its answers
/// late. The process may end before it has taken them.
fn start_slow_read(addr: SocketAddr, number: usize) -> JoinHandle<()> {
    spawn(move || {
        let mut stream = connect(addr);
        for (key, id) in [
            (DELAYED_KEY, format!("a{number}")),
            (LONG_KEY, format!("b{number}")),
        ] {
            let command = encode_command(&["C.GET", key, &id, "c=read,t=acme,d=4000"]);
            stream.write_all(&command).expect("failed to write");
        }
        sleep(Duration::from_millis(2_500));
        let mut reader = BufReader::new(&stream);
        let _ = (read_frame(&mut reader), read_frame(&mut reader));
    })
}

/// Memory of a process that it does not share with others, in KB; 0 of one that has ended.
fn anonymous_memory_kb(process: &RouterProcess) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.pid()));
    status
        .unwrap_or_default()
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Guards against processes of one router that hold long values up to the memory limit each, also
/// when the first one still ends while the second one is replaced.
#[test]
fn processes_that_replace_each_other_share_one_memory_limit() {
    const MEMORY_MB: usize = 64;
    const SLOW_WRITE_COUNT: usize = 6;
    const READ_INTERVAL: Duration = Duration::from_millis(200);
    let fleet = Fleet::new(MEMORY_MB);
    let long_reply = value_reply(&"v".repeat(LONG_VALUE_BYTES));
    fleet
        .server
        .set_behavior(LONG_KEY, Behavior::Reply(long_reply));
    let delayed = Behavior::ReplyAfter(200, value_reply("v"));
    fleet.server.set_behavior(DELAYED_KEY, delayed);
    let mut processes = vec![fleet.start_process()];
    let addr = fleet.platform.addr();
    let writes: Vec<_> = (0..SLOW_WRITE_COUNT)
        .map(|number| start_slow_write(addr, number))
        .collect();
    let start = Instant::now();
    let mut replaced_at = [2_000, 2_600]
        .map(Duration::from_millis)
        .into_iter()
        .peekable();
    let mut reads = Vec::new();
    let mut peak_kb = 0;
    while start.elapsed() < Duration::from_secs(6) {
        if start.elapsed() >= READ_INTERVAL * reads.len() as u32 {
            reads.push(start_slow_read(addr, reads.len()));
        }
        if replaced_at.next_if(|at| start.elapsed() >= *at).is_some() {
            processes.push(fleet.start_process());
            processes[processes.len() - 2].terminate();
        }
        peak_kb = peak_kb.max(processes.iter().map(anonymous_memory_kb).sum());
        sleep(Duration::from_millis(5));
    }
    assert!(peak_kb < MEMORY_MB * 1024, "{peak_kb} KB");
    let served = writes
        .into_iter()
        .map(|write| write.join().expect("a slow client failed"))
        .inspect(|answer| assert!(answer.starts_with("*3") || answer.starts_with("-BUSY")))
        .filter(|answer| answer.starts_with("*3"))
        .count();
    assert!(served > SLOW_WRITE_COUNT / 2, "{served} writes served");
    for read in reads {
        read.join().expect("a slow reader failed");
    }
}

/// Guards against memory that stays with a process after it was killed.
#[test]
fn a_process_takes_memory_back_from_a_successor_that_is_killed() {
    const MEMORY_MB: usize = 48;
    let fleet = Fleet::new(MEMORY_MB);
    let addr = fleet.platform.addr();
    let first = fleet.start_process();
    let mut second = fleet.start_process();
    let slow_writes: Vec<_> = (0..5)
        .map(|number| {
            let mut stream = connect(addr);
            let command = write_command(number);
            let sent_bytes = command.len() - 1_000;
            spawn(move || {
                let _ = stream.write_all(&command[..sent_bytes]);
                stream
            })
        })
        .collect();
    wait_until("the successor holds the memory", || {
        anonymous_memory_kb(&second) > 12 * 1024
    });
    second.kill();
    second.wait();
    drop(slow_writes);
    fleet.server.set_default_behavior(Behavior::StaySilent);
    let start = Instant::now();
    // As many writes as have room at once when no other process runs.
    let writes: Vec<_> = (10..15)
        .map(|number| {
            let mut stream = connect(addr);
            let command = write_command(number);
            spawn(move || {
                let _ = stream.write_all(&command);
                stream
            })
        })
        .collect();
    wait_until("the server has all writes", || {
        fleet.server.commands().len() >= writes.len()
    });
    // Before the attempts of the first ones end.
    assert!(start.elapsed() < Duration::from_millis(3_900));
    drop(first);
}
