//! Encodes metrics in the OpenMetrics text format with `prometheus-client`.
//!
//! Requests update plain counters of the router's thread, which are encoded when the metrics are
//! read. Operators scrape the metrics by name, so the names must not change; this module maps them
//! to the names of this code.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use router_runtime::memory_budget::PRESSURE_EVENTS;
use router_runtime::{ClassCounts, Metrics};
use std::fmt;

/// Content type of the text that [`encode`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Prefix of all metric names.
const NAME_PREFIX: &str = "router";

/// Encodes metrics in the OpenMetrics text format.
pub fn encode(metrics: Metrics) -> String {
    let mut registry = Registry::with_prefix(NAME_PREFIX);
    registry.register_collector(Box::new(MetricsCollector(metrics)));
    let mut encoded = String::new();
    // Writing to a `String` cannot fail.
    let _ = text::encode(&mut encoded, &registry);
    encoded
}

/// Selects one of the counts of a request class.
type ClassCount = fn(&ClassCounts) -> u64;

#[derive(Debug)]
struct MetricsCollector(Metrics);

impl Collector for MetricsCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        self.encode_requests_by_class(&mut encoder)?;
        self.encode_counters(&mut encoder)?;
        self.encode_gauges(&mut encoder)?;
        self.encode_memory(&mut encoder)
    }
}

impl MetricsCollector {
    fn encode_requests_by_class(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let families: [(&str, &str, ClassCount); 3] = [
            ("passed", "Requests served", |counts| counts.served),
            ("dropped", "Requests refused", |counts| counts.rejected),
            ("bad_gateway", "Requests failed", |counts| counts.failed),
        ];
        for (name, help, count) in families {
            let metric_type = ConstCounter::new(0_u64).metric_type();
            let mut family = encoder.encode_descriptor(name, help, None, metric_type)?;
            for (class, counts) in &self.0.requests_by_class {
                let labels = [("category", class.as_str())];
                ConstCounter::new(count(counts)).encode(family.encode_family(&labels)?)?;
            }
        }
        Ok(())
    }

    fn encode_memory(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let gauge_type = ConstGauge::new(0_u64).metric_type();
        let help = "Memory held for peers";
        let mut family = encoder.encode_descriptor("memory_held_bytes", help, None, gauge_type)?;
        for held in self.0.memory.held() {
            let labels = [("budget", held.name)];
            ConstGauge::new(held.bytes as u64).encode(family.encode_family(&labels)?)?;
        }
        let counter_type = ConstCounter::new(0_u64).metric_type();
        let help = "Events for lack of memory";
        let mut family = encoder.encode_descriptor("memory_short", help, None, counter_type)?;
        for ((_, name), count) in PRESSURE_EVENTS.iter().zip(self.0.memory.pressure) {
            let labels = [("event", *name)];
            ConstCounter::new(count).encode(family.encode_family(&labels)?)?;
        }
        Ok(())
    }

    fn encode_counters(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let counters = [
            (
                "upstream_tries",
                "Attempts written whole to cache servers",
                self.0.attempts_written,
            ),
            (
                "discovery_calls",
                "Calls to discovery",
                self.0.discovery_calls,
            ),
        ];
        for (name, help, count) in counters {
            let counter = ConstCounter::new(count);
            let metric_type = counter.metric_type();
            counter.encode(encoder.encode_descriptor(name, help, None, metric_type)?)?;
        }
        Ok(())
    }

    fn encode_gauges(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let metrics = &self.0;
        let gauges = [
            (
                "in_progress",
                "Requests taken and not ended",
                metrics.in_progress,
            ),
            (
                "known_cache_servers",
                "Cache servers in the list",
                metrics.endpoints_listed,
            ),
            (
                "skipped_cache_servers",
                "Listed cache servers that are avoided now",
                metrics.endpoints_avoided,
            ),
            (
                "address_conflicts",
                "Cache servers listed as ready at an address that another process has",
                metrics.endpoints_without_address,
            ),
            (
                "list_version",
                "Version of the list of cache servers",
                usize::try_from(metrics.list_version).unwrap_or(usize::MAX),
            ),
        ];
        for (name, help, value) in gauges {
            let gauge = ConstGauge::new(value as i64);
            let metric_type = gauge.metric_type();
            gauge.encode(encoder.encode_descriptor(name, help, None, metric_type)?)?;
        }
        Ok(())
    }
}
