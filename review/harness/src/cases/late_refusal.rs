//! Servers send a second copy of a refusal late, where the next answer is due, while keys move between servers in a
//! planned release.

use {
    super::{services, Deployment, MACHINES},
    crate::{
        client::{Clients, Load},
        record::Record,
        server::{LateCopies, Run, Server},
        Verdict,
    },
    std::{
        path::PathBuf,
        sync::{atomic::Ordering, Arc},
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Machines of the service whose keys are divided.
const KEYED: std::ops::Range<usize> = 6..11;
/// Largest share of repeated answers, and of the servers that repeat them, in the site file: 3 of 5 machines.
const COPIES: f64 = 0.03;
const FAULTY: std::ops::Range<usize> = 6..9;
/// Longest time to wait for the acknowledgement that a server drains.
const ACK_LIMIT: Duration = Duration::from_secs(4);
/// Time for which a server goes on after that.
const DRAIN: Duration = Duration::from_millis(2300);
/// Time between the replacements of two servers.
const GAP: Duration = Duration::from_millis(800);
/// Time for which servers are replaced.
const LENGTH: Duration = Duration::from_secs(98);

pub fn run(record: &Arc<Record>, root: PathBuf, is_disrupted: bool) -> Verdict {
    let deployment = match Deployment::start(record, root, &services(), &MACHINES) {
        Ok(deployment) => deployment,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let fleet = deployment.fleet.clone();
    let fault = Arc::new(LateCopies {
        share: if is_disrupted { COPIES } else { 0.0 },
        ..LateCopies::default()
    });
    let mut servers: Vec<Arc<Server>> = deployment.servers[KEYED].to_vec();
    let mut all = servers.clone();
    FAULTY.for_each(|machine| deployment.servers[machine].set_fault(&fault));
    let mut clients = Clients::default();
    for machine in 0..MACHINES.len() {
        clients.start(
            &fleet,
            Load {
                machine,
                route: "/ucty/".to_owned(),
                method: "DELETE",
                is_keyed: true,
                interval: Duration::from_millis(900),
                deadline: Duration::from_millis(1200),
            },
        );
    }
    sleep(Duration::from_secs(3));
    let begun = Instant::now();
    for round in 0.. {
        if begun.elapsed() > LENGTH {
            break;
        }
        let (position, machine) = (round % KEYED.len(), KEYED.start + round % KEYED.len());
        let old = servers[position].clone();
        old.drain(ACK_LIMIT);
        sleep(DRAIN);
        old.deregister();
        old.end();
        sleep(Duration::from_millis(100));
        let id = format!("i-{machine}-{}", round + 1);
        let new = Server::start(
            record,
            &id,
            "ucty",
            &old.zone,
            true,
            fleet.heartbeat_address(machine),
        );
        if FAULTY.contains(&machine) {
            new.set_fault(&fault);
        }
        all.push(new.clone());
        servers[position] = new;
        sleep(GAP);
    }
    let sent = clients.stop();
    let runs: Vec<Run> = all.iter().flat_map(|s| s.runs()).collect();
    let (answers, copies) = (
        fault.answers.load(Ordering::SeqCst),
        fault.copies.load(Ordering::SeqCst),
    );
    servers.iter().for_each(|s| s.end());
    deployment.stop();
    let runs_of = |attempt: &str| runs.iter().filter(|run| run.attempt == attempt).count();
    let refused: Vec<_> = sent
        .iter()
        .filter(|s| matches!(s.status, Some(408 | 421 | 429 | 503)) && runs_of(&s.attempt) > 0)
        .collect();
    let twice: Vec<_> = sent.iter().filter(|s| runs_of(&s.attempt) > 1).collect();
    for s in &refused {
        record.line_at(
            s.ended_at,
            &format!("broken: {} was answered {:?} and has run", s.attempt, s.status),
        );
    }
    for s in &twice {
        record.line_at(
            s.ended_at,
            &format!("broken: {} has run {} times", s.attempt, runs_of(&s.attempt)),
        );
    }
    record.say(&format!(
        "{} requests, {answers} answers of the faulty servers, {copies} late copies of refusals",
        sent.len()
    ));
    record.say(&format!(
        "{} were answered as not run and have run; {} have run twice",
        refused.len(),
        twice.len()
    ));
    match refused.is_empty() && twice.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
