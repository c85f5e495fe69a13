//! The real router against fake peers on loopback sockets: cache servers, discovery and clients on ephemeral ports.
#![allow(missing_docs)] // The names say it, and only tests read them.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// No condition that is waited for takes nearly as long on any machine.
pub const LONG: Duration = Duration::from_secs(20);

pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Reads one RESP2 frame and gives back its bytes; `None` at the end of the stream.
pub fn read_frame(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut frame = Vec::new();
    let mut left = 1;
    while left > 0 {
        let start = frame.len();
        if from.read_until(b'\n', &mut frame).ok()? == 0 || !frame.ends_with(b"\r\n") {
            return None;
        }
        let line = String::from_utf8_lossy(&frame[start..frame.len() - 2]).into_owned();
        left -= 1;
        let count = || line[1..].parse::<i64>().expect("a count");
        match line.as_bytes()[0] {
            b'*' => left += count().max(0),
            b'$' if count() >= 0 => {
                let mut body = vec![0; count() as usize + 2];
                from.read_exact(&mut body).ok()?;
                frame.extend_from_slice(&body);
            }
            _ => {}
        }
    }
    Some(frame)
}

/// The words of a command.
fn words(frame: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(frame).into_owned();
    text.split("\r\n")
        .skip(2)
        .step_by(2)
        .map(str::to_string)
        .collect()
}

pub fn command(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len());
    words
        .iter()
        .for_each(|word| out.push_str(&format!("${}\r\n{word}\r\n", word.len())));
    out.into_bytes()
}

/// What a cache server answers: the value, how it went, no load report.
pub fn value(text: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{text}\r\n$3\r\nhit\r\n$-1\r\n", text.len()).into_bytes()
}

/// What a fake cache server does with a command.
#[derive(Clone)]
pub enum Does {
    /// Answers with the name of the server as the value.
    Serves,
    /// Answers with these bytes.
    Says(Vec<u8>),
    /// Answers with these bytes after this many milliseconds.
    SaysAfter(u64, Vec<u8>),
    /// Answers with these bytes and ends the connection.
    SaysAndEnds(Vec<u8>),
    /// Answers with these bytes and, so many milliseconds later, with the others.
    SaysThen(Vec<u8>, u64, Vec<u8>),
    /// Answers with these bytes and then with the others again and again, until the connection ends.
    SaysWithoutEnd(Vec<u8>, Vec<u8>),
    /// Serves, the first command of each connection after this many milliseconds: what a handshake takes.
    ServesLateWhenNew(u64),
    /// Serves the first command of each connection and ends it at the next, unanswered.
    EndsWhenKept,
    /// Says nothing.
    IsSilent,
    /// Serves once [`Server::open_gate`] was called.
    ServesLater,
}

#[derive(Default)]
struct Seen {
    /// The connection's number, and the words of each command.
    commands: Vec<(usize, Vec<String>)>,
    connections: usize,
    ended: usize,
    does: HashMap<String, Does>,
    usually: Option<Does>,
    /// Of each [`Does::SaysThen`]: the time from before its first write until after its second.
    gaps: Vec<Duration>,
    gate: bool,
    streams: Vec<TcpStream>,
}

/// A fake cache server.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub addr: SocketAddr,
    seen: Arc<(Mutex<Seen>, Condvar)>,
}

