use clementinefold::{
    clock::Ms,
    control::{Server, State},
    grant::{self, ChangedSpans, GrantAction, GrantTable, GrantTarget},
    key::{Key, KeyRange},
    lease::{ClockVerdict, DaemonLease, SleepDetector},
    settings::LeaseSettings,
    wire::{
        control::{Committed, SetServers},
        peer::{Renew, RenewAnswer},
    },
};

/// Time between two steps of a daemon, by its own clock.
const STEP: Ms = Ms(10);

/// One daemon process.
pub struct DaemonActor {
    pub lease: DaemonLease,
    pub session: Option<u64>,
    pub process: u64,
    pub state: State,
    pub grants: GrantTable,
    /// Whether the daemon has removed its server, which has not announced itself again.
    pub is_server_removed: bool,
    /// Number of the removals. Orders from before the last one say nothing about the grants.
    pub removals: u64,
    /// Number of the last list of servers that was sent.
    last_list: u64,
    /// Number of the first list that names the server again.
    listed_in: Option<u64>,
    pub frozen_until: i64,
    pub next_step: Ms,
    pub next_renewal: Ms,
    pub next_extension: Ms,
    changed_spans: ChangedSpans,
    detector: SleepDetector,
    timing: LeaseSettings,
    address: String,
    checks_fencing: bool,
}

impl DaemonActor {
    pub fn new(number: usize, timing: LeaseSettings, checks_fencing: bool) -> Self {
        Self {
            lease: DaemonLease::default(),
            session: None,
            process: number as u64,
            state: State::default(),
            grants: GrantTable::default(),
            is_server_removed: false,
            removals: 0,
            last_list: 0,
            listed_in: Some(0),
            frozen_until: 0,
            next_step: Ms::ZERO,
            next_renewal: Ms::ZERO,
            next_extension: Ms::ZERO,
            changed_spans: ChangedSpans::default(),
            detector: SleepDetector::new(STEP, timing.drift),
            timing,
            address: format!("10.0.0.{number}:1"),
            checks_fencing,
        }
    }

    /// Gives the detector a clock reading and voids the lease after a pause.
    pub fn step(&mut self, now: Ms) {
        self.next_step = now + STEP;
        if self.detector.observe(now, now) != ClockVerdict::Steady {
            self.lease.void(now);
            self.next_renewal = now;
        }
    }

    pub fn renewal(&mut self, session: u64, now: Ms) -> Renew {
        self.next_renewal = now + self.timing.renew_interval;
        Renew {
            session,
            sent_at_ms: now.0,
            applied: self.state.applied(),
            loads: Vec::new(),
            process: 0,
        }
    }

    pub fn handle_renewal_answer(&mut self, answer: &RenewAnswer, now: Ms) {
        if self.session != Some(answer.session) {
            return;
        }
        if answer.renewed {
            self.lease.record_renewal(Ms(answer.sent_at_ms), &self.timing);
        } else if !answer.lagging {
            self.session = None;
            self.lease.void(now);
            self.grants.drop_all();
        }
    }

    pub fn opened(&mut self, session: u64) {
        if session != 0 && self.session.is_none() {
            self.session = Some(session);
            self.changed_spans = ChangedSpans::everything();
        }
    }

    /// Removes the server, as if it had fallen silent.
    pub fn remove_server(&mut self) {
        self.is_server_removed = true;
        self.removals += 1;
    }

    /// Adds the server again, the same process as before.
    pub fn restore_server(&mut self) {
        self.is_server_removed = false;
        self.listed_in = None;
        self.grants = std::mem::take(&mut self.grants).after_removal();
        self.changed_spans = ChangedSpans::everything();
    }

    /// Returns the next list of servers, unless `state` of the leader has an equal one and no list is on its way. A server
    /// that was removed is listed until its leases have ended.
    pub fn next_list(
        &mut self,
        session: u64,
        state: &State,
        leases_end_at: Ms,
        now: Ms,
    ) -> Option<SetServers> {
        let may_hold = !self.is_server_removed || now < leases_end_at;
        let servers = match may_hold {
            true => vec![Server {
                leaving: self.is_server_removed,
                ..self.server()
            }],
            false => Vec::new(),
        };
        let known = state.session(session)?;
        let awaits_listing = !self.is_server_removed && self.listed_in.is_none();
        if known.servers == servers && known.servers_number == self.last_list && !awaits_listing {
            return None;
        }
        self.last_list += 1;
        if awaits_listing {
            self.listed_in = Some(self.last_list);
        }
        Some(SetServers {
            session,
            servers,
            number: self.last_list,
            ..SetServers::default()
        })
    }

    fn server(&self) -> Server {
        Server {
            service: "ledger".into(),
            address: self.address.clone(),
            incarnation: "a".into(),
            slots: 4,
            connections: 10,
            checks_fencing: self.checks_fencing,
            leaving: false,
            cold: false,
        }
    }

    pub fn apply(&mut self, changes: &[Committed]) {
        for committed in changes {
            if committed.index == self.state.applied() + 1 {
                let change = committed.change.as_ref().unwrap();
                let applied = self.state.apply(committed.index, change);
                self.changed_spans.record(&applied, self.session);
            }
        }
    }

    /// Reconciles the grants with the state and returns the next actions.
    pub fn next_actions(
        &mut self,
        leases_end_at: Ms,
        now: Ms,
        is_busy: impl Fn(&KeyRange) -> bool,
    ) -> Vec<GrantAction> {
        let changed_spans = std::mem::take(&mut self.changed_spans);
        let mut spans: Vec<KeyRange> = changed_spans.spans.into_iter().map(|(_, span)| span).collect();
        if changed_spans.all {
            spans.push(KeyRange::default());
        }
        if changed_spans.releases {
            spans.extend(self.grants.releasing_spans());
        }
        if self.is_server_removed {
            return Vec::new();
        }
        let server = self.server();
        let target = GrantTarget {
            session: self.session,
            server: &server,
            listed_in: self.listed_in,
        };
        for span in spans {
            let wanted = grant::wanted_within(&self.state, &target, &span);
            self.grants.reconcile(&span, &wanted);
        }
        self.grants.forget_dropped(leases_end_at, now);
        self.grants.next_actions(is_busy)
    }

    /// Returns whether the grants of the server may be extended.
    pub fn may_extend(&self) -> bool {
        !self.is_server_removed && self.grants.can_extend()
    }

    /// Returns the epoch at which a call for `key` may be dispatched now, if it may.
    pub fn may_dispatch(&self, key: &Key, now: Ms) -> Option<u64> {
        let owner = self.state.table("ledger")?.range_of(key).owner.as_ref()?;
        let is_own = Some(owner.session) == self.session && owner.server == self.address;
        let may = is_own
            && !self.is_server_removed
            && self.lease.is_valid(now)
            && self.grants.is_held(key, owner.epoch);
        may.then_some(owner.epoch)
    }
}
