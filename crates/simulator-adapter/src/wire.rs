//! The wire's events and actions.

use crate::Action;
use load_balancer::deployment::{DeploymentError, Names};
use load_balancer::*;
use std::fmt;
use std::io::{self, Write};

/// A line that cannot be read, in one plain sentence.
#[derive(Debug)]
pub struct WireError(String);

impl WireError {
    pub fn new(text: String) -> Self {
        WireError(text)
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<DeploymentError> for WireError {
    fn from(error: DeploymentError) -> Self {
        WireError(error.to_string())
    }
}

/// The `path=value` pairs of an instance's first message.
pub fn pairs(text: &str) -> Result<Vec<(&str, &str)>, WireError> {
    let pairs = text.split('\t').filter(|p| !p.is_empty()).map(|pair| {
        pair.split_once('=')
            .ok_or_else(|| WireError(format!("setting '{pair}' has no value")))
    });
    pairs.collect()
}

/// The events of an instance that is up.
pub const EVENTS: [&str; 8] = [
    "membership",
    "arrival",
    "headers",
    "outcome",
    "lapsed",
    "due",
    "checked",
    "whisper",
];

/// One line: its name and the values not yet read.
pub struct Line<'a> {
    name: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        match text.split_once('\t') {
            Some((name, rest)) => Line {
                name,
                rest: Some(rest),
            },
            None => Line {
                name: text,
                rest: None,
            },
        }
    }

    pub fn name(&self) -> &'a str {
        self.name
    }

    /// All values not yet read.
    pub fn rest(&self) -> &'a str {
        self.rest.unwrap_or("")
    }

    fn text(&mut self, field: &str) -> Result<&'a str, WireError> {
        let rest = self
            .rest
            .ok_or_else(|| WireError(format!("{}: {field} is missing", self.name)))?;
        let (value, rest) = match rest.split_once('\t') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok(value)
    }

    fn parsed<T: std::str::FromStr>(&mut self, field: &str, what: &str) -> Result<T, WireError> {
        let value = self.text(field)?;
        value
            .parse()
            .map_err(|_| WireError(format!("{}: {field} '{value}' is not {what}", self.name)))
    }

    fn optional<T: std::str::FromStr>(
        &mut self,
        field: &str,
        what: &str,
    ) -> Result<Option<T>, WireError> {
        let value = self.text(field)?;
        if value == "-" || value.is_empty() {
            return Ok(None);
        }
        let parsed = value.parse().map(Some);
        parsed.map_err(|_| WireError(format!("{}: {field} '{value}' is not {what}", self.name)))
    }

    pub fn integer(&mut self, field: &str) -> Result<u64, WireError> {
        self.parsed(field, "a whole number")
    }

    fn request(&mut self) -> Result<RequestId, WireError> {
        Ok(RequestId(self.parsed("id", "a number below 2^32")?))
    }

    pub fn time(&mut self, field: &str) -> Result<Micros, WireError> {
        let secs: f64 = self.parsed(field, "a time")?;
        if !secs.is_finite() || secs < 0.0 {
            return Err(WireError(format!(
                "{}: {field} '{secs}' is not a time",
                self.name
            )));
        }
        Ok(Micros::from_secs_f64(secs))
    }

    fn optional_time(&mut self, field: &str) -> Result<Option<Micros>, WireError> {
        let secs: Option<f64> = self.optional(field, "a time")?;
        match secs {
            Some(secs) if !secs.is_finite() || secs < 0.0 => Err(WireError(format!(
                "{}: {field} '{secs}' is not a time",
                self.name
            ))),
            secs => Ok(secs.map(Micros::from_secs_f64)),
        }
    }

    fn flag(&mut self, field: &str) -> Result<bool, WireError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(WireError(format!(
                "{}: {field} '{other}' is neither 1 nor 0",
                self.name
            ))),
        }
    }

    /// A name among `known`; `None` where the value is absent.
    fn among(&mut self, field: &str, known: &[String]) -> Result<Option<usize>, WireError> {
        let value = self.text(field)?;
        if let Some(index) = known.iter().position(|k| k == value) {
            return Ok(Some(index));
        }
        if value == "-" || value == "0" || value.is_empty() {
            return Ok(None);
        }
        Err(WireError(format!(
            "{}: {field} '{value}' is not in the settings",
            self.name
        )))
    }
}

/// How many `item` lines follow an event.
pub fn item_count(line: &Line<'_>) -> Result<u64, WireError> {
    if line.name() != "membership" {
        return Ok(0);
    }
    let count = line.rest().split('\t').nth(2).unwrap_or("");
    count
        .parse()
        .map_err(|_| WireError(format!("membership: items '{count}' is not a whole number")))
}

