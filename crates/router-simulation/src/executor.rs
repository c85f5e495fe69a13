//! A single-threaded executor on virtual time. It runs the tasks of all simulated processes in an
//! order drawn from the seed.
//!
//! Time stands still while tasks run, and advances to the next timer when no task is ready. Timers
//! that are due at the same time fire in a random order, so that a response and a timeout in the
//! same microsecond occur in both orders.

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

/// The most polls without an advance of the clock. Normal runs need a few hundred; more than this
/// limit means that tasks wake each other endlessly.
const MAX_POLLS_PER_INSTANT: u64 = 200_000;

/// Virtual time in microseconds since the start of the run.
pub type Time = u64;

/// The number of a simulated machine, which identifies the process on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node(pub u32);

type BoxedTask = Pin<Box<dyn Future<Output = ()>>>;

struct Task {
    node: Node,
    /// `None` while the task is polled.
    future: Option<BoxedTask>,
    task_waker: Arc<TaskWaker>,
}

/// The waker of a task, which adds it to the ready queue.
struct TaskWaker {
    task: TaskId,
    /// Whether the task is in the ready queue.
    is_queued: AtomicBool,
    ready: ReadyQueue,
}

/// The slot of a task, and a generation that distinguishes it from other tasks in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TaskId {
    slot: usize,
    generation: u64,
}

/// The tasks that are ready to run. `Waker` has to be `Send` and `Sync`, hence the lock, although
/// everything runs on one thread.
type ReadyQueue = Arc<Mutex<Vec<TaskId>>>;

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.is_queued.swap(true, Ordering::Relaxed) {
            let mut ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
            ready.push(self.task);
        }
    }
}

/// The state that a [`Sleep`] shares with its timer.
#[derive(Default)]
struct SleepState {
    waker: RefCell<Option<Waker>>,
    is_due: Cell<bool>,
}

enum TimerAction {
    Wake(Rc<SleepState>),
    Call(Box<dyn FnOnce()>),
}

impl TimerAction {
    fn run(self) {
        match self {
            TimerAction::Call(call) => call(),
            TimerAction::Wake(state) => {
                state.is_due.set(true);
                let waker = state.waker.borrow_mut().take();
                if let Some(waker) = waker {
                    waker.wake();
                }
            }
        }
    }
}

struct Timer {
    at: Time,
    sequence: u64,
    action: TimerAction,
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
    free_slots: RefCell<Vec<usize>>,
    generation: Cell<u64>,
    ready: ReadyQueue,
    timers: RefCell<BinaryHeap<Reverse<Timer>>>,
    last_timer_sequence: Cell<u64>,
    rng: RefCell<SeededRng>,
    polls: Cell<u64>,
    has_ended: Cell<bool>,
}

/// The tasks and the clock of a run.
#[derive(Clone)]
pub struct Executor(Rc<ExecutorState>);

impl Executor {
    /// An executor at time 0 without tasks.
    pub fn new(rng: SeededRng) -> Executor {
        Executor(Rc::new(ExecutorState {
            now: Cell::new(0),
            tasks: RefCell::default(),
            free_slots: RefCell::default(),
            generation: Cell::new(0),
            ready: ReadyQueue::default(),
            timers: RefCell::default(),
            last_timer_sequence: Cell::new(0),
            rng: RefCell::new(rng),
            polls: Cell::new(0),
            has_ended: Cell::new(false),
        }))
    }

    /// The virtual time.
    pub fn now(&self) -> Time {
        self.0.now.get()
    }

    /// The number of times that tasks have been polled so far.
    pub fn polls(&self) -> u64 {
        self.0.polls.get()
    }

    /// Spawns a task of a process. The task runs until it completes, its node is killed with
    /// [`Executor::kill`], or the executor is stopped with [`Executor::end`].
    pub fn spawn(&self, node: Node, future: impl Future<Output = ()> + 'static) {
        if self.0.has_ended.get() {
            return;
        }
        let generation = self.0.generation.get() + 1;
        self.0.generation.set(generation);
        let mut tasks = self.0.tasks.borrow_mut();
        let slot = self.0.free_slots.borrow_mut().pop().unwrap_or_else(|| {
            tasks.push(None);
            tasks.len() - 1
        });
        let task_waker = Arc::new(TaskWaker {
            task: TaskId { slot, generation },
            is_queued: AtomicBool::new(false),
            ready: self.0.ready.clone(),
        });
        task_waker.wake_by_ref();
        tasks[slot] = Some(Task {
            node,
            future: Some(Box::pin(future)),
            task_waker,
        });
    }

    /// Drops all tasks of a process. Must not be called from one of them.
    pub fn kill(&self, node: Node) {
        let mut ended = Vec::new();
        for (slot, entry) in self.0.tasks.borrow_mut().iter_mut().enumerate() {
            if entry.as_ref().is_some_and(|task| task.node == node) {
                ended.push(entry.take());
                self.0.free_slots.borrow_mut().push(slot);
            }
        }
        // Dropping a task may wake or spawn others, so no list may be borrowed here.
        drop(ended);
    }

