use {
    super::{
        known_ranges::{KnownRange, KnownRanges},
        load_book::LoadBook,
        plan, Action, Memory, Plan, RangeView, Reason, ServerView, ServiceView, Side, Snapshot,
    },
    crate::{
        clock::Ms,
        control::{Range, RangeTable, State},
        key::KeyRange,
        schema::Service,
        split,
        wire::{
            control::{AssignRange, JoinRanges, ReleaseRange, SplitStage, SplitStep},
            peer::Renew,
        },
    },
};

/// Time for which a service counts as new after this leader gave its first ranges to servers. Servers that start
/// together have announced themselves by then.
const NEW_SERVICE: Ms = Ms(30_000);
/// Time between two plans while every range has an owner.
const PLAN_EACH: Ms = Ms(1000);

/// What placement wants to have committed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementChanges {
    /// New owners of ranges without one.
    pub assignments: Vec<AssignRange>,
    /// Planned moves to start.
    pub releases: Vec<ReleaseRange>,
    /// Ranges to join.
    pub joins: Vec<JoinRanges>,
    /// The stage of the split that is complete.
    pub split_step: Option<SplitStep>,
}

/// Placement on the leader: it keeps the reported loads, and turns plans into changes.
#[derive(Debug, Default)]
pub struct Placer {
    book: LoadBook,
    known: KnownRanges,
    memory: Memory,
    planned_at: Option<Ms>,
    /// When ranges that never had an owner were given to servers last, by service. Another leader knows nothing of it,
    /// so that its start moves nothing.
    new_at: Vec<(String, Ms)>,
    seed: u64,
}

impl Placer {
    /// Returns a placer whose plans are made with `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Takes the loads that came with a renewal.
    pub fn take_loads(&mut self, renew: &Renew, now: Ms) {
        for load in &renew.loads {
            self.book.take(load, now);
        }
    }

    /// Returns the changes to propose now.
    ///
    /// Ranges without an owner are looked after in every call, all else once a second.
    pub fn changes(&mut self, state: &State, now: Ms) -> PlacementChanges {
        let is_due = self.planned_at.is_none_or(|at| now - at >= PLAN_EACH);
        if !is_due && !has_unowned(state) {
            return PlacementChanges::default();
        }
        self.known.observe(state, now);
        let snapshot = self.snapshot(state, now);
        let (mut decided, memory) = plan(&snapshot, &self.memory, self.seed);
        if is_due {
            self.memory = memory;
            self.planned_at = Some(now);
            self.book.prune(now);
        } else {
            decided.actions.retain(|a| matches!(a, Action::Assign { .. }));
        }
        self.note_moves(&decided, now);
        self.note_new(&decided, now);
        let mut changes = to_changes(&decided, &snapshot);
        if is_due {
            changes.split_step = split::next_step(state).map(|to| SplitStep { to: to.into() });
        }
        changes
    }

    /// Returns what `changes` would want now, for a leader that only shows it.
    pub fn preview(&self, state: &State, now: Ms) -> PlacementChanges {
        let mut known = self.known.clone();
        known.observe(state, now);
        let shown = Self {
            book: self.book.clone(),
            known,
            memory: self.memory.clone(),
            new_at: self.new_at.clone(),
            ..Self::new(self.seed)
        };
        let snapshot = shown.snapshot(state, now);
        let (decided, _) = plan(&snapshot, &shown.memory, shown.seed);
        to_changes(&decided, &snapshot)
    }

    fn note_moves(&mut self, decided: &Plan, now: Ms) {
        for action in &decided.actions {
            if let Action::Move { service, span, .. } = action {
                self.known.moved(service, &span.start, now);
            }
        }
    }

    fn note_new(&mut self, decided: &Plan, now: Ms) {
        for action in &decided.actions {
            let Action::Assign {
                service,
                reason: Reason::New,
                ..
            } = action
            else {
                continue;
            };
            let found = self.new_at.binary_search_by(|(name, _)| name.cmp(service));
            match found {
                Ok(i) => self.new_at[i].1 = now,
                Err(i) => self.new_at.insert(i, (service.clone(), now)),
            }
        }
    }

    fn is_new(&self, service: &str, now: Ms) -> bool {
        let found = self
            .new_at
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        found.is_ok_and(|i| now - self.new_at[i].1 < NEW_SERVICE)
    }

    fn snapshot(&self, state: &State, now: Ms) -> Snapshot {
        let tables = state.range_tables().iter();
        let views = tables.filter_map(|table| {
            let service = state.schema().service(&table.service)?;
            Some(self.service_view(state, table, service, now))
        });
        Snapshot {
            now,
            services: views.collect(),
        }
    }

