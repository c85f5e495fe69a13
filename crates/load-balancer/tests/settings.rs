//! Invalid settings are refused with an error that has their path and the reason.

mod common;

use common::*;
use load_balancer::*;

#[test]
fn an_unusable_setting_is_named_with_its_path() {
    type Change = fn(&mut Settings);
    let cases: [(Change, &str); 11] = [
        (|s| s.routers = 0, "setting routers: must be at least 1"),
        (
            |s| s.classes.clear(),
            "setting classes: at least one class is needed",
        ),
        (
            |s| s.classes[1].latency_objective = Micros(0),
            "setting classes.1.aim: must be above zero",
        ),
        (
            |s| s.classes[0].deadline = Micros(0),
            "setting classes.0.deadline: must be above zero",
        ),
        (
            |s| s.classes[0].priority_weight = -1.0,
            "setting classes.0.worth: must be a number of at least zero",
        ),
        (
            |s| s.classes[0].late_weight = f64::NAN,
            "setting classes.0.late_worth: must be a number of at least zero",
        ),
        (
            |s| {
                s.tenants = vec![Tenant {
                    quota_per_s: 1.0,
                    share: f64::INFINITY,
                }];
            },
            "setting tenants.0.share: must be a number of at least zero",
        ),
        (
            |s| s.over_quota_weight = -0.5,
            "setting over_quota_worth: must be a number of at least zero",
        ),
        (
            |s| s.rules.initial_capacity_ratio = 1.5,
            "setting rules.cold_share: must lie between 0 and 1",
        ),
        (
            |s| s.rules.overload_multiple = f64::NAN,
            "setting rules.fall_multiple: must be a number of at least zero",
        ),
        (
            |s| s.limits.max_attempts = 0,
            "setting limits.max_attempts: must be at least 1",
        ),
    ];
    for (change, message) in cases {
        let mut settings = settings();
        change(&mut settings);
        let error = Router::new(settings, 1).err().expect(message);
        assert_eq!(error.to_string(), message);
    }
}
