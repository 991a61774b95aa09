use {
    super::founding::Founding,
    crate::{
        clock::Ms,
        consensus::{Core, MemberChange},
        wire::{
            consensus::Member,
            peer::{members_request::Change, ControlMember, MembersAnswer, MembersRequest},
        },
    },
};

/// Answers a request about the members at the leader.
pub(super) fn members_answer(
    core: &mut Core,
    founding: &Founding,
    req: &MembersRequest,
    now: Ms,
) -> MembersAnswer {
    let refused = match &req.change {
        None => None,
        Some(change) => change_members(core, founding, change, now).err(),
    };
    MembersAnswer {
        refused: refused.unwrap_or_default(),
        term: core.term(),
        members: listed(core, founding, now),
        ..MembersAnswer::default()
    }
}

fn change_members(core: &mut Core, founding: &Founding, change: &Change, now: Ms) -> Result<(), String> {
    let change = match change {
        Change::Add(address) => MemberChange::Add(offered(core, founding, address, 0, now)?),
        Change::Remove(id) => MemberChange::Remove(*id),
        Change::Replace(replace) => {
            MemberChange::Add(offered(core, founding, &replace.new, replace.old, now)?)
        }
    };
    core.change_member(&change, now)
        .map(|_| ())
        .map_err(|e| e.to_string())
}

/// Returns the member that the host at `address` offers to be.
fn offered(
    core: &Core,
    founding: &Founding,
    address: &str,
    replaces: u64,
    now: Ms,
) -> Result<Member, String> {
    let waiting = founding.offers(now).find(|o| o.address == address);
    let known = core.membership().members.iter().find(|m| m.address == address);
    let id = match (waiting, known) {
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

fn listed(core: &Core, founding: &Founding, now: Ms) -> Vec<ControlMember> {
    let members = core.membership();
    let mut list: Vec<ControlMember> = members
        .members
        .iter()
        .map(|m| {
            let (lag, heard_at) = core.peer_state(m.id).unwrap_or((0, now));
            ControlMember {
                id: m.id,
                address: m.address.clone(),
                role: role(core, m).to_owned(),
                lag,
                silent_ms: (now - heard_at).0,
            }
        })
        .collect();
    let waiting = founding.offers(now).filter(|o| members.member(o.id).is_none());
    list.extend(waiting.map(|o| ControlMember {
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
