//! Errors that end a watch on the endpoint list.

use crate::endpoint_list::ListError;
use hyper::StatusCode;
use std::time::Duration;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The connection failed.
    #[error(transparent)]
    Connect(std::io::Error),
    /// The connection took too long.
    #[error("connect timed out after {} s", .0.as_secs_f64())]
    ConnectTimeout(Duration),
    /// The response was cut off, or is not HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// Discovery answered with a status other than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The body is not a sequence of endpoint lists.
    #[error(transparent)]
    List(#[from] ListError),
    /// The request could not be built.
    #[error("malformed request: {0}")]
    Request(#[from] hyper::http::Error),
    /// Discovery closed the connection or ended the response.
    #[error("connection closed by discovery")]
    Closed,
    /// The answer took too long.
    #[error("no answer within {} s", .0.as_secs_f64())]
    AnswerTimeout(Duration),
    /// No data arrived for too long.
    #[error("no data for {} s", .0.as_secs_f64())]
    Silent(Duration),
}
