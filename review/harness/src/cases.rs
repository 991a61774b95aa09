//! The cases of the review.

mod foreign_heartbeat;
mod late_refusal;
mod left_server;
mod slow_reader;

use {
    crate::{
        config::{config, Service},
        fleet::Fleet,
        record::Record,
        server::Server,
        Verdict,
    },
    std::{path::PathBuf, sync::Arc, time::Duration},
};

/// A case: it runs with the disruption or without it.
pub type Case = fn(&Arc<Record>, PathBuf, bool) -> Verdict;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "late-refusal" => Some(late_refusal::run),
        "slow-reader" => Some(slow_reader::run),
        "left-server" => Some(left_server::run),
        "foreign-heartbeat-keys" => Some(foreign_heartbeat::run_keys),
        "foreign-heartbeat-caller" => Some(foreign_heartbeat::run_caller),
        _ => None,
    }
}

/// Services of the machines of a small deployment, as in the site file of the agency: its own names, and the servers of
/// each zone side by side.
pub const MACHINES: [&str; 11] = [
    "portal-stav",
    "portal-stav",
    "portal-stav",
    "prikazy",
    "prikazy",
    "prikazy",
    "ucty",
    "ucty",
    "ucty",
    "ucty",
    "ucty",
];

/// Returns the services of that deployment. The keys of the last one are divided among its servers.
pub fn services() -> [Service; 3] {
    let service = |name, is_sharded, is_idempotent, timeout_ms| Service {
        name,
        is_sharded,
        is_idempotent,
        timeout_ms,
    };
    [
        service("portal-stav", false, true, 800),
        service("prikazy", false, false, 1000),
        service("ucty", true, false, 1200),
    ]
}

/// A small deployment: three control hosts, and one sidecar with its server for each name in `machines`.
pub struct Deployment {
    pub fleet: Arc<Fleet>,
    pub servers: Vec<Arc<Server>>,
}

impl Deployment {
    /// Starts all processes and servers and sends the first configuration.
    pub fn start(
        record: &Arc<Record>,
        root: PathBuf,
        services: &[Service],
        machines: &[&str],
    ) -> Result<Self, String> {
        let fleet = Fleet::start(record, root, 3, machines);
        let servers = machines.iter().enumerate().map(|(number, name)| {
            let is_sharded = services.iter().any(|s| s.name == *name && s.is_sharded);
            let (id, zone) = (format!("i-{number}-a"), fleet.zone_of(number));
            Server::start(
                record,
                &id,
                name,
                &zone,
                is_sharded,
                fleet.heartbeat_address(number),
            )
        });
        let servers = servers.collect();
        let deployment = Self { fleet, servers };
        if !deployment
            .fleet
            .configure(&config(1, services), Duration::from_secs(20))
        {
            deployment.stop();
            return Err("the deployment did not become ready".to_owned());
        }
        record.say("all daemons are ready");
        Ok(deployment)
    }

    pub fn stop(&self) {
        self.servers.iter().for_each(|s| s.end());
        self.fleet.stop();
    }
}
