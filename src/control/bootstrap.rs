use {
    super::Offer,
    crate::{
        clock::Ms,
        wire::consensus::{envelope::Body, DiskAnswer, DiskQuery, Envelope, Member, Membership},
    },
    std::net::SocketAddr,
};

/// Time between two rounds of queries or offers.
const ROUND_INTERVAL: Ms = Ms(200);
/// How long a received offer is valid.
const OFFER_TTL: Ms = Ms(3000);

/// Time without a leader after which a host that belongs to the cell offers itself again, since it may have been
/// removed without being notified.
const LEADERLESS_TIMEOUT: Ms = Ms(1500);

/// Finds or founds the cell of a disk that belongs to none, and collects the offers of other hosts.
///
/// The first voter with the lowest address founds the cell, and only after every other first voter has reported
/// that its disk has never belonged to one.
#[derive(Debug)]
pub(super) struct CellBootstrap {
    /// Incarnation of the own disk.
    id: u64,
    /// Own peer address.
    address: String,
    other_first_voters: Vec<String>,
    /// Peer addresses of the other control hosts.
    control_hosts: Vec<String>,
    is_founder: bool,
    /// First voters whose disks have never belonged to a cell, by incarnation and peer address.
    empty_disks: Vec<(u64, String)>,
    next_round_at: Ms,
    /// Last time at which a leader was known.
    leader_seen_at: Ms,
    /// Received offers, each with the time of the last one from its address.
    offers: Vec<(Offer, Ms)>,
}

impl CellBootstrap {
    pub fn new(
        id: u64,
        address: SocketAddr,
        first_voters: &[SocketAddr],
        control_hosts: &[SocketAddr],
    ) -> Self {
        let without_self = |all: &[SocketAddr]| -> Vec<String> {
            let others = all.iter().filter(|a| **a != address);
            others.map(ToString::to_string).collect()
        };
        Self {
            id,
            address: address.to_string(),
            other_first_voters: without_self(first_voters),
            control_hosts: without_self(control_hosts),
            is_founder: first_voters.contains(&address) && first_voters.iter().min() == Some(&address),
            empty_disks: Vec::new(),
            next_round_at: Ms::ZERO,
            leader_seen_at: Ms::ZERO,
            offers: Vec::new(),
        }
    }

    /// Returns the first members, or `None` while this host may not found the cell.
    pub fn founding_members(&self) -> Option<Membership> {
        if !self.is_founder || self.empty_disks.len() < self.other_first_voters.len() {
            return None;
        }
        let me = (self.id, self.address.clone());
        let all = self.empty_disks.iter().cloned().chain([me]);
        let members = all.map(|(id, address)| Member {
            id,
            address,
            voter: true,
            replaces: 0,
        });
        Some(Membership::new(members.collect()))
    }

    /// Returns the messages that a disk without a cell sends at `now`, each with its recipient's address.
    pub fn messages(&mut self, now: Ms) -> Vec<(String, Envelope)> {
        if now < self.next_round_at {
            return Vec::new();
        }
        self.next_round_at = now + ROUND_INTERVAL;
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
        let queried = if self.is_founder {
            self.other_first_voters.as_slice()
        } else {
            &[]
        };
        let queries = queried
            .iter()
            .map(|a| (a.clone(), self.envelope(0, query.clone())));
        offers.chain(queries).collect()
    }

    /// Returns the offers that a disk of the cell sends at `now`, each with its recipient's address. There are none
    /// until the disk has been without a leader for [`LEADERLESS_TIMEOUT`]. `known` has the addresses of members.
    pub fn rejoin_offers(&mut self, has_leader: bool, known: &[String], now: Ms) -> Vec<(String, Envelope)> {
        if has_leader || self.leader_seen_at == Ms::ZERO {
            self.leader_seen_at = now;
        }
        if now < self.leader_seen_at + LEADERLESS_TIMEOUT || now < self.next_round_at {
            return Vec::new();
        }
        self.next_round_at = now + ROUND_INTERVAL;
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

    /// Returns the answer to a query about this disk, with its recipient's address.
    pub fn answer_disk_query(&self, query: &Envelope, formed: bool) -> (String, Envelope) {
        let body = Body::DiskAnswer(DiskAnswer {
            formed,
            seeks: false,
            relayed: false,
        });
        (query.from_address.clone(), self.envelope(query.from, body))
    }

    /// Records what another host reports of its disk.
    pub fn receive_disk_answer(&mut self, from: u64, address: &str, answer: DiskAnswer, now: Ms) {
        if answer.formed {
            // A cell exists already, so this disk must join it instead of founding one.
            self.is_founder = false;
            if answer.seeks {
                self.record_offer(from, address, now);
            }
            return;
        }
        self.empty_disks.retain(|(_, known)| known != address);
        if self.other_first_voters.iter().any(|other| other == address) {
            self.empty_disks.push((from, address.to_owned()));
        }
        self.record_offer(from, address, now);
    }

    fn record_offer(&mut self, id: u64, address: &str, now: Ms) {
        self.offers
            .retain(|(offer, at)| offer.address != address && *at + OFFER_TTL > now);
        let address = address.to_owned();
        self.offers.push((Offer { id, address }, now));
    }

    /// Returns the offers that are valid at `now`.
    pub fn offers(&self, now: Ms) -> impl Iterator<Item = &Offer> {
        let fresh = self.offers.iter().filter(move |(_, at)| *at + OFFER_TTL > now);
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
