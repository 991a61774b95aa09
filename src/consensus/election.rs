use {
    super::{
        core::{Leadership, ReportedPosition, Role},
        progress::Progress,
        Core, CoreEvent,
    },
    crate::{
        clock::Ms,
        wire::consensus::{
            envelope::Body, Entry, Returned, ReturnedAnswer, SeenBoot, VoteAnswer, VoteRequest,
        },
    },
};

impl Core {
    /// Returns whether other members have confirmed that this disk does not hold an outdated copy of its state.
    /// At first all voters must confirm it, since the one that has seen a newer state may answer last. After the
    /// grace period one is enough, because the members known here may have left the cell long ago.
    pub(super) fn is_confirmed(&self, now: Ms) -> bool {
        let others = self.confirming_voters();
        let needs_all = !others.is_empty() || self.other_voters().is_empty();
        if needs_all && others.iter().all(|id| self.confirmed_by.contains(id)) {
            return !self.membership().members.is_empty() || !self.confirmed_by.is_empty();
        }
        now >= self.grace_ends_at && !self.confirmed_by.is_empty()
    }

    pub(super) fn start_pre_vote(&mut self, now: Ms) {
        if !self.membership().is_voter(self.hard.id) || !self.is_confirmed(now) {
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate(vec![self.hard.id]);
        self.request_votes(true);
        self.count_votes(now);
    }

    fn start_election(&mut self, now: Ms) {
        self.hard.term += 1;
        self.hard.vote = self.hard.id;
        self.write_hard();
        self.role = Role::Candidate(Vec::new());
        self.reset_election_timer(now);
        self.request_votes(false);
    }

    /// Counts this candidate's own vote once it is synced.
    pub(super) fn count_own_vote(&mut self, now: Ms) {
        if !self.is_hard_synced() {
            return;
        }
        self.add_vote(self.hard.id);
        self.count_votes(now);
    }

    fn request_votes(&mut self, pre: bool) {
        let req = VoteRequest {
            pre,
            for_term: if pre { self.hard.term + 1 } else { self.hard.term },
            last_term: self.log.last_term(),
            last_index: self.log.last_index(),
        };
        for id in self.other_voters() {
            self.send(id, Body::VoteRequest(req));
        }
    }

    /// Handles a vote or pre-vote request. Within an election timeout of the last contact with a leader it is
    /// ignored and changes no term.
    pub(super) fn handle_vote_request(&mut self, from: u64, term: u64, req: &VoteRequest, now: Ms) {
        if now < self.refuse_votes_until || self.is_leader() {
            return;
        }
        if !self.is_confirmed(now) {
            return self.send_returned(from);
        }
        if !req.pre && term > self.hard.term {
            self.become_follower(term, None, now);
        }
        let own_end = (self.log.last_term(), self.log.last_index());
        let is_log_complete = (req.last_term, req.last_index) >= own_end;
        let is_vote_free = if req.pre {
            req.for_term > self.hard.term
        } else {
            req.for_term == self.hard.term && (self.hard.vote == 0 || self.hard.vote == from)
        };
        let granted = is_log_complete && is_vote_free;
        if granted && !req.pre {
            self.reset_election_timer(now);
            if self.hard.vote != from {
                self.hard.vote = from;
                self.write_hard();
            }
        }
        let answer = VoteAnswer {
            pre: req.pre,
            for_term: req.for_term,
            granted,
        };
        self.send(from, Body::VoteAnswer(answer));
    }

    pub(super) fn handle_vote_answer(&mut self, from: u64, term: u64, answer: &VoteAnswer, now: Ms) {
        let is_expected = match &self.role {
            Role::PreCandidate(_) => answer.pre && answer.for_term == self.hard.term + 1,
            Role::Candidate(_) => !answer.pre && answer.for_term == self.hard.term && term == answer.for_term,
            Role::Follower | Role::Leader(_) | Role::Stopped => false,
        };
        if is_expected && answer.granted {
            self.add_vote(from);
            self.count_votes(now);
        }
    }

    fn add_vote(&mut self, id: u64) {
        if let Role::PreCandidate(votes) | Role::Candidate(votes) = &mut self.role {
            if !votes.contains(&id) {
                votes.push(id);
            }
        }
    }

    fn count_votes(&mut self, now: Ms) {
        let is_elected = match &self.role {
            Role::PreCandidate(votes) | Role::Candidate(votes) => self.membership().is_quorum(votes),
            Role::Follower | Role::Leader(_) | Role::Stopped => false,
        };
        match &self.role {
            Role::PreCandidate(_) if is_elected => self.start_election(now),
            Role::Candidate(_) if is_elected => self.become_leader(now),
            _ => {}
        }
    }

    /// Becomes the leader and appends an empty entry, which commits all earlier ones with it.
    fn become_leader(&mut self, now: Ms) {
        let next = self.log.last_index() + 1;
        self.role = Role::Leader(Leadership {
            peers: Vec::new(),
            elected_at: now,
            first_index: next,
        });
        self.leader = Some(self.hard.id);
        self.push_event(CoreEvent::BecameLeader { term: self.hard.term });
        self.append_own(vec![Entry {
            index: next,
            term: self.hard.term,
            body: None,
        }]);
        self.update_peers(now);
        self.replicate(now);
    }

    /// Keeps one [`Progress`] for each other current member.
    pub(super) fn update_peers(&mut self, now: Ms) {
        let others = self.membership().members.iter().map(|m| m.id);
        let others: Vec<u64> = others.filter(|id| *id != self.hard.id).collect();
        let next = self.log.last_index();
        if let Role::Leader(leadership) = &mut self.role {
            leadership.peers.retain(|p| others.contains(&p.id));
            for id in others {
                if let Err(i) = leadership.peers.binary_search_by_key(&id, |p| p.id) {
                    leadership.peers.insert(i, Progress::new(id, next, now));
                }
            }
        }
    }

    /// Answers a member that announces its start with what this member has seen of it before.
    pub(super) fn handle_returned(&mut self, from: u64, returned: &Returned, now: Ms) {
        if let Some(mut peer) = self.peer(from).copied() {
            peer.record_restart(returned.process, now);
            self.set_peer(peer);
        }
        let boot = SeenBoot {
            id: from,
            boot: returned.boot,
            process: returned.process,
        };
        let later_boot = !self.record_boot(boot);
        let reported = self.reported.iter().find(|r| r.id == from);
        let (term, end) = reported.map_or((0, (0, 0)), |r| (r.term, r.end));
        let answer = ReturnedAnswer {
            process: returned.process,
            later_boot,
            term,
            last_term: end.0,
            last_index: end.1,
        };
        self.send(from, Body::ReturnedAnswer(answer));
    }

    /// Handles the answer to the announcement of this start. A disk that lacks what this member has reported
    /// before is an outdated copy, and the member stops.
    pub(super) fn handle_returned_answer(&mut self, from: u64, answer: &ReturnedAnswer) {
        if answer.process != self.process {
            return;
        }
        let end = (self.log.last_term(), self.log.last_index());
        let is_behind = answer.term > self.hard.term || (answer.last_term, answer.last_index) > end;
        if answer.later_boot || is_behind {
            self.push_event(CoreEvent::StaleDisk);
            self.stop();
        } else if !self.confirmed_by.contains(&from) {
            self.confirmed_by.push(from);
        }
    }

    /// Records the highest term and the highest log position that another member has reported.
    pub(super) fn record_reported(&mut self, id: u64, term: u64, end: (u64, u64)) {
        match self.reported.iter_mut().find(|r| r.id == id) {
            Some(reported) => {
                reported.term = reported.term.max(term);
                reported.end = reported.end.max(end);
            }
            None => self.reported.push(ReportedPosition { id, term, end }),
        }
    }
}
