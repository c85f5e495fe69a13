//! What cache servers say of themselves: the load report that some deployments attach to each answer.
//!
//! The settings name the fields and their order (`stats.columns`, `specifics.report_x0` and `..x1`). Reports are
//! late and noisy, and a server may be wrong about itself: what cannot be a figure of its kind is left out here, and
//! what the rest is worth is decided in `src/reports.rs`.

use crate::api::Micros;

/// Fields that are read of one report; a deployment names four at most.
const MOST_FIELDS: usize = 8;
/// No server holds, queues or fetches more; a figure past it is noise.
const MOST_REQUESTS: f64 = 1e6;
/// No server takes longer for one request, in milliseconds; a figure past it is noise.
const LONGEST_SERVICE: f64 = 600_000.0;
/// How busy cores are, as a share: what is past it is noise (a percentage, say).
const MOST_BUSY: f64 = 1.5;

/// One server's report; each figure only where it came and can be one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The busy share of its cores, 0 to 1 but for noise.
    pub cpu_utilization: Option<f64>,
    /// Requests that wait for a core.
    pub queue_length: Option<f64>,
    /// What a request takes there lately, without waiting.
    pub service_time: Option<Micros>,
    /// Fetches from the origin that it has out.
    pub fetches_in_flight: Option<f64>,
}

/// A field that a report may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Field {
    CpuUtilization,
    Queue,
    Service,
    Fetches,
    /// One that no decision has a use for.
    Other,
}

impl LoadReport {
    fn set(&mut self, field: Field, text: &str) {
        let Ok(value) = text.trim().parse::<f64>() else {
            return;
        };
        let within = |most: f64| Some(value).filter(|v| (0.0..=most).contains(v));
        match field {
            Field::CpuUtilization => self.cpu_utilization = within(MOST_BUSY),
            Field::Queue => self.queue_length = within(MOST_REQUESTS),
            Field::Service => {
                self.service_time =
                    within(LONGEST_SERVICE).map(|millis| Micros::from_secs_f64(millis / 1e3));
            }
            Field::Fetches => self.fetches_in_flight = within(MOST_REQUESTS),
            Field::Other => {}
        }
    }
}

/// The fields of a deployment's reports, under the name that each has in a report's text and in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFormat(Vec<(String, Field)>);

impl LoadReportFormat {
    /// From the settings: the names in order, and what `x0` and `x1` are where they are named.
    pub fn new(names: &[String], meanings: [&str; 2]) -> LoadReportFormat {
        let own = |meaning: &str| {
            if meaning == "fetches_out" {
                Field::Fetches
            } else {
                Field::Other
            }
        };
        let field = |name: &str| match name {
            "utilization" | "util" => Field::CpuUtilization,
            "backlog" | "queue" => Field::Queue,
            "recent_ms" | "latency_ms" => Field::Service,
            "x0" => own(meanings[0]),
            "x1" => own(meanings[1]),
            _ => Field::Other,
        };
        LoadReportFormat(
            names
                .iter()
                .take(MOST_FIELDS)
                .map(|name| (name.clone(), field(name)))
                .collect(),
        )
    }

    /// Whether answers bring reports at all.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// A row of values set apart by commas, in the order of the fields.
    pub fn read_row(&self, row: &str) -> Option<LoadReport> {
        let mut load = LoadReport::default();
        self.0
            .iter()
            .zip(row.split(','))
            .for_each(|((_, field), text)| load.set(*field, text));
        Some(load).filter(|load| *load != LoadReport::default())
    }

    /// Names and values as on the sockets: `util=0.61,queue=2`. The settings may call a field otherwise than the
    /// reports do, so both names count.
    pub fn read_pairs(&self, text: &str) -> Option<LoadReport> {
        let mut load = LoadReport::default();
        for (name, value) in text
            .split(',')
            .take(MOST_FIELDS)
            .filter_map(|pair| pair.split_once('='))
        {
            let name = name.trim();
            let known = self
                .0
                .iter()
                .find(|(known, _)| known == name || also_called(known) == name);
            known.iter().for_each(|(_, field)| load.set(*field, value));
        }
        Some(load).filter(|load| *load != LoadReport::default())
    }
}

/// The simulator's settings and the sockets' reports have different names for the same fields.
fn also_called(name: &str) -> &str {
    match name {
        "utilization" => "util",
        "backlog" => "queue",
        "recent_ms" => "latency_ms",
        other => other,
    }
}
