//! Hot restart: a router process is replaced by another one without a gap.
//!
//! [`message`] defines the messages and their bytes, without I/O; [`channel`] carries messages and descriptors over a
//! Unix socket; [`rendezvous`] is where a new process finds the one that serves; [`store`] keeps the operators'
//! overrides on disk; [`inherited_listener`] takes the listening socket that the platform holds.

pub mod channel;
mod inherited_listener;
pub mod message;
pub mod rendezvous;
pub mod store;

pub use inherited_listener::{InheritError, inherited_listener};

/// Bytes of a router's name that its files' names show; a file name has at most 255 bytes.
const MAX_NAME_BYTES: usize = 60;

/// The name of a router's state file or rendezvous socket. Bytes other than ASCII letters, digits and dashes are written as hex numbers, so that
/// the name contains no path separator.
fn router_file_name(router: &str, extension: &str) -> String {
    let mut name = String::from("asterport-");
    for byte in router.bytes().take(MAX_NAME_BYTES) {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => name.push(char::from(byte)),
            _ => name.push_str(&format!("_{byte:02x}")),
        }
    }
    format!("{name}.{extension}")
}
