//! Counts over many schedules; the names are the headings of the snapshot.

use core::ops::AddAssign;

macro_rules! tally {
    ($($name:ident),*) => {
        #[derive(Clone, Debug, Default)]
        pub(crate) struct Tally {
            $(pub(crate) $name: u64,)*
            /// Violations of the invariants, with their seeds.
            pub(crate) violations: Vec<String>,
        }

        impl AddAssign for Tally {
            fn add_assign(&mut self, other: Self) {
                $(self.$name += other.$name;)*
                self.violations.extend(other.violations);
            }
        }

        impl Tally {
            pub(crate) const HEAD: &'static [&'static str] = &[$(stringify!($name)),*];

            pub(crate) fn row(&self) -> Vec<u64> {
                vec![$(self.$name),*]
            }
        }
    };
}

tally!(
    keys, answered, not_run, unknown, unanswered, runs, replays, waits, retired, by_peers,
    late_ack, handovers, imports
);
