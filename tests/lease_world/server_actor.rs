use clementinefold::{
    clock::Ms,
    key::{Key, KeyRange},
    standin::Ownership,
};

/// A call that a server runs. `until` is in true time.
#[derive(Clone, Debug)]
pub struct Run {
    pub key: Key,
    pub epoch: u64,
    pub until: i64,
}

/// A backend server. It shares the clock of its daemon's host.
#[derive(Default)]
pub struct ServerActor {
    pub ownership: Ownership,
    pub held: Vec<(KeyRange, u64)>,
    pub runs: Vec<Run>,
    pub frozen_until: i64,
}

impl ServerActor {
    pub fn grant(&mut self, span: &KeyRange, epoch: u64, until: Ms, now: Ms) -> bool {
        let granted = self.ownership.grant(span.clone(), epoch, until, now);
        if granted {
            self.held.retain(|(held, _)| !held.overlaps(span));
            self.held.push((span.clone(), epoch));
        }
        granted
    }

    pub fn revoke(&mut self, span: &KeyRange, epoch: u64, now: Ms) {
        self.ownership.revoke(span, epoch, now);
        self.held.retain(|(held, e)| *e != epoch || !held.overlaps(span));
    }

    /// Returns whether a call for a key in `span` is running.
    pub fn is_busy(&self, span: &KeyRange, now: i64) -> bool {
        self.runs
            .iter()
            .any(|run| run.until > now && span.contains(&run.key))
    }
}
