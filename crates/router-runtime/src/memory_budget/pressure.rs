//! Counts of what waits, or is given up, for lack of memory.

use std::cell::Cell;

/// Something that happens for lack of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureEvent {
    /// A long write is not read on.
    WritePaused,
    /// The value of a write is given up; the write is rejected.
    WriteDiscarded,
    /// An answer is not read whole: it waits, or is passed on as it arrives.
    AnswerPaused,
    /// A pipelined command is not read yet.
    CommandPaused,
}

/// The events in the order of their counts, with their names in the log and in metrics.
pub const PRESSURE_EVENTS: [(PressureEvent, &str); 4] = [
    (PressureEvent::WritePaused, "writes_paused"),
    (PressureEvent::WriteDiscarded, "writes_discarded"),
    (PressureEvent::AnswerPaused, "answers_paused"),
    (PressureEvent::CommandPaused, "commands_paused"),
];

/// Counts since the start of the process, in the order of [`PRESSURE_EVENTS`].
pub type PressureCounts = [u64; PRESSURE_EVENTS.len()];

/// Counts events for lack of memory.
#[derive(Debug, Default)]
pub struct MemoryPressure(Cell<PressureCounts>);

impl MemoryPressure {
    /// Counts an event.
    pub fn record(&self, event: PressureEvent) {
        let mut counts = self.0.get();
        if let Some(place) = PRESSURE_EVENTS
            .iter()
            .position(|(known, _)| *known == event)
        {
            counts[place] += 1;
        }
        self.0.set(counts);
    }

    /// The counts so far.
    pub fn counts(&self) -> PressureCounts {
        self.0.get()
    }
}
