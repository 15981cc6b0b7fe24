//! Text output of the results.

use super::report::Report;
use core::fmt;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<6} {:<6} {:<7} {:>8} {:>8} {:>8} {:>7} {:>4} {:>9} {:>9} {:>8}",
            "house",
            "work",
            "phase",
            "requests",
            "answered",
            "not-run",
            "unknown",
            "cut",
            "in time %",
            "median ms",
            "p99 ms",
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<6} {:<6} {:<7} {:>8} {:>8} {:>8} {:>7} {:>4} {:>9.1} {:>9} {:>8}",
                row.customer,
                row.work,
                row.phase,
                row.requests,
                row.answered,
                row.not_run,
                row.unknown,
                row.cut,
                row.in_time_percent,
                time(row.median_ms),
                time(row.p99_ms),
            )?;
        }
        writeln!(
            f,
            "\nQuotes answered in time during the flood, in percent of those before it:"
        )?;
        for kept in &self.kept {
            writeln!(f, "  {:<6} {:>6.1}", kept.customer, kept.percent)?;
        }
        self.write_shutdown(f)
    }
}

impl Report {
    fn write_shutdown(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shutdown = &self.shutdown;
        writeln!(f, "\nGraceful shutdown of entry-1 under load:")?;
        writeln!(
            f,
            "  {} requests, {} answered, {} refused as not-run, {} unknown, {} accepted by no entry, {} cut",
            shutdown.requests,
            shutdown.answered,
            shutdown.not_run,
            shutdown.unknown,
            shutdown.unsent,
            shutdown.cut,
        )?;
        if self.skipped > 0 {
            writeln!(
                f,
                "\n{} requests were not sent because too many were open.",
                self.skipped
            )?;
        }
        Ok(())
    }
}

fn time(millis: Option<f64>) -> String {
    millis.map_or_else(|| "-".to_owned(), |millis| format!("{millis:.1}"))
}
