//! Virtual time: one thread that runs the tasks of all simulated processes, in an order drawn from the seed.
//!
//! Time stands still while a task runs and jumps to the next timer when none can. What falls due at one instant is
//! taken in a drawn order, so that an answer and a time-out in one microsecond meet in both orders.

use crate::rng::SeededRng;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};

/// So many runs of tasks at one instant are a loop that never ends: runs have some hundred.
const MAX_POLLS_PER_INSTANT: u64 = 200_000;

/// Microseconds since the start of the run.
pub type Time = u64;

/// A simulated process or machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node(pub u32);

type BoxedTask = Pin<Box<dyn Future<Output = ()>>>;

struct Task {
    node: Node,
    /// Taken while it runs.
    future: Option<BoxedTask>,
    task_waker: Arc<TaskWaker>,
}

/// Puts its task among those that can run.
struct TaskWaker {
    slot: usize,
    generation: u64,
    is_set: AtomicBool,
    ready: Ready,
}

type Ready = Arc<Mutex<Vec<(usize, u64)>>>;

impl Wake for TaskWaker {
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

enum TimerAction {
    Wake(Rc<Sleeper>),
    CacheRequest(Box<dyn FnOnce()>),
}

struct Timer {
    at: Time,
    sequence: u64,
    due: TimerAction,
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

struct ExecutorState {
    now: Cell<Time>,
    tasks: RefCell<Vec<Option<Task>>>,
    free: RefCell<Vec<usize>>,
    generation: Cell<u64>,
    ready: Ready,
    timers: RefCell<BinaryHeap<Reverse<Timer>>>,
    last_timer_sequence: Cell<u64>,
    rng: RefCell<SeededRng>,
    polls: Cell<u64>,
    has_ended: Cell<bool>,
}

/// The tasks and the clock of one world.
#[derive(Clone)]
pub struct Executor(Rc<ExecutorState>);

impl Executor {
    /// A world at time 0 without tasks.
    pub fn new(rng: SeededRng) -> Executor {
        Executor(Rc::new(ExecutorState {
            now: Cell::new(0),
            tasks: RefCell::default(),
            free: RefCell::default(),
            generation: Cell::new(0),
            ready: Ready::default(),
            timers: RefCell::default(),
            last_timer_sequence: Cell::new(0),
            rng: RefCell::new(rng),
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
    pub fn spawn(&self, node: Node, future: impl Future<Output = ()> + 'static) {
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
        let task_waker = Arc::new(TaskWaker {
            slot,
            generation,
            is_set: AtomicBool::new(false),
            ready,
        });
        task_waker.wake_by_ref();
        tasks[slot] = Some(Task {
            node,
            future: Some(Box::pin(future)),
            task_waker,
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
        self.timer(at, TimerAction::CacheRequest(Box::new(call)));
    }

    fn timer(&self, at: Time, due: TimerAction) {
        if self.0.has_ended.get() {
            return;
        }
        let sequence = self.0.last_timer_sequence.get() + 1;
        self.0.last_timer_sequence.set(sequence);
        self.0.timers.borrow_mut().push(Reverse(Timer {
            at: at.max(self.now()),
            sequence,
            due,
        }));
    }

    /// Returns at this time.
    pub fn sleep_until(&self, at: Time) -> Sleep {
        Sleep {
            executor: self.clone(),
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
                if self.polls() - before > MAX_POLLS_PER_INSTANT {
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
                    TimerAction::CacheRequest(call) => call(),
                    TimerAction::Wake(sleeper) => {
                        sleeper.is_due.set(true);
                        let waker = sleeper.waker.borrow_mut().take();
                        waker.into_iter().for_each(Waker::wake);
                    }
                }
            }
        }
    }

    /// What falls due at this time, in a drawn order.
    fn due(&self, at: Time) -> Vec<TimerAction> {
        let mut timers = self.0.timers.borrow_mut();
        let mut due = Vec::new();
        while timers.peek().is_some_and(|timer| timer.0.at == at) {
            due.extend(timers.pop().map(|timer| timer.0.due));
        }
        let mut rng = self.0.rng.borrow_mut();
        for place in (1..due.len()).rev() {
            due.swap(place, rng.index(place + 1));
        }
        due
    }

    fn pick(&self) -> Option<(usize, u64)> {
        let mut ready = self.0.ready.lock().unwrap_or_else(PoisonError::into_inner);
        match ready.len() {
            0 => None,
            1 => ready.pop(),
            count => Some(ready.swap_remove(self.0.rng.borrow_mut().index(count))),
        }
    }

    fn poll(&self, slot: usize, generation: u64) {
        let (mut future, task_waker) = {
            let mut tasks = self.0.tasks.borrow_mut();
            let Some(Some(task)) = tasks.get_mut(slot) else {
                return;
            };
            if task.task_waker.generation != generation {
                return;
            }
            let Some(future) = task.future.take() else {
                return;
            };
            (future, task.task_waker.clone())
        };
        task_waker.is_set.store(false, Ordering::Relaxed);
        self.0.polls.set(self.0.polls.get() + 1);
        let waker = Waker::from(task_waker);
        let done = future
            .as_mut()
            .poll(&mut Context::from_waker(&waker))
            .is_ready();
        let mut tasks = self.0.tasks.borrow_mut();
        let place = tasks.get_mut(slot);
        let same = |place: &&mut Option<Task>| {
            place
                .as_ref()
                .is_some_and(|task| task.task_waker.generation == generation)
        };
        match place.filter(same) {
            Some(place) if done => {
                *place = None;
                self.0.free.borrow_mut().push(slot);
            }
            Some(Some(task)) => {
                task.future = Some(future);
                return;
            }
            _ => {}
        }
        drop(tasks);
        // What it held is let go of with no list borrowed: that may wake or start others.
        drop(future);
    }
}

/// Waits for a time.
pub struct Sleep {
    executor: Executor,
    at: Time,
    sleeper: Option<Rc<Sleeper>>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.executor.now() >= self.at && self.sleeper.is_none() {
            return Poll::Ready(());
        }
        if self.sleeper.is_none() {
            let sleeper = Rc::new(Sleeper::default());
            self.executor
                .timer(self.at, TimerAction::Wake(sleeper.clone()));
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
