use {
    super::bootstrap::CellBootstrap,
    crate::{
        clock::Ms,
        consensus::{Core, MemberChange},
        wire::{
            consensus::Member,
            peer::{members_request::Change, ControlMember, MembersAnswer, MembersRequest},
        },
    },
};

/// Answers a request to list or change the members. Only the leader may call this function.
pub(super) fn answer_members_request(
    core: &mut Core,
    bootstrap: &CellBootstrap,
    req: &MembersRequest,
    now: Ms,
) -> MembersAnswer {
    let refused = match &req.change {
        None => None,
        Some(change) => change_members(core, bootstrap, change, now).err(),
    };
    MembersAnswer {
        refused: refused.unwrap_or_default(),
        term: core.term(),
        members: list_members(core, bootstrap, now),
        ..MembersAnswer::default()
    }
}

fn change_members(
    core: &mut Core,
    bootstrap: &CellBootstrap,
    change: &Change,
    now: Ms,
) -> Result<(), String> {
    let change = match change {
        Change::Add(address) => MemberChange::Add(member_from_offer(core, bootstrap, address, 0, now)?),
        Change::Remove(id) => MemberChange::Remove(*id),
        Change::Replace(replace) => MemberChange::Add(member_from_offer(
            core,
            bootstrap,
            &replace.new,
            replace.old,
            now,
        )?),
    };
    core.change_member(&change, now)
        .map(|_| ())
        .map_err(|e| e.to_string())
}

/// Returns the new member for the host at `address`, which must have offered itself.
fn member_from_offer(
    core: &Core,
    bootstrap: &CellBootstrap,
    address: &str,
    replaces: u64,
    now: Ms,
) -> Result<Member, String> {
    let offer = bootstrap.offers(now).find(|o| o.address == address);
    let member = core.membership().members.iter().find(|m| m.address == address);
    let id = match (offer, member) {
        (Some(offer), _) => offer.id,
        (None, Some(_)) => return Err("this host is already a member with its disk".into()),
        (None, None) => return Err("no host with an empty disk offers itself at this address".into()),
    };
    Ok(Member {
        id,
        address: address.to_owned(),
        voter: false,
        replaces,
    })
}

fn list_members(core: &Core, bootstrap: &CellBootstrap, now: Ms) -> Vec<ControlMember> {
    let members = core.membership();
    let mut list: Vec<ControlMember> = members
        .members
        .iter()
        .map(|m| {
            let (lag, last_contact_at) = core.peer_state(m.id).unwrap_or((0, now));
            ControlMember {
                id: m.id,
                address: m.address.clone(),
                role: role(core, m).to_owned(),
                lag,
                silent_ms: (now - last_contact_at).0,
            }
        })
        .collect();
    let offers = bootstrap.offers(now).filter(|o| members.member(o.id).is_none());
    list.extend(offers.map(|o| ControlMember {
        id: o.id,
        address: o.address.clone(),
        role: "waiting".to_owned(),
        ..ControlMember::default()
    }));
    list
}

fn role(core: &Core, member: &Member) -> &'static str {
    match (member.id == core.id(), member.voter) {
        (true, true) => "leader",
        (false, true) => "voter",
        (_, false) => "learner",
    }
}
