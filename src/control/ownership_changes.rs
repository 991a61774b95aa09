use {
    super::{Applied, Owner, Range, RangeTable, Release, Server, Session, State, Vacancy},
    crate::{
        key::{Key, KeyRange},
        wire::control::{AssignRange, JoinRanges, RangeReleased, ReleaseRange},
    },
};

impl State {
    /// Assigns a span to a server, if the server is present and no part of the span has an owner.
    pub(super) fn assign_range(&mut self, index: u64, assign: &AssignRange) -> Applied {
        let is_server_present = self
            .session(assign.session)
            .is_some_and(|s| s.server(&assign.service, &assign.server).is_some());
        if !is_server_present {
            return Applied::Ignored("the server is gone");
        }
        let span = key_range(&assign.start, assign.end.as_ref());
        if !self.split_allows(&assign.service, &span, assign.session) {
            return Applied::Ignored("the span belongs to the other half");
        }
        let Some(table) = self.table_mut(&assign.service) else {
            return Applied::Ignored("the service is gone");
        };
        if span.is_empty() || table.overlapping(&span).any(|(_, range)| range.owner.is_some()) {
            return Applied::Ignored("the span has an owner");
        }
        let positions = table.isolate(&span);
        // A handover token covers one range only, so joined ranges have none.
        let handover = match positions.len() {
            1 => std::mem::take(&mut table.range_mut(positions.start).handover),
            _ => String::new(),
        };
        let owner = Owner {
            session: assign.session,
            server: assign.server.clone(),
            epoch: index,
            handover,
        };
        table.join(positions.clone());
        let range = table.range_mut(positions.start);
        range.handover.clear();
        range.owner = Some(owner.clone());
        range.release = None;
        range.vacancy = None;
        Applied::RangeAssigned {
            service: assign.service.clone(),
            span,
            owner,
        }
    }

    /// Starts the planned move of a span within one range. Ignores the change while the range has a move under way.
    pub(super) fn release_range(&mut self, index: u64, release: &ReleaseRange) -> Applied {
        if !self.has_server(release.to_session, &release.service, &release.to_server) {
            return Applied::Ignored("the target is gone");
        }
        let span = key_range(&release.start, release.end.as_ref());
        if !self.split_allows(&release.service, &span, release.to_session) {
            return Applied::Ignored("the span belongs to the other half");
        }
        let Some(table) = self.table_mut(&release.service) else {
            return Applied::Ignored("the service is gone");
        };
        if span.is_empty() {
            return Applied::Ignored("the span is empty");
        }
        let range = &table.ranges()[table.position(&span.start)];
        let is_owned = range.owner.as_ref().is_some_and(|o| o.epoch == release.epoch);
        if !is_owned || table.overlapping(&span).count() != 1 {
            return Applied::Ignored("the owner has changed");
        }
        if range.release.is_some() {
            return Applied::Ignored("the span is being released");
        }
        let positions = table.isolate(&span);
        table.range_mut(positions.start).release = Some(Box::new(Release {
            index,
            to_session: release.to_session,
            to_server: release.to_server.clone(),
            reason: release.reason.clone(),
        }));
        Applied::ReleaseStarted {
            service: release.service.clone(),
            span,
        }
    }

    /// Joins the ranges that make up a span, if they all have the same owner and none of them is moving. The joined
    /// range gets the highest epoch of its parts, which is above every epoch that another server had for its keys.
    pub(super) fn join_ranges(&mut self, join: &JoinRanges) -> Applied {
        let span = key_range(&join.start, join.end.as_ref());
        let Some(table) = self.table_mut(&join.service) else {
            return Applied::Ignored("the service is gone");
        };
        let overlapping: Vec<usize> = table.overlapping(&span).map(|(position, _)| position).collect();
        let (Some(first), Some(last)) = (overlapping.first().copied(), overlapping.last().copied()) else {
            return Applied::Ignored("the span is empty");
        };
        let ends_match = table.span(first).start == span.start && table.span(last).end == span.end;
        let ranges = &table.ranges()[first..=last];
        let owner_of = |range: &Range| range.owner.as_ref().map(|o| (o.session, o.server.clone()));
        let is_joinable = |range: &Range| {
            range.owner.is_some() && range.release.is_none() && owner_of(range) == owner_of(&ranges[0])
        };
        if !ends_match || !ranges.iter().all(is_joinable) {
            return Applied::Ignored("the ranges have changed");
        }
        let epoch = ranges
            .iter()
            .filter_map(|r| r.owner.as_ref())
            .map(|o| o.epoch)
            .max();
        if let Some(owner) = &mut table.range_mut(first).owner {
            owner.epoch = epoch.unwrap_or(owner.epoch);
            owner.handover.clear();
        }
        table.join(first..last + 1);
        Applied::RangesJoined {
            service: join.service.clone(),
            span,
        }
    }

