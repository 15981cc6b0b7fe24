//! Text output of the wave's status.

use super::{
    Row, //
    Status,
};
use crate::fleet::describe_duration;
use core::{
    fmt,
    time::Duration, //
};

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "wave {}: {}", self.wave, self.progress)?;
        if let Some(pool) = &self.halted_by {
            write!(f, " (reservation/{pool})")?;
        }
        let sum = |figure: fn(&Row) -> usize| self.pools.iter().map(figure).sum::<usize>();
        let done = sum(|row| row.done);
        let running = sum(|row| row.running);
        let waiting = sum(|row| row.waiting);
        let left = describe_duration(Duration::from_secs(self.left_s));
        writeln!(f, "; {done} done, {running} running, {waiting} waiting")?;
        writeln!(
            f,
            "expected end: {}; the period ends in {left}",
            describe(self.needs_s)
        )?;
        for late in &self.forecasts {
            writeln!(f, "late: {late}")?;
        }
        writeln!(
            f,
            "\n{:<16} {:>6} {:>7} {:>7}  expected end",
            "pool", "done", "running", "waiting"
        )?;
        for row in &self.pools {
            writeln!(
                f,
                "{:<16} {:>6} {:>7} {:>7}  {}",
                row.pool,
                row.done,
                row.running,
                row.waiting,
                describe(row.needs_s)
            )?;
        }
        Ok(())
    }
}

fn describe(needs_s: Option<u64>) -> String {
    match needs_s {
        Some(0) => "done".to_owned(),
        Some(needs) => format!("within {}", describe_duration(Duration::from_secs(needs))),
        None => "never as things are".to_owned(),
    }
}
