//! Callers: one call to a connection, a bounded number of them, none of which can keep the others waiting.

use crate::call::{self, CallError, MOST_BODY};
use crate::{Operated, metrics};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Callers at a time: of the descriptors that the router keeps for itself. One more takes the place of the one that has
/// been there for longest: whoever calls has its answer within milliseconds, and who is there for long says nothing.
pub const CALLERS: usize = 24;
/// A caller waits a second for its answer; one that has not finished its call by then has no use for it.
const CALL_LIMIT: Duration = Duration::from_secs(6);
/// How long to leave the listener alone after it failed, out of descriptors for instance.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers callers for as long as it is polled. To be used within a [`tokio::task::LocalSet`].
pub async fn serve<O: Operated + 'static>(listener: TcpListener, router: Rc<O>) {
    let mut callers = std::collections::VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|task: &tokio::task::JoinHandle<()>| !task.is_finished());
                if callers.len() >= CALLERS
                    && let Some(oldest) = callers.pop_front()
                {
                    oldest.abort();
                }
                callers.push_back(spawn_local(answer(stream, router.clone())));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn answer<O: Operated + 'static>(stream: TcpStream, router: Rc<O>) {
    let service = service_fn(move |request| {
        let router = router.clone();
        async move { Ok::<_, Infallible>(one_call(request, &*router).await) }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.keep_alive(false)
        .half_close(true)
        .max_buf_size(16 * 1024);
    // A caller that breaks off or says no HTTP is answered as far as that goes; nobody waits for more.
    let _ = tokio::time::timeout(
        CALL_LIMIT,
        http.serve_connection(TokioIo::new(stream), service),
    )
    .await;
}

async fn one_call(request: Request<Incoming>, router: &impl Operated) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let said = async {
        let body = match call::wants_body(&head.method, path)? {
            false => Bytes::new(),
            true => match Limited::new(body, MOST_BODY).collect().await {
                Ok(body) => body.to_bytes(),
                Err(_) => return Err(CallError::TooLong),
            },
        };
        call::carry_out(call::read(&head.method, path, &body)?, router)
    };
    let (status, kind, text) = match said.await {
        Ok(text) if path == "/api/telemetry" => (StatusCode::OK, metrics::CONTENT_TYPE, text),
        Ok(text) => (StatusCode::OK, "text/plain; charset=utf-8", text),
        Err(error) => (error.status(), "application/json", error.line()),
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    answer
}
