//! The Unix socket at which a new process of a router finds the one that serves.
//!
//! Each process that serves binds the socket anew and renames it over the one of its predecessor, so that a process
//! that starts always finds the newest.

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
    folder: PathBuf,
    file_name: String,
}

/// An open folder, and a path to it through its descriptor. The path is valid while the folder is open.
///
/// Guards against folders whose own path is too long for a socket address (108 bytes, `unix(7)`).
struct OpenFolder {
    _folder: File,
    path: PathBuf,
}

impl RendezvousSocket {
    /// In `folder`, for the router of this name. Nothing is created yet.
    pub fn new(folder: &Path, router: &str) -> RendezvousSocket {
        RendezvousSocket {
            folder: folder.to_path_buf(),
            file_name: router_file_name(router, "sock"),
        }
    }

    fn open_folder(&self) -> io::Result<OpenFolder> {
        let folder = File::open(&self.folder)?;
        let path = PathBuf::from(format!("/proc/self/fd/{}", folder.as_raw_fd()));
        Ok(OpenFolder {
            _folder: folder,
            path,
        })
    }

    /// Connects to the process that serves; `None` if there is none.
    pub async fn connect(&self) -> Option<HandoverChannel> {
        let folder = self.open_folder().ok()?;
        UnixStream::connect(folder.path.join(&self.file_name))
            .await
            .ok()
            .map(HandoverChannel::new)
    }

    /// Binds the socket in place of another process's: from here on new processes connect to this one.
    ///
    /// # Errors
    /// When the folder takes no socket.
    pub fn bind(&self) -> io::Result<UnixListener> {
        let folder = self.open_folder()?;
        let temporary_path = folder.path.join(format!("{}.new", self.file_name));
        // Left by a process that was killed between bind and rename.
        let _ = std::fs::remove_file(&temporary_path);
        let listener = UnixListener::bind(&temporary_path)?;
        std::fs::rename(&temporary_path, folder.path.join(&self.file_name))?;
        Ok(listener)
    }
}
