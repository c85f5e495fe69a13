//! Two independent routers that send each key to the same server. Run with
//! `cargo run --example two_routers`.

use load_balancer::*;

fn main() -> Result<(), SettingsError> {
    let class = Class {
        latency_objective: Micros::from_millis(300),
        deadline: Micros::from_millis(1_000),
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let settings = Settings {
        routers: 2,
        classes: vec![class],
        ..Settings::default()
    };
    let mut routers = [Router::new(settings.clone(), 1)?, Router::new(settings, 2)?];
    let now = Micros::from_millis(1_000);
    let endpoints: Vec<Endpoint> = (1..=4)
        .map(|i| Endpoint::ready(format!("10.0.0.{i}:80").as_str().into()))
        .collect();
    let mut actions = Vec::new();
    for router in &mut routers {
        let event = Event::EndpointsChanged {
            update: EndpointUpdate::Snapshot,
            endpoints: endpoints.clone(),
        };
        router.handle(now, event, &mut actions);
    }
    for (number, key) in (1..=6).zip([17, 4, 99, 17, 4, 99]) {
        let mut targets = Vec::new();
        for router in &mut routers {
            actions.clear();
            let request = Request {
                id: RequestId(number),
                class: ClassId(0),
                tenant: None,
                key: Some(key),
                expires: now.plus(Micros::from_millis(800)),
                cost_hint: None,
                retry: false,
                write: false,
            };
            router.handle(now, Event::Request(request), &mut actions);
            targets.extend(actions.iter().filter_map(|action| match action {
                Action::Send { server, .. } => Some(server.clone()),
                _ => None,
            }));
        }
        assert_eq!(targets[0], targets[1]);
        println!("key {key}: {}", targets[0]);
    }
    Ok(())
}
