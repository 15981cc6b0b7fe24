//! Reasons for which a request is not answered by an upstream.

use core::fmt;

macro_rules! reasons {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal, $remedy:literal;)*) => {
        /// Why a request ended without an answer of an upstream.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Reason {
            $($(#[doc = $doc])* $name,)*
        }

        impl Reason {
            /// All reasons in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the machine-readable code.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// Returns the remedy that the caller or the operator can apply.
            pub const fn remedy(self) -> &'static str {
                match self { $(Self::$name => $remedy,)* }
            }
        }
    };
}

reasons! {
    /// The credential is missing or belongs to no contract.
    Unauthenticated = "unauthenticated", "send the credential of your contract as a bearer token";
    /// A header or the target of the request is malformed.
    Malformed = "malformed", "correct the header that the detail names";
    /// The pool is unknown or the contract does not cover it.
    PoolUnknown = "pool-unknown", "name a pool of your contract in Sassafrascrank-Pool";
    /// The rate limit of the contract is exceeded.
    RateLimited = "rate-limited", "send fewer requests a second or ask for a larger contract";
    /// The contract's queue for this pool is full.
    QueueFull = "queue-full", "wait for the time in Retry-After";
    /// The request cannot be started before its deadline.
    DeadlineUnmet = "deadline-unmet", "allow more time or wait for the time in Retry-After";
    /// The entry process has reached its limit of concurrent requests.
    Overloaded = "overloaded", "wait for the time in Retry-After";
    /// No upstream of the pool accepts requests.
    NoUpstream = "no-upstream", "wait for the time in Retry-After";
    /// The process is shutting down.
    ShuttingDown = "shutting-down", "send the request again; the balancer will choose another host";
    /// The process has no complete configuration yet.
    Unconfigured = "unconfigured", "wait for the time in Retry-After";
    /// The upstream could not be reached and the request was not sent.
    ConnectFailed = "connect-failed", "wait for the time in Retry-After";
    /// The connection failed after the request may have reached the upstream.
    ConnectionLost = "connection-lost", "repeat the request with the same key, or check its effect";
    /// The upstream did not answer in time.
    AttemptTimeout = "attempt-timeout", "repeat the request with the same key, or check its effect";
    /// A non-idempotent request has no valid idempotency key.
    KeyRequired = "key-required", "send Idempotency-Key: <availability zone>:<UUIDv7>";
    /// The idempotency key was used for a different request.
    KeyConflict = "key-conflict", "make a new key for a new request";
    /// The creation time of the idempotency key is later than what this entry process may run now.
    KeyEarly = "key-early", "wait for the time in Retry-After and repeat the same key";
    /// The idempotency key is older than the records that its owner keeps.
    KeyExpired = "key-expired", "check the effect of the request before making a new key";
    /// The entry process that owns the idempotency key cannot be reached.
    OwnerUnreachable = "owner-unreachable", "repeat the same key later";
    /// The table of requests with idempotency keys is full.
    KeyTableFull = "key-table-full", "wait for the time in Retry-After and repeat the same key";
    /// The request ran, but its answer is no longer stored.
    AnswerDropped = "answer-dropped", "the request ran; don't send it again with another key";
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
