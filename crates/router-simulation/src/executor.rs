//! Virtual time: one thread that runs the tasks of all simulated processes, in an order drawn from the seed.
//!
//! Time stands still while a task runs and jumps to the next timer when none can. What falls due at one instant is
//! taken in a drawn order, so that an answer and a time-out in one microsecond meet in both orders.

use crate::rng::Dice;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};

/// So many runs of tasks at one instant are a loop that never ends: days have some hundred.
const ENDLESS: u64 = 200_000;

/// Microseconds since the start of the day.
pub type Time = u64;

/// A simulated process or machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node(pub u32);

type Work = Pin<Box<dyn Future<Output = ()>>>;

struct Task {
    node: Node,
    /// Taken while it runs.
    work: Option<Work>,
    alarm: Arc<Alarm>,
}

/// Puts its task among those that can run.
struct Alarm {
    slot: usize,
    generation: u64,
    is_set: AtomicBool,
    ready: Ready,
}

type Ready = Arc<Mutex<Vec<(usize, u64)>>>;

impl Wake for Alarm {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.is_set.swap(true, Ordering::Relaxed) {
            let mut ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
            ready.push((self.slot, self.generation));
        }
    }
}

/// One that waits for a time, until it is dropped.
#[derive(Default)]
struct Sleeper {
    waker: RefCell<Option<Waker>>,
    is_due: Cell<bool>,
}

enum Due {
    Wake(Rc<Sleeper>),
    Call(Box<dyn FnOnce()>),
}

struct Timer {
    at: Time,
    number: u64,
    due: Due,
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Timer {}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Inner {
    now: Cell<Time>,
    tasks: RefCell<Vec<Option<Task>>>,
    free: RefCell<Vec<usize>>,
    generation: Cell<u64>,
    ready: Ready,
    timers: RefCell<BinaryHeap<Reverse<Timer>>>,
    numbers: Cell<u64>,
    dice: RefCell<Dice>,
    polls: Cell<u64>,
    has_ended: Cell<bool>,
}

/// The tasks and the clock of one world.
#[derive(Clone)]
pub struct Exec(Rc<Inner>);

impl Exec {
    /// A world at time 0 without tasks.
    pub fn new(dice: Dice) -> Exec {
        Exec(Rc::new(Inner {
            now: Cell::new(0),
            tasks: RefCell::default(),
            free: RefCell::default(),
            generation: Cell::new(0),
            ready: Ready::default(),
            timers: RefCell::default(),
            numbers: Cell::new(0),
            dice: RefCell::new(dice),
            polls: Cell::new(0),
            has_ended: Cell::new(false),
        }))
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.0.now.get()
    }

    /// How often a task was run so far.
    pub fn polls(&self) -> u64 {
        self.0.polls.get()
    }

    /// Starts a task of a process.
    pub fn spawn(&self, node: Node, work: impl Future<Output = ()> + 'static) {
        if self.0.has_ended.get() {
            return;
        }
        let generation = self.0.generation.get() + 1;
        self.0.generation.set(generation);
        let mut tasks = self.0.tasks.borrow_mut();
        let slot = self.0.free.borrow_mut().pop().unwrap_or_else(|| {
            tasks.push(None);
            tasks.len() - 1
        });
        let ready = self.0.ready.clone();
        let alarm = Arc::new(Alarm {
            slot,
            generation,
            is_set: AtomicBool::new(false),
            ready,
        });
        alarm.wake_by_ref();
        tasks[slot] = Some(Task {
            node,
            work: Some(Box::pin(work)),
            alarm,
        });
    }

    /// Ends all tasks of a process, wherever they are. Not to be called from one of them.
    pub fn kill(&self, node: Node) {
        let mut ended = Vec::new();
        for (slot, place) in self.0.tasks.borrow_mut().iter_mut().enumerate() {
            if place.as_ref().is_some_and(|task| task.node == node) {
                ended.push(place.take());
                self.0.free.borrow_mut().push(slot);
            }
        }
        // What they held is let go of here, with no list borrowed: that may wake or start others.
        drop(ended);
    }

    /// Ends every task; from here on none is started and no timer set. What tasks let go of would set some more, and
    /// these would keep the world for ever, which they hold and which holds them.
    pub fn end(&self) {
        self.0.has_ended.set(true);
        let tasks = std::mem::take(&mut *self.0.tasks.borrow_mut());
        self.0.free.borrow_mut().clear();
        drop(tasks);
        let timers = std::mem::take(&mut *self.0.timers.borrow_mut());
        drop(timers);
    }

