//! Text output of the status of entries.

use super::summary::{
    Entry,
    Summary, //
};
use core::fmt;

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.entries.is_empty() {
            self.write_entries(f)?;
            self.write_pools(f)?;
            self.write_upstreams(f)?;
        }
        for failed in &self.failed {
            writeln!(f, "{}: no status: {}", failed.admin, failed.error)?;
        }
        Ok(())
    }
}

impl Summary {
    fn write_entries(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:<12} {:<14} {:>9} {:>7} {:>7} {:<8} {:>7}",
            "entry", "zone", "phase", "up s", "config", "member", "log", "members"
        )?;
        for Entry { status, .. } in &self.entries {
            let reachable = status.members.iter().filter(|member| member.reachable);
            writeln!(
                f,
                "{:<16} {:<12} {:<14} {:>9.1} {:>7} {:>7} {:<8} {:>7}",
                status.host,
                status.zone,
                status.phase,
                // An `f64` holds every whole number of milliseconds below 2^53 exactly.
                status.uptime_ms as f64 / 1_000.0,
                status.configuration,
                status.membership,
                describe_log(status.log.lost_ms),
                format!("{}/{}", reachable.count(), status.members.len()),
            )?;
        }
        Ok(())
    }

    fn write_pools(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = ("pool", "entry", "slots", "running", "queued");
        let (pool, entry, slots, running, queued) = header;
        writeln!(
            f,
            "\n{pool:<16} {entry:<16} {slots:>7} {running:>7} {queued:>7}"
        )?;
        let mut rows = Vec::new();
        for Entry { status, .. } in &self.entries {
            rows.extend(
                status
                    .pools
                    .iter()
                    .map(|pool| (&pool.name, &status.host, pool)),
            );
        }
        rows.sort_by_key(|(pool, host, _)| (*pool, *host));
        for (name, host, pool) in rows {
            writeln!(
                f,
                "{name:<16} {host:<16} {:>7} {:>7} {:>7}",
                pool.slots, pool.running, pool.queued
            )?;
        }
        Ok(())
    }

    fn write_upstreams(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<16} {:<16} {:<12} {:<16} {:<9} {:>7} {:>7}",
            "upstream", "pool", "zone", "entry", "state", "slots", "running"
        )?;
        let mut rows = Vec::new();
        for Entry { status, .. } in &self.entries {
            let upstreams = status.upstreams.iter();
            rows.extend(upstreams.map(|upstream| (&upstream.host, &status.host, upstream)));
        }
        rows.sort_by_key(|(upstream, host, _)| (*upstream, *host));
        for (name, host, upstream) in rows {
            writeln!(
                f,
                "{name:<16} {:<16} {:<12} {host:<16} {:<9} {:>7} {:>7}",
                upstream.pool, upstream.zone, upstream.state, upstream.slots, upstream.running
            )?;
        }
        Ok(())
    }
}

fn describe_log(lost_ms: Option<u64>) -> String {
    match lost_ms {
        None => "ok".to_owned(),
        Some(millis) => format!("away {} s", millis / 1_000),
    }
}
