use slog::Level;

/// Declares the events as an enum with their codes, levels and messages.
macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $level:ident, $message:literal;)*) => {
        /// A numbered event. docs/EVENTS.md gives the fields of each and what to do.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// All events, in the order of their codes.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the code, e.g. `CF` and four digits.
            pub fn code(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)*
                }
            }

            /// Returns the level that the event is logged at.
            pub fn level(self) -> Level {
                match self {
                    $(Self::$name => Level::$level,)*
                }
            }

            /// Returns the fixed message of the event.
            pub fn message(self) -> &'static str {
                match self {
                    $(Self::$name => $message,)*
                }
            }
        }
    };
}

events! {
    /// The process has started.
    DaemonStarted = "CF1001", Info, "daemon started";
    /// The process ends after a graceful shutdown.
    DaemonStopped = "CF1002", Info, "daemon stopped";
    /// A listening address could not be opened.
    ListenFailed = "CF1003", Error, "cannot listen";
    /// A connection was closed because too many are open.
    ConnectionRefused = "CF1004", Warning, "too many connections";

    /// A call was sent to a server behind this daemon.
    CallRoutedLocally = "CF2001", Info, "call routed to a local server";
    /// A call was forwarded to another daemon.
    CallForwarded = "CF2002", Info, "call forwarded";
    /// A call was certainly not run.
    CallNotRun = "CF2003", Info, "call not run";
    /// A call may have run, but its answer is lost.
    CallUnknown = "CF2004", Warning, "call outcome unknown";
    /// A call was answered by its server.
    CallAnswered = "CF2005", Debug, "call answered";
    /// The entry daemon chose the service of a call by a route.
    CallRouteChosen = "CF2006", Info, "route chosen";
    /// A call by a route is tried again, or waits for an owner.
    CallRetried = "CF2007", Info, "call tried again";
    /// A call by a route has ended.
    RoutedCallEnded = "CF2008", Info, "routed call ended";
    /// A try of a call at a local server has ended.
    ServerTryEnded = "CF2009", Info, "try at a server ended";
    /// A call by a route that failed is not tried again.
    CallNotRetried = "CF2010", Info, "call not tried again";
    /// A call is refused at its entry daemon, since the owner of its key refuses most of its kind.
    CallHeldBack = "CF2011", Info, "call held back";
    /// A call whose caller no longer waits is stopped.
    CallCancelled = "CF2101", Info, "call cancelled";
    /// A recorded answer was given again.
    AnswerReplayed = "CF2102", Info, "answer replayed";
    /// The guard of a span is in place here, with its copy.
    GuardReady = "CF2103", Info, "guard placed";
    /// The copy of a guard could not be placed.
    GuardCopyFailed = "CF2104", Warning, "guard copy failed";
    /// The guard of a span was lost with both of its daemons.
    GuardLost = "CF2105", Error, "guard lost";
    /// A server was taken out, since its calls fail.
    ServerTakenOut = "CF2106", Warning, "server taken out";
    /// This daemon sends no calls to a server for a while, since they fail.
    ServerAvoided = "CF2107", Warning, "server avoided";
    /// A server crashed while calls ran on it.
    ServerCrashed = "CF2108", Warning, "server crashed";
    /// A request is quarantined, since servers crash on it.
    RequestQuarantined = "CF2109", Error, "request quarantined";

    /// A link to another daemon was opened.
    LinkOpened = "CF3001", Info, "link opened";
    /// A link to another daemon was closed.
    LinkClosed = "CF3002", Info, "link closed";
    /// A peer was refused at the hello.
    PeerRefused = "CF3003", Warning, "peer refused";
    /// A link to another daemon could not be opened.
    LinkFailed = "CF3004", Warning, "link could not be opened";
    /// An operator's request was refused.
    OperatorRefused = "CF3101", Warning, "operator refused";
    /// An announcement of a backend server was refused.
    AnnounceRefused = "CF3102", Warning, "announcement refused";
    /// The key files were read again.
    KeysReloaded = "CF3103", Info, "keys reloaded";
    /// A key file could not be read again; the keys of before stay valid.
    KeysNotReloaded = "CF3104", Error, "keys not reloaded";

    /// A session of this daemon was opened.
    SessionOpened = "CF4001", Info, "session opened";
    /// The session of this daemon has ended.
    SessionEnded = "CF4002", Warning, "session ended";
    /// The lease of this daemon ran out before it was renewed.
    LeaseExpired = "CF4003", Warning, "lease expired";
    /// A backend server announced itself.
    ServerAnnounced = "CF4004", Info, "server announced";
    /// A backend server is no longer there.
    ServerLost = "CF4005", Warning, "server lost";
    /// A span of keys was granted to a local server.
    RangeGranted = "CF4006", Info, "range granted";
    /// A local server refused a grant or could not be reached for it.
    GrantFailed = "CF4007", Warning, "grant failed";
    /// A span of keys was taken back from a local server.
    RangeRevoked = "CF4008", Info, "range revoked";
    /// Another process holds the session of this host.
    SessionRefused = "CF4101", Warning, "session refused";
    /// The lease was voided since the process did not run for a while.
    LeaseVoided = "CF4102", Warning, "lease voided";
    /// The lease is not renewed since this daemon lacks a configuration.
    ConfigurationLags = "CF4103", Warning, "configuration lags";
    /// A local server no longer holds its grants.
    GrantsLost = "CF4104", Warning, "grants lost by a server";

    /// Other control hosts are known from here on.
    ControlHostsLearnt = "CF4105", Info, "control hosts learnt";
    /// The servers of an earlier process of this daemon are served on.
    ServersAdopted = "CF4106", Info, "servers adopted";
    /// A heartbeat of a server changed nothing.
    HeartbeatIgnored = "CF4107", Info, "heartbeat ignored";
    /// A local server takes no new work from here on.
    ServerLeaving = "CF4108", Info, "server leaving";
    /// A local server gave a span up for a planned move.
    RangeGivenUp = "CF4109", Info, "range given up";
    /// A local server does not hold what it was granted with its last heartbeat.
    GrantNotTaken = "CF4110", Warning, "grant not taken";

    /// A configuration is in force at this daemon from here on.
    ConfigurationInForce = "CF4111", Info, "configuration in force";
    /// A control host did not answer a watch.
    WatchFailed = "CF4112", Warning, "watch failed";
    /// A change of the configuration is for another state than that of this daemon, which reads the whole state.
    ChangeMisfit = "CF4113", Warning, "change does not fit the state";
    /// This daemon may lack a configuration, though a leader is in reach, and refuses calls from here on.
    ConfigurationStale = "CF4114", Warning, "configuration may be old";
    /// This daemon answers calls by its configuration again.
    ConfigurationFresh = "CF4115", Info, "configuration proved";

    /// The control role has opened its log.
    ControlStarted = "CF5001", Info, "control role started";
    /// The control role has stopped after an error.
    ControlFailed = "CF5002", Error, "control role failed";
    /// A session was opened in the replicated state.
    ControlSessionOpened = "CF5003", Info, "session opened by control";
    /// A session was ended in the replicated state.
    ControlSessionEnded = "CF5004", Info, "session ended by control";
    /// A range was given to a server.
    RangeAssigned = "CF5005", Info, "range assigned";
    /// An operator's command was decided.
    CommandDecided = "CF5006", Info, "operator command decided";
    /// The watches that waited for a configuration were answered with it.
    ConfigurationSent = "CF5007", Info, "configuration sent";
    /// The control role does not start on its data folder.
    ControlRefused = "CF5101", Error, "control role refused its data folder";
    /// The first members of a new cell were written.
    CellFounded = "CF5102", Info, "cell founded";
    /// This host leads the cell from here on.
    LeaderElected = "CF5103", Info, "leader elected";
    /// This host leads the cell no longer.
    LeaderSteppedDown = "CF5104", Warning, "leader stepped down";
    /// This host follows a leader.
    LeaderFollowed = "CF5105", Info, "leader followed";
    /// Other members are in force.
    MembersChanged = "CF5106", Info, "members changed";
    /// The data folder holds an older state than other members have seen.
    DiskStale = "CF5107", Error, "old disk found";
    /// The leader starts a change of the members by itself.
    MemberChangeStarted = "CF5108", Info, "member change started";

    /// The planner starts a move of a range.
    MovePlanned = "CF6101", Info, "range move planned";
    /// The split has come to a further stage.
    SplitStaged = "CF6102", Info, "split stage reached";

    /// An operator's command was answered by this daemon.
    CommandAnswered = "CF7101", Info, "operator command answered";
}
