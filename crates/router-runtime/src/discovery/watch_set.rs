//! The set of open watches: the one in service and the pending calls that are to replace it.
//!
//! Calls are made in parallel while no watch is in service or the one in service has fallen silent.
//! The first call that is answered becomes the watch in service, and all others are closed.

use super::error::WatchError;
use load_balancer::Micros;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// State of a watch, shared with its task.
pub(super) struct WatchProgress {
    /// When the call was made.
    pub called_at: Instant,
    /// Whether the call has been answered.
    pub is_answered: Cell<bool>,
    /// Whether the watch has brought no data for too long. It stays silent even if data arrive
    /// later.
    pub is_silent: Cell<bool>,
}

impl WatchProgress {
    /// The state of a call that is made at `now`.
    pub fn new(now: Instant) -> WatchProgress {
        WatchProgress {
            called_at: now,
            is_answered: Cell::new(false),
            is_silent: Cell::new(false),
        }
    }

    fn is_in_service(&self) -> bool {
        self.is_answered.get() && !self.is_silent.get()
    }
}

/// A watch that has ended, or a call that failed before it became one.
pub(super) struct LostWatch {
    /// Why it ended.
    pub error: WatchError,
    /// When its call was made, if that failed; `None` if it was answered.
    pub failed_call_at: Option<Instant>,
    /// When the call that discovery rejected, with a status other than 200, was made, if there was
    /// one.
    pub rejected_call_at: Option<Instant>,
}

impl LostWatch {
    fn new(error: WatchError, progress: &WatchProgress) -> LostWatch {
        let failed_call_at = (!progress.is_answered.get()).then_some(progress.called_at);
        let is_rejected = matches!(error, WatchError::Status(_));
        LostWatch {
            error,
            failed_call_at,
            rejected_call_at: failed_call_at.filter(|_| is_rejected),
        }
    }

    /// How long its call had been pending, if it failed.
    pub fn failed_call_wait(&self, now: Instant) -> Option<Duration> {
        let waited = |call| now.saturating_duration_since(call);
        self.failed_call_at.map(waited)
    }

    /// How long the call that discovery rejected had been pending, if there was one.
    pub fn rejection_wait(&self, now: Instant) -> Option<Micros> {
        let waited = |call| now.saturating_duration_since(call);
        self.rejected_call_at
            .map(|call| Micros(waited(call).as_micros() as u64))
    }
}

/// A change in the state of a watch.
pub(super) enum WatchEvent {
    /// A call was answered: its watch is in service.
    InService,
    /// The watch in service has fallen silent.
    Silent,
    /// A watch has ended.
    Lost(LostWatch),
}

struct OpenWatch {
    progress: Rc<WatchProgress>,
    /// Whether it was in service at its last poll.
    was_in_service: bool,
    task: Pin<Box<dyn Future<Output = WatchError>>>,
}

/// The open watches; see the module.
#[derive(Default)]
pub(super) struct WatchSet {
    /// Oldest first.
    watches: Vec<OpenWatch>,
}

impl WatchSet {
    /// Adds a watch. `task` runs it and returns why it ended.
    pub fn open(
        &mut self,
        progress: Rc<WatchProgress>,
        task: impl Future<Output = WatchError> + 'static,
    ) {
        self.watches.push(OpenWatch {
            progress,
            was_in_service: false,
            task: Box::pin(task),
        });
    }

    /// Whether all calls have been answered.
    pub fn are_all_calls_answered(&self) -> bool {
        let mut answered = self.watches.iter().map(|watch| &watch.progress.is_answered);
        answered.all(Cell::get)
    }

    /// Waits for the next event; never returns while no watch is open.
    pub async fn next(&mut self) -> WatchEvent {
        poll_fn(|cx| self.poll(cx)).await
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<WatchEvent> {
        for index in 0..self.watches.len() {
            if let Some(event) = self.poll_watch(index, cx) {
                return Poll::Ready(event);
            }
        }
        Poll::Pending
    }

    fn poll_watch(&mut self, index: usize, cx: &mut Context<'_>) -> Option<WatchEvent> {
        let watch = &mut self.watches[index];
        if let Poll::Ready(error) = watch.task.as_mut().poll(cx) {
            let watch = self.watches.remove(index);
            return Some(WatchEvent::Lost(LostWatch::new(error, &watch.progress)));
        }
        let is_in_service = watch.progress.is_in_service();
        let was_in_service = std::mem::replace(&mut watch.was_in_service, is_in_service);
        match (was_in_service, is_in_service) {
            (false, true) => {
                let in_service = self.watches.swap_remove(index);
                self.watches = vec![in_service];
                Some(WatchEvent::InService)
            }
            (true, false) => Some(WatchEvent::Silent),
            _ => None,
        }
    }
}
