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
    /// Returns the state of the split.
    pub fn split(&self) -> &SplitState {
        &self.split
    }

    /// Returns the half that a host belongs to, or `None` if no split is declared.
    pub fn host_side(&self, host: &str, failure_domain: &str) -> Option<Side> {
        let split = self.schema.split.as_ref()?;
        Some(split::side_of_host(split, host, failure_domain))
    }

    /// Returns whether this cell may open and renew sessions of a host. A cell that has ceded a half may not do so
    /// for the hosts of that half.
    pub fn accepts_host(&self, host: &str, failure_domain: &str) -> bool {
        let side = self.host_side(host, failure_domain);
        !self.is_ceded() || side.is_none() || side == Some(self.own_side())
    }

    /// Returns the state with which the cell of the second half starts, or `None` if this cell has not ceded the
    /// ranges.
    ///
    /// The log indexes of the second cell, and so its epochs, are all above the index at which the ranges were
    /// ceded.
    pub fn second_cell(&self) -> Option<Self> {
        if self.split.stage() != SplitStage::Parted || self.split.is_second_cell {
            return None;
        }
        let mut second = self.clone();
        second.sessions.clear();
        // The owners have sessions in the first cell only.
        let retired = second
            .retired_services
            .iter_mut()
            .map(|retired| &mut retired.ranges);
        for table in second.range_tables.iter_mut().chain(retired) {
            table.vacate(|_| Some(None));
        }
        second.split.is_second_cell = true;
        Some(second)
    }

    /// Applies an operator's action. Starting the split also splits the ranges at the boundaries of the halves.
    ///
    /// # Errors
    /// The action is not possible in the present stage, or no split is declared.
    pub(super) fn split_action(&mut self, index: u64, action: SplitAction) -> Result<(), SplitError> {
        let is_declared = self.schema.split.is_some();
        let stage = split::stage_after(self.split.stage(), is_declared, action)?;
        if action == SplitAction::Start {
            self.split_ranges_at_half_boundaries();
        }
        self.enter_stage(index, stage);
        Ok(())
    }

    /// Enters the next stage of the split if the state shows that the present one is complete. A late step from an
    /// earlier leader therefore does nothing.
    pub(super) fn split_step(&mut self, index: u64, step: &SplitStep) -> Applied {
        if split::next_stage(self) != Some(step.to()) {
            return Applied::Ignored("the stage of the split is not complete");
        }
        self.enter_stage(index, step.to());
        Applied::SplitStaged(step.to())
    }

    /// Returns whether the split allows this cell to give the keys of a span to a server of this session's host.
    pub(super) fn split_allows(&self, service: &str, span: &KeyRange, session: u64) -> bool {
        let Some(split) = self.schema.split.as_ref().filter(|_| self.is_divided(service)) else {
            return true;
        };
        let keys_side = split::side_of_keys(split, service, span);
        if self.is_ceded() && keys_side != Some(self.own_side()) {
            return false;
        }
        let is_separated = match self.split.stage() {
            SplitStage::Idle | SplitStage::Moving | SplitStage::Paused => false,
            SplitStage::Settled | SplitStage::Ceding | SplitStage::Parted => true,
        };
        let Some(session) = self.session(session) else {
            return false;
        };
        let session_side = split::side_of_host(split, &session.open.host, &session.open.failure_domain);
        !is_separated || keys_side == Some(session_side)
    }

    /// Returns whether the split divides the ranges of a service between the halves. The ranges of an undivided
    /// service are ranges of request ids. Each cell has all of them, and a request id that may have run in the
    /// other cell is answered as unknown.
    pub fn is_divided(&self, service: &str) -> bool {
        self.schema.service(service).is_some_and(|s| s.divided_by_key)
    }

    /// Returns whether the declared split can no longer be changed, since it has been started.
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

    fn split_ranges_at_half_boundaries(&mut self) {
        let Some(split) = self.schema.split.clone() else {
            return;
        };
        for span in split.first.spans.iter().chain(&split.second.spans) {
            let retired = self.retired_services.iter_mut().filter(|r| r.divided_by_key);
            let retired = retired.map(|retired| &mut retired.ranges);
            let tables = self.range_tables.iter_mut().chain(retired);
            for table in tables.filter(|table| table.service == span.service) {
                table.isolate(&span.range);
            }
        }
    }
}
