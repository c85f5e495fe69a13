//! The buffer that all connections of a process read into.
//!
//! What has arrived is copied to the connection's own buffer. So a connection that waits for input
//! holds no memory for it, and one that has received a part of a message holds no more than that.

use bytes::BytesMut;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, ReadBuf};

/// The most that is read at a time, in bytes.
const CAPACITY_BYTES: usize = 16 * 1024;

/// See the module documentation. A clone is the same buffer; it is borrowed within a poll only.
#[derive(Clone, Debug)]
pub struct ReadBuffer {
    bytes: Rc<RefCell<Box<[u8]>>>,
}

impl Default for ReadBuffer {
    fn default() -> ReadBuffer {
        let bytes = vec![0; CAPACITY_BYTES].into_boxed_slice();
        ReadBuffer {
            bytes: Rc::new(RefCell::new(bytes)),
        }
    }
}

impl ReadBuffer {
    /// Appends at most `limit` bytes that have arrived to `received`. The result is their number, 0 at
    /// the end of the stream.
    ///
    /// # Errors
    /// When the connection has failed.
    pub fn poll_read(
        &self,
        context: &mut Context<'_>,
        stream: &mut (impl AsyncRead + Unpin),
        received: &mut BytesMut,
        limit: usize,
    ) -> Poll<io::Result<usize>> {
        let mut bytes = self.bytes.borrow_mut();
        let limit = limit.min(bytes.len());
        let mut buffer = ReadBuf::new(&mut bytes[..limit]);
        ready!(Pin::new(stream).poll_read(context, &mut buffer))?;
        received.extend_from_slice(buffer.filled());
        Poll::Ready(Ok(buffer.filled().len()))
    }

    /// Waits for input, and appends it like [`ReadBuffer::poll_read`]. Dropping the future loses
    /// nothing.
    ///
    /// # Errors
    /// When the connection has failed.
    pub async fn read(
        &self,
        stream: &mut (impl AsyncRead + Unpin),
        received: &mut BytesMut,
        limit: usize,
    ) -> io::Result<usize> {
        poll_fn(|context| self.poll_read(context, stream, received, limit)).await
    }
}
