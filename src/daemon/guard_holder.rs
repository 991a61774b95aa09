use {
    super::daemon_cx::DaemonCx,
    crate::{
        call::{Guard, GuardChange, GuardLimits, Role, Tenure},
        clock::Ms,
        key::{Key, KeyRange},
        wire::peer::{GuardCopy, GuardCopyAnswer, GuardFetch, GuardFetchAnswer},
    },
};

/// Limit of the entries in one part of a guard that is transferred.
pub(super) const PART_ENTRIES_MAX: usize = 500;

impl DaemonCx {
    /// Stores a part of the copy of another daemon's guard.
    pub(super) fn store_guard_copy(&self, copy: GuardCopy) -> GuardCopyAnswer {
        let now = self.clock.now();
        let span = KeyRange {
            start: Key::new(copy.start),
            end: copy.end.map(Key::new),
        };
        let mut tenures = self.tenures.borrow_mut();
        if copy.first {
            let mut tenure = Tenure {
                service: copy.service.clone(),
                span: span.clone(),
                epoch: copy.epoch,
                role: Role::Copy { complete: false },
                sealed: Vec::new(),
                guard: Guard::new(GuardLimits::default()),
            };
            if let Some(known) = tenures.get(&copy.service, &span.start, copy.epoch) {
                tenure.keep_sealed(known);
            }
            tenures.put(tenure);
        }
        let Some(tenure) = tenures.get(&copy.service, &span.start, copy.epoch) else {
            return GuardCopyAnswer { kept: false };
        };
        let Role::Copy { complete } = &mut tenure.role else {
            return GuardCopyAnswer { kept: false };
        };
        *complete |= copy.last;
        tenure.guard.record_gap(gap_end(copy.hole_ms, now));
        for image in copy.entries {
            match GuardChange::from_wire(image, now) {
                // No call is admitted for a key whose entries a later owner has fetched.
                Some(change) if !copy.whole && tenure.is_sealed(&change.id().key) => {
                    return GuardCopyAnswer { kept: false };
                }
                Some(GuardChange::Put(entry)) => tenure.guard.apply_copy(entry),
                Some(GuardChange::Removed(id, sequence)) => tenure.guard.apply_removal(&id, sequence),
                None => return GuardCopyAnswer { kept: false },
            }
        }
        GuardCopyAnswer { kept: true }
    }

    /// Returns a part of a guard to a later owner. From the first part on, the guard admits no calls of the fetched
    /// keys.
    pub(super) fn serve_guard_fetch(&self, fetch: &GuardFetch) -> GuardFetchAnswer {
        let now = self.clock.now();
        let span = KeyRange {
            start: Key::new(fetch.start.clone()),
            end: fetch.end.clone().map(Key::new),
        };
        let mut tenures = self.tenures.borrow_mut();
        let Some(tenure) = tenures
            .get(&fetch.service, &span.start, fetch.epoch)
            .filter(|t| t.is_complete())
        else {
            return GuardFetchAnswer::default();
        };
        tenure.seal(span.clone());
        let mut entries = tenure.guard.entries_of(&span);
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        let total = entries.len() as u64;
        let part = entries
            .into_iter()
            .skip(usize::try_from(fetch.offset).unwrap_or(usize::MAX))
            .take(PART_ENTRIES_MAX);
        GuardFetchAnswer {
            known: true,
            entries: part.map(|e| GuardChange::Put(e).to_wire(now)).collect(),
            total,
            hole_ms: (tenure.guard.gap_until() - now).0,
        }
    }
}

/// Returns the end of a gap that lasts `left_ms` from now, or zero if there is none.
pub(super) fn gap_end(left_ms: u64, now: Ms) -> Ms {
    if left_ms == 0 {
        Ms::ZERO
    } else {
        now + Ms(left_ms)
    }
}
