/// Declares the metrics with their names, kinds and tags.
macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $kind:literal, $tags:expr;)*) => {
        /// A metric. docs/METRICS.md gives the meaning of each.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Metric {
            $($(#[$doc])* $name,)*
        }

        impl Metric {
            /// All metrics.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name after the prefix.
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
    /// Calls of callers that ended at this daemon.
    Calls = "calls", "counter", ["outcome"];
    /// Calls by a route that ended at this daemon.
    RoutedCalls = "routed_calls", "counter", ["service", "outcome", "reason"];
    /// Time from a request by a route to its answer, in ms.
    RoutedCallMs = "routed_call_ms", "timer", ["service"];
    /// Tries at local servers.
    ServerTries = "server_tries", "counter", ["service", "status", "reason"];
    /// Time of a try at a local server, in ms.
    ServerTryMs = "server_try_ms", "timer", ["service"];
    /// Calls by a route that were tried again.
    Retries = "retries", "counter", ["service", "reason"];
    /// Calls that run on a local server.
    ServerRunning = "server_running", "gauge", ["service"];
    /// Calls that wait for a local server.
    ServerWaiting = "server_waiting", "gauge", ["service"];
    /// Log index of the configuration in force here.
    Revision = "revision", "gauge", [];
    /// Time from the proposal of a configuration until it is in force here, by the wall clocks of both hosts, in ms.
    ConfigurationAgeMs = "configuration_age_ms", "timer", [];
    /// Time from a renewal of the session to its answer, in ms.
    RenewalMs = "renewal_ms", "timer", [];
    /// Watches that a control host did not answer.
    WatchesFailed = "watches_failed", "counter", [];
    /// Time from a caller's whole request to its answer, in ms.
    CallMs = "call_ms", "timer", [];
    /// 1 while the lease of this daemon holds, else 0.
    Lease = "lease", "gauge", [];
    /// Ranges granted to local servers.
    Ranges = "ranges", "gauge", [];
}
