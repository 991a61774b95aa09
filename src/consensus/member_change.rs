use {
    super::{core::Role, Core},
    crate::{
        clock::Ms,
        wire::consensus::{entry, Entry, Member, Membership},
    },
    thiserror::Error,
};

/// Maximum number of members of a cell, learners included.
const MEMBERS_MAX: usize = 8;

/// A change of one member.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// Adds a disk as a learner. Once it has caught up, it becomes a voter and replaces the member that it names.
    Add(Member),
    /// Makes a learner a voter.
    Promote(u64),
    /// Removes a member.
    Remove(u64),
}

/// Reason why a membership change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MemberChangeError {
    /// This member does not lead, or has not committed an entry of its term yet.
    #[error("this host does not lead")]
    NotLeader,
    /// The previous change is not committed yet. Members change one at a time.
    #[error("another change of members is under way")]
    Pending,
    /// The disk is already a member, or already a voter.
    #[error("this disk is already a member")]
    AlreadyMember,
    /// No member has this id.
    #[error("there is no such member")]
    NoSuchMember,
    /// The learner lacks committed entries, so it cannot become a voter yet.
    #[error("the learner lacks committed entries")]
    LagsBehind,
    /// The cell already has the maximum number of members.
    #[error("a cell has at most {MEMBERS_MAX} members")]
    TooMany,
    /// A cell needs at least one voter.
    #[error("the last voter cannot be removed")]
    LastVoter,
}

impl Core {
    /// Returns the index of the entry with the current members.
    pub fn membership_index(&self) -> u64 {
        self.log.membership_index()
    }

    /// Proposes a change of one member and returns the index of its entry.
    ///
    /// # Errors
    /// Returns the reason if the change is refused. Nothing is proposed then.
    pub fn change_member(&mut self, change: &MemberChange, now: Ms) -> Result<u64, MemberChangeError> {
        let Role::Leader(leadership) = &self.role else {
            return Err(MemberChangeError::NotLeader);
        };
        if self.commit < leadership.first_index {
            return Err(MemberChangeError::NotLeader);
        }
        if self.membership_index() > self.commit {
            return Err(MemberChangeError::Pending);
        }
        let membership = self.membership_after(change)?;
        let index = self.log.last_index() + 1;
        self.append_own(vec![Entry {
            index,
            term: self.hard.term,
            body: Some(entry::Body::Membership(membership)),
        }]);
        self.update_peers(now);
        self.replicate(now);
        Ok(index)
    }

    /// Returns the membership with `change` applied, or the reason why it is refused.
    fn membership_after(&self, change: &MemberChange) -> Result<Membership, MemberChangeError> {
        let current = self.membership();
        match change {
            MemberChange::Add(member) => {
                if current.member(member.id).is_some() {
                    return Err(MemberChangeError::AlreadyMember);
                }
                if current.members.len() >= MEMBERS_MAX {
                    return Err(MemberChangeError::TooMany);
                }
                if member.replaces != 0 && current.member(member.replaces).is_none() {
                    return Err(MemberChangeError::NoSuchMember);
                }
                Ok(current.with(Member {
                    voter: false,
                    ..member.clone()
                }))
            }
            MemberChange::Promote(id) => {
                let member = current.member(*id).ok_or(MemberChangeError::NoSuchMember)?;
                if member.voter {
                    return Err(MemberChangeError::AlreadyMember);
                }
                if self.peer(*id).is_none_or(|p| p.matched < self.commit) {
                    return Err(MemberChangeError::LagsBehind);
                }
                Ok(current.with(Member {
                    voter: true,
                    ..member.clone()
                }))
            }
            MemberChange::Remove(id) => {
                if current.member(*id).is_none() {
                    return Err(MemberChangeError::NoSuchMember);
                }
                let remaining = current.without(*id);
                if remaining.voters().next().is_none() {
                    return Err(MemberChangeError::LastVoter);
                }
                Ok(remaining)
            }
        }
    }

    /// Proposes the next step of a pending replacement: promotes a learner that has caught up, or removes the member
    /// that a new voter replaces.
    pub(super) fn advance_member_changes(&mut self, now: Ms) {
        let members = &self.membership().members;
        let promote = members
            .iter()
            .filter(|m| !m.voter)
            .map(|m| MemberChange::Promote(m.id));
        let replaced = members.iter().filter(|m| m.voter && m.replaces != 0);
        let remove = replaced.map(|m| MemberChange::Remove(m.replaces));
        let wanted: Vec<MemberChange> = remove.chain(promote).collect();
        for change in wanted {
            if self.change_member(&change, now).is_ok() {
                return;
            }
        }
    }
}
