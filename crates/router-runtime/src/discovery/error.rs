//! Why a watch on the list of servers ends.

use crate::endpoint_list::ListError;
use hyper::StatusCode;
use std::time::Duration;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The connection failed.
    #[error(transparent)]
    Connect(std::io::Error),
    /// The connection was not up within its limit.
    #[error("no connection within {} s", .0.as_secs_f64())]
    ConnectTimeout(Duration),
    /// The answer broke off or is no HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// Discovery answered with another status than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The body is no list.
    #[error(transparent)]
    List(#[from] ListError),
    /// The request cannot be written.
    #[error("malformed request: {0}")]
    Request(#[from] hyper::http::Error),
    /// Discovery ended the watch.
    #[error("closed by the server")]
    Closed,
    /// The call was not answered within its limit.
    #[error("no answer within {} s", .0.as_secs_f64())]
    AnswerTimeout(Duration),
    /// No data arrived within the limit.
    #[error("no data for {} s", .0.as_secs_f64())]
    Silent(Duration),
}
