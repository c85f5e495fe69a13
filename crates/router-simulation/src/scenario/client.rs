//! The scripted clients of a scenario, which send bytes at exact times and record what they
//! receive.

use super::{LATENCY, Scenario};
use crate::executor::Time;
use crate::fault_plan::{CLASSES, MILLI};
use crate::wire::{read_command, write_command};
use router_runtime::environment::Environment;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The bytes that a client received in one read.
#[derive(Clone, Debug)]
pub struct ReceivedChunk {
    /// When they were received, in microseconds of virtual time.
    pub at: Time,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Everything that a client has received so far.
pub type ReceivedChunks = Rc<RefCell<Vec<ReceivedChunk>>>;

/// A request in its wire encoding.
#[derive(Clone, Debug)]
pub struct EncodedRequest {
    /// The encoded command.
    pub bytes: Vec<u8>,
    /// The request's id.
    pub id: u64,
}

impl Scenario {
    /// Encodes a request with a new id. The client waits `timeout` microseconds for the response.
    pub fn encode_request(&self, class: usize, key: u64, timeout: Time) -> EncodedRequest {
        self.encode_request_of(None, class, key, timeout)
    }

    fn encode_request_of(
        &self,
        tenant: Option<usize>,
        class: usize,
        key: u64,
        timeout: Time,
    ) -> EncodedRequest {
        let id = self.last_request_id.get() + 1;
        self.last_request_id.set(id);
        let tenant = tenant.map_or(String::new(), |tenant| format!(",t=t{tenant}"));
        let class_name = CLASSES[class];
        let timeout_ms = timeout / MILLI;
        let fields = format!("c={class_name}{tenant},d={timeout_ms},k={id:016x}");
        let bytes = match class {
            0 => read_command(key, id, &fields),
            _ => write_command(key, id, &fields, b"v"),
        };
        EncodedRequest { bytes, id }
    }

    /// Starts a client that connects, performs each write at its time, and then reads until the
    /// connection ends or the client disconnects.
    pub fn start_client(
        &self,
        writes: Vec<(Time, Vec<u8>)>,
        disconnect_at: Option<Time>,
    ) -> ReceivedChunks {
        let received = ReceivedChunks::default();
        let sink = received.clone();
        let environment = self.network.environment(self.client);
        let executor = self.executor.clone();
        let address = self.router_address;
        self.executor.spawn(self.client, async move {
            let Ok(mut stream) = environment.connect(address).await else {
                return;
            };
            for (at, bytes) in writes {
                executor.sleep_until(at).await;
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            let mut buffer = vec![0; 65_536];
            let leaves = executor.sleep_until(disconnect_at.unwrap_or(Time::MAX));
            tokio::pin!(leaves);
            loop {
                let count = tokio::select! {
                    biased;
                    read = stream.read(&mut buffer) => read.unwrap_or(0),
                    () = &mut leaves => 0,
                };
                if count == 0 {
                    return;
                }
                let chunk = ReceivedChunk {
                    at: executor.now(),
                    bytes: buffer[..count].to_vec(),
                };
                sink.borrow_mut().push(chunk);
            }
        });
        received
    }

    /// Starts a client that writes at one time and disconnects at another without reading.
    pub fn start_non_reading_client(&self, at: Time, bytes: Vec<u8>, until: Time) {
        let environment = self.network.environment(self.client);
        let executor = self.executor.clone();
        let address = self.router_address;
        self.executor.spawn(self.client, async move {
            let Ok(mut stream) = environment.connect(address).await else {
                return;
            };
            executor.sleep_until(at).await;
            // The write does not block, because it fits into the receive window.
            let _ = stream.write_all(&bytes).await;
            executor.sleep_until(until).await;
        });
    }

    /// Starts a client whose request arrives completely at the router's machine at this time.
    pub fn send_request_at(
        &self,
        at: Time,
        class: usize,
        key: u64,
        timeout: Time,
    ) -> ReceivedChunks {
        let bytes = self.encode_request(class, key, timeout).bytes;
        self.start_client(vec![(at - LATENCY, bytes)], None)
    }

    /// Starts a client like [`Scenario::send_request_at`] that sends a read on behalf of a tenant.
    pub fn send_request_as_tenant(
        &self,
        tenant: usize,
        at: Time,
        key: u64,
        timeout: Time,
    ) -> ReceivedChunks {
        let request = self.encode_request_of(Some(tenant), 0, key, timeout);
        self.start_client(vec![(at - LATENCY, request.bytes)], None)
    }
}
