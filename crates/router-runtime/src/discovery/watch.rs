//! One watch on the list of servers, from its call to its end.

use super::error::WatchError;
use super::{Discovery, WatchProgress};
use crate::endpoint_list::EndpointListReader;
use crate::environment::Environment;
use crate::mutation::hooks;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use load_balancer::EndpointUpdate;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A watch in push mode without data for this long is lost. Discovery sends an empty line every 2 s: this misses one.
/// The pushed lists count as lost 6 s after the silence began, and a new call fits in before.
const PUSH_SILENCE_LIMIT: Duration = Duration::from_millis(2_900);
/// A watch in subscription mode without data for this long is lost: it has missed two of the lines that come every 2 s.
/// Guards against routers that all call at once when discovery is overloaded and one line is late.
const SUBSCRIPTION_SILENCE_LIMIT: Duration = Duration::from_millis(4_500);
/// A call without a connection by then has failed ...
const CONNECT_LIMIT: Duration = Duration::from_millis(1_200);
/// ... and one without an answer by then; discovery gives a call up after 2 s.
const ANSWER_LIMIT: Duration = Duration::from_millis(2_500);

/// Where a call goes, and by when it has to be answered.
#[derive(Clone, Copy)]
struct Call {
    addr: SocketAddr,
    answer_by: Instant,
}

impl<E: Environment> Discovery<E> {
    /// Watches until the watch is lost. Its first line answers the subscription.
    pub(super) async fn watch(&self, progress: &WatchProgress) -> Result<Infallible, WatchError> {
        self.upstream.metrics().discovery_called();
        let call = Call {
            addr: self.addr.get(),
            answer_by: self.environment.now() + ANSWER_LIMIT,
        };
        let connecting = self.environment.connect(call.addr);
        let stream = self
            .environment
            .timeout(CONNECT_LIMIT, connecting)
            .await
            .map_err(|_| WatchError::ConnectTimeout(CONNECT_LIMIT))?
            .map_err(WatchError::Connect)?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        // The connection ends with this watch, however it ends.
        let lists = self.read_lists(sender, call, progress);
        tokio::pin!(lists);
        tokio::select! {
            biased;
            end = &mut lists => return end,
            _ = connection => {}
        }
        // What arrived before the connection's end is still to be read.
        lists.await
    }

    /// Calls on a connection, and reads the lists of the answer.
    async fn read_lists(
        &self,
        mut sender: SendRequest<Empty<Bytes>>,
        call: Call,
        progress: &WatchProgress,
    ) -> Result<Infallible, WatchError> {
        let mut body = self.call(&mut sender, call).await?;
        let mut lists = EndpointListReader::default();
        let mut last_data_at = self.environment.now();
        loop {
            let silence = self.silence_limit(progress, last_data_at, call);
            let frame = self
                .environment
                .timeout_at(silence.until, body.frame())
                .await
                .map_err(|_| silence.error)?;
            let frame = frame.ok_or(WatchError::Closed)??;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            lists.feed(&data);
            let has_list = self.apply_lists(&mut lists, progress)?;
            // Within an unfinished list, white space alone does not count as data.
            let is_data = has_list || !lists.is_midway() || !data.trim_ascii().is_empty();
            if is_data {
                last_data_at = self.environment.now();
            }
        }
    }

    /// Sends the request, and gives the body of the answer.
    async fn call(
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
            .map_err(|_| WatchError::AnswerTimeout(ANSWER_LIMIT))??;
        if answer.status() != StatusCode::OK {
            return Err(WatchError::Status(answer.status()));
        }
        Ok(answer.into_body())
    }

    /// Applies the lists that have arrived whole; true if there were any.
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
        if !lists.is_midway() && !progress.is_answered() {
            // Nothing has changed since the version in the request: that answers the call too.
            self.dispatcher
                .endpoints_changed(EndpointUpdate::Delta, Vec::new());
            self.mark_answered(progress);
        }
        Ok(has_list)
    }

    /// By when data has to arrive, and the error if none does.
    fn silence_limit(
        &self,
        progress: &WatchProgress,
        last_data_at: Instant,
        call: Call,
    ) -> SilenceLimit {
        let (until, error) = if !progress.is_answered() {
            (call.answer_by, WatchError::AnswerTimeout(ANSWER_LIMIT))
        } else {
            let limit = if self.is_push {
                PUSH_SILENCE_LIMIT
            } else {
                SUBSCRIPTION_SILENCE_LIMIT
            };
            (last_data_at + limit, WatchError::Silent(limit))
        };
        let until = hooks::silence_deadline(until, self.is_push, self.environment.now());
        SilenceLimit { until, error }
    }
}

/// How long a watch may be silent.
struct SilenceLimit {
    until: Instant,
    error: WatchError,
}
