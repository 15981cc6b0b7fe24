//! Transfer of items through rings and wake-up of the consumer.

use sassafrascrank_ring::{
    Sender,
    Signal,
    ring, //
};
use std::thread;

/// Items that each producer sends.
const ITEMS: u64 = 20_000;

/// Sends consecutive numbers through a ring that is full most of the time.
fn produce(mut sender: Sender<u64>) {
    for mut item in 1..=ITEMS {
        while let Err(full) = sender.send(item) {
            item = full;
            thread::sleep(core::time::Duration::from_micros(50));
        }
    }
}

/// Guards against a wake-up that is lost between the consumer's check of its rings and its wait; the test then hangs.
#[test]
fn a_consumer_of_several_rings_gets_every_item_in_order() {
    let signal = Signal::new();
    let (mut receivers, mut producers) = (Vec::new(), Vec::new());
    for _ in 0..3 {
        let (sender, receiver) = ring(4, &signal);
        receivers.push(receiver);
        producers.push(thread::spawn(move || produce(sender)));
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let mut last = [0; 3];
    let mut ordered = true;
    runtime.block_on(async {
        while last.iter().any(|item| *item < ITEMS) {
            signal
                .wait(|| receivers.iter().any(|ring| !ring.is_empty()))
                .await;
            for (last, receiver) in last.iter_mut().zip(&mut receivers) {
                while let Some(item) = receiver.try_recv() {
                    ordered &= item == *last + 1;
                    *last = item;
                }
            }
        }
    });
    for producer in producers {
        producer.join().unwrap();
    }
    insta::assert_snapshot!(format!("received {last:?}, in order: {ordered}"));
}

/// Guards against an item that is lost when the ring is full, and against a receiver that does not notice that the
/// sender was dropped.
#[test]
fn a_full_ring_gives_the_item_back() {
    let (mut sender, mut receiver) = ring(2, &Signal::new());
    let sent = [sender.send(1), sender.send(2), sender.send(3)];
    let first = receiver.try_recv();
    let again = sender.send(3);
    let closed = receiver.is_closed();
    drop(sender);
    let rest = [
        receiver.try_recv(),
        receiver.try_recv(),
        receiver.try_recv(),
    ];
    insta::assert_snapshot!(format!(
        "sent {sent:?}, first {first:?}, again {again:?}, rest {rest:?}, closed {closed} then {}",
        receiver.is_closed()
    ));
}
