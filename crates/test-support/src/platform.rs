//! The resources that outlive one router process: the listening socket and the directory for its
//! files.

use crate::router_process::{Launch, RouterProcess, output_directory, unique_directory};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Stdio;

/// A fake deployment platform, which holds the router's listening socket across processes.
pub struct Platform {
    /// The listening socket.
    pub listener: TcpListener,
    /// The directory that all processes of the router share.
    pub directory: PathBuf,
    /// A library that is preloaded into each process to make system calls fail, and the seed that
    /// determines which ones fail.
    pub failing_calls: Option<(PathBuf, u64)>,
    /// A library that is preloaded into each process to step its wall clock.
    pub stepped_clock: Option<PathBuf>,
}

impl Platform {
    /// Creates a platform with a socket on an ephemeral port, and an empty directory that is
    /// removed on drop.
    pub fn new() -> Platform {
        Platform {
            listener: TcpListener::bind("127.0.0.1:0").expect("failed to bind an ephemeral port"),
            directory: unique_directory("asterport-tmp"),
            failing_calls: None,
            stepped_clock: None,
        }
    }

    /// Returns the address of the listening socket.
    pub fn addr(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("failed to read the local address")
    }

    /// Starts a router process that inherits the socket as descriptor 3.
    pub fn start(&self, configuration: &serde_json::Value) -> RouterProcess {
        let mut configuration = configuration.clone();
        configuration["listen"] = self.addr().to_string().into();
        let directory = self.directory.display();
        let socket = self
            .listener
            .try_clone()
            .expect("failed to clone the socket");
        RouterProcess::launch(Launch {
            shell_commands: &format!(
                "exec 3<&0 0</dev/null; export GW_FD=3 TMPDIR='{directory}'; {}",
                self.preload_exports()
            ),
            stdin: Stdio::from(OwnedFd::from(socket)),
            ..Launch::new(&configuration.to_string())
        })
    }
}

impl Platform {
    /// Creates a platform whose processes have a wall clock that [`Platform::set_clock_offset_ms`] steps.
    ///
    /// # Panics
    /// If the `stepped-clock` library is not built: `ASTERPORT_STEPPED_CLOCK` names it, else it is in
    /// cargo's output directory.
    pub fn with_stepped_clock() -> Platform {
        let library = stepped_clock_library();
        assert!(
            library.exists(),
            "{}: missing; run cargo build -p stepped-clock",
            library.display()
        );
        let mut platform = Platform::new();
        platform.stepped_clock = Some(library);
        platform
    }

    /// Steps the wall clock of all processes, running and later ones, to this offset from the system's.
    pub fn set_clock_offset_ms(&self, offset_ms: i64) {
        let temporary_path = self.directory.join("clock-offset.new");
        std::fs::write(&temporary_path, offset_ms.to_string()).expect("failed to write");
        std::fs::rename(temporary_path, self.clock_offset_path())
            .expect("failed to replace the clock offset");
    }

    fn clock_offset_path(&self) -> PathBuf {
        self.directory.join("clock-offset")
    }

    /// Returns the shell command that preloads libraries into the router.
    fn preload_exports(&self) -> String {
        let mut exports = String::new();
        let mut libraries = Vec::new();
        if let Some((library, seed)) = &self.failing_calls {
            exports += &format!("export ASTERPORT_FAILING_CALLS_SEED={seed}; ");
            libraries.push(library.display().to_string());
        }
        if let Some(library) = &self.stepped_clock {
            let path = self.clock_offset_path();
            exports += &format!("export ASTERPORT_CLOCK_OFFSET_FILE='{}'; ", path.display());
            libraries.push(library.display().to_string());
        }
        if !libraries.is_empty() {
            exports += &format!("export LD_PRELOAD='{}';", libraries.join(":"));
        }
        exports
    }
}

/// Environment variable with the path of the `stepped-clock` library.
const STEPPED_CLOCK_VARIABLE: &str = "ASTERPORT_STEPPED_CLOCK";

/// The path of the `stepped-clock` library.
fn stepped_clock_library() -> PathBuf {
    match std::env::var_os(STEPPED_CLOCK_VARIABLE) {
        Some(path) => path.into(),
        None => output_directory().join("libstepped_clock.so"),
    }
}

impl Default for Platform {
    fn default() -> Platform {
        Platform::new()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
