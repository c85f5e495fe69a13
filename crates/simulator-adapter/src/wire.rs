//! Mapping between the simulator's line protocol and the router's events and actions. The names of
//! the protocol are defined by the simulator.

use crate::error::WireError;
use crate::line::Line;
use load_balancer::deployment::Names;
use load_balancer::{
    Action, AttemptEnd, AttemptNumber, CacheStatus, CellId, ClassId, Endpoint, EndpointState,
    EndpointUpdate, Event, LoadReportFormat, MachineKindId, Micros, Outcome, ProcessAge, Request,
    ServerId, TenantId, WallTime, ZoneId,
};
use std::io::{self, Write};

/// Weight of a server without a weight in the protocol.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Splits the settings of an `up` line into pairs of path and value.
pub fn split_settings(text: &str) -> Result<Vec<(&str, &str)>, WireError> {
    let pairs = text.split('\t').filter(|pair| !pair.is_empty());
    pairs.map(split_setting).collect()
}

fn split_setting(pair: &str) -> Result<(&str, &str), WireError> {
    pair.split_once('=')
        .ok_or_else(|| WireError::SettingWithoutValue { pair: pair.into() })
}

/// Whether lines of this name are events for a running router.
pub fn is_event(name: &str) -> bool {
    matches!(
        name,
        "membership" | "arrival" | "headers" | "outcome" | "lapsed" | "due" | "checked" | "whisper"
    )
}

/// Number of `item` lines that follow an event.
pub fn item_count(line: &Line<'_>) -> Result<u64, WireError> {
    if line.name() != "membership" {
        return Ok(0);
    }
    let count = line.rest().split('\t').nth(2).unwrap_or("");
    count
        .parse()
        .map_err(|_| line.invalid_value("items", count, "a whole number"))
}

/// Reads an event; `None` if the router does not use events of this kind.
pub fn event(
    line: &mut Line<'_>,
    names: &Names,
    reports: &LoadReportFormat,
) -> Result<Option<Event>, WireError> {
    let event = match line.name() {
        "membership" => endpoints_changed(line)?,
        "arrival" => Event::Request(request(line, names)?),
        "headers" => Event::StreamStarted {
            id: line.request_id()?,
            attempt: attempt_number(line)?,
        },
        "outcome" => Event::AttemptEnded(attempt_end(line, reports)?),
        "lapsed" => Event::ClientDisconnected {
            id: line.request_id()?,
        },
        "due" => Event::Timer {
            token: line.integer("name")?,
        },
        _ => return Ok(None),
    };
    Ok(Some(event))
}

/// Reads an endpoint list update; its entries follow as `item` lines.
fn endpoints_changed(line: &mut Line<'_>) -> Result<Event, WireError> {
    let update = match line.text("mode")? {
        "incr" => EndpointUpdate::Delta,
        "total" => EndpointUpdate::Snapshot,
        "warm_copy" => EndpointUpdate::Restored,
        "lost" => EndpointUpdate::WatchLost,
        other => return Err(line.invalid_value("mode", other, "known")),
    };
    line.integer("stamp")?;
    Ok(Event::EndpointsChanged {
        update,
        endpoints: Vec::new(),
    })
}

fn attempt_number(line: &mut Line<'_>) -> Result<AttemptNumber, WireError> {
    Ok(AttemptNumber(line.parsed("trial", "an attempt's number")?))
}

fn request(line: &mut Line<'_>, names: &Names) -> Result<Request, WireError> {
    let id = line.request_id()?;
    let class = line.name_index("class", &names.classes)?;
    let class = class.ok_or_else(|| WireError::AbsentField {
        line: line.name().into(),
        field: "class",
    })?;
    let tenant = line.name_index("owner", &names.tenants)?.map(TenantId);
    let key = line.optional("object", "a key")?;
    let expires = line.time("expires")?;
    let cost_hint = line.optional_time("size_hint")?;
    line.optional::<f64>("object_size", "a size")?;
    Ok(Request {
        id,
        class: ClassId(class),
        tenant,
        key,
        expires,
        cost_hint,
        retry: line.flag("repeat")?,
        write: line.flag("update")?,
    })
}

fn attempt_end(line: &mut Line<'_>, reports: &LoadReportFormat) -> Result<AttemptEnd, WireError> {
    let id = line.request_id()?;
    let is_answered = line.flag("complete")?;
    line.text("server")?;
    let cache_status = cache_status(line)?;
    let outcome = outcome(line)?;
    let elapsed = line.time("elapsed")?;
    let attempt = attempt_number(line)?;
    let load = reports.read_row(line.text("load")?);
    Ok(AttemptEnd {
        is_answered,
        cache_status,
        load,
        ..AttemptEnd::new(id, attempt, outcome, elapsed)
    })
}

