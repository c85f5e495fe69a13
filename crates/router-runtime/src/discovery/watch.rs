//! One watch on the endpoint list, from its call to its end.

use super::Discovery;
use super::error::WatchError;
use super::watch_set::WatchProgress;
use crate::endpoint_list::EndpointListReader;
use crate::environment::Environment;
use crate::mutation::hooks;
use crate::socket_error::connect_with_retry;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use load_balancer::EndpointUpdate;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A call fails if its connection takes longer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A call fails if its answer takes longer. It exceeds the 2 s after which discovery itself gives a
/// call up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Destination and deadline of a call.
#[derive(Clone, Copy)]
struct Call {
    addr: SocketAddr,
    answer_by: Instant,
}

impl<E: Environment> Discovery<E> {
    /// Opens a watch and applies its lists until it is lost. The first data answer the
    /// subscription.
    pub(super) async fn watch(&self, progress: &WatchProgress) -> Result<Infallible, WatchError> {
        self.upstream.metrics().discovery_called();
        let call = Call {
            addr: self.addr.get(),
            answer_by: self.environment.now() + ANSWER_TIMEOUT,
        };
        let connecting = connect_with_retry(&self.environment, call.addr, || true);
        let stream = self
            .environment
            .timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| WatchError::ConnectTimeout(CONNECT_TIMEOUT))?
            .map_err(WatchError::Connect)?
            .ok_or(WatchError::Closed)?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        // Returning drops the connection as well.
        let lists = self.read_lists(sender, call, progress);
        tokio::pin!(lists);
        tokio::select! {
            biased;
            end = &mut lists => return end,
            _ = connection => {}
        }
        // Read what arrived before the connection ended.
        lists.await
    }

    /// Sends the request on a connection, and applies the lists of the response as they arrive.
    async fn read_lists(
        &self,
        mut sender: SendRequest<Empty<Bytes>>,
        call: Call,
        progress: &WatchProgress,
    ) -> Result<Infallible, WatchError> {
        let mut body = self.send_request(&mut sender, call).await?;
        let mut lists = EndpointListReader::default();
        let mut last_data_at = self.environment.now();
        loop {
            let Some(frame) = self
                .next_frame(&mut body, progress, last_data_at, call)
                .await?
            else {
                // Lists that still arrive are applied, but another call is to replace the watch.
                progress.is_silent.set(true);
                continue;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            lists.feed(&data);
            let has_list = self.apply_lists(&mut lists, progress)?;
            // Within an incomplete list, white space alone does not count as data.
            let is_data = has_list || !lists.has_partial_list() || !data.trim_ascii().is_empty();
            if is_data {
                last_data_at = self.environment.now();
            }
        }
    }

    /// The next frame of the response; `None` if the watch falls silent.
    async fn next_frame(
        &self,
        body: &mut Incoming,
        progress: &WatchProgress,
        last_data_at: Instant,
        call: Call,
    ) -> Result<Option<Frame<Bytes>>, WatchError> {
        let frame = if progress.is_silent.get() {
            body.frame().await
        } else {
            let until = self.data_deadline(progress, last_data_at, call);
            match self.environment.timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) if progress.is_answered.get() => return Ok(None),
                Err(_) => return Err(WatchError::AnswerTimeout(ANSWER_TIMEOUT)),
            }
        };
        Ok(Some(frame.ok_or(WatchError::Closed)??))
    }

    /// Sends the request, and returns the body of the response.
    async fn send_request(
        &self,
        sender: &mut SendRequest<Empty<Bytes>>,
        call: Call,
    ) -> Result<Incoming, WatchError> {
        let version = self.endpoints.version();
        let request = Request::get(format!("/api/targets?watch=1&after={version}"))
            .header(header::HOST, call.addr.to_string())
            .body(Empty::<Bytes>::new())?;
        let answer = self
            .environment
            .timeout_at(call.answer_by, sender.send_request(request))
            .await
            .map_err(|_| WatchError::AnswerTimeout(ANSWER_TIMEOUT))??;
        if answer.status() != StatusCode::OK {
            return Err(WatchError::Status(answer.status()));
        }
        Ok(answer.into_body())
    }

    /// Applies the lists that have arrived completely; true if there were any.
    fn apply_lists(
        &self,
        lists: &mut EndpointListReader,
        progress: &WatchProgress,
    ) -> Result<bool, WatchError> {
        let mut has_list = false;
        while let Some(list) = lists.next_list()? {
            has_list = true;
            self.endpoints.update(list);
            self.mark_answered(progress);
        }
        if !lists.has_partial_list() && !progress.is_answered.get() {
            // White space without a list: nothing has changed since the requested version. That
            // answers the call too.
            self.dispatcher
                .endpoints_changed(EndpointUpdate::Delta, Vec::new());
            self.mark_answered(progress);
        }
        Ok(has_list)
    }

    /// The time by which the next data have to arrive.
    fn data_deadline(
        &self,
        progress: &WatchProgress,
        last_data_at: Instant,
        call: Call,
    ) -> Instant {
        let deadline = match progress.is_answered.get() {
            true => last_data_at + self.silence_timeout(),
            false => call.answer_by,
        };
        hooks::silence_deadline(deadline, self.is_push, self.environment.now())
    }
}
