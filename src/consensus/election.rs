use {
    super::{
        core::{Leadership, Role, Stated},
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
    /// Tells if other members have confirmed that this disk is not an older state of itself. All voters are
    /// waited for at first, since the one that knows better may answer last. One is enough after that: the
    /// members known here may be long gone.
    pub(super) fn is_confirmed(&self, now: Ms) -> bool {
        let others = self.witnesses();
        let is_asked = !others.is_empty() || self.other_voters().is_empty();
        if is_asked && others.iter().all(|id| self.confirmed_by.contains(id)) {
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
        self.ask_for_votes(true);
        self.count_votes(now);
    }

    fn start_election(&mut self, now: Ms) {
        self.hard.term += 1;
        self.hard.vote = self.hard.id;
        self.write_hard();
        self.role = Role::Candidate(Vec::new());
        self.wait_for_election(now);
        self.ask_for_votes(false);
    }

    /// Counts the vote for oneself, which is only given once it is synced.
    pub(super) fn count_own_vote(&mut self, now: Ms) {
        if !self.is_hard_synced() {
            return;
        }
        self.add_vote(self.hard.id);
        self.count_votes(now);
    }

    fn ask_for_votes(&mut self, pre: bool) {
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

    /// A vote or pre-vote is refused within a timeout of hearing a leader, and changes no term then.
    pub(super) fn vote_request(&mut self, from: u64, term: u64, req: &VoteRequest, now: Ms) {
        if now < self.refuse_votes_until || self.is_leader() {
            return;
        }
        if !self.is_confirmed(now) {
            return self.send_returned(from);
        }
        if !req.pre && term > self.hard.term {
            self.follow(term, None, now);
        }
        let mine = (self.log.last_term(), self.log.last_index());
        let complete = (req.last_term, req.last_index) >= mine;
        let free = if req.pre {
            req.for_term > self.hard.term
        } else {
            req.for_term == self.hard.term && (self.hard.vote == 0 || self.hard.vote == from)
        };
        let granted = complete && free;
        if granted && !req.pre {
            self.wait_for_election(now);
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

    pub(super) fn vote_answer(&mut self, from: u64, term: u64, answer: &VoteAnswer, now: Ms) {
        let asked = match &self.role {
            Role::PreCandidate(_) => answer.pre && answer.for_term == self.hard.term + 1,
            Role::Candidate(_) => !answer.pre && answer.for_term == self.hard.term && term == answer.for_term,
            Role::Follower | Role::Leader(_) | Role::Stopped => false,
        };
        if asked && answer.granted {
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
        let elected = match &self.role {
            Role::PreCandidate(votes) | Role::Candidate(votes) => self.membership().is_quorum(votes),
            Role::Follower | Role::Leader(_) | Role::Stopped => false,
        };
        match &self.role {
            Role::PreCandidate(_) if elected => self.start_election(now),
            Role::Candidate(_) if elected => self.lead(now),
            _ => {}
        }
    }

    /// Starts to lead with an empty entry, which commits all earlier ones.
    fn lead(&mut self, now: Ms) {
        let next = self.log.last_index() + 1;
        self.role = Role::Leader(Leadership {
            peers: Vec::new(),
            elected_at: now,
            first_index: next,
        });
        self.leader = Some(self.hard.id);
        self.event(CoreEvent::BecameLeader { term: self.hard.term });
        self.append_own(vec![Entry {
            index: next,
            term: self.hard.term,
            body: None,
        }]);
        self.meet_peers(now);
        self.replicate(now);
    }

    /// Keeps a progress for each other member in force.
    pub(super) fn meet_peers(&mut self, now: Ms) {
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

    /// Tells a member that has started what was seen of it before.
    pub(super) fn peer_returned(&mut self, from: u64, returned: &Returned, now: Ms) {
        if let Some(mut peer) = self.peer(from).copied() {
            peer.returned(returned.process, now);
            self.set_peer(peer);
        }
        let boot = SeenBoot {
            id: from,
            boot: returned.boot,
            process: returned.process,
        };
        let later_boot = !self.see_boot(boot);
        let stated = self.stated.iter().find(|s| s.id == from);
        let (term, end) = stated.map_or((0, (0, 0)), |s| (s.term, s.end));
        let answer = ReturnedAnswer {
            process: returned.process,
            later_boot,
            term,
            last_term: end.0,
            last_index: end.1,
        };
        self.send(from, Body::ReturnedAnswer(answer));
    }

    /// A disk that lacks what this member has stated before is an older state of itself.
    pub(super) fn return_answered(&mut self, from: u64, answer: &ReturnedAnswer) {
        if answer.process != self.process {
            return;
        }
        let end = (self.log.last_term(), self.log.last_index());
        let lacks = answer.term > self.hard.term || (answer.last_term, answer.last_index) > end;
        if answer.later_boot || lacks {
            self.event(CoreEvent::StaleDisk);
            self.stop();
        } else if !self.confirmed_by.contains(&from) {
            self.confirmed_by.push(from);
        }
    }

    /// Remembers the highest term and the furthest end of the log that another member stated.
    pub(super) fn note_stated(&mut self, id: u64, term: u64, end: (u64, u64)) {
        match self.stated.iter_mut().find(|s| s.id == id) {
            Some(stated) => {
                stated.term = stated.term.max(term);
                stated.end = stated.end.max(end);
            }
            None => self.stated.push(Stated { id, term, end }),
        }
    }
}
