//! A fake discovery service that serves endpoint lists to one watch at a time.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Interval of the empty lines that are sent on a watch while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The response to a rejected call.
const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Returns the entry of a cache server in an endpoint list, as JSON.
pub fn endpoint_entry(name: &str, addr: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{addr}","site":"a","class":"m","block":1,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// Returns an endpoint list of version `seq` as JSON: a complete list if `whole`, otherwise changes
/// to the previous one.
pub fn endpoint_list(seq: u64, whole: bool, entries: &[String]) -> String {
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        entries.join(",")
    )
}

#[derive(Default)]
struct State {
    /// Request lines of all received calls.
    calls: Vec<String>,
    initial_list: String,
    calls_to_fail: usize,
    calls_to_truncate: usize,
    calls_to_hang: usize,
    calls_to_reject: usize,
    rejection_delay: Duration,
    rejections: Vec<Instant>,
    hanging_streams: Vec<TcpStream>,
    is_silent: bool,
    watch: Option<TcpStream>,
}

/// A fake discovery service, which keeps only the newest watch. Clones share the same service.
#[derive(Clone)]
pub struct Discovery {
    /// The address that it listens on.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Discovery {
    /// Starts a discovery service that sends this list at the start of a watch.
    pub fn start(initial_list: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind an ephemeral port");
        let addr = listener
            .local_addr()
            .expect("failed to read the local address");
        let discovery = Discovery {
            addr,
            state: Arc::default(),
        };
        discovery.set_initial_list(initial_list);
        let acceptor = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                acceptor.respond(stream);
            }
        });
        let sender = discovery.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT_INTERVAL);
                sender.send_heartbeat();
            }
        });
        discovery
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn send_heartbeat(&self) {
        let state = self.state();
        if let Some(mut watch) = state.watch.as_ref().filter(|_| !state.is_silent) {
            let _ = watch.write_all(chunk("\n").as_bytes());
        }
    }

    fn respond(&self, mut stream: TcpStream) {
        let request_line = read_request_line(&stream);
        let mut state = self.state();
        state.calls.push(request_line);
        if state.calls_to_hang > 0 {
            state.calls_to_hang -= 1;
            state.hanging_streams.push(stream);
            return;
        }
        if state.calls_to_reject > 0 {
            state.calls_to_reject -= 1;
            let delay = state.rejection_delay;
            let discovery = self.clone();
            thread::spawn(move || discovery.reject_after(stream, delay));
            return;
        }
        if state.calls_to_fail > 0 {
            state.calls_to_fail -= 1;
            let _ = stream.write_all(UNAVAILABLE);
            return;
        }
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if state.calls_to_truncate > 0 {
            state.calls_to_truncate -= 1;
            let half = &state.initial_list[..state.initial_list.len() / 2];
            let _ = stream.write_all(format!("{head}{}", chunk(half)).as_bytes());
            return;
        }
        let first_chunk = chunk(&format!("{}\n", state.initial_list));
        let _ = stream.write_all(format!("{head}{first_chunk}").as_bytes());
        state.watch = Some(stream);
    }

    /// Answers a call with 503 after a delay.
    fn reject_after(&self, mut stream: TcpStream, delay: Duration) {
        thread::sleep(delay);
        let _ = stream.write_all(UNAVAILABLE);
        self.state().rejections.push(Instant::now());
    }

    /// Returns the request lines of all received calls.
    pub fn calls(&self) -> Vec<String> {
        self.state().calls.clone()
    }

    /// Returns whether the router has closed the watch, or there is none.
    pub fn is_watch_closed(&self) -> bool {
        let state = self.state();
        let Some(mut watch) = state.watch.as_ref() else {
            return true;
        };
        let _ = watch.set_read_timeout(Some(Duration::from_millis(1)));
        matches!(watch.read(&mut [0]), Ok(0))
    }

    /// Sets the list that is sent at the start of later watches.
    pub fn set_initial_list(&self, list: String) {
        self.state().initial_list = list;
    }

    /// Answers the next `count` calls with 503.
    pub fn fail_next_calls(&self, count: usize) {
        self.state().calls_to_fail = count;
    }

    /// Truncates the answers to the next `count` calls in the middle of the list.
    pub fn truncate_next_calls(&self, count: usize) {
        self.state().calls_to_truncate = count;
    }

    /// Answers all calls with 503, or none.
    pub fn set_failing(&self, is_failing: bool) {
        self.fail_next_calls(if is_failing { usize::MAX } else { 0 });
    }

    /// Leaves the next `count` calls without a response.
    pub fn hang_next_calls(&self, count: usize) {
        self.state().calls_to_hang = count;
    }

    /// Answers the next `count` calls with 503 after a delay, like an overloaded discovery service
    /// with a queue.
    pub fn reject_next_calls(&self, count: usize, after: Duration) {
        let mut state = self.state();
        state.calls_to_reject = count;
        state.rejection_delay = after;
    }

    /// Returns when the calls of [`Discovery::reject_next_calls`] were answered.
    pub fn rejections(&self) -> Vec<Instant> {
        self.state().rejections.clone()
    }

    /// Stops or restarts the heartbeat.
    pub fn set_silent(&self, is_silent: bool) {
        self.state().is_silent = is_silent;
    }

    /// Writes text to the watch as one HTTP chunk.
    pub fn write_to_watch(&self, text: &str) {
        let state = self.state();
        let mut watch = state.watch.as_ref().expect("no open watch");
        watch
            .write_all(chunk(text).as_bytes())
            .expect("failed to write");
    }

    /// Closes the watch.
    pub fn close_watch(&self) {
        if let Some(watch) = self.state().watch.take() {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }
}

/// Reads the head of a request and returns its first line.
fn read_request_line(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream.try_clone().expect("failed to clone the socket"));
    let mut request_line = String::new();
    let _ = reader.read_line(&mut request_line);
    let mut line = String::from("-");
    while !line.trim().is_empty() {
        line.clear();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            break;
        }
    }
    request_line
}
