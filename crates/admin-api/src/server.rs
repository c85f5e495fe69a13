//! Server of the admin API: one request per connection and a bounded number of connections, none of
//! which can delay the others.

use crate::command::{self, CommandError, MAX_BODY_BYTES};
use crate::{RouterControl, metrics};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

/// Maximum number of open connections; the router reserves descriptors for them. A further
/// connection replaces the oldest one: a request is answered within milliseconds, so a connection
/// that has been open for long has sent none.
pub const MAX_CONNECTIONS: usize = 24;
/// Maximum lifetime of a connection. Operators' tools wait 1 s for an answer.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum buffer size of a connection, which limits the size of a request's head.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Serves operators' connections until the future is dropped. Must run within a
/// [`tokio::task::LocalSet`].
pub async fn serve<R: RouterControl + 'static>(listener: TcpListener, router: Rc<R>) {
    let mut connections: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        connections.retain(|task| !task.is_finished());
        if connections.len() >= MAX_CONNECTIONS
            && let Some(oldest) = connections.pop_front()
        {
            oldest.abort();
        }
        // The task is owned by this loop. It ends with its connection or at the timeout, or is
        // aborted when a newer connection replaces it.
        connections.push_back(spawn_local(serve_connection(stream, router.clone())));
    }
}

async fn serve_connection<R: RouterControl + 'static>(stream: TcpStream, router: Rc<R>) {
    let service = service_fn(move |request| {
        let router = router.clone();
        async move { Ok::<_, Infallible>(respond(request, &*router).await) }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.keep_alive(false)
        .half_close(true)
        .max_buf_size(MAX_BUFFER_BYTES);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    // Errors are ignored: the client has disconnected, or hyper has answered a malformed request.
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
}

async fn respond(request: Request<Incoming>, router: &impl RouterControl) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let (status, content_type, text) = match execute(&head, body, router).await {
        Ok(text) if head.uri.path() == "/api/telemetry" => {
            (StatusCode::OK, metrics::CONTENT_TYPE, text)
        }
        Ok(text) => (StatusCode::OK, "text/plain; charset=utf-8", text),
        Err(error) => (error.status(), "application/json", error.to_json_line()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    response
}

async fn execute(
    head: &Parts,
    body: Incoming,
    router: &impl RouterControl,
) -> Result<String, CommandError> {
    let path = head.uri.path();
    let body = if command::takes_body(&head.method, path)? {
        read_body(body).await?
    } else {
        Bytes::new()
    };
    command::execute(command::parse(&head.method, path, &body)?, router)
}

/// Reads a whole body. A truncated body is answered like one that is too long.
async fn read_body(body: Incoming) -> Result<Bytes, CommandError> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(CommandError::BodyTooLong),
    }
}
