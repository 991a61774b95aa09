use slog::Level;

/// Declares the events as an enum with their codes, levels and messages.
macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $level:ident, $message:literal;)*) => {
        /// A numbered event. docs/EVENTS.md lists the fields of each event and what an operator should do about it.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// All events, in the order of their codes.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the code, which is `CF` and four digits.
            pub fn code(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)*
                }
            }

            /// Returns the level at which the event is logged.
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
    /// The process was told to stop.
    StopRequested = "CF1005", Info, "stop requested";
    /// A listener was closed for a stop.
    ListenerClosed = "CF1006", Info, "listener closed";
    /// A connection ended before a request on it was completely answered.
    AnswerCutOff = "CF1007", Warning, "answer cut off";
    /// A request was refused because the process has no memory for its body.
    RequestOutOfMemory = "CF1008", Warning, "no memory for a request";

    /// A call was sent to a server behind this daemon.
    CallRoutedLocally = "CF2001", Info, "call routed to a local server";
    /// A call was forwarded to another daemon.
    CallForwarded = "CF2002", Info, "call forwarded";
    /// A call ended without having run on a server.
    CallNotRun = "CF2003", Info, "call not run";
    /// A call may have run, but its answer was lost.
    CallUnknown = "CF2004", Warning, "call outcome unknown";
    /// A server answered a call.
    CallAnswered = "CF2005", Debug, "call answered";
    /// The entry daemon found the route of a call and chose one of its services.
    CallRouteChosen = "CF2006", Info, "route chosen";
    /// A routed call is retried, possibly after waiting for its key to get an owner.
    CallRetried = "CF2007", Info, "call tried again";
    /// A routed call has ended.
    RoutedCallEnded = "CF2008", Info, "routed call ended";
    /// An attempt to run a call on a local server has ended.
    ServerAttemptEnded = "CF2009", Info, "try at a server ended";
    /// A routed call failed and is not retried.
    CallNotRetried = "CF2010", Info, "call not tried again";
    /// The entry daemon refuses a call because the servers that may run it refuse most calls of its kind.
    CallThrottled = "CF2011", Info, "call throttled at its entry daemon";
    /// A hedged request was sent for a routed call whose first attempt is late.
    CallHedged = "CF2021", Info, "hedged request sent";
    /// A routed call with a hedged request has a result, or both of its attempts failed.
    HedgeEnded = "CF2022", Info, "hedged call decided";
    /// A call is cancelled because its caller no longer waits for the answer, or because another server answered first.
    CallCancelled = "CF2101", Info, "call cancelled";
    /// A call with a known request id got the recorded answer.
    AnswerReplayed = "CF2102", Info, "answer replayed";
    /// The guard of a span and its copy were placed.
    GuardReady = "CF2103", Info, "guard placed";
    /// The copy of a guard could not be placed on another daemon.
    GuardCopyFailed = "CF2104", Warning, "guard copy failed";
    /// The guard of a span was lost because both daemons that held it are gone.
    GuardLost = "CF2105", Error, "guard lost";
    /// A local server was removed because its calls failed repeatedly.
    ServerEjected = "CF2106", Warning, "server ejected";
    /// This daemon temporarily sends no calls to a server because its calls failed repeatedly.
    ServerAvoided = "CF2107", Warning, "server avoided";
    /// A server crashed while calls ran on it.
    ServerCrashed = "CF2108", Warning, "server crashed";
    /// A request was quarantined because servers crashed while it was running.
    RequestQuarantined = "CF2109", Error, "request quarantined";
    /// A local server has named a limit of requests in its answers, has changed it, or no longer names one.
    ServerLimitNamed = "CF2110", Warning, "server limit named";
    /// A local server counts as cold from here on, so it gets only the calls that its service allows a cold one.
    ServerCold = "CF2111", Info, "server cold";
    /// A local server no longer counts as cold.
    ServerWarm = "CF2112", Info, "server warm";
    /// A local server reported a load that makes no sense. It counts as not reported.
    ServerLoadIgnored = "CF2121", Warning, "server load ignored";
    /// A local server reported fewer slots than it announced, or as many again.
    ServerSlotsReported = "CF2122", Info, "server slots reported";

    /// A link to another daemon was opened.
    LinkOpened = "CF3001", Info, "link opened";
    /// A link to another daemon was closed.
    LinkClosed = "CF3002", Info, "link closed";
    /// A peer was refused during the handshake.
    PeerRefused = "CF3003", Warning, "peer refused";
    /// A link to another daemon could not be opened.
    LinkFailed = "CF3004", Warning, "link could not be opened";
    /// A link carried nothing although its connection was open, and was replaced by a new one.
    LinkReplaced = "CF3005", Warning, "silent link replaced";
    /// The process stops and closes links that their peers have not closed in time.
    LinksCut = "CF3006", Warning, "links cut off at the stop";
    /// An operator's request was refused.
    OperatorRefused = "CF3101", Warning, "operator refused";
    /// An announcement of a backend server was refused.
    AnnounceRefused = "CF3102", Warning, "announcement refused";
    /// The key files were reloaded.
    KeysReloaded = "CF3103", Info, "keys reloaded";
    /// A key file could not be reloaded. The previous keys stay valid.
    KeysNotReloaded = "CF3104", Error, "keys not reloaded";

    /// A session of this daemon was opened.
    SessionOpened = "CF4001", Info, "session opened";
    /// The session of this daemon has ended.
    SessionEnded = "CF4002", Warning, "session ended";
    /// The lease of this daemon ran out before it was renewed.
    LeaseExpired = "CF4003", Warning, "lease expired";
    /// A backend server announced itself.
    ServerAnnounced = "CF4004", Info, "server announced";
    /// A backend server was removed because it is gone.
    ServerLost = "CF4005", Warning, "server lost";
    /// A span of keys was granted to a local server.
    RangeGranted = "CF4006", Info, "range granted";
    /// A local server refused a grant or could not be reached.
    GrantFailed = "CF4007", Warning, "grant failed";
    /// A span of keys was revoked from a local server.
    RangeRevoked = "CF4008", Info, "range revoked";
    /// This daemon got no session because another process holds the session of its host.
    SessionRefused = "CF4101", Warning, "session refused";
    /// The lease was voided because the process or the host was suspended.
    LeaseVoided = "CF4102", Warning, "lease voided";
    /// The lease was not renewed because the configuration of this daemon lags.
    ConfigurationLags = "CF4103", Warning, "configuration lags";
    /// A local server no longer holds its grants.
    GrantsLost = "CF4104", Warning, "grants lost by a server";

    /// The list of control hosts that this daemon knows has changed.
    ControlHostsLearnt = "CF4105", Info, "control hosts learnt";
    /// This daemon has taken over a server from an earlier process on this host.
    ServersAdopted = "CF4106", Info, "servers adopted";
    /// A heartbeat was ignored because its server has left or because it conflicts with a later heartbeat or another
    /// process.
    HeartbeatIgnored = "CF4107", Info, "heartbeat ignored";
    /// A local server leaves and gets no new work.
    ServerLeaving = "CF4108", Info, "server leaving";
    /// A local server released a span for a planned move.
    RangeGivenUp = "CF4109", Info, "range given up";
    /// A heartbeat of a local server lacks a grant that the server got with the answer to an earlier heartbeat.
    GrantNotTaken = "CF4110", Warning, "grant not taken";

    /// A new configuration is in force at this daemon.
    ConfigurationInForce = "CF4111", Info, "configuration in force";
    /// A control host did not answer a watch.
    WatchFailed = "CF4112", Warning, "watch failed";
    /// A change of the configuration does not apply to the state of this daemon, which therefore fetches the whole
    /// state.
    ChangeMismatch = "CF4113", Warning, "change does not fit the state";
    /// This daemon starts to refuse calls because its configuration may be stale although a leader is reachable, or because
    /// no leader has confirmed it yet.
    ConfigurationStale = "CF4114", Warning, "configuration may be old";
    /// The configuration was confirmed to be current, and this daemon accepts calls again.
    ConfigurationConfirmed = "CF4115", Info, "configuration confirmed";
    /// This daemon has replaced its state by a whole one from a control host.
    StateFetched = "CF4116", Info, "state fetched";
    /// The departure of a local server is not known to be committed, so it was not acknowledged.
    DepartureNotCommitted = "CF4117", Warning, "departure not committed";
    /// No leader has confirmed the configuration of this daemon for a while. This daemon continues with it.
    ConfigurationUnconfirmed = "CF4118", Warning, "configuration not confirmed";
    /// The failure domain of this host is evacuated. Its servers get no new calls.
    DomainEvacuated = "CF4119", Warning, "failure domain evacuated";
    /// The evacuation of this host's failure domain has ended.
    DomainRestored = "CF4120", Info, "failure domain restored";
    /// A list of local servers is in the replicated state.
    ServersListed = "CF4121", Info, "servers listed";
    /// The spans in the answers to the heartbeats of a server have changed.
    HoldsChanged = "CF4122", Info, "holds changed";
    /// A heartbeat was answered without grants, since the state does not show yet what the server owns.
    GrantsWithheld = "CF4123", Info, "grants withheld";

    /// The control role has opened its log.
    ControlStarted = "CF5001", Info, "control role started";
    /// The control role has stopped after an error.
    ControlFailed = "CF5002", Error, "control role failed";
    /// A session was opened in the replicated state.
    ControlSessionOpened = "CF5003", Info, "session opened by control";
    /// A session was ended in the replicated state.
    ControlSessionEnded = "CF5004", Info, "session ended by control";
    /// A range was assigned to a server.
    RangeAssigned = "CF5005", Info, "range assigned";
    /// The outcome of an operator's command was decided.
    CommandDecided = "CF5006", Info, "operator command decided";
    /// A new configuration was sent to the daemons that were waiting for it.
    ConfigurationSent = "CF5007", Info, "configuration sent";
    /// The control role cannot use its disk and will try again.
    ControlSuspended = "CF5008", Warning, "control role suspended";
    /// A schema no longer names a service, or divides it differently. Its owners are remembered.
    ServiceRetired = "CF5009", Info, "service retired";
    /// A schema names a service as before it was retired. Its owners are in force again.
    ServiceRestored = "CF5010", Info, "service restored";
    /// The last owners of a retired service were forgotten.
    ServiceForgotten = "CF5011", Info, "service forgotten";
    /// The control role could not start with its data folder.
    ControlRefused = "CF5101", Error, "control role refused its data folder";
    /// The first members of a new cell were written.
    CellFounded = "CF5102", Info, "cell founded";
    /// This host has become the leader of the cell.
    LeaderElected = "CF5103", Info, "leader elected";
    /// This host is no longer the leader of the cell.
    LeaderSteppedDown = "CF5104", Warning, "leader stepped down";
    /// This host follows a new leader.
    LeaderFollowed = "CF5105", Info, "leader followed";
    /// A change of the cell's members is in force.
    MembersChanged = "CF5106", Info, "members changed";
    /// The data folder holds an older state than other members have seen.
    DataFolderStale = "CF5107", Error, "data folder is stale";
    /// The leader starts an automatic change of the cell's members.
    MemberChangeStarted = "CF5108", Info, "member change started";

    /// A move of a range was started.
    MovePlanned = "CF6101", Info, "range move planned";
    /// The split has reached another stage.
    SplitStaged = "CF6102", Info, "split stage reached";
    /// An operator has started the evacuation of a failure domain.
    EvacuationStarted = "CF6103", Warning, "evacuation started";
    /// An operator has ended the evacuation of a failure domain.
    EvacuationEnded = "CF6104", Info, "evacuation ended";

    /// This daemon answered an operator's command.
    CommandAnswered = "CF7101", Info, "operator command answered";
}
