use {
    super::{Applied, State},
    crate::{
        key::KeyRange,
        placement::Side,
        split::{self, SplitError},
        wire::control::{SplitAction, SplitStage, SplitState, SplitStep},
    },
};

impl State {
    /// Returns how far the split has come.
    pub fn split(&self) -> &SplitState {
        &self.split
    }

    /// Returns the half that a host belongs to; `None` while no split is declared.
    pub fn host_side(&self, host: &str, failure_domain: &str) -> Option<Side> {
        let split = self.schema.split.as_ref()?;
        Some(split::side_of_host(split, host, failure_domain))
    }

    /// Tells if this cell may open and renew sessions of a host. A cell that has ceded a half may not.
    pub fn is_host_kept(&self, host: &str, failure_domain: &str) -> bool {
        let side = self.host_side(host, failure_domain);
        !self.is_ceded() || side.is_none() || side == Some(self.own_side())
    }

    /// Returns the state with which the cell of the second half starts. `None`: the ranges are not ceded.
    ///
    /// Every log index of that cell is above the one that ceded, and so are its epochs.
    pub fn second_cell(&self) -> Option<Self> {
        if self.split.stage() != SplitStage::Parted || self.split.is_second_cell {
            return None;
        }
        let mut second = self.clone();
        second.sessions.clear();
        // Owners of the first half are not of this cell.
        for table in &mut second.services {
            table.vacate(|_| Some(None));
        }
        second.split.is_second_cell = true;
        Some(second)
    }

    /// Decides an operator's action. Starting cuts the ranges where the halves meet.
    pub(super) fn split_action(&mut self, index: u64, action: SplitAction) -> Result<(), SplitError> {
        let is_declared = self.schema.split.is_some();
        let stage = split::stage_after(self.split.stage(), is_declared, action)?;
        if action == SplitAction::Start {
            self.cut_where_halves_meet();
        }
        self.enter_stage(index, stage);
        Ok(())
    }

    /// A stage is complete only if the state shows it: a late step of an earlier leader does nothing.
    pub(super) fn split_step(&mut self, index: u64, step: &SplitStep) -> Applied {
        if split::next_stage(self) != Some(step.to()) {
            return Applied::Ignored("the stage of the split is not complete");
        }
        self.enter_stage(index, step.to());
        Applied::SplitStaged(step.to())
    }

    /// Tells if keys may get this host's servers as their owner in this cell.
    pub(super) fn is_split_respected(&self, service: &str, span: &KeyRange, session: u64) -> bool {
        let Some(split) = self.schema.split.as_ref().filter(|_| self.is_divided(service)) else {
            return true;
        };
        let keys = split::side_of_keys(split, service, span);
        if self.is_ceded() && keys != Some(self.own_side()) {
            return false;
        }
        let is_apart = match self.split.stage() {
            SplitStage::Idle | SplitStage::Moving | SplitStage::Paused => false,
            SplitStage::Settled | SplitStage::Ceding | SplitStage::Parted => true,
        };
        let Some(session) = self.session(session) else {
            return false;
        };
        let host = split::side_of_host(split, &session.open.host, &session.open.failure_domain);
        !is_apart || keys == Some(host)
    }

    /// Tells if the halves divide the ranges of a service. The ranges of an undivided service are request
    /// ids; each cell has all of them, and an id that the other cell may have run is answered as unknown.
    pub fn is_divided(&self, service: &str) -> bool {
        self.schema.service(service).is_some_and(|s| s.divided_by_key)
    }

    /// Tells if the split in force may be replaced by another one.
    pub(super) fn is_split_fixed(&self) -> bool {
        self.split.stage() != SplitStage::Idle
    }

    fn is_ceded(&self) -> bool {
        matches!(self.split.stage(), SplitStage::Ceding | SplitStage::Parted)
    }

    fn own_side(&self) -> Side {
        match self.split.is_second_cell {
            true => Side::Second,
            false => Side::First,
        }
    }

    fn enter_stage(&mut self, index: u64, stage: SplitStage) {
        self.split.set_stage(stage);
        self.split.since = index;
        if stage == SplitStage::Parted {
            self.split.ceded = index;
        }
    }

    fn cut_where_halves_meet(&mut self) {
        let Some(split) = self.schema.split.clone() else {
            return;
        };
        for span in split.first.spans.iter().chain(&split.second.spans) {
            if let Some(table) = self.table_mut(&span.service) {
                table.carve(&span.range);
            }
        }
    }
}
