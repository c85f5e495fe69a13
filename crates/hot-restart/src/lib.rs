//! Hot restart: replaces a router process by a new one without interrupting service.
//!
//! [`message`] defines the messages and their encoding, without I/O. [`channel`] carries messages
//! and file descriptors over a Unix socket. [`rendezvous`] is the socket at which a new process
//! finds the one that serves. [`memory_ledger`] tells each
//! process what memory the others use. [`store`] keeps the admin overrides on disk. [`inherited_listener()`]
//! opens the listening socket that the process has inherited from the platform.

pub mod channel;
mod inherited_listener;
pub mod memory_ledger;
pub mod message;
pub mod rendezvous;
pub mod store;
mod unread;

pub use inherited_listener::{InheritError, inherited_listener};
pub use unread::Unread;

/// Maximum number of bytes of a router's name in its file names; a file name has at most 255 bytes.
const MAX_NAME_BYTES: usize = 60;

/// The name of a router's state file or rendezvous socket. Bytes other than ASCII letters, digits
/// and dashes are written in hexadecimal, so that the name contains no path separator.
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
