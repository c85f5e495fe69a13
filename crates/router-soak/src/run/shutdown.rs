//! How a run shuts the router down.

use super::{KILL_GRACE, KILL_MARGIN, Run, RunningProcess, TAKEOVER_LEAD};
use crate::plan::Ending;
use std::time::{Duration, Instant};

/// Time after SIGTERM during which clients still open connections.
const CONNECT_TIME_AFTER_TERM: Duration = Duration::from_millis(400);
/// Time after which a successor that is to be killed is killed.
const SUCCESSOR_LIFETIME: Duration = Duration::from_millis(250);

impl Run {
    /// Shuts the router down as planned, and kills it once its time is over.
    pub(super) async fn shut_down(&self) {
        match self.plan.ending {
            Ending::TermInTakeover => {
                self.start_process().await;
                self.processes.borrow()[0].process.terminate();
            }
            Ending::SuccessorKilled => {
                self.start_process().await;
                tokio::time::sleep(SUCCESSOR_LIFETIME).await;
                self.recorder.process_killed(KILL_GRACE);
                let successor = self.processes.borrow_mut().pop();
                drop(successor);
            }
            _ => {}
        }
        tokio::time::sleep(TAKEOVER_LEAD).await;
        self.send_shutdown_signals();
        let terminated_at = Instant::now();
        self.clients
            .connect_until
            .set(Some(terminated_at + CONNECT_TIME_AFTER_TERM));
        let longest = Duration::from_millis(self.plan.longest_deadline_ms());
        tokio::time::sleep_until((terminated_at + longest + KILL_MARGIN).into()).await;
        self.processes.borrow_mut().clear();
        self.ending.borrow_mut().clear();
        // Gives clients time to notice the connections that the kill closed.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    fn send_shutdown_signals(&self) {
        let processes = self.processes.borrow();
        let Some(RunningProcess { process, .. }) = processes.last() else {
            return;
        };
        let configuration = self.configuration.to_string();
        match self.plan.ending {
            Ending::HupHupTerm => {
                process.reload(&configuration);
                process.reload(&configuration);
                process.terminate();
            }
            Ending::TermTerm => {
                process.terminate();
                process.terminate();
            }
            Ending::HupWithTerm => {
                process.terminate();
                process.reload(&configuration);
            }
            Ending::Term | Ending::TermInTakeover | Ending::SuccessorKilled => process.terminate(),
        }
    }
}
