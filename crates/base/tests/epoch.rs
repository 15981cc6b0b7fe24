//! Order of fences.

use sassafrascrank_base::epoch::{
    MAX_GENERATION,
    fence,
    next, //
};

/// Guards against a leader whose orders runners reject because of those of a former leader, which had an order for a restarted
/// runner: one that has claimed after the same leader, one that has claimed later, and one of a version in which the epoch was
/// the fence.
#[test]
fn fences_of_a_later_epoch_are_higher() {
    for identity in [0, 1, 0x7fff, 0xffff, u64::MAX] {
        let former = next(Some(next(None, 3)), identity);
        let highest = fence(former, MAX_GENERATION);
        let same_round = next(Some(next(None, 3)), identity.wrapping_add(1));
        if same_round > former {
            assert!(fence(same_round, 0) > highest, "{identity:x}");
        }
        assert!(fence(next(Some(former), 0), 0) > highest, "{identity:x}");
        let version_before = ((former >> 16) + 1) << 16;
        assert!(version_before > highest, "{identity:x}");
        assert!(
            next(Some(version_before), 0) > version_before,
            "{identity:x}"
        );
    }
}
