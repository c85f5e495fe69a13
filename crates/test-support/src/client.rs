//! A RESP2 client of the router.

use crate::resp::{encode_command, read_frame};
use crate::wait::MAX_WAIT;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Deadline of [`Client::request`], in milliseconds.
const REQUEST_DEADLINE_MS: u64 = 4_000;

/// A client with one connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    request_count: u32,
}

impl Client {
    /// Connects to a router.
    pub fn connect(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).expect("failed to connect");
        stream
            .set_read_timeout(Some(MAX_WAIT))
            .expect("failed to set the read timeout");
        let reader = BufReader::new(stream.try_clone().expect("failed to clone the socket"));
        Client {
            stream,
            reader,
            request_count: 0,
        }
    }

    /// Writes all of these bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("failed to write");
    }

    /// Writes these bytes, or as many as possible until the router closes the connection.
    pub fn write_until_closed(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Sends a request for a key: a read for class `read`, a write for any other class.
    pub fn send(&mut self, class: &str, key: &str, deadline_ms: u64) {
        self.request_count += 1;
        let id = self.id(key, self.request_count);
        let fields = format!("c={class},t=acme,d={deadline_ms},k=5c0f");
        let bytes = match class {
            "read" => encode_command(&["C.GET", key, &id, &fields]),
            _ => encode_command(&["C.SET", key, &id, &fields, "v"]),
        };
        self.write(&bytes);
    }

    /// The id of this client's request of this number for a key. Other clients have other ids.
    pub fn id(&self, key: &str, number: u32) -> String {
        let port = self.stream.local_addr().map_or(0, |addr| addr.port());
        format!("id-{key}-{number}-{port}")
    }

    /// Reads the next reply; `None` if the connection was closed.
    pub fn read_reply(&mut self) -> Option<String> {
        read_frame(&mut self.reader).map(|frame| String::from_utf8_lossy(&frame).into_owned())
    }

    /// Sends a request and reads its reply.
    pub fn request(&mut self, class: &str, key: &str) -> String {
        self.send(class, key, REQUEST_DEADLINE_MS);
        self.read_reply()
            .expect("connection closed without a reply")
    }

    /// Disconnects with unanswered requests, and waits until the router closes the connection,
    /// which shows that it has detected the disconnect.
    pub fn disconnect(mut self) {
        self.shutdown_write();
        assert!(
            self.read_to_end().is_empty(),
            "the router sent data after the disconnect"
        );
    }

    /// Shuts down the sending direction of the connection, and leaves the other one open.
    pub fn shutdown_write(&self) {
        self.stream
            .shutdown(Shutdown::Write)
            .expect("failed to shut down the connection");
    }

    /// Reads until the connection is closed, and returns all bytes.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let _ = self.reader.read_to_end(&mut bytes);
        bytes
    }
}