    /// Removes the owner of a range that the owner has given up. The report counts only for the release that it
    /// answers: a late report must not end an ownership that was granted again after its release was cancelled.
    pub(super) fn range_released(&mut self, released: &RangeReleased) -> Applied {
        let Some(table) = self.table_mut(&released.service) else {
            return Applied::Ignored("the service is gone");
        };
        let start = Key::new(released.start.clone());
        let position = table.position(&start);
        let range = table.range_mut(position);
        let is_owned = range.owner.as_ref().is_some_and(|o| o.epoch == released.epoch);
        if range.start != start || !is_owned {
            return Applied::Ignored("the owner has changed");
        }
        if range.release.as_ref().is_none_or(|r| r.index != released.release) {
            return Applied::Ignored("the release was cancelled");
        }
        range.owner = None;
        range.vacancy = None;
        range.handover.clone_from(&released.handover);
        Applied::RangeReleased {
            service: released.service.clone(),
            span: table.span(position),
        }
    }

    /// Removes the owner from all ranges of a session that has ended. `is_idle` means that none of its calls is
    /// running.
    pub(super) fn vacate_session(&mut self, index: u64, session: &Session, is_idle: bool) {
        self.vacate_tables(|table, checks_fencing| {
            let (service, longest_deadline) = (table.service.clone(), table.longest_deadline);
            table.vacate(|owner| {
                if owner.session != session.id {
                    return None;
                }
                let wait = match session.server(&service, &owner.server) {
                    _ if is_idle => None,
                    Some(server) if server.checks_fencing && checks_fencing => None,
                    Some(_) | None => Some(longest_deadline),
                };
                Some(wait.map(|wait| Vacancy { index, wait }))
            });
        });
    }

    /// Removes the owner from all ranges of a server that is gone. `has_ended` means that its process has certainly
    /// ended.
    pub(super) fn vacate_server(&mut self, index: u64, session: u64, server: &Server, has_ended: bool) {
        self.vacate_tables(|table, checks_fencing| {
            if table.service != server.service {
                return;
            }
            let has_no_calls = has_ended || (server.checks_fencing && checks_fencing);
            let wait = (!has_no_calls).then_some(table.longest_deadline);
            let vacancy = wait.map(|wait| Vacancy { index, wait });
            table.vacate(|owner| {
                let is_owner = owner.session == session && owner.server == server.address;
                is_owner.then_some(vacancy)
            });
        });
    }

    /// Calls `vacate` for all tables, in force and retired, and says whether the schema declares that the servers of the
    /// service check fencing epochs. Such a server refuses calls of an ownership that has ended, so the next owner need
    /// not wait for them.
    fn vacate_tables(&mut self, mut vacate: impl FnMut(&mut RangeTable, bool)) {
        for table in &mut self.range_tables {
            let service = self.schema.service(&table.service);
            vacate(table, service.is_some_and(|s| s.checks_fencing));
        }
        for retired in &mut self.retired_services {
            vacate(&mut retired.ranges, retired.checks_fencing);
        }
        self.cancel_orphaned_releases();
    }

    /// Cancels planned moves whose target is gone. The owner keeps the range, or is granted it again.
    fn cancel_orphaned_releases(&mut self) {
        let mut tables = std::mem::take(&mut self.range_tables);
        for table in &mut tables {
            let service = table.service.clone();
            table
                .cancel_releases(|release| self.has_server(release.to_session, &service, &release.to_server));
        }
        self.range_tables = tables;
    }

    fn has_server(&self, session: u64, service: &str, server: &str) -> bool {
        self.session(session)
            .is_some_and(|s| s.server(service, server).is_some())
    }
}

/// Returns the span from `start` to `end`, or without an upper bound if `end` is `None`.
pub(super) fn key_range(start: &bytes::Bytes, end: Option<&bytes::Bytes>) -> KeyRange {
    KeyRange {
        start: Key::new(start.clone()),
        end: end.map(|e| Key::new(e.clone())),
    }
}
