//! One call: what is asked, and the answer.
//!
//! | call | answers |
//! | --- | --- |
//! | `GET /api/ready` | 200 once the process can serve, else 503 |
//! | `GET /api/telemetry` | 200 with the figures |
//! | `POST /api/exclude`, `POST /api/include` with `{"host":"ID"}` | 200; 400 for another body, 404 for an id that nobody has |
//! | `POST /api/evacuate`, `POST /api/rejoin` | 200 |
//!
//! Another path is 404, another method 405, a body over [`MOST_BODY`] 413. A no has changed nothing, and is one line of
//! JSON: `{"error":"..."}`.

use crate::{Operated, metrics};
use hyper::{Method, StatusCode};
use serde::Deserialize;

/// No call has a body nearly as long.
pub const MOST_BODY: usize = 4 * 1024;
/// No cache server has a longer id.
const MOST_ID: usize = 256;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether the process can serve.
    Ready,
    /// The figures.
    Telemetry,
    /// Nothing more to a cache server.
    Exclude(String),
    /// Put it back.
    Include(String),
    /// Empty the router.
    Evacuate,
    /// The end of that.
    Rejoin,
}

/// Why a call is turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// There is no such path.
    Path,
    /// The path is called with this method.
    Method(Method),
    /// The body is longer than [`MOST_BODY`].
    TooLong,
    /// The body is not what the path wants.
    Body(String),
    /// Nobody has told of a cache server of this id.
    Unknown(String),
    /// The process cannot serve yet, or another one has taken over.
    NotReady,
}

impl CallError {
    /// The status that says so.
    pub fn status(&self) -> StatusCode {
        match self {
            CallError::Path | CallError::Unknown(_) => StatusCode::NOT_FOUND,
            CallError::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            CallError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            CallError::Body(_) => StatusCode::BAD_REQUEST,
            CallError::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// One line of JSON with the reason.
    pub fn line(&self) -> String {
        let reason = match self {
            CallError::Path => "no such path".to_string(),
            CallError::Method(method) => format!("call it with {method}"),
            CallError::TooLong => format!("a body of over {MOST_BODY} bytes"),
            CallError::Body(problem) => format!(r#"the body is to be {{"host":"ID"}}: {problem}"#),
            CallError::Unknown(id) => format!("nobody has told of a cache server '{id}'"),
            CallError::NotReady => {
                "this process cannot serve yet, or another has taken over".to_string()
            }
        };
        format!("{}\n", serde_json::json!({ "error": reason }))
    }
}

#[derive(Deserialize)]
struct Named {
    host: String,
}

/// Whether a path wants a body, so that one that does not is not made to wait for it; an error where the call is turned
/// down by its head alone.
pub fn wants_body(method: &Method, path: &str) -> Result<bool, CallError> {
    let (wanted, body) = match path {
        "/api/ready" | "/api/telemetry" => (Method::GET, false),
        "/api/exclude" | "/api/include" => (Method::POST, true),
        "/api/evacuate" | "/api/rejoin" => (Method::POST, false),
        _ => return Err(CallError::Path),
    };
    if *method == wanted {
        Ok(body)
    } else {
        Err(CallError::Method(wanted))
    }
}

/// Reads a call.
///
/// # Errors
/// When the path, the method or the body is none.
pub fn read(method: &Method, path: &str, body: &[u8]) -> Result<Call, CallError> {
    let body = if wants_body(method, path)? {
        host(body)?
    } else {
        String::new()
    };
    match path {
        "/api/ready" => Ok(Call::Ready),
        "/api/telemetry" => Ok(Call::Telemetry),
        "/api/exclude" => Ok(Call::Exclude(body)),
        "/api/include" => Ok(Call::Include(body)),
        "/api/evacuate" => Ok(Call::Evacuate),
        "/api/rejoin" => Ok(Call::Rejoin),
        _ => Err(CallError::Path),
    }
}

fn host(body: &[u8]) -> Result<String, CallError> {
    let Named { host } =
        serde_json::from_slice(body).map_err(|problem| CallError::Body(problem.to_string()))?;
    match host.len() {
        0 => Err(CallError::Body("an empty id".into())),
        length if length > MOST_ID => {
            Err(CallError::Body(format!("an id of over {MOST_ID} bytes")))
        }
        _ => Ok(host),
    }
}

/// Carries a call out; what a yes says.
///
/// # Errors
/// When the answer is no; then nothing has changed.
pub fn carry_out(call: Call, router: &impl Operated) -> Result<String, CallError> {
    let done = |known: bool, id: String| {
        if known {
            Ok(String::new())
        } else {
            Err(CallError::Unknown(id))
        }
    };
    match call {
        Call::Ready if router.is_ready() => Ok("ready\n".into()),
        Call::Ready => Err(CallError::NotReady),
        Call::Telemetry => Ok(metrics::text(router.metrics())),
        Call::Exclude(id) => done(router.disable_server(&id), id),
        Call::Include(id) => done(router.enable_server(&id), id),
        Call::Evacuate => {
            router.drain_router();
            Ok(String::new())
        }
        Call::Rejoin => {
            router.resume_router();
            Ok(String::new())
        }
    }
}
