//! All watches of a fleet fall silent at once, while a discovery service that answers calls one
//! after another is busy.

use router_simulation::executor::Time;
use router_simulation::fault_plan::{MILLI, SECOND};
use router_simulation::run::{OverloadedDiscovery, Recovery};

const ROUTER_COUNTS: [usize; 4] = [5, 12, 100, 300];
const SEEDS: std::ops::Range<u64> = 0..3;
/// How long discovery is busy with other work.
const BUSY_TIME: Time = 5 * SECOND;
/// The longest time that discovery takes for one call of each router. It takes 2 to 8 s, whatever
/// the number of routers.
const SLOWEST_FLEET_CALL_TIME: Time = 8 * SECOND;
/// The duration of a run. An overload that lasts this long does not end by itself.
const RUN_TIME: Time = 120 * SECOND;
/// How soon after discovery answers again the routers have to have their lists.
const RECOVERY_TARGET: Time = 6 * SECOND;

fn recoveries(fleet_call_time: Time) -> impl Iterator<Item = (usize, Recovery)> {
    let runs = ROUTER_COUNTS
        .into_iter()
        .flat_map(|routers| SEEDS.map(move |seed| (routers, seed)));
    runs.map(move |(router_count, seed)| {
        let discovery = OverloadedDiscovery {
            router_count,
            fleet_call_time,
            busy_time: BUSY_TIME,
            duration: RUN_TIME,
        };
        (router_count, discovery.simulate(seed))
    })
}

/// Guards against retries that follow failed calls so soon that discovery stays overloaded and
/// answers none in time.
#[test]
fn the_slowest_discovery_recovers() {
    let stuck: Vec<_> = recoveries(SLOWEST_FLEET_CALL_TIME)
        .filter(|(_, recovery)| recovery.last_answer_after.is_none())
        .collect();
    assert!(stuck.is_empty(), "{stuck:?}");
}

/// Guards against routers that have no list long after discovery answers again.
#[test]
fn the_routers_have_their_lists_soon_after_discovery_answers_again() {
    let limit = BUSY_TIME + RECOVERY_TARGET;
    let late: Vec<_> = recoveries(5 * SECOND)
        .filter(|(_, recovery)| recovery.last_answer_after.is_none_or(|after| after > limit))
        .map(|(routers, recovery)| (routers, recovery.last_answer_after.map(|at| at / MILLI)))
        .collect();
    assert!(late.is_empty(), "routers, ms of the last list: {late:?}");
}
