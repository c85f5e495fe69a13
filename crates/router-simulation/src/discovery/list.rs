//! The endpoint list as discovery writes it: JSON lines in chunks of HTTP/1.1 (PROTOCOL, "Discovery").

use std::net::SocketAddr;

/// The head of an answer to a watch.
pub(crate) const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A server as the list has it.
pub(crate) struct ListEntry<'a> {
    pub(crate) name: &'a str,
    pub(crate) address: SocketAddr,
    pub(crate) zone: usize,
    /// `up`, `draining` or `removed`.
    pub(crate) health: &'a str,
    /// The start of its process, Unix time in milliseconds; 0 for long ago.
    pub(crate) born_ms: u64,
}

impl ListEntry<'_> {
    /// The entry as JSON.
    pub(crate) fn json(&self) -> String {
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

/// A whole list, or the changes to one, without the line's end.
pub(crate) fn list_json(version: u64, is_snapshot: bool, entries: &[String]) -> String {
    let hosts = entries.join(",");
    format!(r#"{{"seq":{version},"whole":{is_snapshot},"hosts":[{hosts}]}}"#)
}

/// A line as a chunk of the answer. An empty line is a heartbeat.
pub(crate) fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
