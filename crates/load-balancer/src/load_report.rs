//! Load reports, which the cache servers of some deployments send with each answer.
//!
//! The settings define the fields and their order (`stats.columns`, `specifics.report_x0` and
//! `specifics.report_x1`). Reports are delayed and noisy; implausible values are ignored.

use crate::time::Micros;

/// Maximum number of fields that are read from one report; a deployment defines at most four.
const MAX_FIELD_COUNT: usize = 8;
/// The largest plausible number of queued requests or of fetches in flight.
const MAX_REQUEST_COUNT: f64 = 1e6;
/// The largest plausible service time.
const MAX_SERVICE_MS: f64 = 600_000.0;
/// The largest plausible CPU utilization. A larger value is noise or a percentage.
const MAX_BUSY_RATIO: f64 = 1.5;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// The load report of a server. Each value is present only if it was received and is plausible.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// CPU utilization, 0 to 1 except for noise.
    pub cpu_utilization: Option<f64>,
    /// Number of requests that wait for a core.
    pub queue_length: Option<f64>,
    /// Recent service time of a request, without queueing.
    pub service_time: Option<Micros>,
    /// Number of origin fetches in flight from the server.
    pub fetches_in_flight: Option<f64>,
}

/// A field of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Field {
    CpuUtilization,
    QueueLength,
    ServiceTime,
    FetchesInFlight,
    /// A field that is not used.
    Unused,
}

/// A field and its name in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Column {
    name: String,
    field: Field,
}

impl Column {
    /// Whether a name in a report is that of this column: its name in the settings or its wire
    /// name.
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

    /// The report, unless it has no plausible value.
    fn non_empty(self) -> Option<LoadReport> {
        (self != LoadReport::default()).then_some(self)
    }
}

/// The fields of the load reports of a deployment, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFormat(Vec<Column>);

impl LoadReportFormat {
    /// Creates the format from the field names in order and the meanings of the extra fields `x0`
    /// and `x1`.
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

    /// Reads a row of values separated by commas, in the order of the fields. `None` if no value is
    /// plausible.
    pub fn read_row(&self, row: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for (column, text) in self.0.iter().zip(row.split(',')) {
            report.set(column.field, text);
        }
        report.non_empty()
    }

    /// Reads pairs of a wire name and a value, such as `util=0.61,queue=2`. `None` if no value is
    /// plausible.
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

/// The field with a name in the settings.
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

/// The field for the meaning that the settings give to the extra field `x0` or `x1`.
fn extra_field(meaning: &str) -> Field {
    match meaning {
        "fetches_out" => Field::FetchesInFlight,
        _ => Field::Unused,
    }
}

/// The name of a field in answers on the wire, which differs from the name in the settings.
fn wire_name(name: &str) -> &str {
    match name {
        "utilization" => "util",
        "backlog" => "queue",
        "recent_ms" => "latency_ms",
        other => other,
    }
}
