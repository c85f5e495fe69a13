//! The steps on the wire: their number, their digest and, if recorded, their text.

use crate::executor::Time;
use std::collections::BTreeSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// The number of steps of a request that a violation includes.
const SHOWN_STEP_COUNT: usize = 50;

/// The kind of a step. Its number enters the digest.
#[derive(Clone, Copy)]
pub(super) enum StepKind {
    RouterStarted = 1,
    RouterEnded = 2,
    ServerStarted = 3,
    EndpointAnnounced = 4,
    Opened = 10,
    WrittenByInitiator = 11,
    WrittenByAcceptor = 12,
    DeliveredFromInitiator = 13,
    DeliveredFromAcceptor = 14,
    ClosedByInitiator = 15,
    ClosedByAcceptor = 16,
    CloseOfInitiatorDelivered = 17,
    CloseOfAcceptorDelivered = 18,
    DescriptorLimitReached = 19,
}

/// One recorded step.
struct Step {
    time: Time,
    connection: u32,
    request: Option<u64>,
    text: String,
}

impl Step {
    fn line(&self, number: u64) -> String {
        let request = self
            .request
            .map_or(String::new(), |id| format!(" {id:016x}"));
        format!(
            "{number:>6} {:>10} us conn {:<4}{request} {}",
            self.time, self.connection, self.text
        )
    }
}

/// All steps of a run.
pub(super) struct Trace {
    step_count: u64,
    digest: DefaultHasher,
    recorded: Vec<Step>,
    is_recording: bool,
}

impl Trace {
    pub(super) fn new(is_recording: bool) -> Trace {
        Trace {
            step_count: 0,
            digest: DefaultHasher::new(),
            recorded: Vec::new(),
            is_recording,
        }
    }

    pub(super) fn step_count(&self) -> u64 {
        self.step_count
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest.finish()
    }

    /// Counts a step and adds it to the digest.
    pub(super) fn advance(&mut self, time: Time, connection: u32, kind: StepKind, bytes: &[u8]) {
        self.step_count += 1;
        (time, connection, kind as u8).hash(&mut self.digest);
        self.digest.write(bytes);
    }

    /// Records a text, which is only made if the trace is recorded.
    pub(super) fn note(
        &mut self,
        time: Time,
        connection: u32,
        request: Option<u64>,
        text: impl FnOnce() -> String,
    ) {
        if self.is_recording {
            self.recorded.push(Step {
                time,
                connection,
                request,
                text: text(),
            });
        }
    }

    /// Returns all recorded lines.
    pub(super) fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.numbered().map(|(number, step)| step.line(number))
    }

    /// Returns the last lines of a request on these connections, or of all requests if `request` is
    /// `None`.
    pub(super) fn last_lines(
        &self,
        request: Option<u64>,
        connections: &BTreeSet<u32>,
    ) -> Vec<String> {
        let touches = |step: &Step| {
            request.is_none()
                || step.request == request
                || (step.request.is_none() && connections.contains(&step.connection))
        };
        let mut lines: Vec<String> = self
            .numbered()
            .rev()
            .filter(|(_, step)| touches(step))
            .take(SHOWN_STEP_COUNT)
            .map(|(number, step)| step.line(number))
            .collect();
        lines.reverse();
        lines
    }

    fn numbered(&self) -> impl DoubleEndedIterator<Item = (u64, &Step)> {
        let numbered = self.recorded.iter().enumerate();
        numbered.map(|(index, step)| (index as u64 + 1, step))
    }
}
