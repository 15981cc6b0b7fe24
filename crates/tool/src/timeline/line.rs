//! Records as lines of text.

use core::fmt::Write;
use sassafrascrank_observe::timeline::Record;

/// Renders one line for each record; times are in seconds after the earliest record.
pub fn render(records: &[Record]) -> String {
    let Some(first) = records.iter().map(|record| record.time).min() else {
        return "no records\n".to_owned();
    };
    let mut text = format!("time 0 is {} us after the Unix epoch\n", first.as_micros());
    for record in records {
        let time = record.time.since(first).as_secs_f64();
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{time:>12.6} {:<16} {:<24}{}",
            record.process.host,
            record.kind.as_str(),
            render_fields(record),
        );
    }
    text
}

fn render_fields(record: &Record) -> String {
    let mut text = String::new();
    let mut add = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            // Writing to a string can't fail.
            let _ = write!(text, " {name}={value}");
        }
    };
    add("request", record.request.map(|request| request.to_string()));
    add(
        "customer",
        record.customer.as_ref().map(ToString::to_string),
    );
    add("class", record.class.map(|class| class.0.to_string()));
    add("pool", record.pool.as_ref().map(ToString::to_string));
    add(
        "upstream",
        record.upstream.as_ref().map(ToString::to_string),
    );
    add("member", record.member.as_ref().map(ToString::to_string));
    add("outcome", record.outcome.map(|outcome| outcome.to_string()));
    add("reason", record.reason.map(|reason| reason.to_string()));
    add("configuration", Some(record.configuration.to_string()));
    add(
        "detail",
        (record.detail > 0).then(|| record.detail.to_string()),
    );
    text
}
