//! Text output of a preview.

use super::{
    Effect,
    Move,
    Preview,
    Shortage, //
};
use core::fmt;
use sassafrascrank_base::prelude::*;

impl fmt::Display for Preview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "against the configuration at offset {}: subjects that would change: {}, that stay: {}",
            self.version,
            self.effects.len(),
            self.unchanged
        )?;
        for (subject, effect, offset) in &self.effects {
            match effect {
                Effect::Add => writeln!(f, "  add {subject}")?,
                Effect::Change => {
                    writeln!(f, "  change {subject}, in force since offset {offset}")?
                }
                Effect::Remove => {
                    writeln!(f, "  remove {subject}, in force since offset {offset}")?
                }
            }
        }
        if !self.moves.is_empty() {
            writeln!(f, "hosts that would change their pool:")?;
        }
        for moved in &self.moves {
            writeln!(f, "  {moved}")?;
        }
        match &self.rejection {
            Some(error) => writeln!(f, "would be rejected: {error}"),
            None => {
                writeln!(f, "would be accepted")?;
                self.write_shortages(f)
            }
        }
    }
}

impl Preview {
    fn write_shortages(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.shortages.is_empty() {
            return writeln!(f, "no pool would be below its budget");
        }
        writeln!(f, "pools that would be below their budget:")?;
        let mut shortages = self.shortages.iter();
        shortages.try_for_each(|shortage| writeln!(f, "  {shortage}"))
    }
}

impl fmt::Display for Move {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pool =
            |pool: &Option<Name>| pool.as_ref().map_or("no pool".to_owned(), Name::to_string);
        let (from, to) = (pool(&self.from), pool(&self.to));
        write!(f, "{}: {from} to {to}", self.host)
    }
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            pool,
            before,
            after,
        } = self;
        write!(f, "{pool}: {after}; ")?;
        match before {
            Some(before) if before == after => write!(f, "it already is"),
            Some(before) => write!(f, "now {before}"),
            None => write!(f, "the pool is new"),
        }
    }
}
