//! Operators' commands: parsed from a request's method, path and body, and executed.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /api/ready` | 200 if the process can serve, else 503 |
//! | `GET /api/telemetry` | 200 with the metrics |
//! | `POST /api/exclude`, `POST /api/include` with `{"host":"ID"}` | 200; 400 for another body, 404 for an unknown id |
//! | `POST /api/evacuate`, `POST /api/rejoin` | 200 |
//!
//! Another path is 404, another method 405, a body over [`MAX_BODY_BYTES`] 413. A command that fails has changed
//! nothing; its answer is one line of JSON: `{"error":"..."}`.

use crate::{RouterControl, metrics};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use thiserror::Error;

/// Bytes of the longest body; the longest valid one is far shorter.
pub const MAX_BODY_BYTES: usize = 4 * 1024;
/// Bytes of the longest id of a cache server.
const MAX_SERVER_ID_BYTES: usize = 256;

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `ready`: whether the process can serve.
    CheckReadiness,
    /// `telemetry`: the metrics.
    ReadMetrics,
    /// `exclude`: take the cache server of this id out of service.
    DisableServer(String),
    /// `include`: put the cache server of this id back into service.
    EnableServer(String),
    /// `evacuate`: drain the router.
    DrainRouter,
    /// `rejoin`: end the drain.
    ResumeRouter,
}

/// Why a command fails.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// There is no such path.
    #[error("no such path")]
    UnknownPath,
    /// The path takes only this method.
    #[error("call it with {0}")]
    WrongMethod(Method),
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("a body of over {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// The body is not what the path takes.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// A cache server of this id is neither on the endpoint list nor overridden.
    #[error("nobody has told of a cache server '{0}'")]
    UnknownServer(String),
    /// The process cannot serve yet, or another one has taken over.
    #[error("this process cannot serve yet, or another has taken over")]
    NotReady,
}

/// Why a body names no cache server.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is not JSON of the expected form; what is wrong, with line and column.
    #[error(r#"the body is to be {{"host":"ID"}}: {0}"#)]
    Json(String),
    /// The id is empty.
    #[error(r#"the body is to be {{"host":"ID"}}: an empty id"#)]
    EmptyId,
    /// The id is too long.
    #[error(r#"the body is to be {{"host":"ID"}}: an id of over {MAX_SERVER_ID_BYTES} bytes"#)]
    IdTooLong,
}

impl CommandError {
    /// HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            CommandError::UnknownPath | CommandError::UnknownServer(_) => StatusCode::NOT_FOUND,
            CommandError::WrongMethod(_) => StatusCode::METHOD_NOT_ALLOWED,
            CommandError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            CommandError::Body(_) => StatusCode::BAD_REQUEST,
            CommandError::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Body of the answer: one line of JSON with the reason.
    pub fn to_json_line(&self) -> String {
        let reason = self.to_string();
        format!("{}\n", serde_json::json!({ "error": reason }))
    }
}

/// Whether a request has a body to be read: one that takes none is answered by its head alone.
///
/// # Errors
/// When the path is unknown or takes another method; such a request is answered by its head as well.
pub fn takes_body(method: &Method, path: &str) -> Result<bool, CommandError> {
    let (expected_method, takes_body) = match path {
        "/api/ready" | "/api/telemetry" => (Method::GET, false),
        "/api/exclude" | "/api/include" => (Method::POST, true),
        "/api/evacuate" | "/api/rejoin" => (Method::POST, false),
        _ => return Err(CommandError::UnknownPath),
    };
    if *method == expected_method {
        Ok(takes_body)
    } else {
        Err(CommandError::WrongMethod(expected_method))
    }
}

/// Parses a request. The body is ignored where the path takes none.
///
/// # Errors
/// When the path is unknown, the method is another, or the body is not of the expected form.
pub fn parse(method: &Method, path: &str, body: &[u8]) -> Result<Command, CommandError> {
    takes_body(method, path)?;
    match path {
        "/api/ready" => Ok(Command::CheckReadiness),
        "/api/telemetry" => Ok(Command::ReadMetrics),
        "/api/exclude" => Ok(Command::DisableServer(parse_server_id(body)?)),
        "/api/include" => Ok(Command::EnableServer(parse_server_id(body)?)),
        "/api/evacuate" => Ok(Command::DrainRouter),
        "/api/rejoin" => Ok(Command::ResumeRouter),
        _ => Err(CommandError::UnknownPath),
    }
}

#[derive(Deserialize)]
struct ServerBody {
    #[serde(rename = "host")]
    server_id: String,
}

fn parse_server_id(body: &[u8]) -> Result<String, BodyError> {
    let ServerBody { server_id } =
        serde_json::from_slice(body).map_err(|error| BodyError::Json(error.to_string()))?;
    if server_id.is_empty() {
        return Err(BodyError::EmptyId);
    }
    if server_id.len() > MAX_SERVER_ID_BYTES {
        return Err(BodyError::IdTooLong);
    }
    Ok(server_id)
}

/// Executes a command; returns the body of the answer.
///
/// # Errors
/// When the process is not ready or the cache server is unknown; nothing has changed then.
pub fn execute(command: Command, router: &impl RouterControl) -> Result<String, CommandError> {
    match command {
        Command::CheckReadiness if router.is_ready() => Ok("ready\n".into()),
        Command::CheckReadiness => Err(CommandError::NotReady),
        Command::ReadMetrics => Ok(metrics::encode(router.metrics())),
        Command::DisableServer(id) if router.disable_server(&id) => Ok(String::new()),
        Command::EnableServer(id) if router.enable_server(&id) => Ok(String::new()),
        Command::DisableServer(id) | Command::EnableServer(id) => {
            Err(CommandError::UnknownServer(id))
        }
        Command::DrainRouter => {
            router.drain_router();
            Ok(String::new())
        }
        Command::ResumeRouter => {
            router.resume_router();
            Ok(String::new())
        }
    }
}