    /// Drops all tasks and timers, and ignores new ones from now on. A timer that is set while the
    /// tasks are dropped would form a reference cycle with the executor and leak both.
    pub fn end(&self) {
        self.0.has_ended.set(true);
        let tasks = std::mem::take(&mut *self.0.tasks.borrow_mut());
        self.0.free_slots.borrow_mut().clear();
        drop(tasks);
        let timers = std::mem::take(&mut *self.0.timers.borrow_mut());
        drop(timers);
    }

    /// Schedules a call at a time, or at the current time if that has passed.
    pub fn call_at(&self, at: Time, call: impl FnOnce() + 'static) {
        self.set_timer(at, TimerAction::Call(Box::new(call)));
    }

    fn set_timer(&self, at: Time, action: TimerAction) {
        if self.0.has_ended.get() {
            return;
        }
        let sequence = self.0.last_timer_sequence.get() + 1;
        self.0.last_timer_sequence.set(sequence);
        self.0.timers.borrow_mut().push(Reverse(Timer {
            at: at.max(self.now()),
            sequence,
            action,
        }));
    }

    /// Sleeps until a time.
    pub fn sleep_until(&self, at: Time) -> Sleep {
        Sleep {
            executor: self.clone(),
            at,
            state: None,
        }
    }

    /// Sleeps for a number of microseconds.
    pub fn sleep(&self, time: Time) -> Sleep {
        self.sleep_until(self.now().saturating_add(time))
    }

    /// Runs tasks and timers up to a time, and advances the clock to it. Returns false if tasks
    /// keep waking each other without an advance of the clock, which then stays where it is.
    pub fn run_until(&self, end: Time) -> bool {
        loop {
            let before = self.polls();
            while let Some(task) = self.take_ready_task() {
                self.poll(task);
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
            for action in self.due_actions(at) {
                action.run();
            }
        }
    }

    /// Removes the timers that are due at this time and returns their actions in a random order.
    fn due_actions(&self, at: Time) -> Vec<TimerAction> {
        let mut timers = self.0.timers.borrow_mut();
        let mut due = Vec::new();
        while timers.peek().is_some_and(|timer| timer.0.at == at) {
            due.extend(timers.pop().map(|timer| timer.0.action));
        }
        let mut rng = self.0.rng.borrow_mut();
        for index in (1..due.len()).rev() {
            due.swap(index, rng.index(index + 1));
        }
        due
    }

    /// Removes a random task from the ready queue.
    fn take_ready_task(&self) -> Option<TaskId> {
        let mut ready = self.0.ready.lock().unwrap_or_else(PoisonError::into_inner);
        match ready.len() {
            0 => None,
            1 => ready.pop(),
            count => Some(ready.swap_remove(self.0.rng.borrow_mut().index(count))),
        }
    }

    fn poll(&self, id: TaskId) {
        let Some((mut future, task_waker)) = self.take_future(id) else {
            return;
        };
        task_waker.is_queued.store(false, Ordering::Relaxed);
        self.0.polls.set(self.0.polls.get() + 1);
        let waker = Waker::from(task_waker);
        let poll = future.as_mut().poll(&mut Context::from_waker(&waker));
        let ended = self.finish_poll(id, future, poll.is_ready());
        // Dropping a task may wake or spawn others, so no list may be borrowed here.
        drop(ended);
    }

    /// Takes the future out of a task in order to poll it; `None` if the task has ended.
    fn take_future(&self, id: TaskId) -> Option<(BoxedTask, Arc<TaskWaker>)> {
        let mut tasks = self.0.tasks.borrow_mut();
        let task = tasks.get_mut(id.slot)?.as_mut()?;
        if task.task_waker.task != id {
            return None;
        }
        let future = task.future.take()?;
        Some((future, task.task_waker.clone()))
    }

    /// Returns the future to its task after a poll. If the task has completed or was killed during
    /// the poll, frees its slot and hands the future back for the caller to drop.
    fn finish_poll(&self, id: TaskId, future: BoxedTask, is_ready: bool) -> Option<BoxedTask> {
        let mut tasks = self.0.tasks.borrow_mut();
        let Some(slot) = tasks.get_mut(id.slot) else {
            return Some(future);
        };
        match slot {
            Some(task) if task.task_waker.task == id => {
                if !is_ready {
                    task.future = Some(future);
                    return None;
                }
                *slot = None;
                self.0.free_slots.borrow_mut().push(id.slot);
                Some(future)
            }
            _ => Some(future),
        }
    }
}

/// A future that completes at a time.
pub struct Sleep {
    executor: Executor,
    at: Time,
    state: Option<Rc<SleepState>>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.executor.now() >= self.at && self.state.is_none() {
            return Poll::Ready(());
        }
        if self.state.is_none() {
            let state = Rc::new(SleepState::default());
            self.executor
                .set_timer(self.at, TimerAction::Wake(state.clone()));
            self.state = Some(state);
        }
        let Some(state) = &self.state else {
            return Poll::Ready(());
        };
        if state.is_due.get() {
            return Poll::Ready(());
        }
        *state.waker.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(state) = &self.state {
            state.waker.borrow_mut().take();
        }
    }
}
