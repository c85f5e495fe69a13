//! The watches that are open at once: the one in service and, once that has fallen silent, the calls that are to replace
//! it. The first call that is answered is the watch in service, and the others are closed.

use super::error::WatchError;
use load_balancer::Micros;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// How far a watch has come.
pub(super) struct WatchProgress {
    /// When discovery was called.
    pub called_at: Instant,
    /// The call has its answer.
    pub is_answered: Cell<bool>,
    /// The watch has brought nothing for longer than it may: from then on it is broken, whatever it still brings.
    pub is_silent: Cell<bool>,
}

impl WatchProgress {
    /// Discovery is called now.
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

/// A watch that has ended.
pub(super) struct LostWatch {
    /// Why.
    pub error: WatchError,
    /// When the call for it was made; `None`: it was answered.
    pub failed_call_at: Option<Instant>,
    /// When a call was made that discovery turned away, if one was.
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

    /// How long its call had waited, if it failed.
    pub fn failed_call_wait(&self, now: Instant) -> Option<Duration> {
        let waited = |call| now.saturating_duration_since(call);
        self.failed_call_at.map(waited)
    }

    /// How long the call had waited that discovery turned away, if one was.
    pub fn rejection_wait(&self, now: Instant) -> Option<Micros> {
        let waited = |call| now.saturating_duration_since(call);
        self.rejected_call_at
            .map(|call| Micros(waited(call).as_micros() as u64))
    }
}

/// What has happened to the watches.
pub(super) enum WatchEvent {
    /// A watch is in service: its call is answered.
    InService,
    /// The watch in service has fallen silent.
    Silent,
    /// A watch has ended.
    Lost(LostWatch),
}

struct OpenWatch {
    progress: Rc<WatchProgress>,
    /// Whether it was in service when it was polled last.
    was_in_service: bool,
    task: Pin<Box<dyn Future<Output = WatchError>>>,
}

/// See the module. The oldest first.
#[derive(Default)]
pub(super) struct WatchSet {
    watches: Vec<OpenWatch>,
}

impl WatchSet {
    /// Adds a watch: what it does, until its end.
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

    /// Whether no call waits for its answer.
    pub fn has_no_pending_call(&self) -> bool {
        let mut answered = self.watches.iter().map(|watch| &watch.progress.is_answered);
        answered.all(Cell::get)
    }

    /// The next event. It never returns while no watch is open.
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
