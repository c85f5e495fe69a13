//! Logs what is held in memory while anything waits or is given up for lack of it.

use super::RouterRuntime;
use crate::environment::Environment;
use crate::memory_budget::{MemoryReport, PRESSURE_EVENTS, PressureCounts};
use std::fmt;
use std::time::Duration;

/// At most one line is written per interval.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A line of the log.
struct MemoryLine {
    report: MemoryReport,
    /// The counts of the line before.
    before: PressureCounts,
    connections: usize,
}

impl fmt::Display for MemoryLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("memory is short:")?;
        for held in self.report.held() {
            let (name, bytes, limit) = (held.name, held.bytes, held.limit_bytes);
            write!(formatter, " {name} {bytes} of {limit} bytes,")?;
        }
        write!(
            formatter,
            " {} clients; since the last line",
            self.connections
        )?;
        let counts = self.report.pressure.iter().zip(self.before);
        for ((_, name), (now, before)) in PRESSURE_EVENTS.iter().zip(counts) {
            write!(formatter, " {name}={}", now - before)?;
        }
        Ok(())
    }
}

impl<E: Environment> RouterRuntime<E> {
    /// Logs what is held whenever something has waited or was given up for lack of memory. Runs
    /// until the process ends.
    pub(super) fn log_memory_pressure(&self) -> impl Future<Output = ()> + 'static {
        let environment = self.environment.clone();
        let memory = self.memory.clone();
        let clients = self.clients.clone();
        async move {
            let mut before = PressureCounts::default();
            loop {
                environment.sleep(LOG_INTERVAL).await;
                let report = memory.report();
                if report.pressure == before {
                    continue;
                }
                let after = report.pressure;
                let connections = clients.count();
                let line = MemoryLine {
                    report,
                    before,
                    connections,
                };
                environment.log(format_args!("{line}"));
                before = after;
            }
        }
    }
}