impl Server {
    pub fn start(name: &str) -> Server {
        Server::on(name, TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn on(name: &str, listener: TcpListener) -> Server {
        let addr = listener.local_addr().expect("an address");
        let server = Server {
            name: name.to_string(),
            addr,
            seen: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream) {
        let number = {
            let mut seen = self.seen.0.lock().unwrap();
            seen.connections += 1;
            seen.streams.push(stream.try_clone().expect("a handle"));
            seen.connections
        };
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let mut writer = stream;
        let mut is_new = true;
        while let Some(frame) = read_frame(&mut reader) {
            let words = words(&frame);
            let does = {
                let mut seen = self.seen.0.lock().unwrap();
                let does = seen
                    .does
                    .get(&words[1])
                    .cloned()
                    .or_else(|| seen.usually.clone());
                seen.commands.push((number, words));
                does.unwrap_or(Does::Serves)
            };
            let (bytes, ends) = match does {
                Does::Serves => (value(&self.name), false),
                Does::Says(bytes) => (bytes, false),
                Does::SaysAfter(millis, bytes) => {
                    thread::sleep(Duration::from_millis(millis));
                    (bytes, false)
                }
                Does::SaysAndEnds(bytes) => (bytes, true),
                Does::SaysThen(first, millis, second) => {
                    let start = Instant::now();
                    let mut written = writer.write_all(&first);
                    thread::sleep(Duration::from_millis(millis));
                    written = written.and_then(|()| writer.write_all(&second));
                    self.seen.0.lock().unwrap().gaps.push(start.elapsed());
                    (Vec::new(), written.is_err())
                }
                Does::SaysWithoutEnd(first, again) => {
                    let mut written = writer.write_all(&first);
                    while written.is_ok() {
                        written = writer.write_all(&again);
                    }
                    (Vec::new(), true)
                }
                Does::ServesLateWhenNew(millis) => {
                    thread::sleep(Duration::from_millis(if is_new { millis } else { 0 }));
                    (value(&self.name), false)
                }
                Does::EndsWhenKept if !is_new => (Vec::new(), true),
                Does::EndsWhenKept => (value(&self.name), false),
                Does::IsSilent => continue,
                Does::ServesLater => {
                    let seen = self.seen.0.lock().unwrap();
                    drop(self.seen.1.wait_while(seen, |seen| !seen.gate).unwrap());
                    (value(&self.name), false)
                }
            };
            is_new = false;
            if writer.write_all(&bytes).is_err() || ends {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
        self.seen.0.lock().unwrap().ended += 1;
    }

    /// What it does with all commands.
    pub fn usually(&self, does: Does) {
        self.seen.0.lock().unwrap().usually = Some(does);
    }

    /// What it does with commands for one key.
    pub fn does(&self, key: &str, does: Does) {
        self.seen
            .0
            .lock()
            .unwrap()
            .does
            .insert(key.to_string(), does);
    }

    pub fn gaps(&self) -> Vec<Duration> {
        self.seen.0.lock().unwrap().gaps.clone()
    }

    pub fn open_gate(&self) {
        self.seen.0.lock().unwrap().gate = true;
        self.seen.1.notify_all();
    }

    /// Ends all its connections.
    pub fn end_connections(&self) {
        for stream in self.seen.0.lock().unwrap().streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn commands(&self) -> Vec<Vec<String>> {
        self.seen
            .0
            .lock()
            .unwrap()
            .commands
            .iter()
            .map(|(_, words)| words.clone())
            .collect()
    }

    /// The same, each with the number of its connection.
    pub fn numbered(&self) -> Vec<(usize, Vec<String>)> {
        self.seen.0.lock().unwrap().commands.clone()
    }

    /// Connections that came, and those that have ended.
    pub fn connections(&self) -> (usize, usize) {
        let seen = self.seen.0.lock().unwrap();
        (seen.connections, seen.ended)
    }

    pub fn entry(&self, health: &str) -> String {
        entry(&self.name, self.addr, health)
    }
}

pub fn entry(name: &str, addr: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{addr}","site":"a","class":"m","block":1,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

pub fn list(seq: u64, whole: bool, entries: &[String]) -> String {
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        entries.join(",")
    )
}

#[derive(Default)]
struct Watch {
    calls: Vec<String>,
    /// What a watch begins with.
    first: String,
    /// How many of the next calls fail.
    fails: usize,
    /// How many of the next calls are left without an answer.
    hangs: usize,
    hung: Vec<TcpStream>,
    silent: bool,
    stream: Option<TcpStream>,
}

/// A fake discovery.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    watch: Arc<Mutex<Watch>>,
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Discovery {
    pub fn start(first: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let discovery = Discovery {
            addr,
            watch: Arc::default(),
        };
        discovery.watch.lock().unwrap().first = first;
        let (accepting, beating) = (discovery.clone(), discovery.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                accepting.answer(stream);
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(500));
                let watch = beating.watch.lock().unwrap();
                if let Some(mut stream) = watch.stream.as_ref().filter(|_| !watch.silent) {
                    let _ = stream.write_all(chunk("\n").as_bytes());
                }
            }
        });
        discovery
    }

    fn answer(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let mut call = String::new();
        let _ = reader.read_line(&mut call);
        let mut line = String::from("-");
        while !line.trim().is_empty() {
            line.clear();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                break;
            }
        }
        let mut watch = self.watch.lock().unwrap();
        watch.calls.push(call);
        let mut stream = stream;
        if watch.hangs > 0 {
            watch.hangs -= 1;
            watch.hung.push(stream);
            return;
        }
        if watch.fails > 0 {
            watch.fails -= 1;
            let _ =
                stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ =
            stream.write_all(format!("{head}{}", chunk(&format!("{}\n", watch.first))).as_bytes());
        watch.stream = Some(stream);
    }

    pub fn calls(&self) -> Vec<String> {
        self.watch.lock().unwrap().calls.clone()
    }

    /// Whether the other side has ended the watch.
    pub fn is_left(&self) -> bool {
        let watch = self.watch.lock().unwrap();
        let Some(mut stream) = watch.stream.as_ref() else {
            return true;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
        matches!(stream.read(&mut [0]), Ok(0))
    }

    pub fn begins_with(&self, first: String) {
        self.watch.lock().unwrap().first = first;
    }

    pub fn fails_times(&self, times: usize) {
        self.watch.lock().unwrap().fails = times;
    }

    pub fn fails(&self, fails: bool) {
        self.fails_times(if fails { usize::MAX } else { 0 });
    }

    pub fn hangs_times(&self, times: usize) {
        self.watch.lock().unwrap().hangs = times;
    }

    pub fn is_silent(&self, silent: bool) {
        self.watch.lock().unwrap().silent = silent;
    }

    /// Writes to the watch as it stands, as one chunk.
    pub fn writes(&self, text: &str) {
        let watch = self.watch.lock().unwrap();
        watch
            .stream
            .as_ref()
            .expect("a watch")
            .write_all(chunk(text).as_bytes())
            .expect("written");
    }

    /// Ends the watch.
    pub fn ends(&self) {
        if let Some(stream) = self.watch.lock().unwrap().stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The configuration of a router that knows these servers.
pub fn config(discovery: SocketAddr, known: &[String]) -> serde_json::Value {
    let known: serde_json::Value = serde_json::from_str(&list(7, true, known)).expect("a list");
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "effect": effect, "group": "all", "memory_span": 2.0, "target": 0.5,
            "give_up": 4.0, "credit": 1.0, "late_value": 0.5})
    };
    serde_json::json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": {
            "peers_total": 1, "zones": ["a"], "zone": "a", "kinds": ["m"],
            "request_classes": [class("read", "idempotent"), class("put", "deduplicated"), class("once", "at_most_once")],
            "customers": [{"name": "acme", "quota_per_s": 100.0, "share": 1.0}],
            "discovery": "subscribe",
            "invariants": {"ask_within": 1.0, "grace_to_answer": 0.02, "drain_grace": 0.25, "cold_from": 0.3,
                "cold": 8.0, "overload_factor": 3.0, "fall": 1.0},
            "limits": {"max_attempts": 3, "may_duplicate": true, "conn_idle": 15.0, "dial_timeout": 0.5,
                "retry_after": true, "max_retry_after": 1.0},
            "specifics": {"mode": "through"}
        }
    })
}

