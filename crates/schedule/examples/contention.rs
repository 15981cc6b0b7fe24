//! Measures the time that the table of images that slow each other down takes.
//!
//! `cargo run --release -p sassafrascrank-schedule --example contention` prints the mean time of a sample, of an update, and of
//! finding the partners of an image, for several numbers of images.

use sassafrascrank_base::prelude::*;
use sassafrascrank_schedule::contention::{
    Beside,
    Key,
    Name,
    Sample,
    Table, //
};
use std::time::Instant;

const START_TIME: Time = Time::from_millis(1_700_000_000_000);
/// Time between two updates.
const INTERVAL: Duration = Duration::from_millis(250);
/// Number of updates of a measurement.
const UPDATES: u32 = 80;
/// Number of samples between two updates: 6,000 runs with two samples a second.
const SAMPLES: u32 = 3_000;
/// Largest number of images beside a task.
const BESIDE: usize = 6;

fn measure(images: usize) {
    let mut table = Table::default();
    let names: Vec<String> = (0..images).map(|index| format!("image-{index}")).collect();
    let keys = names
        .iter()
        .filter_map(|name| table.intern(Name::Image(name), START_TIME));
    let keys: Vec<Key> = keys.collect();
    let mut now = START_TIME;
    let (mut sampling, mut updating, mut finding) =
        (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let mut random = 1_u64;
    let mut next = |limit: usize| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) as usize % limit
    };
    for _ in 0..UPDATES {
        let samples: Vec<(Key, Vec<Beside>)> = (0..SAMPLES)
            .map(|_| {
                let affected = next(keys.len());
                // The images beside one are few and near it, so that pairs repeat.
                let beside = (0..BESIDE).map(|part| Beside {
                    image: keys[(affected + 1 + part * (1 + next(2))) % keys.len()],
                    presence: 1.0,
                });
                let mut beside: Vec<Beside> = beside.collect();
                beside.dedup_by_key(|beside| beside.image);
                beside.truncate(next(BESIDE + 1));
                (keys[affected], beside)
            })
            .collect();
        let began = Instant::now();
        for (affected, beside) in &samples {
            let disturbed = beside.iter().any(|beside| beside.image == keys[0]);
            let sample = Sample {
                affected: *affected,
                slowdown: if disturbed { 2.0 } else { 0.6 },
                weight: 1.0,
                beside,
            };
            table.observe(&sample, now);
        }
        sampling += began.elapsed();
        now = now + INTERVAL;
        let began = Instant::now();
        table.update(now);
        updating += began.elapsed();
        let began = Instant::now();
        for name in &names {
            std::hint::black_box(table.partners(Name::Image(name)));
        }
        finding += began.elapsed() / names.len() as u32;
    }
    println!(
        "{images} images: {:?} a sample, {:?} an update, {:?} for partners; {:?}",
        sampling / (UPDATES * SAMPLES),
        updating / UPDATES,
        finding / UPDATES,
        table.summary()
    );
}

fn main() {
    for images in [8, 32, 128, 256] {
        measure(images);
    }
}
