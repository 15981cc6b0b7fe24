//! Numbers of epochs and fences.

/// Number of low bits of an epoch that come from the identity of the entry, so that two claims after the same leader rarely have
/// the same epoch. If they do, the entry whose claim the log holds leads.
const TIE_BREAK_BITS: u32 = 16;
/// Number of rounds from one epoch to the next. Those in between are for the fences of an epoch. An entry of a version before
/// fences had generations claims the next round, and only runners that have restarted reject its orders.
const ROUNDS: u64 = 1 << 12;
/// Largest generation. Further incarnations of a runner share it.
pub const MAX_GENERATION: u16 = (ROUNDS - 1) as u16;

/// Returns the epoch of a claim by an entry with this identity, after the epoch of the latest leader.
///
/// Epochs and fences stay below 2^53, up to which all JSON readers keep integers, for 2^25 claims.
pub const fn next(latest: Option<u64>, identity: u64) -> u64 {
    let round = match latest {
        Some(epoch) => epoch >> TIE_BREAK_BITS,
        None => 0,
    };
    ((round + ROUNDS) << TIE_BREAK_BITS) | (identity & ((1 << TIE_BREAK_BITS) - 1))
}

/// Returns the fence of orders that the leader of an epoch gives to a generation of a runner, which is at most
/// [`MAX_GENERATION`].
///
/// A runner that has carried out an order rejects those with a lower fence: all of former leaders, and those of the same leader
/// for earlier incarnations, however late they arrive. The name of a runner doesn't tell its incarnations apart.
pub const fn fence(epoch: u64, generation: u16) -> u64 {
    epoch + ((generation as u64) << TIE_BREAK_BITS)
}
