//! Runs the router binary as a child process.

use crate::client::Client;
use crate::wait::{MAX_WAIT, wait_until};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Instant;

/// Environment variables of the router that are not inherited from the test's environment.
const CLEARED_VARIABLES: [&str; 6] = [
    "ASTERPORT_OPERATOR_FILE",
    "GW_LISTEN",
    "GW_DISCOVERY",
    "GW_NAME",
    "GW_ADMIN",
    "GW_FD",
];

/// Creates a directory that no other test uses.
pub(crate) fn unique_directory(prefix: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let directory = std::env::temp_dir().join(format!("{prefix}-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("failed to create a directory");
    directory
}

/// Returns the path of the router binary: `ASTERPORT_PROGRAM` if set, otherwise the one in cargo's
/// output directory.
fn binary_path() -> PathBuf {
    if let Some(path) = std::env::var_os("ASTERPORT_PROGRAM") {
        return path.into();
    }
    output_directory().join("cache-router")
}

/// Returns cargo's output directory, the parent of the directory of test binaries.
pub(crate) fn output_directory() -> PathBuf {
    let test = std::env::current_exe().expect("failed to find the test binary");
    test.parent()
        .and_then(Path::parent)
        .expect("test binary outside of cargo's output directory")
        .into()
}

/// Options of a process to be started.
pub(crate) struct Launch<'a> {
    /// Contents of the configuration file.
    pub configuration: &'a str,
    /// Commands that the shell runs before it executes the binary, each terminated by a semicolon.
    pub shell_commands: &'a str,
    /// Contents of the operator file, if there is one.
    pub operator_file: Option<&'a str>,
    /// Standard input of the shell.
    pub stdin: Stdio,
}

/// A child process and the directory with its files.
struct Launched {
    child: Child,
    directory: PathBuf,
}

impl<'a> Launch<'a> {
    /// Creates options with this configuration and defaults for the rest.
    pub fn new(configuration: &'a str) -> Launch<'a> {
        Launch {
            configuration,
            shell_commands: "",
            operator_file: None,
            stdin: Stdio::inherit(),
        }
    }

    fn spawn(self) -> Launched {
        let directory = unique_directory("asterport-test");
        let configuration_path = directory.join("config.json");
        std::fs::write(&configuration_path, self.configuration).expect("failed to write");
        let mut command = Command::new("/bin/sh");
        for variable in CLEARED_VARIABLES {
            command.env_remove(variable);
        }
        if let Some(text) = self.operator_file {
            let path = directory.join("operator.toml");
            std::fs::write(&path, text).expect("failed to write");
            command.env("ASTERPORT_OPERATOR_FILE", path);
        }
        let child = command
            .arg("-c")
            .arg(format!("{} exec \"$0\"", self.shell_commands))
            .arg(binary_path())
            .env("GW_CONFIG", &configuration_path)
            .stdin(self.stdin)
            .stderr(Stdio::piped())
            .spawn()
            .expect("failed to start the router");
        Launched { child, directory }
    }

    fn run_to_end(self) -> Exit {
        let Launched { child, directory } = self.spawn();
        let output = child
            .wait_with_output()
            .expect("failed to wait for the router");
        let _ = std::fs::remove_dir_all(directory);
        Exit {
            status: output.status,
            log: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// How a process ended.
pub struct Exit {
    /// The exit status.
    pub status: ExitStatus,
    /// Everything that the process logged.
    pub log: String,
}

/// Runs the binary until it exits.
pub fn run_to_end(configuration: &str) -> Exit {
    Launch::new(configuration).run_to_end()
}

/// Like [`run_to_end`], after `shell_commands` in the same shell.
pub fn run_to_end_with_shell_commands(configuration: &str, shell_commands: &str) -> Exit {
    let launch = Launch {
        shell_commands,
        ..Launch::new(configuration)
    };
    launch.run_to_end()
}

/// Like [`run_to_end`], with an operator file of these contents.
pub fn run_to_end_with_operator_file(configuration: &str, operator_file: &str) -> Exit {
    let launch = Launch {
        operator_file: Some(operator_file),
        ..Launch::new(configuration)
    };
    launch.run_to_end()
}

/// A running router process, which is killed on drop.
pub struct RouterProcess {
    child: Child,
    /// The address at which clients connect.
    pub addr: SocketAddr,
    /// The lines that the router has logged so far.
    pub log: Arc<Mutex<Vec<String>>>,
    /// Ends once the process has ended and all of its log is collected.
    log_collector: Option<JoinHandle<()>>,
    directory: PathBuf,
}

impl RouterProcess {
    /// Starts a router and waits until it is listening.
    pub fn start(configuration: &serde_json::Value) -> RouterProcess {
        RouterProcess::launch(Launch::new(&configuration.to_string()))
    }

    /// Like [`RouterProcess::start`], after `shell_commands` in the same shell.
    pub fn start_with_shell_commands(
        configuration: &serde_json::Value,
        shell_commands: &str,
    ) -> RouterProcess {
        RouterProcess::launch(Launch {
            shell_commands,
            ..Launch::new(&configuration.to_string())
        })
    }

    /// Like [`RouterProcess::start`], with an operator file of these contents.
    pub fn start_with_operator_file(
        configuration: &serde_json::Value,
        operator_file: &str,
    ) -> RouterProcess {
        RouterProcess::launch(Launch {
            operator_file: Some(operator_file),
            ..Launch::new(&configuration.to_string())
        })
    }

    pub(crate) fn launch(launch: Launch<'_>) -> RouterProcess {
        let Launched {
            mut child,
            directory,
        } = launch.spawn();
        let log = Arc::default();
        let stderr = child.stderr.take().expect("standard error is not piped");
        let log_collector = Some(collect_log(stderr, &log));
        let addr = wait_for_address(&log);
        RouterProcess {
            child,
            addr,
            log,
            log_collector,
            directory,
        }
    }

    /// Connects a new client to this router.
    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }

    /// Returns whether a line of the log contains this text.
    pub fn log_contains(&self, text: &str) -> bool {
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
        assert!(kill.expect("failed to run kill").success());
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends SIGKILL.
    pub fn kill(&self) {
        self.signal("KILL");
    }

    /// Sends SIGUSR1, on which the router logs the counters of coalescing.
    pub fn log_coalescing_counters(&self) {
        self.signal("USR1");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, configuration: &str) {
        let temporary_path = self.directory.join("new.json");
        std::fs::write(&temporary_path, configuration).expect("failed to write");
        std::fs::rename(&temporary_path, self.directory.join("config.json"))
            .expect("failed to replace the configuration file");
        self.signal("HUP");
    }

    fn proc_path(&self, file: &str) -> String {
        format!("/proc/{}/{file}", self.child.id())
    }

    /// Returns the CPU time that the router has used, in nanoseconds.
    pub fn cpu_ns(&self) -> u64 {
        let text =
            std::fs::read_to_string(self.proc_path("schedstat")).expect("failed to read schedstat");
        text.split_whitespace()
            .next()
            .and_then(|number| number.parse().ok())
            .expect("malformed schedstat")
    }

    /// Returns the router's process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(self.proc_path("fd"))
            .expect("failed to list the open descriptors")
            .count()
    }

    /// Returns the resident set size, in KB.
    pub fn memory_kb(&self) -> usize {
        self.status_kb("VmRSS")
    }

    /// Returns the largest resident set size so far, in KB.
    pub fn peak_memory_kb(&self) -> usize {
        self.status_kb("VmHWM")
    }

    fn status_kb(&self, field: &str) -> usize {
        let status = std::fs::read_to_string(self.proc_path("status"))
            .expect("failed to read the process status");
        let line = status
            .lines()
            .find(|line| line.starts_with(field))
            .expect("the field is missing");
        line.split_whitespace()
            .nth(1)
            .and_then(|number| number.parse().ok())
            .expect("malformed field")
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("failed to read the process status")
            .is_none()
    }

    /// Waits until the process has exited and its log is complete, and returns its exit status.
    pub fn wait(&mut self) -> ExitStatus {
        wait_until("the router exits", || !self.is_running());
        if let Some(log_collector) = self.log_collector.take() {
            log_collector.join().expect("the log is not collected");
        }
        self.child
            .wait()
            .expect("failed to read the process status")
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Collects the lines of the log on a thread that ends with the process.
fn collect_log(stderr: ChildStderr, log: &Arc<Mutex<Vec<String>>>) -> JoinHandle<()> {
    let lines = log.clone();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            lines.lock().unwrap().push(line);
        }
    })
}

/// Waits for the startup line of the log and returns the address in it.
fn wait_for_address(log: &Mutex<Vec<String>>) -> SocketAddr {
    let address_in = |line: &String| line.split(" on ").nth(1)?.split(',').next()?.parse().ok();
    let start = Instant::now();
    let mut address = None;
    wait_until("the router is listening", || {
        let log = log.lock().unwrap();
        assert!(
            start.elapsed() < MAX_WAIT / 2,
            "the router has not started to listen; its log: {log:?}"
        );
        address = log.iter().find_map(address_in);
        address.is_some()
    });
    address.expect("no address in the log")
}
