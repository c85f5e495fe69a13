//! Parsing and execution of operators' commands, which consist of a request's method, path and
//! body.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /api/ready` | 200 if the process can serve, else 503 |
//! | `GET /api/telemetry` | 200 with the metrics |
//! | `POST /api/exclude` with `{"host":"ID"}` | 200; 400 on a bad body, 404 on an unknown id |
//! | `POST /api/include` with `{"host":"ID"}` | as above |
//! | `POST /api/evacuate`, `POST /api/rejoin` | 200 |
//!
//! An unknown path is answered 404, a wrong method 405, and a body of more than [`MAX_BODY_BYTES`]
//! 413. A command that fails changes nothing, and its answer is one line of JSON:
//! `{"error":"..."}`.

use crate::{RouterControl, metrics};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use thiserror::Error;

/// Maximum size of a request body; every valid body is far smaller.
pub const MAX_BODY_BYTES: usize = 4 * 1024;
/// Maximum length of a cache server's id.
const MAX_SERVER_ID_BYTES: usize = 256;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `ready`: check whether the process can serve.
    CheckReadiness,
    /// `telemetry`: read the metrics.
    ReadMetrics,
    /// `exclude`: take the cache server with this id out of service.
    DisableServer(String),
    /// `include`: put the cache server with this id back into service.
    EnableServer(String),
    /// `evacuate`: drain the router.
    DrainRouter,
    /// `rejoin`: end the drain.
    ResumeRouter,
}

/// Why a command fails.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The path is unknown.
    #[error("no such path")]
    UnknownPath,
    /// The path requires this method.
    #[error("call it with {0}")]
    WrongMethod(Method),
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("a body of over {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// The body is invalid for the path.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// No cache server with this id is on the endpoint list or has an override.
    #[error("nobody has told of a cache server '{0}'")]
    UnknownServer(String),
    /// The process is not ready to serve yet, or another process has taken over.
    #[error("this process cannot serve yet, or another has taken over")]
    NotReady,
}

/// Why a body is invalid as the name of a cache server.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is not JSON of the expected structure; contains the reason with line and column.
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
    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            CommandError::UnknownPath | CommandError::UnknownServer(_) => StatusCode::NOT_FOUND,
            CommandError::WrongMethod(_) => StatusCode::METHOD_NOT_ALLOWED,
            CommandError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            CommandError::Body(_) => StatusCode::BAD_REQUEST,
            CommandError::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the body of the answer: one line of JSON with the reason.
    pub fn to_json_line(&self) -> String {
        let reason = self.to_string();
        format!("{}\n", serde_json::json!({ "error": reason }))
    }
}

/// Returns whether a request has a body that must be read. Otherwise the request is answered after
/// its head.
///
/// # Errors
/// If the path is unknown or the method is wrong. Such a request is also answered after its head.
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

/// Parses a request. The body is ignored if the path takes none.
///
/// # Errors
/// If the path is unknown, the method is wrong, or the body is invalid.
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

/// Executes a command and returns the body of the answer.
///
/// # Errors
/// If the process is not ready or the cache server is unknown. In that case nothing has changed.
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
