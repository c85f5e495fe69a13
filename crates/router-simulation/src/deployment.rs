//! The routers' settings in a simulation, and the parameters of the rules that follow from them.

use crate::executor::Time;
use crate::fault_plan::{CLASSES, MILLI, SECOND};
use crate::invariant_checker::{
    CoalescingParameters, DeduplicationScope as CheckedScope, Idempotency as CheckedIdempotency,
    OverloadSlack, RuleParameters,
};
use load_balancer::deployment::{Deployment, Names};
use load_balancer::{
    Class, DeduplicationScope, DiscoveryMode, Idempotency, Limits, LoadReportFormat, Micros, Rules,
    Settings, Tenant,
};
use request_coalescing::{CoalescingFile, CoalescingRules};

/// How long after its deadline a request may be answered.
const ANSWER_GRACE: Time = 20 * MILLI;
/// How long a router may still send to a server after it learns of a drain.
const DRAIN_GRACE: Time = 250 * MILLI;
/// The maximum number of attempts of one request.
const MAX_ATTEMPT_COUNT: u32 = 5;
/// The number of flights for one key that new reads may join.
const FLIGHTS_PER_KEY: usize = 2;

/// The settings of a request class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassParameters {
    /// In microseconds.
    pub(crate) deadline: Time,
    pub(crate) priority_weight: f64,
}

/// The settings that differ between simulated deployments. Times are in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct DeploymentParameters {
    /// Whether an agent pushes endpoint lists to each router.
    pub lists_are_pushed: bool,
    pub(crate) zone_count: usize,
    /// The settings of each class of [`CLASSES`].
    pub(crate) classes: [ClassParameters; 4],
    pub(crate) latency_objective: Time,
    pub(crate) deduplication_window: Time,
    /// The lowest ratio of its full capacity with which a server starts.
    pub(crate) initial_capacity_ratio: f64,
    pub(crate) slow_start_duration: Time,
    pub(crate) overload_multiple: f64,
    pub(crate) overload_duration: Time,
    pub(crate) hedging: bool,
    pub(crate) idle_timeout: Time,
    pub(crate) dial_timeout: Time,
}

impl DeploymentParameters {
    /// Returns the deployment of a router.
    pub(crate) fn deployment(&self) -> Deployment {
        let text = |names: &[&str]| names.iter().map(|name| (*name).to_string()).collect();
        let zones = (0..self.zone_count).map(|zone| format!("z{zone}"));
        Deployment {
            settings: self.settings(),
            router_number: None,
            names: Names {
                classes: text(&CLASSES),
                tenants: text(&["t0", "t1"]),
                zones: zones.collect(),
                kinds: text(&["m"]),
            },
            dial_timeout: Micros(self.dial_timeout),
            report_format: LoadReportFormat::default(),
        }
    }

    fn settings(&self) -> Settings {
        let tenant = Tenant {
            quota_per_s: 30.0,
            share: 0.5,
        };
        Settings {
            classes: self.classes(),
            tenants: vec![tenant; 2],
            discovery: self.discovery_mode(),
            rules: self.rules(),
            limits: Limits {
                max_attempts: MAX_ATTEMPT_COUNT,
                cancel: true,
                hedging: self.hedging,
                retry_after: true,
                max_retry_after: Micros(SECOND),
            },
            connection_idle_timeout: Micros(self.idle_timeout),
            connection_costs: Default::default(),
            origin_collapses_under_overload: false,
            ..Settings::default()
        }
    }

    fn discovery_mode(&self) -> DiscoveryMode {
        if self.lists_are_pushed {
            return DiscoveryMode::Push;
        }
        DiscoveryMode::Subscribe {
            poll_within: Micros(10 * SECOND),
        }
    }

    fn classes(&self) -> Vec<Class> {
        let keyed = |scope| Idempotency::Keyed {
            scope,
            deduplication_window: Micros(self.deduplication_window),
        };
        let idempotency = [
            Idempotency::Idempotent,
            keyed(DeduplicationScope::All),
            keyed(DeduplicationScope::Zone),
            Idempotency::NotIdempotent,
        ];
        let class = |(class, idempotency): (&ClassParameters, Idempotency)| Class {
            latency_objective: Micros(self.latency_objective),
            deadline: Micros(class.deadline),
            priority_weight: class.priority_weight,
            late_weight: 0.5,
            idempotency,
        };
        self.classes.iter().zip(idempotency).map(class).collect()
    }

    fn rules(&self) -> Rules {
        Rules {
            answer_grace: Micros(ANSWER_GRACE),
            drain_grace: Micros(DRAIN_GRACE),
            initial_capacity_ratio: self.initial_capacity_ratio,
            slow_start_duration: Micros(self.slow_start_duration),
            overload_multiple: self.overload_multiple,
            overload_duration: Micros(self.overload_duration),
            drain_close: None,
        }
    }

    /// Returns the parameters of the rules for routers of this deployment. `receive_window` is the
    /// size in bytes for each connection. No reads are coalesced, and there are no crowds.
    pub(crate) fn rule_parameters(&self, receive_window: usize) -> RuleParameters {
        let keyed = |scope| CheckedIdempotency::Keyed(scope, self.deduplication_window);
        let idempotency = [
            CheckedIdempotency::Idempotent,
            keyed(CheckedScope::All),
            keyed(CheckedScope::Zone),
            CheckedIdempotency::NotIdempotent,
        ];
        let names = CLASSES.iter().map(|name| (*name).to_string());
        RuleParameters {
            classes: names.zip(idempotency).collect(),
            answer_grace: ANSWER_GRACE,
            drain_grace: DRAIN_GRACE,
            lists_are_pushed: self.lists_are_pushed,
            max_attempts: MAX_ATTEMPT_COUNT as usize,
            hedging: self.hedging,
            overload_multiple: self.overload_multiple,
            overload_duration: self.overload_duration,
            receive_window,
            overload_slack: OverloadSlack::Work(0.0),
            coalescing: None,
            first_crowd_request_id: u64::MAX,
        }
    }
}

/// Returns the parameters of the coalescing rule where reads of the first class are coalesced.
pub(crate) fn coalescing_parameters() -> CoalescingParameters {
    CoalescingParameters {
        class: CLASSES[0].to_string(),
        max_flights_per_key: FLIGHTS_PER_KEY,
    }
}

/// Returns the coalescing rules of a router for reads of the first class.
pub(crate) fn coalescing_rules(deployment: &Deployment) -> Option<CoalescingRules> {
    let file = CoalescingFile {
        classes: vec![CLASSES[0].to_string()],
        ..CoalescingFile::default()
    };
    match file.rules(deployment) {
        Ok(rules) => rules,
        Err(error) => panic!("the settings of the simulation are invalid: {error}"),
    }
}