/// Reads an event; `None` for one that this router has no use for.
pub fn event(
    line: &mut Line<'_>,
    names: &Names,
    reports: &LoadReportFormat,
) -> Result<Option<Event>, WireError> {
    let event = match line.name() {
        "membership" => {
            let update = match line.text("mode")? {
                "incr" => EndpointUpdate::Delta,
                "total" => EndpointUpdate::Snapshot,
                "warm_copy" => EndpointUpdate::Restored,
                "lost" => EndpointUpdate::WatchLost,
                other => {
                    return Err(WireError(format!(
                        "membership: mode '{other}' is not known"
                    )));
                }
            };
            line.integer("stamp")?;
            Event::EndpointsChanged {
                update,
                endpoints: Vec::new(),
            }
        }
        "arrival" => arrival(line, names)?,
        "headers" => Event::StreamStarted {
            id: line.request()?,
            attempt: attempt(line)?,
        },
        "outcome" => outcome(line, reports)?,
        "lapsed" => Event::ClientDisconnected {
            id: line.request()?,
        },
        "due" => Event::Timer {
            token: line.integer("name")?,
        },
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn attempt(line: &mut Line<'_>) -> Result<AttemptNumber, WireError> {
    Ok(AttemptNumber(line.parsed("trial", "an attempt's number")?))
}

fn arrival(line: &mut Line<'_>, names: &Names) -> Result<Event, WireError> {
    let id = line.request()?;
    let class = line.among("class", &names.classes)?;
    let class = class.ok_or_else(|| WireError("arrival: class is absent".into()))?;
    let tenant = line.among("owner", &names.tenants)?.map(TenantId);
    let key = line.optional("object", "a key")?;
    let expires = line.time("expires")?;
    let cost_hint = line.optional_time("size_hint")?;
    line.optional::<f64>("object_size", "a size")?;
    let retry = line.flag("repeat")?;
    let write = line.flag("update")?;
    Ok(Event::Request(Request {
        id,
        class: ClassId(class),
        tenant,
        key,
        expires,
        cost_hint,
        retry,
        write,
    }))
}

fn outcome(line: &mut Line<'_>, reports: &LoadReportFormat) -> Result<Event, WireError> {
    let id = line.request()?;
    let complete = line.flag("complete")?;
    line.text("server")?;
    let cache_status = match line.optional::<u64>("detail", "a whole number")? {
        Some(1) => Some(CacheStatus::Hit),
        Some(2) => Some(CacheStatus::Miss),
        Some(3) => Some(CacheStatus::MissPending),
        _ => None,
    };
    let outcome = match line.text("code")? {
        "success" => Outcome::Success,
        "failure" => Outcome::Failure,
        "overloaded" => Outcome::Overloaded,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::ConnectionLost,
        "withdrawn" => Outcome::Cancelled,
        "void" => Outcome::NotSent,
        "absent" => Outcome::Miss,
        other => return Err(WireError(format!("outcome: code '{other}' is not known"))),
    };
    let elapsed = line.time("elapsed")?;
    let attempt = attempt(line)?;
    let load = reports.read_row(line.text("load")?);
    Ok(Event::AttemptEnded(AttemptEnd {
        complete,
        cache_status,
        load,
        ..AttemptEnd::new(id, attempt, outcome, elapsed)
    }))
}

/// Reads one `item` line into the membership event it belongs to.
pub fn item(line: &mut Line<'_>, names: &Names, event: &mut Event) -> Result<(), WireError> {
    if line.name() != "item" {
        return Err(WireError(format!("expected item, found '{}'", line.name())));
    }
    let cell = CellId(line.optional("bay", "a whole number")?.unwrap_or(0));
    let server = ServerId::from(line.text("server")?);
    let state = match line.text("state")? {
        "Running" => EndpointState::Ready,
        "Stopping" => EndpointState::Draining,
        "Deleted" => EndpointState::Removed,
        other => return Err(WireError(format!("item: state '{other}' is not known"))),
    };
    let zone = line.among("dc", &names.zones)?.map(ZoneId);
    let kind = line.among("class_of_host", &names.kinds)?.map(KindId);
    let started = line.optional_time("start_time")?.unwrap_or_default();
    let weight = line.optional("weight", "a number")?.unwrap_or(1.0);
    if let Event::EndpointsChanged { endpoints, .. } = event {
        endpoints.push(Endpoint {
            server,
            state,
            zone,
            cell,
            kind,
            started,
            weight,
        });
    }
    Ok(())
}

/// Writes one action.
pub fn write(to: &mut impl Write, router: u64, action: &Action) -> io::Result<()> {
    match action {
        // The simulator writes a command the moment it is sent: nothing is late to start.
        Action::Send {
            id,
            server,
            timeout,
            start_within: _,
        } => {
            let timeout = timeout.map_or(0.0, Micros::as_secs_f64);
            writeln!(to, "send\t{router}\t{}\t{server}\t{timeout}", id.0)
        }
        Action::Cancel { id, attempt } => {
            writeln!(to, "retract\t{router}\t{}\t{}", id.0, attempt.0)
        }
        Action::Reject { id, retry_after } => {
            let pause = retry_after.map_or(0.0, Micros::as_secs_f64);
            writeln!(to, "busy\t{router}\t{}\t{pause}", id.0)
        }
        Action::Fail { id } => writeln!(to, "error\t{router}\t{}", id.0),
        Action::SetTimer { after, token } => {
            writeln!(to, "sleep\t{router}\t{}\t{token}", after.as_secs_f64())
        }
        Action::CloseIdle { server } => writeln!(to, "let_go\t{router}\t{server}"),
        Action::Subscribe => writeln!(to, "follow\t{router}\t1"),
        Action::Log(text) => writeln!(to, "emit\t{router}\t{}", text.replace(['\n', '\t'], " ")),
    }
}
