use crate::{
    clock::Ms,
    consensus::MemberChange,
    wire::consensus::{Member, Membership},
};

/// Time without contact after which a member counts as lost. It is longer than a restart or a freeze of a host
/// usually takes, and much shorter than the time after which the cell must survive the next loss.
const MEMBER_SILENCE_MAX: Ms = Ms(1500);

/// A control host that offers to become a member of the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Incarnation of its disk.
    pub id: u64,
    /// Its peer address.
    pub address: String,
}

/// Returns the change of members that the leader makes next to keep `voters` voters, or `None` if there is none.
///
/// `own_id` is the leader's own id, and `silence` returns the time since the last contact with a member. At most
/// one change is under way at a time. The consensus core itself promotes a learner that has caught up and removes
/// the member that it replaces.
pub fn next_member_change(
    members: &Membership,
    offers: &[Offer],
    voters: usize,
    own_id: u64,
    silence: impl Fn(u64) -> Ms,
) -> Option<MemberChange> {
    let is_lost = |m: &&Member| m.id != own_id && silence(m.id) >= MEMBER_SILENCE_MAX;
    let learner = members.members.iter().find(|m| !m.voter);
    if let Some(learner) = learner {
        let is_wiped = offers
            .iter()
            .any(|o| o.address == learner.address && o.id != learner.id);
        return (is_wiped || is_lost(&learner)).then_some(MemberChange::Remove(learner.id));
    }
    let mut new_offers = offers.iter().filter(|o| members.member(o.id).is_none());
    // An offer of another disk at the address of a member shows that the member's disk is gone.
    let is_from_wiped_voter = |o: &&Offer| members.voters().any(|m| m.id != own_id && m.address == o.address);
    if let Some(offer) = new_offers.clone().find(is_from_wiped_voter) {
        let gone = members.voters().find(|m| m.address == offer.address)?;
        return Some(add(offer, gone.id));
    }
    let offer = new_offers.next();
    let count = members.voters().count();
    let lost = members.voters().find(is_lost);
    match (offer, lost) {
        (Some(offer), _) if count < voters => Some(add(offer, 0)),
        (Some(offer), Some(lost)) => Some(add(offer, lost.id)),
        (None, Some(lost)) if count > voters => Some(MemberChange::Remove(lost.id)),
        _ => None,
    }
}

fn add(offer: &Offer, replaces: u64) -> MemberChange {
    MemberChange::Add(Member {
        id: offer.id,
        address: offer.address.clone(),
        voter: false,
        replaces,
    })
}
