use {
    super::{
        control_loop::ControlLoop, member_plan::next_member_change, member_requests::answer_members_request,
        start::random_nonzero,
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

/// The part of the loop that finds or founds the cell, keeps its voters and answers requests about its members.
impl ControlLoop {
    /// Returns which hosts have not applied the configuration at the requested index, and which configuration is the
    /// newest one.
    pub(super) fn in_force(&self, req: &InForceRequest) -> InForceAnswer {
        match &self.view {
            Some(view) => {
                let newest = self.newest_index();
                InForceAnswer {
                    committed: newest,
                    revision: (newest != 0).then_some(self.state.revision().index),
                    ..view.in_force(&self.state, req.index)
                }
            }
            None => InForceAnswer {
                leader: self.remote_leader(),
                ..InForceAnswer::default()
            },
        }
    }

    /// Returns the last index that this leader knows to be committed, or 0 if it does not hold the leader's lease.
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
                leader: self.remote_leader(),
                ..MembersAnswer::default()
            };
        }
        answer_members_request(&mut self.core, &self.bootstrap, req, self.config.clock.now())
    }

    /// Handles a message from another control host.
    pub(super) fn receive(&mut self, envelope: Envelope) {
        let now = self.config.clock.now();
        match self.peer_addresses.binary_search_by_key(&envelope.from, |a| a.0) {
            Ok(i) => self.peer_addresses[i].1.clone_from(&envelope.from_address),
            Err(i) => self
                .peer_addresses
                .insert(i, (envelope.from, envelope.from_address.clone())),
        }
        match &envelope.body {
            Some(envelope::Body::DiskQuery(_)) => {
                let (address, answer) = self.bootstrap.answer_disk_query(&envelope, self.core.cell() != 0);
                self.send_envelope(address, &answer);
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
                self.bootstrap.receive_disk_answer(from, address, *answer, now);
                if answer.seeks && !answer.relayed {
                    self.relay_offer(&envelope, *answer);
                }
            }
            _ => self.core.receive(envelope, now),
        }
    }

    /// Relays an offer to the leader, since a host that offers itself may know only other hosts.
    fn relay_offer(&self, envelope: &Envelope, answer: DiskAnswer) {
        let leader = self.remote_leader();
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
        self.send_envelope(leader, &envelope);
    }

    /// Joins or founds a cell while the disk belongs to none. A disk of a cell that keeps its voters by itself
    /// offers itself again after a time without a leader.
    pub(super) fn find_cell(&mut self) {
        let now = self.config.clock.now();
        if self.core.cell() != 0 {
            if self.config.voters.is_some() {
                let known = self.member_addresses();
                let has_leader = self.core.leader().is_some();
                for (address, envelope) in self.bootstrap.rejoin_offers(has_leader, &known, now) {
                    self.send_envelope(address, &envelope);
                }
            }
            return;
        }
        if let Some(membership) = self.bootstrap.founding_members() {
            let Ok(cell) = random_nonzero() else { return };
            log_event!(self.config.log, Event::CellFounded; "members" => membership.members.len());
            self.core.bootstrap(cell, membership);
            return;
        }
        for (address, envelope) in self.bootstrap.messages(now) {
            self.send_envelope(address, &envelope);
        }
    }

    /// Starts the next change of members, if one is due and the cell keeps its voters by itself.
    pub(super) fn maintain_voters(&mut self) {
        let Some(voters) = self.config.voters else {
            return;
        };
        let now = self.config.clock.now();
        let offers: Vec<_> = self.bootstrap.offers(now).cloned().collect();
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
