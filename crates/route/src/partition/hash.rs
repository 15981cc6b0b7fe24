//! Rendezvous hash.

/// Hashes two identities; the result is the same in every process and version.
///
/// The hashers of the standard library promise no stable result between versions, but entries of different versions
/// must agree during an upgrade. The constants are those of SplitMix64.
pub(crate) fn mix(one: u64, other: u64) -> u64 {
    let start = scramble(one.wrapping_add(0x9e37_79b9_7f4a_7c15));
    scramble(start ^ other.wrapping_add(0x9e37_79b9_7f4a_7c15))
}

fn scramble(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
