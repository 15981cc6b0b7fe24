//! Causes of failed calls to other services.

macro_rules! causes {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal;)*) => {
        /// What has failed in a call without a complete response.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Cause {
            $($(#[doc = $doc])* $name,)*
        }

        impl Cause {
            /// All causes, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the name for logs.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }
        }
    };
}

// Executors send the position of a cause in this list. New causes belong at its end.
causes! {
    /// The request could not be built.
    Invalid = "invalid";
    /// All connections to the address were in use.
    NoFreeConnection = "no-free-connection";
    /// The process has no file descriptor left.
    NoDescriptor = "no-descriptor";
    /// The machine has no local port left.
    NoPort = "no-port";
    /// The peer refused the connection.
    Refused = "connect-refused";
    /// The connection was not established in time.
    ConnectTimeout = "connect-timeout";
    /// The connection could not be opened for another reason.
    ConnectFailed = "connect-failed";
    /// The connection was closed before the request was sent.
    ClosedIdle = "closed-idle";
    /// The peer closed the connection after the request was sent, or while it was.
    Closed = "closed";
    /// The connection was reset after the request was sent, or while it was.
    Reset = "reset";
    /// The connection failed for another reason after the request was sent.
    ConnectionFailed = "connection-failed";
    /// The complete response did not arrive in time.
    Timeout = "timeout";
    /// The response is too large.
    TooLarge = "too-large";
    /// The response has a status that says nothing about the effect.
    Status = "status";
    /// The response can't be decoded.
    Undecodable = "undecodable";
}

impl Cause {
    /// Tells whether the caller lacked a resource of its own, so that the failure says nothing about the peer. Connections are
    /// all in use if the peer leaves calls unanswered, so their lack is none of these.
    pub const fn is_local(self) -> bool {
        matches!(self, Self::Invalid | Self::NoDescriptor | Self::NoPort)
    }

    /// Tells whether a connection failed after the request was sent, or while it was. A peer that closes an idle connection
    /// in that moment has not handled the request.
    pub const fn is_connection_loss(self) -> bool {
        matches!(self, Self::Closed | Self::Reset | Self::ConnectionFailed)
    }
}
