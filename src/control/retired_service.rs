use {
    super::{Applied, GuardTable, RangeTable, State},
    crate::{
        clock::Ms,
        schema::{Schema, Service},
        wire::control::ForgetService,
    },
};

/// Owners and guards of a service that the schema no longer names, or no longer divides in the same way.
///
/// Its servers may still hold their ranges and run calls, and callers may still resend calls. If a later schema names
/// the service as before, its tables come back into force, so that no range gets another owner while the last one may
/// hold it.
#[derive(Clone, Debug, PartialEq)]
pub struct RetiredService {
    /// Log index of the change that retired the service.
    pub retired_at: u64,
    /// Whether the service was divided by key. Otherwise, its ranges are ranges of request ids.
    pub divided_by_key: bool,
    /// Whether the schema declared that its servers check fencing epochs.
    pub checks_fencing: bool,
    /// Time for which the tables are kept after the last owner is lost.
    pub retention: Ms,
    /// The ranges with their owners, without planned moves.
    pub ranges: RangeTable,
    /// Locations of the guards.
    pub guards: GuardTable,
}

impl RetiredService {
    /// Returns whether a server may still hold a range.
    pub fn has_owner(&self) -> bool {
        self.owned_count() > 0
    }

    /// Returns the number of ranges with an owner.
    pub fn owned_count(&self) -> usize {
        let ranges = self.ranges.ranges().iter();
        ranges.filter(|range| range.owner.is_some()).count()
    }

    fn key(&self) -> (&str, bool) {
        (&self.ranges.service, self.divided_by_key)
    }

    /// Returns whether a later owner needs to know anything of the tables.
    fn is_needed(&self) -> bool {
        let has_wait = self.ranges.ranges().iter().any(|range| range.vacancy.is_some());
        self.has_owner() || has_wait || !self.guards.is_unused()
    }
}

impl State {
    /// Returns the services whose tables are kept although the schema does not name them as before, sorted by service.
    pub fn retired_services(&self) -> &[RetiredService] {
        &self.retired_services
    }

    /// Returns the guard tables of a service: those in force, and those from before it was retired.
    pub fn known_guard_tables<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a GuardTable> {
        let retired = self.retired_services.iter().map(|retired| &retired.guards);
        let retired = retired.filter(move |guards| guards.service == service);
        self.guard_table(service).into_iter().chain(retired)
    }

    /// Retires the services that `schema` does not name, or divides differently. Their planned moves are cancelled.
    pub(super) fn retire_services(&mut self, index: u64, schema: &Schema) {
        let old_schema = self.schema.clone();
        let is_kept = |old: &Service| {
            let new = schema.service(&old.name);
            new.is_some_and(|new| new.divided_by_key == old.divided_by_key)
        };
        for service in old_schema.services.iter().filter(|old| !is_kept(old)) {
            let Some((mut ranges, guards)) = self.take_tables(&service.name) else {
                continue;
            };
            ranges.cancel_releases(|_| false);
            let longest_call = ranges
                .longest_deadline
                .max(service.longest_deadline())
                .max(old_schema.longest_timeout);
            let retired = RetiredService {
                retired_at: index,
                divided_by_key: service.divided_by_key,
                checks_fencing: service.checks_fencing,
                retention: longest_call.max(service.longest_answer_kept()),
                ranges,
                guards,
            };
            if retired.is_needed() {
                self.retired_services.push(retired);
            }
        }
        self.retired_services.sort_by(|a, b| a.key().cmp(&b.key()));
    }

    /// Brings the tables of a service back into force, if it is named as before it was retired. Returns whether it is.
    pub(super) fn restore_service(&mut self, service: &Service) -> bool {
        let key = (service.name.as_str(), service.divided_by_key);
        let Ok(position) = self.retired_services.binary_search_by(|r| r.key().cmp(&key)) else {
            return false;
        };
        let retired = self.retired_services.remove(position);
        self.put_tables(retired.ranges, retired.guards);
        true
    }

    /// Drops the tables of a retired service. Ignores the change if they have an owner, or if the service was retired
    /// again since it was proposed.
    pub(super) fn forget_service(&mut self, forget: &ForgetService) -> Applied {
        let is_meant = |r: &RetiredService| {
            r.key() == (forget.service.as_str(), forget.divided_by_key) && r.retired_at == forget.retired_at
        };
        match self.retired_services.iter().position(is_meant) {
            Some(position) if !self.retired_services[position].has_owner() => {
                self.retired_services.remove(position);
                Applied::ServiceForgotten(forget.service.clone())
            }
            Some(_) => Applied::Ignored("the service has an owner"),
            None => Applied::Ignored("the service is not retired"),
        }
    }

    fn take_tables(&mut self, service: &str) -> Option<(RangeTable, GuardTable)> {
        let ranges = self.range_tables.iter().position(|t| t.service == service)?;
        let guards = self.guard_tables.iter().position(|t| t.service == service)?;
        Some((self.range_tables.remove(ranges), self.guard_tables.remove(guards)))
    }
}