/// An address of this machine that nobody listens on, and that no connection is given as its own: ports under the range
/// from which the machine draws those.
pub fn free_addr() -> SocketAddr {
    static COUNT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    let first = 10_000 + (std::process::id() % 500) as u16 * 40;
    loop {
        let port = first + COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// One call over HTTP/1.1, written as it stands: the status and the body.
pub fn call_with(addr: SocketAddr, text: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(addr).expect("connected");
    stream.set_read_timeout(Some(LONG)).expect("a limit");
    // One that is turned down by its head may be answered before all of it is written.
    let _ = stream.write_all(text);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
    (
        head.split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0),
        body.to_string(),
    )
}

/// One call: its status and the body of its answer.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    call_with(addr, head.as_bytes())
}

/// The router's real binary; killed with the test, by its id.
pub struct Router {
    child: Child,
    pub addr: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
    pub folder: std::path::PathBuf,
}

/// The router's binary: what `ASTERPORT_PROGRAM` names, else where cargo builds it, one folder above the tests.
fn program() -> std::path::PathBuf {
    if let Some(path) = std::env::var_os("ASTERPORT_PROGRAM") {
        return path.into();
    }
    let test = std::env::current_exe().expect("the test's own path");
    let folder = test
        .parent()
        .and_then(std::path::Path::parent)
        .expect("cargo's folder for binaries");
    folder.join("cache-router")
}

/// Starts the binary with a configuration, in a shell that first runs `before`.
fn spawn(config: &str, before: &str, operator: Option<&str>) -> (Child, std::path::PathBuf) {
    spawn_with(config, before, operator, Stdio::inherit())
}

