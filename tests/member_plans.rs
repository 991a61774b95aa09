//! Which change of members the leader makes next to keep the configured number of voters.

use clementinefold::{
    clock::Ms,
    consensus::MemberChange,
    control::{next_member_change, Offer},
    wire::consensus::{Member, Membership},
};

const LEADER: u64 = 1;
const LONG_SILENCE: Ms = Ms(60_000);

fn member(id: u64, voter: bool) -> Member {
    Member {
        id,
        address: format!("host-{id}"),
        voter,
        replaces: 0,
    }
}

fn offer(id: u64, host: u64) -> Offer {
    Offer {
        id,
        address: format!("host-{host}"),
    }
}

fn add_member(id: u64, host: u64, replaces: u64) -> Option<MemberChange> {
    Some(MemberChange::Add(Member {
        id,
        address: format!("host-{host}"),
        voter: false,
        replaces,
    }))
}

/// Members by role, members without contact, received offers, and the change that is expected to keep three voters.
struct Case {
    name: &'static str,
    voters: &'static [u64],
    learners: &'static [u64],
    silent: &'static [u64],
    offers: Vec<Offer>,
    expected: Option<MemberChange>,
}

fn cases() -> Vec<Case> {
    let case = |name, voters, learners, silent, offers, expected| Case {
        name,
        voters,
        learners,
        silent,
        offers,
        expected,
    };
    vec![
        case("all members are present", &[1, 2, 3], &[], &[], vec![], None),
        case("a spare waits", &[1, 2, 3], &[], &[], vec![offer(4, 4)], None),
        case(
            "too few voters",
            &[1, 2],
            &[],
            &[],
            vec![offer(4, 4)],
            add_member(4, 4, 0),
        ),
        case(
            "a voter is lost",
            &[1, 2, 3],
            &[],
            &[3],
            vec![offer(4, 4)],
            add_member(4, 4, 3),
        ),
        case("lost without a spare", &[1, 2, 3], &[], &[3], vec![], None),
        case(
            "a disk was wiped",
            &[1, 2, 3],
            &[],
            &[],
            vec![offer(9, 3)],
            add_member(9, 3, 3),
        ),
        case(
            "a wiped disk goes first",
            &[1, 2, 3],
            &[],
            &[2],
            vec![offer(4, 4), offer(9, 3)],
            add_member(9, 3, 3),
        ),
        case(
            "a learner catches up",
            &[1, 2, 3],
            &[4],
            &[3],
            vec![offer(5, 5)],
            None,
        ),
        case(
            "a learner is lost",
            &[1, 2, 3],
            &[4],
            &[4],
            vec![offer(5, 5)],
            Some(MemberChange::Remove(4)),
        ),
        case(
            "a learner was wiped",
            &[1, 2, 3],
            &[4],
            &[],
            vec![offer(9, 4)],
            Some(MemberChange::Remove(4)),
        ),
        case(
            "too many, one lost",
            &[1, 2, 3, 4],
            &[],
            &[2],
            vec![],
            Some(MemberChange::Remove(2)),
        ),
        case("too many, all present", &[1, 2, 3, 4], &[], &[], vec![], None),
        case("a member's own offer", &[1, 2], &[], &[], vec![offer(2, 2)], None),
        case(
            "the leader's address",
            &[1, 2, 3],
            &[],
            &[],
            vec![offer(9, 1)],
            None,
        ),
        case(
            "the leader is never lost",
            &[1, 2, 3],
            &[],
            &[1],
            vec![offer(4, 4)],
            None,
        ),
    ]
}

#[test]
fn next_change() {
    for case in cases() {
        let voters = case.voters.iter().map(|id| member(*id, true));
        let learners = case.learners.iter().map(|id| member(*id, false));
        let members = Membership::new(voters.chain(learners).collect());
        let silence = |id| {
            if case.silent.contains(&id) {
                LONG_SILENCE
            } else {
                Ms::ZERO
            }
        };
        let change = next_member_change(&members, &case.offers, 3, LEADER, silence);
        assert_eq!(change, case.expected, "{}", case.name);
    }
}
