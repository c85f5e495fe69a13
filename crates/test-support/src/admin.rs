//! HTTP/1.1 client for a router's admin API.

use crate::wait::MAX_WAIT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A response. Status 0 and an empty body stand for a connection that was closed without one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: String,
}

/// Sends raw bytes and reads the response until the connection is closed.
pub fn http_request_raw(addr: SocketAddr, request: &[u8]) -> HttpResponse {
    let mut stream = TcpStream::connect(addr).expect("failed to connect");
    stream
        .set_read_timeout(Some(MAX_WAIT))
        .expect("failed to set the read timeout");
    // The server may answer after the head of a request and close before the rest is written.
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response).into_owned();
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or_default();
    let status = head.split(' ').nth(1);
    HttpResponse {
        status: status.and_then(|code| code.parse().ok()).unwrap_or(0),
        body: body.to_string(),
    }
}

/// Sends a request with this body, which may be empty.
pub fn http_request(addr: SocketAddr, method: &str, path: &str, body: &str) -> HttpResponse {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    http_request_raw(addr, request.as_bytes())
}
