//! The resources that outlive one router process: the listening socket and the directory for its
//! files.

use crate::router_process::{Launch, RouterProcess, unique_directory};
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
}

impl Platform {
    /// Creates a platform with a socket on an ephemeral port, and an empty directory that is
    /// removed on drop.
    pub fn new() -> Platform {
        Platform {
            listener: TcpListener::bind("127.0.0.1:0").expect("failed to bind an ephemeral port"),
            directory: unique_directory("asterport-tmp"),
            failing_calls: None,
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
    /// Returns the shell command that preloads the library of failing system calls.
    fn preload_exports(&self) -> String {
        let Some((library, seed)) = &self.failing_calls else {
            return String::new();
        };
        let library = library.display();
        format!("export ASTERPORT_FAILING_CALLS_SEED={seed} LD_PRELOAD='{library}';")
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