/// The same with this as its standard input.
fn spawn_with(
    config: &str,
    before: &str,
    operator: Option<&str>,
    stdin: Stdio,
) -> (Child, std::path::PathBuf) {
    static COUNT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let folder =
        std::env::temp_dir().join(format!("asterport-test-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("config.json");
    std::fs::write(&file, config).expect("written");
    let mut command = Command::new("/bin/sh");
    command.env_remove("ASTERPORT_OPERATOR_FILE");
    if let Some(text) = operator {
        let file = folder.join("operator.toml");
        std::fs::write(&file, text).expect("written");
        command.env("ASTERPORT_OPERATOR_FILE", file);
    }
    let child = command
        .arg("-c")
        .arg(format!("{before} exec \"$0\""))
        .arg(program())
        .env("GW_CONFIG", &file)
        .env_remove("GW_LISTEN")
        .env_remove("GW_DISCOVERY")
        .env_remove("GW_NAME")
        .env_remove("GW_ADMIN")
        .env_remove("GW_FD")
        .stdin(stdin)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the router starts");
    (child, folder)
}

/// Runs the binary to its end: its status and what it logged.
pub fn run_to_end(config: &str) -> (ExitStatus, String) {
    to_end(spawn(config, "", None))
}

/// The same in a shell that first runs `before`.
pub fn run_to_end_after(config: &str, before: &str) -> (ExitStatus, String) {
    to_end(spawn(config, before, None))
}

/// The same with an operator file.
pub fn run_to_end_with(config: &str, operator: &str) -> (ExitStatus, String) {
    to_end(spawn(config, "", Some(operator)))
}

fn to_end((child, folder): (Child, std::path::PathBuf)) -> (ExitStatus, String) {
    let output = child.wait_with_output().expect("the router ends");
    let _ = std::fs::remove_dir_all(folder);
    (
        output.status,
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

impl Router {
    pub fn start(config: &serde_json::Value) -> Router {
        Router::start_after(config, "")
    }

    pub fn start_after(config: &serde_json::Value, before: &str) -> Router {
        Router::listening(spawn(&config.to_string(), before, None))
    }

    /// One with an operator file.
    pub fn start_with(config: &serde_json::Value, operator: &str) -> Router {
        Router::listening(spawn(&config.to_string(), "", Some(operator)))
    }

    fn listening((mut child, folder): (Child, std::path::PathBuf)) -> Router {
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, to) = (
            BufReader::new(child.stderr.take().expect("its log")),
            log.clone(),
        );
        thread::spawn(move || {
            lines
                .lines()
                .map_while(Result::ok)
                .for_each(|line| to.lock().unwrap().push(line))
        });
        let mut addr = None;
        let start = Instant::now();
        wait_until("the router listens", || {
            let log = log.lock().unwrap();
            assert!(
                start.elapsed() < LONG / 2,
                "the router does not listen: {log:?}"
            );
            let place_of =
                |line: &String| line.split(" on ").nth(1)?.split(',').next()?.parse().ok();
            let place = log.iter().find_map(place_of);
            addr = place;
            addr.is_some()
        });
        Router {
            child,
            addr: addr.expect("its address"),
            log,
            folder,
        }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }

    pub fn log_has(&self, text: &str) -> bool {
        self.log
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.contains(text))
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status();
        assert!(kill.expect("kill runs").success());
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Asks what joining came to so far: a line in its log.
    pub fn asks_what_joined(&self) {
        self.signal("USR1");
    }

    /// Replaces the file of the configuration and tells the router.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.folder.join("new.json"), text).expect("written");
        std::fs::rename(
            self.folder.join("new.json"),
            self.folder.join("config.json"),
        )
        .expect("replaced");
        self.signal("HUP");
    }

    /// The CPU time that it has used, in nanoseconds.
    pub fn cpu_ns(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))
            .expect("its time");
        text.split_whitespace()
            .next()
            .and_then(|number| number.parse().ok())
            .expect("a number")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("its descriptors")
            .count()
    }

    /// The memory that it has in use, in KB.
    pub fn memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("its status");
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .expect("its memory");
        line.split_whitespace()
            .nth(1)
            .and_then(|number| number.parse().ok())
            .expect("a number")
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its status").is_none()
    }

    pub fn wait(&mut self) -> ExitStatus {
        wait_until("the router ends", || !self.is_running());
        self.child.wait().expect("its status")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What outlives one process of the router: the listening socket, and the folder for its files.
pub struct Platform {
    pub listener: TcpListener,
    pub folder: std::path::PathBuf,
}

impl Platform {
    pub fn new() -> Platform {
        static COUNT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("asterport-tmp-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Platform {
            listener: TcpListener::bind("127.0.0.1:0").expect("a port"),
            folder,
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Starts a process that inherits the socket as descriptor 3.
    pub fn start(&self, config: &serde_json::Value) -> Router {
        self.start_after(config, "")
    }

    /// The same in a shell that first runs `before`.
    pub fn start_after(&self, config: &serde_json::Value, before: &str) -> Router {
        let mut config = config.clone();
        config["listen"] = self.addr().to_string().into();
        let folder = self.folder.display();
        let before = format!("exec 3<&0 0</dev/null; export GW_FD=3 TMPDIR='{folder}'; {before}");
        let socket = self.listener.try_clone().expect("a handle");
        let stdin = Stdio::from(std::os::fd::OwnedFd::from(socket));
        Router::listening(spawn_with(&config.to_string(), &before, None, stdin))
    }
}

impl Default for Platform {
    fn default() -> Platform {
        Platform::new()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    count: u32,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).expect("connected");
        stream.set_read_timeout(Some(LONG)).expect("a limit");
        let reader = BufReader::new(stream.try_clone().expect("a handle"));
        Client {
            stream,
            reader,
            count: 0,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// Writes until the other side takes no more.
    pub fn write_what_it_takes(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Sends a request of a class for a key, as a write unless the class is `read`.
    pub fn send(&mut self, class: &str, key: &str, wait_ms: u64) {
        self.count += 1;
        let id = format!("id-{key}-{}", self.count);
        let fields = format!("c={class},t=acme,d={wait_ms},k=5c0f");
        let bytes = match class {
            "read" => command(&["C.GET", key, &id, &fields]),
            _ => command(&["C.SET", key, &id, &fields, "v"]),
        };
        self.write(&bytes);
    }

    /// The next answer; `None` if the connection has ended.
    pub fn answer(&mut self) -> Option<String> {
        read_frame(&mut self.reader).map(|frame| String::from_utf8_lossy(&frame).into_owned())
    }

    pub fn ask(&mut self, class: &str, key: &str) -> String {
        self.send(class, key, 4_000);
        self.answer().expect("an answer")
    }

    /// Ends its sending with an answer owed, and waits until the router has ended the connection: it knows by then.
    pub fn leave(mut self) {
        self.end_sending();
        assert!(self.rest().is_empty(), "nothing more comes");
    }

    pub fn end_sending(&self) {
        self.stream
            .shutdown(std::net::Shutdown::Write)
            .expect("an end");
    }

    /// All that comes until the end of the connection.
    pub fn rest(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        let _ = self.reader.read_to_end(&mut rest);
        rest
    }
}

/// A router that knows these servers, and its discovery, which has nothing new.
pub fn router_of(servers: &[&Server]) -> (Router, Discovery) {
    router_with(servers, |_| {})
}

/// The same with other settings: `change` is given the `settings` of its configuration.
pub fn router_with(
    servers: &[&Server],
    change: impl FnOnce(&mut serde_json::Value),
) -> (Router, Discovery) {
    let discovery = Discovery::start(list(7, false, &[]));
    let known: Vec<String> = servers.iter().map(|server| server.entry("up")).collect();
    let mut config = config(discovery.addr, &known);
    change(&mut config["settings"]);
    let router = Router::start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    (router, discovery)
}

/// Two servers; the first is the owner of the key.
pub fn pair_for(key: &str) -> (Server, Server, Router, Discovery) {
    pair_with(key, |_| {})
}

/// The same with other settings, as [`router_with`] takes them.
pub fn pair_with(
    key: &str,
    change: impl FnOnce(&mut serde_json::Value),
) -> (Server, Server, Router, Discovery) {
    let (a, b) = (Server::start("s-a"), Server::start("s-b"));
    let (router, discovery) = router_with(&[&a, &b], change);
    assert!(router.client().ask("read", key).contains("s-"));
    let (owner, other) = if a.commands().is_empty() {
        (b, a)
    } else {
        (a, b)
    };
    (owner, other, router, discovery)
}

/// A listener whose queue of connections is full: new ones stay unanswered, as with a machine that vanished.
pub fn silent_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().unwrap();
    let limit = Duration::from_millis(100);
    let fillers = (0..4)
        .map_while(|_| TcpStream::connect_timeout(&addr, limit).ok())
        .collect();
    (listener, fillers)
}
