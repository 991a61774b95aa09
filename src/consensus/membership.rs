use crate::wire::consensus::{Member, Membership};

impl Membership {
    /// Creates a membership of `members`, which it sorts by id.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by_key(|m| m.id);
        Self { members }
    }

    /// Returns the member with this id, if there is one.
    pub fn member(&self, id: u64) -> Option<&Member> {
        self.position(id).ok().map(|i| &self.members[i])
    }

    /// Returns whether `id` is a voter.
    pub fn is_voter(&self, id: u64) -> bool {
        self.member(id).is_some_and(|m| m.voter)
    }

    /// Returns the voters, sorted by id.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.voter)
    }

    /// Returns the number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters among `ids` form a quorum. Each id counts once.
    pub fn is_quorum(&self, ids: &[u64]) -> bool {
        !self.members.is_empty() && self.voters().filter(|m| ids.contains(&m.id)).count() >= self.quorum()
    }

    /// Returns the membership with `member` added or replaced.
    pub fn with(&self, member: Member) -> Self {
        let mut members = self.members.clone();
        match self.position(member.id) {
            Ok(i) => members[i] = member,
            Err(i) => members.insert(i, member),
        }
        Self { members }
    }

    /// Returns the membership without the member `id`.
    pub fn without(&self, id: u64) -> Self {
        Self {
            members: self.members.iter().filter(|m| m.id != id).cloned().collect(),
        }
    }

    fn position(&self, id: u64) -> Result<usize, usize> {
        self.members.binary_search_by_key(&id, |m| m.id)
    }
}
