//! The environment of a process on a simulated machine: its sockets, clock and tasks.

use super::Network;
use super::datagram::SimulatedDatagramSocket;
use super::listener::SimulatedListener;
use super::stream::SimulatedStream;
use super::system_calls::SystemCall;
use crate::UNIX_START;
use crate::executor::{Node, Time};
use load_balancer::WallTime;
use router_runtime::environment::Environment;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The sockets, clock and tasks of the process on one machine.
#[derive(Clone)]
pub struct SimulatedEnvironment {
    pub(super) network: Network,
    pub(super) node: Node,
}

impl Environment for SimulatedEnvironment {
    type Stream = SimulatedStream;
    type Listener = SimulatedListener;
    type DatagramSocket = SimulatedDatagramSocket;

    fn now(&self) -> Instant {
        self.network.epoch + Duration::from_micros(self.network.executor.now())
    }

    fn wall_now(&self) -> WallTime {
        let offset = self
            .network
            .with_machine(self.node, |machine| machine.clock_offset);
        let time = UNIX_START + self.network.executor.now();
        WallTime::from_unix_micros(time.saturating_add_signed(offset))
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        let time = at.saturating_duration_since(self.network.epoch);
        // The clock counts whole microseconds. Rounding up keeps the timer from firing early.
        let microseconds = time.as_nanos().div_ceil(1_000) as Time;
        self.network.executor.sleep_until(microseconds)
    }

    /// Spawns a task that belongs to the machine's process and ends with it.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.network.executor.spawn(self.node, task);
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<SimulatedStream> {
        self.network
            .check_system_call(self.node, SystemCall::Connect)?;
        self.network.open_stream(self.node, to).await
    }

    fn accept(
        &self,
        listener: &SimulatedListener,
    ) -> impl Future<Output = io::Result<SimulatedStream>> {
        listener.accept()
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<SimulatedDatagramSocket> {
        SimulatedDatagramSocket::bind(&self.network, self.node, at)
    }

    fn log(&self, _line: fmt::Arguments<'_>) {}
}
