fn main() {
    let from: u64 = std::env::args().nth(1).unwrap().parse().unwrap();
    let to: u64 = std::env::args().nth(2).unwrap().parse().unwrap();
    let keep = if std::env::args().nth(3).is_some() { asterport_sim::play::Keep::Trace } else { asterport_sim::play::Keep::Verdict };
    for seed in from..to {
        let plan = asterport_sim::plan::Plan::draw(seed, &[]);
        let report = asterport_sim::play::play(&plan, keep);
        println!("{seed} {:016x} steps {} {:?} calm {:?}", report.digest, report.steps, report.counts, report.calm);
        for b in &report.breaches {
            println!("  BREACH {} at {} step {} {:?}: {}", b.rule, b.time, b.step, b.request.map(|r| format!("{r:016x}")), b.text);
            for s in &b.steps { println!("     {s}"); }
        }
        if !report.breaches.is_empty() { for f in &plan.faults { println!("  {f}"); } }
    }
}
