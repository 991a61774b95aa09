use {
    super::{id_boundaries, ownership_changes::key_range, Applied, GuardTable, RangeTable, State},
    crate::{
        schema::{Schema, Service},
        wire::control::GuardReady,
    },
};

impl State {
    /// Returns where the guards of a service are.
    pub fn guard_table(&self, service: &str) -> Option<&GuardTable> {
        self.guards.iter().find(|table| table.service == service)
    }

    /// Only the present owner of the whole span can hold its guard.
    pub(super) fn guard_ready(&mut self, ready: &GuardReady) -> Applied {
        let span = key_range(&ready.start, ready.end.as_ref());
        let Some(table) = self.table(&ready.service) else {
            return Applied::Ignored("the service is gone");
        };
        let is_owned = |epoch: Option<u64>| epoch == Some(ready.epoch);
        let mut ranges = table.within(&span).map(|(_, range)| range);
        let owned = ranges.all(|range| is_owned(range.owner.as_ref().map(|o| o.epoch)));
        drop(ranges);
        if span.is_empty() || !owned {
            return Applied::Ignored("the owner has changed");
        }
        if let Some(guards) = self.guards.iter_mut().find(|g| g.service == ready.service) {
            guards.set(ready);
        }
        Applied::GuardReady(ready.epoch)
    }

    /// Gives each service its tables. A service that changes between divided and undivided starts anew.
    pub(super) fn fit_tables(&mut self, schema: &Schema) {
        let before = self.schema.clone();
        let stays = |name: &str| match (before.service(name), schema.service(name)) {
            (Some(old), Some(new)) => old.divided_by_key == new.divided_by_key,
            _ => false,
        };
        self.services.retain(|t| stays(&t.service));
        self.guards.retain(|t| stays(&t.service));
        let needed = |s: &&Service| s.divided_by_key || s.calls.iter().any(|kind| !kind.idempotent);
        for service in schema.services.iter().filter(needed) {
            if self.table(&service.name).is_none() {
                self.add_table(service);
            }
        }
    }

    /// The ranges of an undivided service are ranges of request ids; they say where its guards live.
    fn add_table(&mut self, service: &Service) {
        let table = if service.divided_by_key {
            RangeTable::new(&service.name, &service.boundaries)
        } else {
            RangeTable::new(&service.name, &id_boundaries())
        };
        self.services.push(table);
        self.services.sort_by(|a, b| a.service.cmp(&b.service));
        self.guards.push(GuardTable::new(&service.name));
    }
}
