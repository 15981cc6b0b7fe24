//! Results of the demo, computed from given samples.

use core::time::Duration;
use sassafrascrank_tool::demo::{
    Plan,
    report::Report,
    sample::{
        Outcome,
        Phase,
        Sample,
        Work, //
    },
};

/// Guards against failures that the table does not show: late answers, rejections, broken connections.
#[test]
fn failed_requests_show_in_the_table() {
    let plan = Plan::default();
    let mut samples = Vec::new();
    for number in 0..100 {
        for customer in 0..4 {
            let sample = Sample {
                customer,
                work: Work::Quote,
                phase: Phase::Before,
                outcome: Outcome::Answered,
                latency: Duration::from_millis(20 + number),
            };
            let outcome = match (customer, number) {
                (1, 0..10) => Outcome::NotRun,
                (2, 0..5) => Outcome::Unknown,
                (3, 0) => Outcome::Cut,
                (3, 1) => Outcome::Unsent,
                _ => Outcome::Answered,
            };
            let late = Duration::from_millis(501);
            let flood = Sample {
                phase: Phase::Flood,
                outcome,
                ..sample
            };
            let after = Sample {
                phase: Phase::After,
                latency: late,
                ..sample
            };
            let shutdown = Sample {
                phase: Phase::Shutdown,
                outcome,
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

/// Guards against phases that overlap or leave a gap, so that requests are counted in the wrong phase.
#[test]
fn phases_are_contiguous() {
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
