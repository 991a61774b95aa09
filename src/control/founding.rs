use {
    super::Offer,
    crate::{
        clock::Ms,
        wire::consensus::{envelope::Body, DiskAnswer, DiskQuery, Envelope, Member, Membership},
    },
    std::net::SocketAddr,
};

/// Time between two rounds of questions or offers.
const ROUND: Ms = Ms(200);
/// An offer of an empty disk is good for this long.
const OFFER_KEPT: Ms = Ms(3000);

/// Time without a leader after which a host that belongs to the cell offers itself. It may have been removed
/// without learning of it.
const LEADERLESS_MAX: Ms = Ms(1500);

/// How a disk without a cell finds one. The first voter with the lowest address founds the cell, and only
/// after every other first voter has said that its disk has never belonged to one.
#[derive(Debug)]
pub(super) struct Founding {
    id: u64,
    address: String,
    others: Vec<String>,
    control_hosts: Vec<String>,
    founder: bool,
    empty: Vec<(u64, String)>,
    round_at: Ms,
    /// When a leader was known last.
    led_at: Ms,
    /// Hosts that offer themselves, with the time of the last offer.
    offers: Vec<(Offer, Ms)>,
}

impl Founding {
    pub fn new(
        id: u64,
        address: SocketAddr,
        first_voters: &[SocketAddr],
        control_hosts: &[SocketAddr],
    ) -> Self {
        let others = |all: &[SocketAddr]| -> Vec<String> {
            let others = all.iter().filter(|a| **a != address);
            others.map(ToString::to_string).collect()
        };
        Self {
            id,
            address: address.to_string(),
            others: others(first_voters),
            control_hosts: others(control_hosts),
            founder: first_voters.contains(&address) && first_voters.iter().min() == Some(&address),
            empty: Vec::new(),
            round_at: Ms::ZERO,
            led_at: Ms::ZERO,
            offers: Vec::new(),
        }
    }

    /// Returns the first members once the cell may be founded.
    pub fn members(&self) -> Option<Membership> {
        if !self.founder || self.empty.len() < self.others.len() {
            return None;
        }
        let me = (self.id, self.address.clone());
        let all = self.empty.iter().cloned().chain([me]);
        let members = all.map(|(id, address)| Member {
            id,
            address,
            voter: true,
            replaces: 0,
        });
        Some(Membership::new(members.collect()))
    }

    /// Returns the messages that a disk without a cell sends at `now`, with their addresses.
    pub fn messages(&mut self, now: Ms) -> Vec<(String, Envelope)> {
        if now < self.round_at {
            return Vec::new();
        }
        self.round_at = now + ROUND;
        let offer = Body::DiskAnswer(DiskAnswer {
            formed: false,
            seeks: true,
            relayed: false,
        });
        let offers = self
            .control_hosts
            .iter()
            .map(|a| (a.clone(), self.envelope(0, offer.clone())));
        let query = Body::DiskQuery(DiskQuery {});
        let queried = if self.founder { self.others.as_slice() } else { &[] };
        let queries = queried
            .iter()
            .map(|a| (a.clone(), self.envelope(0, query.clone())));
        offers.chain(queries).collect()
    }

    /// Returns the offers of a disk of the cell that has heard no leader for long. `known` are addresses of
    /// members.
    pub fn rejoin(&mut self, has_leader: bool, known: &[String], now: Ms) -> Vec<(String, Envelope)> {
        if has_leader || self.led_at == Ms::ZERO {
            self.led_at = now;
        }
        if now < self.led_at + LEADERLESS_MAX || now < self.round_at {
            return Vec::new();
        }
        self.round_at = now + ROUND;
        let offer = Body::DiskAnswer(DiskAnswer {
            formed: true,
            seeks: true,
            relayed: false,
        });
        let mut hosts = self.control_hosts.clone();
        hosts.extend(known.iter().filter(|a| **a != self.address).cloned());
        hosts.sort();
        hosts.dedup();
        let offers = hosts.into_iter().map(|a| (a, self.envelope(0, offer.clone())));
        offers.collect()
    }

    /// Answers the question which disk this is.
    pub fn answer(&self, query: &Envelope, formed: bool) -> (String, Envelope) {
        let body = Body::DiskAnswer(DiskAnswer {
            formed,
            seeks: false,
            relayed: false,
        });
        (query.from_address.clone(), self.envelope(query.from, body))
    }

    /// Takes what another host says of its disk.
    pub fn disk_answered(&mut self, from: u64, address: &str, answer: DiskAnswer, now: Ms) {
        if answer.formed {
            // A cell exists, so this disk joins it.
            self.founder = false;
            if answer.seeks {
                self.note_offer(from, address, now);
            }
            return;
        }
        self.empty.retain(|(_, known)| known != address);
        if self.others.iter().any(|other| other == address) {
            self.empty.push((from, address.to_owned()));
        }
        self.note_offer(from, address, now);
    }

    fn note_offer(&mut self, id: u64, address: &str, now: Ms) {
        self.offers
            .retain(|(offer, at)| offer.address != address && *at + OFFER_KEPT > now);
        let address = address.to_owned();
        self.offers.push((Offer { id, address }, now));
    }

    /// Returns the hosts that offer themselves at `now`.
    pub fn offers(&self, now: Ms) -> impl Iterator<Item = &Offer> {
        let fresh = self.offers.iter().filter(move |(_, at)| *at + OFFER_KEPT > now);
        fresh.map(|(offer, _)| offer)
    }

    fn envelope(&self, to: u64, body: Body) -> Envelope {
        Envelope {
            cell: 0,
            from: self.id,
            to,
            term: 0,
            from_address: self.address.clone(),
            body: Some(body),
        }
    }
}
