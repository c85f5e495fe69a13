//! Admission by priority: how much of a server's limit each request may use.

mod common;

use common::*;
use load_balancer::*;

#[test]
fn a_class_of_higher_priority_gets_more_of_a_limit() {
    let mut settings = settings();
    settings.classes[1].priority_weight = 8.0;
    let mut rig = TestRouter::new(settings, ready(1));
    let admitted_count = |rig: &mut TestRouter, class| {
        (0..30)
            .filter(|_| sent(&rig.request(class, 7).1).is_some())
            .count()
    };
    let admitted_reads = admitted_count(&mut rig, 0);
    assert!(admitted_reads > 0);
    assert!(
        admitted_count(&mut rig, 1) > 0,
        "no capacity was left for the class of higher priority"
    );
}

/// Guards the shares of tenants: a tenant far over its share may use less of each limit than the
/// others, so that it does not take all capacity.
#[test]
fn a_tenant_over_its_share_leaves_capacity_to_others() {
    let mut settings = settings();
    settings.tenants = vec![
        Tenant {
            quota_per_s: 10.0,
            share: 0.5,
        },
        Tenant {
            quota_per_s: 10.0,
            share: 0.5,
        },
    ];
    let mut rig = TestRouter::new(settings, ready(1));
    let mut next_id = 1_000_000;
    let mut is_sent = |rig: &mut TestRouter, tenant| {
        next_id += 1;
        rig.now = rig.now.plus(ms(5));
        let request = Request {
            id: RequestId(next_id),
            class: ClassId(0),
            tenant: Some(TenantId(tenant)),
            key: Some(7),
            expires: rig.now.plus(ms(800)),
            cost_hint: None,
            retry: false,
            write: false,
        };
        sent(&rig.event(Event::Request(request))).is_some()
    };
    for id in 1_000_001..1_000_601 {
        if is_sent(&mut rig, 0) {
            rig.end_attempt(RequestId(id), 0, Outcome::Success, 5);
        }
    }
    let sent_over_share = (0..20).filter(|_| is_sent(&mut rig, 0)).count();
    let sent_by_other_tenant = (0..20).filter(|_| is_sent(&mut rig, 1)).count();
    assert!(sent_over_share > 0);
    assert!(
        sent_by_other_tenant > 0,
        "the tenant over its share took all the capacity"
    );
}
