use {
    super::{
        load_table::LoadTable,
        plan,
        range_history::{RangeHistory, RangeRecord},
        Action, DomainUse, Plan, PlannerState, RangeView, Reason, ServerView, ServiceView, Side, Snapshot,
    },
    crate::{
        clock::Ms,
        control::{Range, RangeTable, State},
        key::KeyRange,
        schema::{Service, Warmup},
        split,
        wire::{
            control::{AssignRange, JoinRanges, ReleaseRange, SplitStage, SplitStep},
            peer::Renew,
        },
    },
};

/// Time for which a service counts as new after this leader has last assigned ranges that never had an owner. Servers
/// that start together have announced themselves by then.
const NEW_SERVICE_PERIOD: Ms = Ms(30_000);
/// Time between two full plans.
const PLAN_INTERVAL: Ms = Ms(1000);

/// Share of its slots that a cold server counts with while no call time is reported.
const COLD_SHARE_UNKNOWN: f64 = 0.1;

/// Changes that placement proposes to have committed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementChanges {
    /// New owners of ranges without one.
    pub assignments: Vec<AssignRange>,
    /// Planned moves to start.
    pub releases: Vec<ReleaseRange>,
    /// Ranges to join.
    pub joins: Vec<JoinRanges>,
    /// The next stage of the split, if the present one is complete.
    pub split_step: Option<SplitStep>,
}

/// Runs placement on the leader: keeps the reported loads and turns plans into changes.
#[derive(Debug, Default)]
pub struct Placer {
    loads: LoadTable,
    history: RangeHistory,
    planner_state: PlannerState,
    planned_at: Option<Ms>,
    /// When ranges that never had an owner were last assigned, sorted by service. A new leader starts without these
    /// times, so that a change of leader alone moves no range.
    first_assigned_at: Vec<(String, Ms)>,
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

    /// Records the loads that came with the renewal of a session.
    pub fn record_loads(&mut self, renew: &Renew, now: Ms) {
        for load in &renew.loads {
            self.loads.record(load, now);
        }
    }

    /// Returns the changes to propose now.
    ///
    /// Every call assigns ranges without an owner. All other changes are planned once a second.
    pub fn changes(&mut self, state: &State, now: Ms) -> PlacementChanges {
        let is_plan_due = self.planned_at.is_none_or(|at| now - at >= PLAN_INTERVAL);
        if !is_plan_due && !has_unowned(state) {
            return PlacementChanges::default();
        }
        self.history.observe(state, now);
        let snapshot = self.snapshot(state, now);
        let (mut planned, planner_state) = plan(&snapshot, &self.planner_state, self.seed);
        if is_plan_due {
            self.planner_state = planner_state;
            self.planned_at = Some(now);
            self.loads.prune(now);
        } else {
            planned.actions.retain(|a| matches!(a, Action::Assign { .. }));
        }
        self.record_moves(&planned, now);
        self.record_first_assignments(&planned, now);
        let mut changes = to_changes(&planned, &snapshot);
        if is_plan_due {
            changes.split_step = split::next_stage(state).map(|to| SplitStep { to: to.into() });
        }
        changes
    }

    /// Returns the assignments, releases and joins that a full plan would contain now, without updating the placer.
    pub fn preview(&self, state: &State, now: Ms) -> PlacementChanges {
        let mut history = self.history.clone();
        history.observe(state, now);
        let copy = Self {
            loads: self.loads.clone(),
            history,
            planner_state: self.planner_state.clone(),
            first_assigned_at: self.first_assigned_at.clone(),
            ..Self::new(self.seed)
        };
        let snapshot = copy.snapshot(state, now);
        let (planned, _) = plan(&snapshot, &copy.planner_state, copy.seed);
        to_changes(&planned, &snapshot)
    }

    fn record_moves(&mut self, planned: &Plan, now: Ms) {
        for action in &planned.actions {
            if let Action::Move { service, span, .. } = action {
                self.history.record_move(service, &span.start, now);
            }
        }
    }

    fn record_first_assignments(&mut self, planned: &Plan, now: Ms) {
        for action in &planned.actions {
            let Action::Assign {
                service,
                reason: Reason::New,
                ..
            } = action
            else {
                continue;
            };
            let position = self
                .first_assigned_at
                .binary_search_by(|(name, _)| name.cmp(service));
            match position {
                Ok(i) => self.first_assigned_at[i].1 = now,
                Err(i) => self.first_assigned_at.insert(i, (service.clone(), now)),
            }
        }
    }

