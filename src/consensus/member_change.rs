use {
    super::{core::Role, Core},
    crate::{
        clock::Ms,
        wire::consensus::{entry, Entry, Member, Membership},
    },
    thiserror::Error,
};

/// Most members of a cell.
const MEMBERS_MAX: usize = 8;

/// A change of one member.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// Adds a disk as a learner. It votes once it is caught up, and replaces the member it names.
    Add(Member),
    /// Lets a learner vote.
    Promote(u64),
    /// Removes a member.
    Remove(u64),
}

/// Why a change of members was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MemberChangeError {
    /// This member does not lead, or has just begun to.
    #[error("this host does not lead")]
    NotLeader,
    /// Members change one at a time.
    #[error("another change of members is under way")]
    Pending,
    /// The member is already there.
    #[error("this disk is already a member")]
    AlreadyMember,
    /// There is no such member.
    #[error("there is no such member")]
    NoSuchMember,
    /// The learner lacks committed entries.
    #[error("the learner lacks committed entries")]
    LagsBehind,
    /// The cell has as many members as it may have.
    #[error("a cell has at most {MEMBERS_MAX} members")]
    TooMany,
    /// A cell keeps one voter at least.
    #[error("the last voter cannot be removed")]
    LastVoter,
}

impl Core {
    /// Returns the index of the entry that names the members in force.
    pub fn membership_index(&self) -> u64 {
        self.log.membership_index()
    }

    /// Proposes a change of one member and returns its index.
    ///
    /// # Errors
    /// The change is refused; nothing was proposed.
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
        let membership = self.changed(change)?;
        let index = self.log.last_index() + 1;
        self.append_own(vec![Entry {
            index,
            term: self.hard.term,
            body: Some(entry::Body::Membership(membership)),
        }]);
        self.meet_peers(now);
        self.replicate(now);
        Ok(index)
    }

    fn changed(&self, change: &MemberChange) -> Result<Membership, MemberChangeError> {
        let present = self.membership();
        match change {
            MemberChange::Add(member) => {
                if present.member(member.id).is_some() {
                    return Err(MemberChangeError::AlreadyMember);
                }
                if present.members.len() >= MEMBERS_MAX {
                    return Err(MemberChangeError::TooMany);
                }
                if member.replaces != 0 && present.member(member.replaces).is_none() {
                    return Err(MemberChangeError::NoSuchMember);
                }
                Ok(present.with(Member {
                    voter: false,
                    ..member.clone()
                }))
            }
            MemberChange::Promote(id) => {
                let member = present.member(*id).ok_or(MemberChangeError::NoSuchMember)?;
                if member.voter {
                    return Err(MemberChangeError::AlreadyMember);
                }
                if self.peer(*id).is_none_or(|p| p.matched < self.commit) {
                    return Err(MemberChangeError::LagsBehind);
                }
                Ok(present.with(Member {
                    voter: true,
                    ..member.clone()
                }))
            }
            MemberChange::Remove(id) => {
                if present.member(*id).is_none() {
                    return Err(MemberChangeError::NoSuchMember);
                }
                let rest = present.without(*id);
                if rest.voters().next().is_none() {
                    return Err(MemberChangeError::LastVoter);
                }
                Ok(rest)
            }
        }
    }

    /// Promotes learners that are caught up, then removes the members that they replace.
    pub(super) fn look_after_members(&mut self, now: Ms) {
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
