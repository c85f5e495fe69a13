//! The figures in the text form of Prometheus and OpenMetrics, written by `prometheus-client`.
//!
//! The request path counts in plain cells of its own thread; the library sees them when somebody asks.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use router_runtime::Metrics;
use std::fmt;

/// The media type of [`text()`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// How many of one class came to an end.
type Count = fn(&router_runtime::ClassCounts) -> u64;

#[derive(Debug)]
struct Shown(Metrics);

impl Collector for Shown {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let figures = &self.0;
        let by_class: [(&str, &str, Count); 3] = [
            ("passed", "Requests served", |ends| ends.served),
            ("dropped", "Requests refused", |ends| ends.rejected),
            ("bad_gateway", "Requests failed", |ends| ends.failed),
        ];
        for (name, help, count) in by_class {
            let kind = ConstCounter::new(0_u64).metric_type();
            let mut family = encoder.encode_descriptor(name, help, None, kind)?;
            for (class, ends) in &figures.requests_by_class {
                let labels = [("category", class.as_str())];
                ConstCounter::new(count(ends)).encode(family.encode_family(&labels)?)?;
            }
        }
        let attempts_written = ConstCounter::new(figures.attempts_written);
        let help = "Attempts written whole to cache servers";
        attempts_written.encode(encoder.encode_descriptor(
            "upstream_tries",
            help,
            None,
            attempts_written.metric_type(),
        )?)?;
        for (name, help, value) in [
            (
                "in_progress",
                "Requests taken and not ended",
                figures.in_progress,
            ),
            (
                "known_cache_servers",
                "Cache servers in the list",
                figures.endpoints_listed,
            ),
            (
                "skipped_cache_servers",
                "Listed cache servers that are avoided now",
                figures.endpoints_avoided,
            ),
        ] {
            let gauge = ConstGauge::new(value as i64);
            gauge.encode(encoder.encode_descriptor(name, help, None, gauge.metric_type())?)?;
        }
        Ok(())
    }
}

/// The figures, a line each.
pub fn text(figures: Metrics) -> String {
    let mut registry = Registry::with_prefix("router");
    registry.register_collector(Box::new(Shown(figures)));
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = text::encode(&mut out, &registry);
    out
}
