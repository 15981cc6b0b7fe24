//! Numbers of epochs and fences.

/// Number of low bits of a fence that hold the generation. They are 0 in an epoch.
const GENERATION_BITS: u32 = 12;
/// Number of bits of an epoch that come from the identity of the entry, so that two claims after the same leader rarely have the
/// same epoch. If they do, the entry whose claim the log holds leads.
const TIE_BREAK_BITS: u32 = 16;
/// Number of bits below the round, which grows with each claim.
const ROUND_SHIFT: u32 = TIE_BREAK_BITS + GENERATION_BITS;
/// Largest generation. Further incarnations of a runner share it.
pub const MAX_GENERATION: u16 = (1 << GENERATION_BITS) - 1;

/// Returns the epoch of a claim by an entry with this identity, after the epoch of the latest leader.
///
/// Epochs and fences stay below 2^53, up to which all JSON readers keep integers, for 2^25 claims. Entries of versions in which
/// the epoch itself was the fence raise it by at least 2^16, so their claims are above all fences of the leader before.
pub const fn next(latest: Option<u64>, identity: u64) -> u64 {
    let round = round(match latest {
        Some(epoch) => epoch,
        None => 0,
    });
    let tie_break = identity & ((1 << TIE_BREAK_BITS) - 1);
    ((round + 1) << ROUND_SHIFT) | (tie_break << GENERATION_BITS)
}

/// Returns the number of the claim that led to an epoch, if all claims were made by [`next`].
pub const fn round(epoch: u64) -> u64 {
    epoch >> ROUND_SHIFT
}

/// Returns the fence of orders that the leader of an epoch gives to a generation of a runner, which is at most
/// [`MAX_GENERATION`].
///
/// A runner that has carried out an order rejects those with a lower fence: all of former leaders, and those of the same leader
/// for earlier incarnations, however late they arrive. The name of a runner doesn't tell its incarnations apart.
pub const fn fence(epoch: u64, generation: u16) -> u64 {
    epoch + generation as u64
}
