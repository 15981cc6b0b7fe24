//! Availability of the demo, computed of given samples.

use core::time::Duration;
use sassafrascrank_tool::demo::{
    Plan,
    report::Report,
    sample::{
        Fate,
        Phase,
        Sample,
        Work, //
    },
};

/// Guards against a loss that the table does not show: late answers, refusals, cut connections.
#[test]
fn losses_show_in_the_table() {
    let plan = Plan::default();
    let mut samples = Vec::new();
    for number in 0..100 {
        for house in 0..4 {
            let sample = Sample {
                house,
                work: Work::Quote,
                phase: Phase::Before,
                fate: Fate::Answered,
                latency: Duration::from_millis(20 + number),
            };
            let fate = match (house, number) {
                (1, 0..10) => Fate::NotRun,
                (2, 0..5) => Fate::Unknown,
                (3, 0) => Fate::Cut,
                (3, 1) => Fate::Unsent,
                _ => Fate::Answered,
            };
            let late = Duration::from_millis(501);
            let flood = Sample {
                phase: Phase::Flood,
                fate,
                ..sample
            };
            let after = Sample {
                phase: Phase::After,
                latency: late,
                ..sample
            };
            let shutdown = Sample {
                phase: Phase::Shutdown,
                fate,
                ..sample
            };
            samples.extend([sample, flood, after, shutdown]);
        }
    }
    let report = Report::new(&plan, &samples, 3);
    insta::assert_snapshot!(format!(
        "{report}\n{}",
        serde_json::to_string(&report.rows[0]).unwrap()
    ));
}

/// Guards against phases that overlap or leave a gap, so that requests count for the wrong one.
#[test]
fn phases_follow_one_another() {
    let plan = Plan {
        seconds: 10,
        seed: 1,
    };
    let lines = Phase::ALL.iter().map(|phase| {
        let (start, length) = (plan.start(*phase), plan.length(*phase));
        assert_eq!(plan.phase(start), *phase);
        format!("{:<9} from {start:?} for {length:?}\n", phase.as_str())
    });
    insta::assert_snapshot!(lines.collect::<String>());
}
