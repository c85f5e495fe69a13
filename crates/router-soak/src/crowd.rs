//! A crowd of clients that make the router hold as much as they can: they stop within long writes or
//! within the head of a command, or write slowly. None of their commands is ever complete, so that no server
//! gets one; the crowd is judged by the router's memory and by the other clients.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

/// More than a slow client writes during a run.
const WRITE_BYTES: usize = 4 << 20;
const PIECE_BYTES: usize = 8_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(10);
/// Less than the head of a write.
const HEAD_BYTES: usize = 40;

/// What a client of the crowd does; client by client in this order.
#[derive(Clone, Copy)]
enum Behavior {
    /// Writes half of a long write and stops.
    Stops,
    /// Writes a long write slowly.
    WritesSlowly,
    /// Writes a part of the head of a write and stops.
    StopsInHead,
}

const BEHAVIORS: [Behavior; 3] = [
    Behavior::Stops,
    Behavior::WritesSlowly,
    Behavior::StopsInHead,
];

/// A crowd, which leaves on drop.
pub(crate) struct Crowd(Vec<AbortHandle>);

impl Drop for Crowd {
    fn drop(&mut self) {
        for client in &self.0 {
            client.abort();
        }
    }
}

/// Starts a crowd of this many clients, which come one after another. Each task ends with the crowd, or
/// when the router closes its connection.
pub(crate) fn start_crowd(router: SocketAddr, clients: usize) -> Crowd {
    let client = |number: usize| {
        let behavior = BEHAVIORS[number % BEHAVIORS.len()];
        let task = spawn_local(async move {
            sleep(ARRIVAL_INTERVAL * number as u32).await;
            // The router may refuse or close the connection.
            let _ = run_client(router, behavior, number).await;
        });
        task.abort_handle()
    };
    Crowd((0..clients).map(client).collect())
}

async fn run_client(router: SocketAddr, behavior: Behavior, number: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(router).await?;
    let command = write_command(number);
    match behavior {
        Behavior::Stops => stream.write_all(&command[..WRITE_BYTES / 2]).await?,
        Behavior::StopsInHead => stream.write_all(&command[..HEAD_BYTES]).await?,
        Behavior::WritesSlowly => {
            for piece in command.chunks(PIECE_BYTES) {
                stream.write_all(piece).await?;
                sleep(PIECE_INTERVAL).await;
            }
        }
    }
    std::future::pending().await
}

fn write_command(number: usize) -> Vec<u8> {
    let id = format!("crowd{number}");
    let mut command = format!(
        "*5\r\n$5\r\nC.SET\r\n$16\r\n{number:016x}\r\n${}\r\n{id}\r\n$5\r\nc=put\r\n${WRITE_BYTES}\r\n",
        id.len()
    )
    .into_bytes();
    command.resize(command.len() + WRITE_BYTES, b'w');
    command
}
