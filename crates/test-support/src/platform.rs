//! What outlives one process of a router: the listening socket and the folder for its files.

use crate::router_process::{Launch, RouterProcess, unique_folder};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Stdio;

/// A platform that holds the router's listening socket.
pub struct Platform {
    /// The listening socket.
    pub listener: TcpListener,
    /// The folder that all processes of the router share.
    pub folder: PathBuf,
    /// A library that is loaded into each process, and the seed of the system calls that it lets fail.
    pub failing_calls: Option<(PathBuf, u64)>,
}

impl Platform {
    /// A platform with a socket on an ephemeral port, and an empty folder that is removed with it.
    pub fn new() -> Platform {
        Platform {
            listener: TcpListener::bind("127.0.0.1:0").expect("a port"),
            folder: unique_folder("asterport-tmp"),
            failing_calls: None,
        }
    }

    /// Address of the listening socket.
    pub fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Starts a process that inherits the socket as descriptor 3.
    pub fn start(&self, configuration: &serde_json::Value) -> RouterProcess {
        let mut configuration = configuration.clone();
        configuration["listen"] = self.addr().to_string().into();
        let folder = self.folder.display();
        let socket = self.listener.try_clone().expect("a handle");
        RouterProcess::launch(Launch {
            shell_commands: &format!(
                "exec 3<&0 0</dev/null; export GW_FD=3 TMPDIR='{folder}'; {}",
                self.preload_exports()
            ),
            stdin: Stdio::from(OwnedFd::from(socket)),
            ..Launch::new(&configuration.to_string())
        })
    }
}

impl Platform {
    /// What the shell runs so that system calls of the process fail.
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
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
