//! Guards the stored form of each kind of record: log records that earlier versions wrote must be read by later
//! versions, which write the same bytes again.

use core::fmt::Write;
use insta::assert_snapshot;
use sassafrascrank_job::record::{
    decode,
    encode, //
};
use serde::Serialize;

/// A stored record by hand. MessagePack stores a struct as the array of its fields.
fn stored<T: Serialize>(key: &str, value: &T) -> (String, Vec<u8>) {
    (key.to_owned(), rmp_serde::to_vec(value).unwrap())
}

/// A job with two steps: one sets every field and flag, the other none.
fn job() -> (String, Vec<u8>) {
    let need = (4_000_u64, 2_048_u64, 2_u64);
    let full = (
        3_u16,
        need,
        90_000_u64,
        [0_u16],
        0b11_1111_u8,
        Some("a100"),
        Some("rack-1"),
        Some(1_u16),
        Some("image-1"),
        Some(250_u64),
        Some(2_u16),
    );
    let none = ();
    let plain = (
        1_u16,
        (500_u64, 64_u64, 0_u64),
        1_000_u64,
        [0_u16; 0],
        0_u8,
        none,
        none,
        none,
        none,
        none,
        none,
    );
    let terms = ("batch", 1_u8, 5_u16, 2_500_u32, 600_000_u64);
    let repeat = Some((24_u32, 1_700_000_000_000_u64, 3_600_000_u64));
    let submitted = 1_700_000_000_123_456_u64;
    stored(
        "j00000000000000a1",
        &("nightly", terms, "train", (plain, full), repeat, submitted),
    )
}

/// The state of a job with the given outcome, stored by name.
fn progress(id: u64, outcome: Option<&str>) -> (String, Vec<u8>) {
    let running = (
        (1_u32, 0_u16, 2_u16),
        false,
        1_u16,
        7_u32,
        [("runner-1", 1_700_u64, "host-1", 7_u32)],
        Some("checkpoint-1"),
    );
    let done = ((1_u32, 1_u16, 0_u16), true, 0_u16, 1_u32, [0_u8; 0], ());
    let value = (9_u64, outcome, true, 1_u32, (running, done));
    stored(&format!("p{id:016x}"), &value)
}

/// The state of a job of which one runner has fallen silent after the start of a task.
fn silent() -> (String, Vec<u8>) {
    let position = (0_u32, 0_u16, 0_u16);
    // The row of the silent runner names attempt 0.
    let rows = [
        ("runner-2", 1_800_u64, "host-2", 2_u32),
        ("runner-1", 1_700, "host-1", 0),
    ];
    let task = (position, false, 0_u16, 2_u32, rows, (), 1_u8);
    stored("p00000000000000a5", &(9_u64, (), true, 0_u32, [task]))
}

/// The state of a job with a run that would not be the cause if its runner ended.
fn settled() -> (String, Vec<u8>) {
    let position = (0_u32, 0_u16, 0_u16);
    // The second row of the runner names attempt 0, and no host.
    let rows = [
        ("runner-2", 1_800_u64, "host-2", 2_u32),
        ("runner-2", 1_800, "", 0),
    ];
    let task = (position, false, 0_u16, 2_u32, rows, ());
    stored("p00000000000000a6", &(9_u64, (), true, 0_u32, [task]))
}

/// The state of a job whose task waits for a start at a silent runner, which is also suspected of having crashed.
fn late_start() -> (String, Vec<u8>) {
    let position = (0_u32, 0_u16, 0_u16);
    // The row of the start names the highest attempt.
    let rows = [
        ("runner-1", 1_700_u64, "host-1", 0_u32),
        ("runner-1", 1_700, "host-1", u32::MAX),
    ];
    let task = (position, false, 0_u16, 1_u32, rows, (), 1_u8);
    stored("p00000000000000a7", &(9_u64, (), true, 0_u32, [task]))
}

/// One record of each kind, by hand.
fn records() -> Vec<(&'static str, (String, Vec<u8>))> {
    let leader = (
        9_u64,
        "entry-1",
        1_700_u64,
        true,
        1_700_000_000_u64,
        4_000_u32,
    );
    // The highest bit of the capacity stands for it, so that entries of versions before can read the record.
    let behind = (
        9_u64,
        "entry-1",
        1_700_u64,
        false,
        1_700_000_000_u64,
        4_000_u32 | 1 << 31,
    );
    let batch = (
        "batch",
        1_500.5_f64,
        Some(2.5_f64),
        Some(("web", 30_000_u64)),
    );
    let web = ("web", 0.0_f64, (), ());
    let demand = (9_u64, (batch, web), Some(("batch", 1_700_000_000_u64)));
    vec![
        ("job", job()),
        ("cancelled job", stored("c00000000000000a1", &true)),
        ("running job", progress(0xa1, None)),
        ("done job", progress(0xa2, Some("Done"))),
        ("failed job", progress(0xa3, Some("Failed"))),
        ("cancelled progress", progress(0xa4, Some("Cancelled"))),
        ("job of a silent runner", silent()),
        ("job of a settled run", settled()),
        ("job that waits for a start", late_start()),
        ("leader", stored("leader", &leader)),
        ("leader behind the log", stored("leader", &behind)),
        (
            "wave with a host",
            stored("w12/host-1", &(9_u64, ["host-1"], false)),
        ),
        ("finished wave", stored("w12/", &(9_u64, [0_u8; 0], true))),
        (
            "lease of a restarted runner",
            stored("rrunner-1", &(9_u64, 1_700_000_000_u64)),
        ),
        (
            "ordered host",
            stored("hhost-1", &(9_u64, 1_700_000_000_u64)),
        ),
        ("demand", stored("turns", &demand)),
        ("removed job", ("j00000000000000a1".to_owned(), Vec::new())),
    ]
}

/// A field that is moved, or an outcome that is stored under another name, makes the records of a running deployment
/// unreadable or changes their meaning.
#[test]
fn each_kind_of_record_keeps_its_stored_form() {
    let mut table = String::new();
    for (kind, (key, value)) in records() {
        let record = decode(&key, &value).unwrap_or_else(|error| panic!("{kind}: {error}"));
        let record = record.unwrap_or_else(|| panic!("{kind}: no record"));
        assert_eq!(encode(&record), (key.clone(), value.clone()), "{kind}");
        let _ = write!(table, "{kind}: {key:?}");
        for byte in &value {
            let _ = write!(table, " {byte:02x}");
        }
        table.push('\n');
    }
    assert_snapshot!(table);
}
