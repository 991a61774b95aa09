//! What a schedule does to the hosts of an exchange, and how it mends them.

use {
    super::{
        mem_disk::{DiskFault, MemDisk},
        payload, Exchange, SETTLE_MAX, STEP,
    },
    clementinefold::{
        consensus::{Core, MemberChange, Write},
        wire::consensus::Member,
    },
    rand::Rng,
};

/// A copy of a disk, with how often all hosts had been started when it was taken.
pub struct CopiedDisk {
    host: usize,
    id: u64,
    starts: u64,
    disk: MemDisk,
}

impl Exchange {
    /// Ends the process of a host at once. What it was writing is torn.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].frozen = false;
        let Some(mut running) = self.hosts[host].running.take() else {
            return;
        };
        let disk = self.hosts[host].disk.clone();
        // The queue is written but its sync does not return.
        let writes: Vec<Write> = running.queue.drain(..).map(|(_, w)| w).collect();
        let appends = writes
            .split(|w| !matches!(w, Write::Append(_)))
            .next()
            .unwrap_or(&[]);
        let before = std::mem::replace(&mut disk.0.borrow_mut().fault, DiskFault::SyncFails);
        let _ = running.storage.write(appends);
        disk.0.borrow_mut().fault = before;
        disk.crash(self.rng.random_range(0..200));
    }

    /// Replaces the disk of a host by an empty one and lets the operator add it as a new member.
    pub fn replace_disk(&mut self, host: usize) {
        self.kill(host);
        let old = self.hosts[host].id;
        let id = self.rng.random_range(1..u64::MAX);
        self.ids.insert(id, host);
        let slot = &mut self.hosts[host];
        slot.disk = MemDisk::default();
        slot.id = id;
        slot.unsound = false;
        slot.replaces = Some(slot.replaces.unwrap_or(old));
        self.start(host);
    }

    pub fn copy_disk(&self, host: usize) -> CopiedDisk {
        CopiedDisk {
            host,
            id: self.hosts[host].id,
            starts: self.other_starts(host),
            disk: self.hosts[host].disk.copied(),
        }
    }

    /// Puts an old disk back while nothing else is wrong. True: its host found that out and stopped; the
    /// operator then replaces the disk.
    pub fn put_back(&mut self, copy: CopiedDisk) -> bool {
        let same = self.hosts[copy.host].id == copy.id && self.other_starts(copy.host) == copy.starts;
        let all_up = (0..self.hosts.len()).all(|h| self.is_up(h) && !self.hosts[h].frozen);
        let any_cut = self.cut.iter().flatten().any(|c| *c);
        if !same || !all_up || any_cut || !self.is_whole() {
            return false;
        }
        self.kill(copy.host);
        self.hosts[copy.host].disk = copy.disk;
        self.start(copy.host);
        self.run(3000);
        let found = self.core(copy.host).is_some_and(Core::is_stopped);
        if found {
            self.replace_disk(copy.host);
        }
        found
    }

    fn other_starts(&self, host: usize) -> u64 {
        let others = self.hosts.iter().enumerate().filter(|(i, _)| *i != host);
        others.map(|(_, h)| h.starts).sum()
    }

    /// Mends everything and checks that the cell goes on with nothing lost.
    pub fn settle(&mut self) {
        self.trouble = 0;
        self.cut.iter_mut().flatten().for_each(|c| *c = false);
        for host in 0..self.hosts.len() {
            self.hosts[host].frozen = false;
            self.hosts[host].disk.0.borrow_mut().fault = DiskFault::None;
            if !self.is_up(host) {
                self.kill(host);
                if self.hosts[host].unsound || !self.start(host) {
                    self.replace_disk(host);
                }
            }
        }
        self.run_until("a disk is not replaced", |x| x.is_whole() && x.leader().is_some());
        let acknowledged = self.acknowledged.len();
        let mut next = self.now;
        while self.acknowledged.len() == acknowledged {
            assert!(self.now < next + SETTLE_MAX, "no change is committed any more");
            if self.now % 500 < STEP {
                self.propose();
            }
            self.step();
        }
        next = self.canon.len() as u64;
        self.run_until("a host does not catch up", |x| {
            x.hosts
                .iter()
                .all(|h| h.running.as_ref().is_some_and(|r| r.applied >= next))
        });
        let kept: Vec<u64> = self.canon.iter().filter_map(payload).collect();
        let mut unique = kept.clone();
        unique.sort_unstable();
        unique.dedup();
        assert_eq!(unique.len(), kept.len(), "a change stands twice in the log");
        for acknowledged in &self.acknowledged {
            assert!(
                unique.binary_search(acknowledged).is_ok(),
                "an acknowledged change is lost"
            );
        }
    }

    /// The operator adds disks that are new, and sees when they have replaced the old ones.
    pub(super) fn operate(&mut self) {
        let Some(leader) = self.leader() else { return };
        let now = self.local(leader);
        for host in 0..self.hosts.len() {
            let Some(old) = self.hosts[host].replaces else {
                continue;
            };
            let id = self.hosts[host].id;
            let Some(running) = &mut self.hosts[leader].running else {
                continue;
            };
            let members = running.core.membership();
            let settled = running.core.membership_index() <= running.core.commit();
            if settled && members.is_voter(id) && members.member(old).is_none() {
                self.hosts[host].replaces = None;
                continue;
            }
            let replaces = if members.member(old).is_some() { old } else { 0 };
            let member = Member {
                id,
                address: format!("h{host}"),
                voter: false,
                replaces,
            };
            let _ = running.core.change_member(&MemberChange::Add(member), now);
            self.drain(leader);
        }
    }
}
