use {
    super::{ownership_changes::key_range, request_id_boundaries, Applied, GuardTable, RangeTable, State},
    crate::{
        schema::{Schema, Service},
        wire::control::GuardReady,
    },
};

impl State {
    /// Returns the locations of a service's guards.
    pub fn guard_table(&self, service: &str) -> Option<&GuardTable> {
        self.guard_tables.iter().find(|table| table.service == service)
    }

    /// Records where the guard of a span and its copy are. Ignores the change unless the reporting owner still owns
    /// the whole span.
    pub(super) fn guard_ready(&mut self, ready: &GuardReady) -> Applied {
        let span = key_range(&ready.start, ready.end.as_ref());
        let Some(table) = self.table(&ready.service) else {
            return Applied::Ignored("the service is gone");
        };
        let is_owned = |epoch: Option<u64>| epoch == Some(ready.epoch);
        let mut ranges = table.overlapping(&span).map(|(_, range)| range);
        let all_owned = ranges.all(|range| is_owned(range.owner.as_ref().map(|o| o.epoch)));
        drop(ranges);
        if span.is_empty() || !all_owned {
            return Applied::Ignored("the owner has changed");
        }
        if let Some(table) = self.guard_tables.iter_mut().find(|g| g.service == ready.service) {
            table.set(ready);
        }
        Applied::GuardReady(ready.epoch)
    }

    /// Creates and retires tables so that they match a new schema. A service that changes between divided and undivided
    /// by key gets new tables, unless it had such tables before.
    pub(super) fn update_tables(&mut self, index: u64, schema: &Schema) {
        self.retire_services(index, schema);
        let needs_table = |s: &&Service| s.divided_by_key || s.calls.iter().any(|kind| !kind.idempotent);
        for service in schema.services.iter().filter(needs_table) {
            if self.table(&service.name).is_none() && !self.restore_service(service) {
                self.add_table(service);
            }
        }
    }

    /// Adds the range table and the guard table of a service. The ranges of an undivided service are ranges of
    /// request ids, whose owners keep its guards.
    fn add_table(&mut self, service: &Service) {
        let table = if service.divided_by_key {
            RangeTable::new(&service.name, &service.boundaries)
        } else {
            RangeTable::new(&service.name, &request_id_boundaries())
        };
        self.put_tables(table, GuardTable::new(&service.name));
    }

    /// Puts the tables of a service in force.
    pub(super) fn put_tables(&mut self, ranges: RangeTable, guards: GuardTable) {
        self.range_tables.push(ranges);
        self.range_tables.sort_by(|a, b| a.service.cmp(&b.service));
        self.guard_tables.push(guards);
    }
}