    fn service_view(&self, state: &State, table: &RangeTable, service: &Service, now: Ms) -> ServiceView {
        let servers = server_views(state, &table.service);
        let known = self.known.ranges(&table.service);
        let ranges = table.ranges().iter().enumerate().map(|(i, range)| {
            let span = table.span(i);
            let side = range_side(state, &table.service, &span);
            let view = self.range_view(&table.service, range, span, known.get(i), &servers, now);
            RangeView { side, ..view }
        });
        let stage = state.split().stage();
        ServiceView {
            name: table.service.clone(),
            weights: service.weights,
            moves_per_minute: service.moves_per_minute,
            settle: service.settle,
            joins_ranges: service.joins_ranges,
            is_new: self.is_new(&table.service, now),
            loss: state.schema().loss,
            is_splitting: stage != SplitStage::Idle,
            is_paused: stage == SplitStage::Paused,
            is_settled: matches!(
                stage,
                SplitStage::Settled | SplitStage::Ceding | SplitStage::Parted
            ),
            ranges: ranges.collect(),
            servers,
        }
    }

    fn range_view(
        &self,
        service: &str,
        range: &Range,
        span: KeyRange,
        known: Option<&KnownRange>,
        servers: &[ServerView],
        now: Ms,
    ) -> RangeView {
        let owner = range.owner.as_ref();
        let release = range.release.as_ref();
        let booked = self.book.get(service, &range.start, now);
        RangeView {
            span,
            owner: owner.and_then(|o| position(servers, o.session, &o.server)),
            epoch: owner.map_or(0, |o| o.epoch),
            target: release.and_then(|r| position(servers, r.to_session, &r.to_server)),
            is_moving: release.is_some(),
            load: booked.map_or(0.0, |b| b.load),
            top: booked.map(|b| b.top.clone()).unwrap_or_default(),
            middle: booked.and_then(|b| b.middle.clone()),
            moved_at: known.and_then(|k| k.moved_at),
            vacated: known.and_then(|k| self.known.vacated(k)),
            ..RangeView::default()
        }
    }
}

/// Returns an assignment for each range that has no owner, without regard to loads and past owners.
/// Ranges of a service without a usable server stay without an owner.
pub fn assign_unowned(state: &State) -> Vec<AssignRange> {
    Placer::default().changes(state, Ms::ZERO).assignments
}

fn has_unowned(state: &State) -> bool {
    let mut ranges = state.range_tables().iter().flat_map(RangeTable::ranges);
    ranges.any(|r| r.owner.is_none())
}

/// Returns the servers of a service, sorted by session and address.
fn server_views(state: &State, service: &str) -> Vec<ServerView> {
    let mut views = Vec::new();
    for session in state.sessions() {
        for server in session.servers_of(service) {
            views.push(ServerView {
                session: session.id,
                address: server.address.clone(),
                host: session.open.host.clone(),
                failure_domain: session.open.failure_domain.clone(),
                slots: server.slots,
                is_draining: state.is_drained(session, server),
                side: started_side(state, &session.open.host, &session.open.failure_domain),
            });
        }
    }
    views
}

/// Returns the half of a host once the split has been started.
fn started_side(state: &State, host: &str, failure_domain: &str) -> Option<Side> {
    let is_started = state.split().stage() != SplitStage::Idle;
    state.host_side(host, failure_domain).filter(|_| is_started)
}

fn range_side(state: &State, service: &str, span: &KeyRange) -> Option<Side> {
    let declared = state
        .schema()
        .split
        .as_ref()
        .filter(|_| state.is_divided(service))?;
    let is_started = state.split().stage() != SplitStage::Idle;
    split::side_of_keys(declared, service, span).filter(|_| is_started)
}

fn position(servers: &[ServerView], session: u64, address: &str) -> Option<usize> {
    let key = (session, address);
    let found = servers.binary_search_by(|s| (s.session, s.address.as_str()).cmp(&key));
    found.ok()
}

fn to_changes(decided: &Plan, snapshot: &Snapshot) -> PlacementChanges {
    let mut changes = PlacementChanges::default();
    for action in &decided.actions {
        match action {
            Action::Assign {
                service,
                span,
                to,
                reason,
            } => {
                if let Some(server) = server_of(snapshot, service, *to) {
                    changes.assignments.push(AssignRange {
                        service: service.clone(),
                        start: span.start.to_bytes(),
                        end: span.end.as_ref().map(|e| e.to_bytes()),
                        session: server.session,
                        server: server.address.clone(),
                        reason: reason.to_string(),
                    });
                }
            }
            Action::Move {
                service,
                span,
                epoch,
                to,
                reason,
                ..
            } => {
                if let Some(server) = server_of(snapshot, service, *to) {
                    changes.releases.push(ReleaseRange {
                        service: service.clone(),
                        start: span.start.to_bytes(),
                        end: span.end.as_ref().map(|e| e.to_bytes()),
                        epoch: *epoch,
                        to_session: server.session,
                        to_server: server.address.clone(),
                        reason: reason.to_string(),
                    });
                }
            }
            Action::Merge { service, span, .. } => {
                let joins = snapshot
                    .services
                    .iter()
                    .any(|v| v.name == *service && v.joins_ranges);
                if joins {
                    changes.joins.push(JoinRanges {
                        service: service.clone(),
                        start: span.start.to_bytes(),
                        end: span.end.as_ref().map(|e| e.to_bytes()),
                    });
                }
            }
        }
    }
    changes
}

fn server_of<'a>(snapshot: &'a Snapshot, service: &str, position: usize) -> Option<&'a ServerView> {
    let view = snapshot.services.iter().find(|v| v.name == service)?;
    view.servers.get(position)
}
