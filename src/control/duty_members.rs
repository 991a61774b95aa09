use {
    super::{
        control_duty::ControlDuty, member_plan::next_member_change, members::members_answer, start::random,
    },
    crate::{
        event::Event,
        log_event,
        wire::{
            consensus::{envelope, DiskAnswer, Envelope},
            peer::{InForceAnswer, InForceRequest, MembersAnswer, MembersRequest},
        },
    },
};

/// What the duty does about the members of its cell, and what it tells of the newest state.
impl ControlDuty {
    pub(super) fn in_force(&self, req: &InForceRequest) -> InForceAnswer {
        match &self.view {
            Some(view) => InForceAnswer {
                committed: self.newest_index(),
                ..view.in_force(&self.state, req.index)
            },
            None => InForceAnswer {
                leader: self.other_leader(),
                ..InForceAnswer::default()
            },
        }
    }

    /// Returns the last index that this leader knows to be committed; 0 unless no other host can lead.
    fn newest_index(&self) -> u64 {
        match self.core.holds_lease(self.config.clock.now()) {
            true => self.state.applied(),
            false => 0,
        }
    }

    pub(super) fn members(&mut self, req: &MembersRequest) -> MembersAnswer {
        if !self.core.is_ready() {
            return MembersAnswer {
                declined: true,
                leader: self.other_leader(),
                ..MembersAnswer::default()
            };
        }
        members_answer(&mut self.core, &self.founding, req, self.config.clock.now())
    }

    /// Takes a message of another control host.
    pub(super) fn receive(&mut self, envelope: Envelope) {
        let now = self.config.clock.now();
        match self.addresses.binary_search_by_key(&envelope.from, |a| a.0) {
            Ok(i) => self.addresses[i].1.clone_from(&envelope.from_address),
            Err(i) => self
                .addresses
                .insert(i, (envelope.from, envelope.from_address.clone())),
        }
        match &envelope.body {
            Some(envelope::Body::DiskQuery(_)) => {
                let (address, answer) = self.founding.answer(&envelope, self.core.cell() != 0);
                self.post(address, &answer);
            }
            Some(envelope::Body::DiskAnswer(answer)) => {
                let (from, address) = (envelope.from, envelope.from_address.as_str());
                let members = &self.core.membership().members;
                let replaced = members
                    .iter()
                    .find(|m| m.address == address && m.id != from)
                    .map(|m| m.id);
                if let Some(gone) = replaced.filter(|_| !answer.formed) {
                    self.core.peer_disk_lost(gone);
                }
                self.founding.disk_answered(from, address, *answer, now);
                if answer.seeks && !answer.relayed {
                    self.relay_offer(&envelope, *answer);
                }
            }
            _ => self.core.receive(envelope, now),
        }
    }

    /// Passes an offer on to the leader. A host that offers itself may know other hosts only.
    fn relay_offer(&self, envelope: &Envelope, answer: DiskAnswer) {
        let leader = self.other_leader();
        if leader.is_empty() {
            return;
        }
        let relayed = DiskAnswer {
            relayed: true,
            ..answer
        };
        let envelope = Envelope {
            body: Some(envelope::Body::DiskAnswer(relayed)),
            ..envelope.clone()
        };
        self.post(leader, &envelope);
    }

    /// Looks for a cell while the disk belongs to none.
    pub(super) fn form_cell(&mut self) {
        let now = self.config.clock.now();
        if self.core.cell() != 0 {
            if self.config.voters.is_some() {
                let known = self.member_addresses();
                let has_leader = self.core.leader().is_some();
                for (address, envelope) in self.founding.rejoin(has_leader, &known, now) {
                    self.post(address, &envelope);
                }
            }
            return;
        }
        if let Some(membership) = self.founding.members() {
            let Ok(cell) = random() else { return };
            log_event!(self.config.log, Event::CellFounded; "members" => membership.members.len());
            self.core.bootstrap(cell, membership);
            return;
        }
        for (address, envelope) in self.founding.messages(now) {
            self.post(address, &envelope);
        }
    }

    /// Changes one member if the cell keeps its voters by itself.
    pub(super) fn keep_voters(&mut self) {
        let Some(voters) = self.config.voters else {
            return;
        };
        let now = self.config.clock.now();
        let offers: Vec<_> = self.founding.offers(now).cloned().collect();
        let core = &self.core;
        let silence = |id| core.peer_silence(id, now);
        let change = next_member_change(core.membership(), &offers, voters, core.id(), silence);
        if let Some(change) = change {
            if self.core.change_member(&change, now).is_ok() {
                log_event!(self.config.log, Event::MemberChangeStarted; "change" => format!("{change:?}"));
            }
        }
    }

    /// Returns the peer addresses of the members in force.
    pub(super) fn member_addresses(&self) -> Vec<String> {
        let members = self.core.membership().members.iter();
        members.map(|m| m.address.clone()).collect()
    }
}
