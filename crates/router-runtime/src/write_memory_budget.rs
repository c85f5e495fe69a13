//! Memory for commands whose values are long: one budget for all of them, counted by the bytes that have arrived.
//!
//! Guards against more values under way than memory holds, and against commands that hold it half-read while none can
//! go on: past the budget only the command that began first is read on, up to one value more, so that one always ends. Hurts those behind a
//! slow client while the budget is used up: they wait for it, or for an answer that gives room back.

use crate::resp::MAX_VALUE;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::Notify;

/// The budget's share of what memory holds beyond [`BASE`].
const SHARE: usize = 3;
/// What the process needs besides, its connections' buffers included.
const BASE: usize = 16 * 1024 * 1024;
/// However little memory there is: two of the longest values.
const LEAST: usize = 8 * 1024 * 1024;

/// The budget.
#[derive(Debug)]
pub struct LargeCommands {
    most: usize,
    used: Cell<usize>,
    last: Cell<u64>,
    /// Those that are not whole yet, in the order in which they began.
    reading: RefCell<BTreeSet<u64>>,
    freed: Notify,
}

/// The room of one command, given back with its end.
#[derive(Debug)]
pub struct Large {
    of: Rc<LargeCommands>,
    number: u64,
    bytes: usize,
}

impl LargeCommands {
    /// The budget of a process that may use this much memory.
    pub fn of_memory(bytes: usize) -> Rc<LargeCommands> {
        LargeCommands::new((bytes.saturating_sub(BASE) / SHARE).max(LEAST))
    }

    fn new(most: usize) -> Rc<LargeCommands> {
        Rc::new(LargeCommands {
            most,
            used: Cell::new(0),
            last: Cell::new(0),
            reading: RefCell::default(),
            freed: Notify::new(),
        })
    }

    /// A command begins of which so much has arrived.
    pub fn begin(self: &Rc<Self>, bytes: usize) -> Large {
        let number = self.last.get() + 1;
        self.last.set(number);
        self.reading.borrow_mut().insert(number);
        let mut large = Large {
            of: self.clone(),
            number,
            bytes: 0,
        };
        large.arrived(bytes);
        large
    }

    /// Room has been given back, or another may be the first.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

impl Large {
    /// Whether more of this command may be read.
    pub fn may_read(&self) -> bool {
        let (used, most) = (self.of.used.get(), self.of.most);
        // What is whole is answered in time and gives its room back: the first need not go past it.
        used < most
            || used < most + MAX_VALUE && self.of.reading.borrow().first() == Some(&self.number)
    }

    /// More of it has arrived.
    pub fn arrived(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.of.used.set(self.of.used.get() + bytes);
    }

    /// It is whole: its memory stays in use until it is dropped.
    pub fn whole(&self) {
        self.of.reading.borrow_mut().remove(&self.number);
        self.of.freed.notify_waiters();
    }
}

impl Drop for Large {
    fn drop(&mut self) {
        self.of.used.set(self.of.used.get() - self.bytes);
        self.whole();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn past_the_budget_the_first_that_began_is_read_on_and_no_other() {
        let budget = LargeCommands::new(100);
        let (mut first, mut second) = (budget.begin(40), budget.begin(40));
        assert!(first.may_read() && second.may_read());
        second.arrived(30);
        assert!(first.may_read() && !second.may_read());
        first.arrived(MAX_VALUE - 100);
        assert!(first.may_read());
        first.arrived(100);
        first.whole();
        assert!(
            !second.may_read(),
            "it is the first now, and one more value is held already"
        );
        drop(first);
        assert!(second.may_read());
        assert_eq!(budget.used.get(), 70);
    }

    #[test]
    fn what_ends_in_any_way_gives_its_room_back() {
        let budget = LargeCommands::new(100);
        let (first, second) = (budget.begin(150), budget.begin(1));
        assert!(!second.may_read());
        drop(first);
        assert!(second.may_read());
        drop(second);
        assert_eq!((budget.used.get(), budget.reading.borrow().len()), (0, 0));
    }

    #[test]
    fn a_small_machine_holds_two_of_the_longest_values() {
        assert_eq!(LargeCommands::of_memory(0).most, LEAST);
        assert_eq!(LargeCommands::of_memory(192 << 20).most, (176 << 20) / 3);
    }
}