    /// Calls this at a time, or now if that is past.
    pub fn call_at(&self, at: Time, call: impl FnOnce() + 'static) {
        self.timer(at, Due::Call(Box::new(call)));
    }

    fn timer(&self, at: Time, due: Due) {
        if self.0.has_ended.get() {
            return;
        }
        let number = self.0.numbers.get() + 1;
        self.0.numbers.set(number);
        self.0.timers.borrow_mut().push(Reverse(Timer {
            at: at.max(self.now()),
            number,
            due,
        }));
    }

    /// Returns at this time.
    pub fn sleep_until(&self, at: Time) -> Sleep {
        Sleep {
            exec: self.clone(),
            at,
            sleeper: None,
        }
    }

    /// Returns after so long.
    pub fn sleep(&self, time: Time) -> Sleep {
        self.sleep_until(self.now().saturating_add(time))
    }

    /// Runs all that falls due up to this time; false if tasks run without end at one instant, which then is the time.
    pub fn run_until(&self, end: Time) -> bool {
        loop {
            let before = self.polls();
            while let Some((slot, generation)) = self.pick() {
                self.poll(slot, generation);
                if self.polls() - before > ENDLESS {
                    return false;
                }
            }
            let next = self
                .0
                .timers
                .borrow()
                .peek()
                .map(|timer| timer.0.at)
                .filter(|&at| at <= end);
            let Some(at) = next else {
                self.0.now.set(end.max(self.now()));
                return true;
            };
            self.0.now.set(at);
            for due in self.due(at) {
                match due {
                    Due::Call(call) => call(),
                    Due::Wake(sleeper) => {
                        sleeper.is_due.set(true);
                        let waker = sleeper.waker.borrow_mut().take();
                        waker.into_iter().for_each(Waker::wake);
                    }
                }
            }
        }
    }

    /// What falls due at this time, in a drawn order.
    fn due(&self, at: Time) -> Vec<Due> {
        let mut timers = self.0.timers.borrow_mut();
        let mut due = Vec::new();
        while timers.peek().is_some_and(|timer| timer.0.at == at) {
            due.extend(timers.pop().map(|timer| timer.0.due));
        }
        let mut dice = self.0.dice.borrow_mut();
        for place in (1..due.len()).rev() {
            due.swap(place, dice.place(place + 1));
        }
        due
    }

    fn pick(&self) -> Option<(usize, u64)> {
        let mut ready = self.0.ready.lock().unwrap_or_else(PoisonError::into_inner);
        match ready.len() {
            0 => None,
            1 => ready.pop(),
            count => Some(ready.swap_remove(self.0.dice.borrow_mut().place(count))),
        }
    }

    fn poll(&self, slot: usize, generation: u64) {
        let (mut work, alarm) = {
            let mut tasks = self.0.tasks.borrow_mut();
            let Some(Some(task)) = tasks.get_mut(slot) else {
                return;
            };
            if task.alarm.generation != generation {
                return;
            }
            let Some(work) = task.work.take() else { return };
            (work, task.alarm.clone())
        };
        alarm.is_set.store(false, Ordering::Relaxed);
        self.0.polls.set(self.0.polls.get() + 1);
        let waker = Waker::from(alarm);
        let done = work
            .as_mut()
            .poll(&mut Context::from_waker(&waker))
            .is_ready();
        let mut tasks = self.0.tasks.borrow_mut();
        let place = tasks.get_mut(slot);
        let same = |place: &&mut Option<Task>| {
            place
                .as_ref()
                .is_some_and(|task| task.alarm.generation == generation)
        };
        match place.filter(same) {
            Some(place) if done => {
                *place = None;
                self.0.free.borrow_mut().push(slot);
            }
            Some(Some(task)) => {
                task.work = Some(work);
                return;
            }
            _ => {}
        }
        drop(tasks);
        // What it held is let go of with no list borrowed: that may wake or start others.
        drop(work);
    }
}

/// Waits for a time.
pub struct Sleep {
    exec: Exec,
    at: Time,
    sleeper: Option<Rc<Sleeper>>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.exec.now() >= self.at && self.sleeper.is_none() {
            return Poll::Ready(());
        }
        if self.sleeper.is_none() {
            let sleeper = Rc::new(Sleeper::default());
            self.exec.timer(self.at, Due::Wake(sleeper.clone()));
            self.sleeper = Some(sleeper);
        }
        let Some(sleeper) = &self.sleeper else {
            return Poll::Ready(());
        };
        if sleeper.is_due.get() {
            return Poll::Ready(());
        }
        *sleeper.waker.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(sleeper) = &self.sleeper {
            sleeper.waker.borrow_mut().take();
        }
    }
}
