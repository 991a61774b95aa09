/// Declares the metrics with their names, kinds and tags.
macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $kind:literal, $tags:expr;)*) => {
        /// A metric. docs/METRICS.md describes each of them.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Metric {
            $($(#[$doc])* $name,)*
        }

        impl Metric {
            /// All metrics.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name without the prefix `clementinefold`.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns `counter`, `timer` or `gauge`.
            pub fn kind(self) -> &'static str {
                match self {
                    $(Self::$name => $kind,)*
                }
            }

            /// Returns the names of the tags.
            pub fn tags(self) -> &'static [&'static str] {
                match self {
                    $(Self::$name => &$tags,)*
                }
            }
        }
    };
}

metrics! {
    /// Calls from callers that ended at this daemon.
    Calls = "calls", "counter", ["outcome"];
    /// Routed calls that ended at this daemon.
    RoutedCalls = "routed_calls", "counter", ["service", "outcome", "reason"];
    /// Time from the receipt of a routed call to its answer, in ms.
    RoutedCallMs = "routed_call_ms", "timer", ["service"];
    /// Attempts at local servers.
    ServerAttempts = "server_tries", "counter", ["service", "status", "reason"];
    /// Duration of an attempt at a local server, in ms.
    ServerAttemptMs = "server_try_ms", "timer", ["service"];
    /// Retries of routed calls.
    Retries = "retries", "counter", ["service", "reason"];
    /// Hedged requests sent for late routed calls.
    Hedges = "hedges", "counter", ["service"];
    /// Hedged requests that were answered before the first attempt of their call.
    HedgesWon = "hedges_won", "counter", ["service"];
    /// Late routed calls for which no hedged request was sent.
    HedgesHeldBack = "hedges_held_back", "counter", ["service", "cause"];
    /// Calls that are running on local servers.
    ServerRunning = "server_running", "gauge", ["service"];
    /// Calls that are waiting for a local server.
    ServerWaiting = "server_waiting", "gauge", ["service"];
    /// Local servers that are cold.
    ServersCold = "servers_cold", "gauge", [];
    /// Time that work takes on a local server by its own reports, in percent of the mean time.
    ServerPace = "server_pace", "gauge", ["service"];
    /// Answers of local servers whose reported load makes no sense.
    BadLoads = "bad_loads", "counter", ["service"];
    /// Log index of the configuration in force at this daemon.
    Revision = "revision", "gauge", [];
    /// Time from the proposal of a configuration until it is in force at this daemon, in ms. It is the difference of
    /// the wall clocks of two hosts.
    ConfigurationAgeMs = "configuration_age_ms", "timer", [];
    /// Time from a request to renew the session to its answer, in ms.
    RenewalMs = "renewal_ms", "timer", [];
    /// Watches that a control host did not answer.
    WatchesFailed = "watches_failed", "counter", [];
    /// Time from the receipt of a caller's complete request to its answer, in ms.
    CallMs = "call_ms", "timer", [];
    /// 1 while the lease of this daemon is valid, otherwise 0.
    Lease = "lease", "gauge", [];
    /// Ranges granted to local servers.
    Ranges = "ranges", "gauge", [];
    /// Failure domains whose evacuations are in force at this daemon.
    Evacuations = "evacuations", "gauge", [];
    /// Memory that the process may use, in bytes, and where this limit comes from.
    MemoryLimit = "memory_limit", "gauge", ["source"];
    /// Bytes of the budget of memory that requests and responses hold.
    MemoryHeld = "memory_held", "gauge", [];
    /// Requests and responses that were ended since the start of the process because the budget had no room.
    MemoryRefused = "memory_refused", "gauge", [];
}
