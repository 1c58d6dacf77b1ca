//! Why no worker can be chosen now.

/// Why all workers that could serve a request must not get it now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unavailability {
    /// They accept a limited number of requests, and no permit starts soon enough.
    AtLimit {
        /// Mean time until one of them accepts a request of any daemon.
        wait_ms: f64,
    },
    /// One or more of them want no requests for a time.
    BackingOff {
        /// Time until the first one wants requests again.
        wait_ms: f64,
    },
}

impl Unavailability {
    /// Returns the reason as it is logged.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AtLimit { .. } => "workers at their limit",
            Self::BackingOff { .. } => "workers want no requests",
        }
    }

    /// Returns the time until a worker may be available.
    #[must_use]
    pub fn wait_ms(self) -> f64 {
        match self {
            Self::AtLimit { wait_ms } | Self::BackingOff { wait_ms } => wait_ms,
        }
    }
}