fn cache_status(line: &mut Line<'_>) -> Result<Option<CacheStatus>, WireError> {
    let code = line.optional::<u64>("detail", "a whole number")?;
    Ok(match code {
        Some(1) => Some(CacheStatus::Hit),
        Some(2) => Some(CacheStatus::Miss),
        Some(3) => Some(CacheStatus::MissPending),
        _ => None,
    })
}

fn outcome(line: &mut Line<'_>) -> Result<Outcome, WireError> {
    Ok(match line.text("code")? {
        "success" => Outcome::Success,
        "failure" => Outcome::Failure,
        "overloaded" => Outcome::Overloaded,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::ConnectionLost,
        "withdrawn" => Outcome::Cancelled,
        "void" => Outcome::NotSent,
        "absent" => Outcome::Miss,
        other => return Err(line.invalid_value("code", other, "known")),
    })
}

/// Reads an `item` line: an entry of the endpoint list, received at `now`. All times of the simulator
/// are on one clock.
pub fn endpoint(line: &mut Line<'_>, names: &Names, now: Micros) -> Result<Endpoint, WireError> {
    if line.name() != "item" {
        return Err(WireError::UnexpectedLine {
            expected: "item",
            found: line.name().into(),
        });
    }
    let cell = CellId(line.optional("bay", "a whole number")?.unwrap_or(0));
    let server = ServerId::from(line.text("server")?);
    let state = endpoint_state(line)?;
    let zone = line.name_index("dc", &names.zones)?.map(ZoneId);
    let kind = line
        .name_index("class_of_host", &names.kinds)?
        .map(MachineKindId);
    let started = line.optional_time("start_time")?.unwrap_or_default();
    let age = match started {
        Micros(0) => ProcessAge::Old,
        started => ProcessAge::Known(now.since(started)),
    };
    let weight = line.optional("weight", "a number")?;
    Ok(Endpoint {
        server,
        state,
        zone,
        cell,
        kind,
        address: None,
        started: WallTime::from_unix_micros(started.0),
        age,
        weight: weight.unwrap_or(DEFAULT_WEIGHT),
    })
}

fn endpoint_state(line: &mut Line<'_>) -> Result<EndpointState, WireError> {
    Ok(match line.text("state")? {
        "Running" => EndpointState::Ready,
        "Stopping" => EndpointState::Draining,
        "Deleted" => EndpointState::Removed,
        other => return Err(line.invalid_value("state", other, "known")),
    })
}

/// Writes an action of a router.
pub fn write_action(output: &mut impl Write, router: u64, action: &Action) -> io::Result<()> {
    match action {
        // The simulator writes a command immediately, so `write_within` is never exceeded.
        Action::Send {
            id,
            server,
            timeout,
            write_within: _,
        } => {
            let timeout = timeout.map_or(0.0, Micros::as_secs_f64);
            writeln!(output, "send\t{router}\t{}\t{server}\t{timeout}", id.0)
        }
        Action::Cancel { id, attempt } => {
            writeln!(output, "retract\t{router}\t{}\t{}", id.0, attempt.0)
        }
        Action::Reject { id, retry_after } => {
            let pause = retry_after.map_or(0.0, Micros::as_secs_f64);
            writeln!(output, "busy\t{router}\t{}\t{pause}", id.0)
        }
        Action::Fail { id } => writeln!(output, "error\t{router}\t{}", id.0),
        Action::SetTimer { after, token } => {
            let seconds = after.as_secs_f64();
            writeln!(output, "sleep\t{router}\t{seconds}\t{token}")
        }
        Action::CloseIdle { server } => writeln!(output, "let_go\t{router}\t{server}"),
        Action::Subscribe => writeln!(output, "follow\t{router}\t1"),
        Action::Log(text) => writeln!(output, "emit\t{router}\t{}", without_separators(text)),
    }
}

/// Reports the panic of a router.
pub fn write_crash(output: &mut impl Write, router: u64, cause: &str) -> io::Result<()> {
    writeln!(output, "crash\t{router}\t{}", without_separators(cause))
}

/// Reports that all events of a batch are processed.
pub fn write_batch_end(output: &mut impl Write) -> io::Result<()> {
    output.write_all(b"yield\n")
}

/// Replaces line breaks and tabs, so that the text is one value of a line.
fn without_separators(text: &str) -> String {
    text.replace(['\n', '\t'], " ")
}
