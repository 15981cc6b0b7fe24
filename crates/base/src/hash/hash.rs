//! Hash of a text, identity of a process on a host, and a mixing function.

use crate::name::Name;

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hash of a text, by FNV-1a followed by [`mix`].
pub fn text(text: &str) -> u64 {
    mix(fnv1a(text.bytes()))
}

/// Returns the identity of a process, a hash of its host and incarnation.
pub fn identity(host: &Name, incarnation: u64) -> u64 {
    mix(fnv1a(
        host.as_str().bytes().chain(incarnation.to_le_bytes()),
    ))
}

/// Mixes the bits of a number with the finaliser of SplitMix64, which is a bijection.
pub const fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
