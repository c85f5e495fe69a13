//! Encoding of the endpoint list as JSON lines in HTTP/1.1 chunks (PROTOCOL, "Discovery").

use std::net::SocketAddr;

/// The head of the HTTP response to a watch.
pub const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// An entry of the endpoint list.
pub struct ListEntry<'a> {
    /// The server's name.
    pub name: &'a str,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The number of the server's zone.
    pub zone: usize,
    /// `up`, `draining` or `removed`.
    pub health: &'a str,
    /// When the server's process started, in Unix milliseconds; 0 if it started long ago.
    pub born_ms: u64,
}

impl ListEntry<'_> {
    /// The entry as JSON.
    #[must_use]
    pub fn json(&self) -> String {
        let ListEntry {
            name,
            address,
            zone,
            health,
            born_ms,
        } = self;
        format!(
            r#"{{"host":"{name}","dial":"{address}","site":"z{zone}","class":"m","block":1,"health":"{health}","share":1.0,"born_ms":{born_ms}}}"#
        )
    }
}

/// A snapshot or delta of the list as JSON, without a trailing newline.
pub fn list_json(version: u64, is_snapshot: bool, entries: &[String]) -> String {
    let hosts = entries.join(",");
    format!(r#"{{"seq":{version},"whole":{is_snapshot},"hosts":[{hosts}]}}"#)
}

/// Encodes a line as a chunk of the response. An empty line is a heartbeat.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
