//! Load reports: what cache servers tell of themselves, with each answer of some deployments.
//!
//! The settings name the fields and their order (`stats.columns`, `specifics.report_x0` and `..x1`). Reports are late
//! and noisy; a figure that cannot be one of its kind is left out here.

use crate::time::Micros;

/// Fields that are read of one report; a deployment names four at most.
const MAX_FIELD_COUNT: usize = 8;
/// The largest credible number of requests in a queue or of fetches.
const MAX_REQUEST_COUNT: f64 = 1e6;
/// The largest credible service time.
const MAX_SERVICE_MS: f64 = 600_000.0;
/// The largest credible busy share of cores: more is noise, or a percentage.
const MAX_BUSY_RATIO: f64 = 1.5;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// The load report of one server; each figure only where it came and is credible.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The busy share of its cores, 0 to 1 but for noise.
    pub cpu_utilization: Option<f64>,
    /// Requests that wait for a core.
    pub queue_length: Option<f64>,
    /// How long a request takes there lately, without waiting.
    pub service_time: Option<Micros>,
    /// Fetches from the origin that it has in flight.
    pub fetches_in_flight: Option<f64>,
}

/// A field of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Field {
    CpuUtilization,
    QueueLength,
    ServiceTime,
    FetchesInFlight,
    /// One that no decision uses.
    Unused,
}

/// A field and its name in the text of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Column {
    name: String,
    field: Field,
}

impl Column {
    /// Whether a report calls it so: as the settings do, or by the other name of the same field.
    fn matches_name(&self, name: &str) -> bool {
        self.name == name || wire_name(&self.name) == name
    }
}

impl LoadReport {
    fn set(&mut self, field: Field, text: &str) {
        let Ok(value) = text.trim().parse::<f64>() else {
            return;
        };
        let up_to = |max: f64| Some(value).filter(|value| (0.0..=max).contains(value));
        match field {
            Field::CpuUtilization => self.cpu_utilization = up_to(MAX_BUSY_RATIO),
            Field::QueueLength => self.queue_length = up_to(MAX_REQUEST_COUNT),
            Field::ServiceTime => {
                let time = |millis: f64| Micros::from_secs_f64(millis / MS_PER_S);
                self.service_time = up_to(MAX_SERVICE_MS).map(time);
            }
            Field::FetchesInFlight => self.fetches_in_flight = up_to(MAX_REQUEST_COUNT),
            Field::Unused => {}
        }
    }

    /// The report, unless nothing in it was credible.
    fn non_empty(self) -> Option<LoadReport> {
        (self != LoadReport::default()).then_some(self)
    }
}

/// The fields of a deployment's reports, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFormat(Vec<Column>);

impl LoadReportFormat {
    /// From the settings: the names in order, and what `x0` and `x1` mean where they are among them.
    pub fn new(names: &[String], extra_meanings: [&str; 2]) -> LoadReportFormat {
        let column = |name: &String| Column {
            name: name.clone(),
            field: field(name, extra_meanings),
        };
        LoadReportFormat(names.iter().take(MAX_FIELD_COUNT).map(column).collect())
    }

    /// Whether answers carry no reports.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Reads a row of values separated by commas, in the order of the fields. `None` if nothing in it is credible.
    pub fn read_row(&self, row: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for (column, text) in self.0.iter().zip(row.split(',')) {
            report.set(column.field, text);
        }
        report.non_empty()
    }

    /// Reads names and values as on the sockets, such as `util=0.61,queue=2`. `None` if nothing in it is credible.
    pub fn read_pairs(&self, text: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        let pairs = text.split(',').take(MAX_FIELD_COUNT);
        for (name, value) in pairs.filter_map(|pair| pair.split_once('=')) {
            let name = name.trim();
            if let Some(column) = self.0.iter().find(|column| column.matches_name(name)) {
                report.set(column.field, value);
            }
        }
        report.non_empty()
    }
}

/// The field of a name in the settings.
fn field(name: &str, extra_meanings: [&str; 2]) -> Field {
    match name {
        "utilization" | "util" => Field::CpuUtilization,
        "backlog" | "queue" => Field::QueueLength,
        "recent_ms" | "latency_ms" => Field::ServiceTime,
        "x0" => extra_field(extra_meanings[0]),
        "x1" => extra_field(extra_meanings[1]),
        _ => Field::Unused,
    }
}

/// The field of a meaning that the settings give to `x0` or `x1`.
fn extra_field(meaning: &str) -> Field {
    match meaning {
        "fetches_out" => Field::FetchesInFlight,
        _ => Field::Unused,
    }
}

/// The settings and the reports on sockets have different names for the same fields.
fn wire_name(name: &str) -> &str {
    match name {
        "utilization" => "util",
        "backlog" => "queue",
        "recent_ms" => "latency_ms",
        other => other,
    }
}
