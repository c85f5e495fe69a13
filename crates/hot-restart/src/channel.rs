//! A channel between two processes of one router, which carries messages and file descriptors over
//! a Unix stream socket.
//!
//! A descriptor is sent as ancillary data (`SCM_RIGHTS`, `unix(7)`) with the first byte of its
//! message.

use crate::message::{FRAME_HEADER_BYTES, FrameHeader, FramePieces, Message, MessageError};
use bytes::Bytes;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::future::Future;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::pin::Pin;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::UnixStream;

/// Why a channel can no longer be used.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The socket failed, or the other process has closed it.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A message is malformed or unexpected.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// A body is received in pieces of this size, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// A message, and the descriptor that came with it, if any.
pub type Received = (Message, Option<OwnedFd>);

/// One end of a channel.
///
/// Neither [`send`](HandoverChannel::send) nor [`receive`](HandoverChannel::receive) is
/// cancel-safe: if a future is dropped before it completes, part of a message is lost and the
/// channel can no longer be used.
#[derive(Debug)]
pub struct HandoverChannel(UnixStream);

impl HandoverChannel {
    /// Creates a channel over a connected socket.
    pub fn new(stream: UnixStream) -> HandoverChannel {
        HandoverChannel(stream)
    }

    /// Sends a message, with a copy of `descriptor` if there is one.
    ///
    /// # Errors
    /// When the socket fails, or the message is too long.
    pub async fn send(
        &self,
        message: &Message,
        descriptor: Option<BorrowedFd<'_>>,
    ) -> Result<(), ChannelError> {
        let frame = FramePieces::of(message)?;
        let mut descriptor = descriptor;
        for piece in &frame.0 {
            let mut unwritten = &piece[..];
            while !unwritten.is_empty() {
                let write = || self.try_send(unwritten, descriptor);
                let count = self.0.async_io(Interest::WRITABLE, write).await?;
                unwritten = &unwritten[count..];
                descriptor = None;
            }
        }
        Ok(())
    }

    fn try_send(&self, bytes: &[u8], descriptor: Option<BorrowedFd<'_>>) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let descriptors = descriptor.map(|descriptor| [descriptor]);
        if let Some(descriptors) = &descriptors {
            ancillary.push(SendAncillaryMessage::ScmRights(descriptors));
        }
        let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
        Ok(sendmsg(
            &self.0,
            &[IoSlice::new(bytes)],
            &mut ancillary,
            flags,
        )?)
    }

    /// Receives the next message, and the descriptor that came with it.
    ///
    /// # Errors
    /// When the socket fails or is closed, or the bytes are not a message.
    pub async fn receive(&self) -> Result<Received, ChannelError> {
        let mut header = [0; FRAME_HEADER_BYTES];
        let mut descriptor = None;
        self.read_exact(&mut header, &mut descriptor).await?;
        let header = FrameHeader::decode(header)?;
        let mut body = Vec::new();
        let mut remaining_bytes = header.body_bytes;
        while remaining_bytes > 0 {
            let mut piece = vec![0; remaining_bytes.min(PIECE_BYTES)];
            self.read_exact(&mut piece, &mut descriptor).await?;
            remaining_bytes -= piece.len();
            body.push(Bytes::from(piece));
        }
        let message = FramePieces::decode_body(body, header.checksum)?;
        Ok((message, descriptor))
    }

    /// Fills `buffer`. A descriptor that comes with the bytes replaces `descriptor`.
    async fn read_exact(
        &self,
        buffer: &mut [u8],
        descriptor: &mut Option<OwnedFd>,
    ) -> Result<(), ChannelError> {
        let mut filled = 0;
        while filled < buffer.len() {
            let unfilled = &mut buffer[filled..];
            let read = || self.try_receive(unfilled, descriptor);
            match self.0.async_io(Interest::READABLE, read).await? {
                0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                count => filled += count,
            }
        }
        Ok(())
    }

    fn try_receive(
        &self,
        buffer: &mut [u8],
        descriptor: &mut Option<OwnedFd>,
    ) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
        let received = recvmsg(
            &self.0,
            &mut [IoSliceMut::new(buffer)],
            &mut ancillary,
            flags,
        )?;
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                *descriptor = descriptors.last().or(descriptor.take());
            }
        }
        Ok(received.bytes)
    }
}

/// A cancel-safe receiver, for use in `select!`.
///
/// It keeps an unfinished [`HandoverChannel::receive`] for the next call, so that no part of a
/// message is lost when its own [`receive`](MessageReceiver::receive) is cancelled.
pub struct MessageReceiver<'a> {
    channel: &'a HandoverChannel,
    unfinished: Pin<Box<dyn Future<Output = Result<Received, ChannelError>> + 'a>>,
}

impl<'a> MessageReceiver<'a> {
    /// Creates the receiver of a channel. A channel must not have more than one.
    pub fn new(channel: &'a HandoverChannel) -> MessageReceiver<'a> {
        MessageReceiver {
            channel,
            unfinished: Box::pin(channel.receive()),
        }
    }

    /// Receives the next message, and the descriptor that came with it.
    ///
    /// # Errors
    /// See [`HandoverChannel::receive`].
    pub async fn receive(&mut self) -> Result<Received, ChannelError> {
        let received = self.unfinished.as_mut().await;
        self.unfinished = Box::pin(self.channel.receive());
        received
    }
}
