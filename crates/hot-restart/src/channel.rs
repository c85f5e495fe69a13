//! Messages and descriptors between two processes of a router, over a Unix socket.

use crate::message::{HEAD, Message, MessageError};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::fmt;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};

/// Why a link is of no further use.
#[derive(Debug)]
pub enum ChannelError {
    /// The socket failed, or the other process has ended.
    Io(io::Error),
    /// What came is not used.
    Form(MessageError),
}

impl fmt::Display for ChannelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChannelError::Io(error) => write!(f, "{error}"),
            ChannelError::Form(error) => write!(f, "{error}"),
        }
    }
}

impl From<io::Error> for ChannelError {
    fn from(error: io::Error) -> Self {
        ChannelError::Io(error)
    }
}

impl From<MessageError> for ChannelError {
    fn from(error: MessageError) -> Self {
        ChannelError::Form(error)
    }
}

/// One end.
#[derive(Debug)]
pub struct HandoverChannel(UnixStream);

impl HandoverChannel {
    /// A link over this socket.
    pub fn new(stream: UnixStream) -> HandoverChannel {
        HandoverChannel(stream)
    }

    /// Sends a message, with a descriptor that stays the caller's own too. Left off halfway, the link is of no further
    /// use.
    ///
    /// # Errors
    /// When the other process has ended, or the message is too long.
    pub async fn send(
        &self,
        message: &Message,
        descriptor: Option<BorrowedFd<'_>>,
    ) -> Result<(), ChannelError> {
        let bytes = message.encode()?;
        let mut written = 0;
        while written < bytes.len() {
            let descriptor = descriptor.filter(|_| written == 0);
            let write = || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut ancillary = SendAncillaryBuffer::new(&mut space);
                let descriptors = descriptor.map(|descriptor| [descriptor]);
                if let Some(descriptors) = &descriptors {
                    ancillary.push(SendAncillaryMessage::ScmRights(descriptors));
                }
                let parts = [IoSlice::new(&bytes[written..])];
                let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
                Ok(sendmsg(&self.0, &parts, &mut ancillary, flags)?)
            };
            written += self.0.async_io(Interest::WRITABLE, write).await?;
        }
        Ok(())
    }

    /// The next message, and the descriptor that came with it. Left off halfway, the link is of no further use.
    ///
    /// # Errors
    /// When the other process has ended, or what came is no message.
    pub async fn receive(&self) -> Result<(Message, Option<OwnedFd>), ChannelError> {
        let mut head = [0; HEAD];
        let mut descriptor = None;
        self.fill(&mut head, &mut descriptor).await?;
        let (length, checksum) = Message::head(head)?;
        let mut body = vec![0; length];
        self.fill(&mut body, &mut descriptor).await?;
        Ok((Message::body(&body, checksum)?, descriptor))
    }

    async fn fill(
        &self,
        buffer: &mut [u8],
        descriptor: &mut Option<OwnedFd>,
    ) -> Result<(), ChannelError> {
        let mut filled = 0;
        while filled < buffer.len() {
            let rest = &mut buffer[filled..];
            let read = || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut ancillary = RecvAncillaryBuffer::new(&mut space);
                let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
                let got = recvmsg(&self.0, &mut [IoSliceMut::new(rest)], &mut ancillary, flags)?;
                for message in ancillary.drain() {
                    if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                        *descriptor = descriptors.last().or(descriptor.take());
                    }
                }
                Ok(got.bytes)
            };
            match self.0.async_io(Interest::READABLE, read).await? {
                0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                count => filled += count,
            }
        }
        Ok(())
    }
}

/// Where processes of one router meet: a path that the one that came last has bound.
#[derive(Clone, Debug)]
pub struct RendezvousSocket {
    folder: PathBuf,
    name: String,
}

impl RendezvousSocket {
    /// Under this folder, for a router of this name.
    pub fn new(folder: &Path, router: &str) -> RendezvousSocket {
        RendezvousSocket {
            folder: folder.to_path_buf(),
            name: crate::store::file_name(router, "sock"),
        }
    }

    /// A path to the folder that is short enough for a socket's, however long the folder's own is.
    fn short(&self) -> io::Result<(std::fs::File, PathBuf)> {
        let folder = std::fs::File::open(&self.folder)?;
        let number = std::os::fd::AsRawFd::as_raw_fd(&folder);
        Ok((folder, PathBuf::from(format!("/proc/self/fd/{number}"))))
    }

    /// The process that serves now; `None` if there is none.
    pub async fn join(&self) -> Option<HandoverChannel> {
        let (_folder, path) = self.short().ok()?;
        UnixStream::connect(path.join(&self.name))
            .await
            .ok()
            .map(HandoverChannel)
    }

    /// From here on the next process meets this one.
    ///
    /// # Errors
    /// When the folder takes no socket.
    pub fn take(&self) -> io::Result<UnixListener> {
        let (_folder, path) = self.short()?;
        let (new, place) = (
            path.join(format!("{}.new", self.name)),
            path.join(&self.name),
        );
        let _ = std::fs::remove_file(&new);
        let listener = UnixListener::bind(&new)?;
        std::fs::rename(&new, &place)?;
        Ok(listener)
    }
}