    fn is_new(&self, service: &str, now: Ms) -> bool {
        let position = self
            .first_assigned_at
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        position.is_ok_and(|i| now - self.first_assigned_at[i].1 < NEW_SERVICE_PERIOD)
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
        let call_time_s = self.loads.call_time_s(&table.service, now);
        let servers = server_views(state, service, call_time_s);
        let records = self.history.ranges(&table.service);
        let ranges = table.ranges().iter().enumerate().map(|(i, range)| {
            let span = table.span(i);
            let side = range_side_in_split(state, &table.service, &span);
            let view = self.range_view(&table.service, range, span, records.get(i), &servers, now);
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
        record: Option<&RangeRecord>,
        servers: &[ServerView],
        now: Ms,
    ) -> RangeView {
        let owner = range.owner.as_ref();
        let release = range.release.as_ref();
        let smoothed = self.loads.get(service, &range.start, now);
        RangeView {
            span,
            owner: owner.and_then(|o| server_position(servers, o.session, &o.server)),
            epoch: owner.map_or(0, |o| o.epoch),
            target: release.and_then(|r| server_position(servers, r.to_session, &r.to_server)),
            is_moving: release.is_some(),
            load: smoothed.map_or(0.0, |s| s.load),
            top: smoothed.map(|s| s.top.clone()).unwrap_or_default(),
            middle: smoothed.and_then(|s| s.middle.clone()),
            moved_at: record.and_then(|r| r.moved_at),
            lost_owner: record.and_then(|r| self.history.lost_owner(r)),
            ..RangeView::default()
        }
    }
}

/// Returns an assignment for each range that has no owner, regardless of loads and past owners. Ranges of a service
/// without a usable server stay without an owner.
pub fn assign_unowned(state: &State) -> Vec<AssignRange> {
    Placer::default().changes(state, Ms::ZERO).assignments
}

fn has_unowned(state: &State) -> bool {
    let mut ranges = state.range_tables().iter().flat_map(RangeTable::ranges);
    ranges.any(|r| r.owner.is_none())
}

/// Returns the servers of a service, sorted by session and address. `call_time_s` is the mean time of a call in seconds, if
/// it is known.
fn server_views(state: &State, service: &Service, call_time_s: Option<f64>) -> Vec<ServerView> {
    let mut views = Vec::new();
    for session in state.sessions() {
        for server in session.servers_of(&service.name) {
            let warmup = service.warmup.filter(|_| server.cold);
            views.push(ServerView {
                session: session.id,
                address: server.address.clone(),
                host: session.open.host.clone(),
                failure_domain: session.open.failure_domain.clone(),
                slots: server.slots,
                cold_slots: warmup.map(|w| cold_slots(server.slots, w, call_time_s)),
                is_draining: state.is_drained(session, server),
                domain_use: domain_use(state, &session.open.failure_domain),
                side: host_side_in_split(state, &session.open.host, &session.open.failure_domain),
            });
        }
    }
    views
}

fn domain_use(state: &State, failure_domain: &str) -> DomainUse {
    match state.last_evacuation(failure_domain) {
        None => DomainUse::Normal,
        Some(evacuation) if evacuation.ended == 0 => DomainUse::Evacuated,
        Some(_) => DomainUse::Restored,
    }
}

/// Returns the slots that the calls of a cold server keep busy at the rate that its service allows.
fn cold_slots(slots: u32, warmup: Warmup, call_time_s: Option<f64>) -> f64 {
    let slots = f64::from(slots.max(1));
    match call_time_s {
        Some(call_time_s) => (warmup.per_s * call_time_s).min(slots),
        None => slots * COLD_SHARE_UNKNOWN,
    }
}

/// Returns the half of a host, or `None` if no split has been started.
fn host_side_in_split(state: &State, host: &str, failure_domain: &str) -> Option<Side> {
    let is_started = state.split().stage() != SplitStage::Idle;
    state.host_side(host, failure_domain).filter(|_| is_started)
}

/// Returns the half of a span, or `None` if no split has been started, the service is not divided by key, or the span
/// lies in both halves.
fn range_side_in_split(state: &State, service: &str, span: &KeyRange) -> Option<Side> {
    let declared = state
        .schema()
        .split
        .as_ref()
        .filter(|_| state.is_divided(service))?;
    let is_started = state.split().stage() != SplitStage::Idle;
    split::side_of_keys(declared, service, span).filter(|_| is_started)
}

/// Returns the position of a server in `servers`, which are sorted by session and address.
fn server_position(servers: &[ServerView], session: u64, address: &str) -> Option<usize> {
    let key = (session, address);
    let position = servers.binary_search_by(|s| (s.session, s.address.as_str()).cmp(&key));
    position.ok()
}

/// Returns the changes that carry out a plan for `snapshot`.
fn to_changes(planned: &Plan, snapshot: &Snapshot) -> PlacementChanges {
    let mut changes = PlacementChanges::default();
    for action in &planned.actions {
        match action {
            Action::Assign {
                service,
                span,
                to,
                reason,
            } => {
                if let Some(server) = server_at(snapshot, service, *to) {
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
                if let Some(server) = server_at(snapshot, service, *to) {
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
                let may_join = snapshot
                    .services
                    .iter()
                    .any(|v| v.name == *service && v.joins_ranges);
                if may_join {
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

fn server_at<'a>(snapshot: &'a Snapshot, service: &str, server_position: usize) -> Option<&'a ServerView> {
    let view = snapshot.services.iter().find(|v| v.name == service)?;
    view.servers.get(server_position)
}
