//! Many processes are killed at the same moment: all control hosts, and some daemons. A server beside one of these wants
//! to leave just then, and deregisters as soon as its daemon takes the call.

use {
    super::{services, Deployment, MACHINES},
    crate::{
        client::{Clients, Load},
        record::Record,
        Verdict,
    },
    std::{
        path::PathBuf,
        sync::Arc,
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

/// Number of the machine whose server leaves.
const LEAVING: usize = 0;
/// Route to its service.
const ROUTE: &str = "/portal-stav/";
/// Bound of the site: no request reaches a server this long after its leave was acknowledged.
const DRAIN: Duration = Duration::from_millis(2000);
/// Bound of the site: a machine is in touch again this long after its process was started.
const STABILITY_WINDOW: Duration = Duration::from_millis(3000);
/// Margin for the clocks of this test.
const MARGIN: Duration = Duration::from_millis(500);
/// Time from the kill to the next start of the processes, by the platform.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Number of daemons that are killed together with the three control hosts: 7 of 14 processes.
const KILLED_DAEMONS: usize = 4;
/// Time between two attempts of the server to deregister.
const RETRY: Duration = Duration::from_millis(100);
/// Time after which the server would exit without an acknowledgement.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time for which the server goes on after the acknowledgement.
const LINGER: Duration = Duration::from_secs(9);

pub fn run(record: &Arc<Record>, root: PathBuf, is_disrupted: bool) -> Verdict {
    let deployment = match Deployment::start(record, root, &services(), &MACHINES) {
        Ok(deployment) => deployment,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let fleet = deployment.fleet.clone();
    let mut clients = Clients::default();
    // The clients of the machine itself send nothing, so that each request is taken by a machine without disruption.
    for machine in 1..MACHINES.len() {
        clients.start(
            &fleet,
            Load {
                machine,
                route: ROUTE.to_owned(),
                method: "GET",
                is_keyed: false,
                interval: Duration::from_millis(100),
                deadline: Duration::from_millis(1500),
            },
        );
    }
    sleep(Duration::from_secs(5));
    let server = &deployment.servers[LEAVING];
    if is_disrupted {
        let killed: Vec<usize> = (0..fleet.side(KILLED_DAEMONS)).collect();
        killed.iter().for_each(|position| fleet.kill_host(*position));
        let fleet = fleet.clone();
        thread::spawn(move || {
            sleep(RESTART_DELAY);
            killed.iter().for_each(|position| fleet.start_host(*position));
        });
    }
    let begun = Instant::now();
    let started = if is_disrupted {
        begun + RESTART_DELAY
    } else {
        begun
    };
    let acknowledged = loop {
        if let Some(at) = server.deregister() {
            break Some(at);
        }
        if begun.elapsed() > PATIENCE {
            break None;
        }
        sleep(RETRY);
    };
    let Some(acknowledged) = acknowledged else {
        deployment.stop();
        return Verdict::CouldNotRun("the deregistration was not acknowledged".to_owned());
    };
    record.say(&format!(
        "the deregistration of {} was acknowledged {} ms after it began to leave",
        server.id,
        (acknowledged - begun).as_millis()
    ));
    sleep(LINGER);
    clients.stop();
    let from = (acknowledged + DRAIN).max(started + STABILITY_WINDOW) + MARGIN;
    let late: Vec<_> = server.runs().into_iter().filter(|run| run.at > from).collect();
    let total = server.runs().len();
    deployment.stop();
    for run in late.iter().take(5) {
        record.line_at(
            run.at,
            &format!(
                "broken: {} runs on {} after its drain time",
                run.attempt, run.server
            ),
        );
    }
    record.say(&format!(
        "{} of {total} requests reached the server later than {} ms after the acknowledgement",
        late.len(),
        (from - acknowledged).as_millis()
    ));
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
