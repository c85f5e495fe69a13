//! The Unix socket at which a new process of a router finds the one that serves.
//!
//! Each process that serves binds a new socket and renames it over that of its predecessor, so that
//! a new process always connects to the latest one.

use crate::channel::HandoverChannel;
use crate::router_file_name;
use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use tokio::net::{UnixListener, UnixStream};

/// The path of the rendezvous socket of one router.
#[derive(Clone, Debug)]
pub struct RendezvousSocket {
    directory: PathBuf,
    file_name: String,
}

/// An open directory, and a path to it through its file descriptor, which is valid while it is
/// open.
///
/// The directory's own path may be too long for a socket address (108 bytes, `unix(7)`).
struct OpenDirectory {
    _directory: File,
    path: PathBuf,
}

impl RendezvousSocket {
    /// The rendezvous socket of this router in `directory`. Creates nothing yet.
    pub fn new(directory: &Path, router: &str) -> RendezvousSocket {
        RendezvousSocket {
            directory: directory.to_path_buf(),
            file_name: router_file_name(router, "sock"),
        }
    }

    fn open_directory(&self) -> io::Result<OpenDirectory> {
        let directory = File::open(&self.directory)?;
        let path = PathBuf::from(format!("/proc/self/fd/{}", directory.as_raw_fd()));
        Ok(OpenDirectory {
            _directory: directory,
            path,
        })
    }

    /// Connects to the process that serves; `None` if there is none.
    pub async fn connect(&self) -> Option<HandoverChannel> {
        self.connect_stream().await.map(HandoverChannel::new)
    }

    async fn connect_stream(&self) -> Option<UnixStream> {
        let directory = self.open_directory().ok()?;
        UnixStream::connect(directory.path.join(&self.file_name))
            .await
            .ok()
    }

    /// Whether another process than this one serves. The socket of a process that has ended accepts no
    /// connection.
    pub async fn is_bound_by_other_process(&self) -> bool {
        let Some(stream) = self.connect_stream().await else {
            return false;
        };
        let listening = stream.peer_cred().ok().and_then(|peer| peer.pid());
        listening.is_none_or(|pid| pid.cast_unsigned() != std::process::id())
    }

    /// Binds the socket, replacing that of another process. From then on new processes connect to
    /// this one.
    ///
    /// # Errors
    /// When the socket cannot be created in the directory.
    pub fn bind(&self) -> io::Result<UnixListener> {
        let directory = self.open_directory()?;
        let temporary_path = directory.path.join(format!("{}.new", self.file_name));
        // Remove the socket of a process that was killed between bind and rename.
        let _ = std::fs::remove_file(&temporary_path);
        let listener = UnixListener::bind(&temporary_path)?;
        std::fs::rename(&temporary_path, directory.path.join(&self.file_name))?;
        Ok(listener)
    }
}
