//! Handles the commands of clients: reads and writes are submitted to the request stages, others
//! are answered directly.

use super::client::Client;
use super::connections::ClientConnections;
use super::memory_wait::CompletedWait;
use super::responses::{AwaitedResponse, PendingResponse, RequestRecord};
use crate::clock::to_micros;
use crate::environment::Environment;
use crate::memory_budget::RequestCharge;
use crate::request::{ClientRequest, SubmittedRequest};
use crate::resp::{Command, CommandError, CommandFrame};
use bytes::Bytes;
use load_balancer::{Class, ClassId, Idempotency, Micros, TenantId};
use md5::{Digest, Md5};
use std::rc::Rc;

/// The number of unknown commands at which a connection is closed. Client libraries send some when
/// they connect.
const MAX_UNKNOWN_COMMANDS: u32 = 8;

/// The length of a key that is a hexadecimal number, in digits.
const HEX_KEY_LENGTH: usize = 16;

/// Why a command is not a valid request. The text is sent to the client after `ERR`.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    /// The command is malformed.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// The settings do not define its class.
    #[error("unknown class")]
    UnknownClass,
    /// Its class is keyed, and it has no idempotency key.
    #[error("a keyed class wants k")]
    NoIdempotencyKey,
    /// A request with the same id is pending.
    #[error("a request of this id is open")]
    DuplicateId,
}

impl<E: Environment> ClientConnections<E> {
    /// Handles a complete command; returns its response, or where it will arrive.
    pub(super) fn handle_command(
        &self,
        frame: CommandFrame,
        client: &Rc<Client>,
        wait: CompletedWait,
        charge: &Rc<RequestCharge>,
    ) -> PendingResponse {
        if let Some(memory) = &wait.memory {
            memory.complete();
        }
        match &frame.arguments[0].to_ascii_uppercase()[..] {
            b"C.GET" | b"C.SET" => match self.submit(frame, client, wait, charge) {
                Ok(awaited) => PendingResponse::Awaited(awaited),
                // The connection stays open: the client may be resending what it lost with another
                // connection.
                Err(error @ RequestError::DuplicateId) => {
                    PendingResponse::Ready(error_line(&format!("ERR {error}")))
                }
                Err(error) => PendingResponse::Last(error_line(&format!("ERR {error}"))),
            },
            b"PING" if self.lifecycle().reports_healthy() => {
                PendingResponse::Ready(Bytes::from_static(b"+PONG\r\n"))
            }
            b"PING" => PendingResponse::Ready(error_line("ERR drained")),
            b"CLIENT" | b"SELECT" => PendingResponse::Ready(Bytes::from_static(b"+OK\r\n")),
            name => {
                client
                    .unknown_commands
                    .set(client.unknown_commands.get() + 1);
                let line = error_line("ERR unknown command");
                if !name.is_empty() && client.unknown_commands.get() < MAX_UNKNOWN_COMMANDS {
                    PendingResponse::Ready(line)
                } else {
                    PendingResponse::Last(line)
                }
            }
        }
    }

    /// Submits a read or a write.
    fn submit(
        &self,
        frame: CommandFrame,
        client: &Rc<Client>,
        wait: CompletedWait,
        charge: &Rc<RequestCharge>,
    ) -> Result<AwaitedResponse, RequestError> {
        let command = Command::new(frame)?.with_memory(wait.memory);
        let mut request = self.client_request(command, client, charge)?;
        let waited_for = to_micros(wait.waited_for);
        request.timeout = match request.command.is_value_discarded() {
            // Never sent, as its time is over.
            true => Micros(0),
            false => Micros(request.timeout.0.saturating_sub(waited_for.0)),
        };
        let class = request.class;
        let submitted = self.config.requests.submit(request);
        let SubmittedRequest { id, response } = submitted.ok_or(RequestError::DuplicateId)?;
        let record = RequestRecord::begin(id, class, self.metrics().clone());
        client.pending_requests.borrow_mut().insert(id);
        Ok(AwaitedResponse { record, response })
    }

    /// Builds the request from a command.
    fn client_request(
        &self,
        command: Command,
        client: &Rc<Client>,
        charge: &Rc<RequestCharge>,
    ) -> Result<ClientRequest, RequestError> {
        let names = &self.config.names;
        let class = command
            .field("c")
            .and_then(|name| name_index(&names.classes, name))
            .ok_or(RequestError::UnknownClass)?;
        let settings = &self.config.classes[class];
        let timeout = request_timeout(settings, command.number("d").transpose()?);
        let is_keyed = matches!(settings.idempotency, Idempotency::Keyed { .. });
        if is_keyed && command.field("k").is_none() {
            return Err(RequestError::NoIdempotencyKey);
        }
        let cost_hint = command.number("h").transpose()?.map(Micros);
        Ok(ClientRequest {
            class: ClassId(class),
            tenant: command
                .field("t")
                .and_then(|name| name_index(&names.tenants, name))
                .map(TenantId),
            key: ring_key(command.key()),
            timeout,
            cost_hint,
            retry: command.field("r") == Some("1"),
            command,
            connection: client.clone(),
            must_run_once: settings.idempotency != Idempotency::Idempotent,
            charge: charge.clone(),
        })
    }
}

/// How long the client waits for a request of this class. Without a `d` field, in milliseconds, or
/// with more than the class allows, the deadline of the class applies. A client with less than a
/// millisecond left sends 0, which is not an error, as its connection carries further requests.
pub(super) fn request_timeout(class: &Class, millis: Option<u64>) -> Micros {
    millis.map_or(class.deadline, |millis| {
        Micros::from_millis(millis).min(class.deadline)
    })
}

/// An error reply to the client; the text begins with its kind, such as `ERR`.
pub(super) fn error_line(text: &str) -> Bytes {
    Bytes::from(format!("-{text}\r\n"))
}

/// The index of a name in the settings.
pub(super) fn name_index(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The position of a key on the ring: the key itself as a hexadecimal number, or the last 8 bytes
/// of its MD5 digest. It is the same at every router.
fn ring_key(key: &[u8]) -> u64 {
    let digits = std::str::from_utf8(key)
        .ok()
        .filter(|text| text.len() == HEX_KEY_LENGTH);
    digits
        .and_then(|text| u64::from_str_radix(text, 16).ok())
        .unwrap_or_else(|| u128::from_be_bytes(Md5::digest(key).into()) as u64)
}
