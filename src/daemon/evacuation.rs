use {
    super::daemon_cx::DaemonCx,
    crate::{
        control::State,
        event::Event,
        lease::{GateChange, LastEvacuation},
        log_event,
        metrics::Metric,
        settings::{checked_name, Settings},
        wire::{
            control::{change, command_answer, operator_command, CommandAnswer, OperatorCommand},
            peer::ProposeAnswer,
        },
    },
    percent_encoding::percent_decode_str,
    serde_json::{json, Value},
};

/// An operator's order about the evacuation of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationOrder {
    /// Nothing is to be sent to the servers of the failure domain.
    Start,
    /// The servers of the failure domain are used again.
    Finish,
}

/// Result of an order about an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationOutcome {
    /// The order is committed.
    Committed {
        /// Services that have no usable server while the order is in force, as far as this daemon knows.
        services_without_servers: Vec<String>,
    },
    /// The order was refused for this reason, and nothing was changed.
    Refused(String),
    /// It is unknown whether the order was committed.
    Unavailable,
}

impl EvacuationOrder {
    /// Returns the body of the command that carries the order out.
    pub(super) fn command_body(self, failure_domain: &str) -> operator_command::Body {
        match self {
            Self::Start => operator_command::Body::StartEvacuation(failure_domain.to_owned()),
            Self::Finish => operator_command::Body::EndEvacuation(failure_domain.to_owned()),
        }
    }
}

/// Checks that an evacuation of a failure domain may be ordered. One that is in force may be ended even if the settings
/// do not list its failure domain any more.
///
/// # Errors
/// Returns the reason why the order is refused.
pub(super) fn check_failure_domain(
    settings: &Settings,
    state: &State,
    failure_domain: &str,
) -> Result<(), String> {
    checked_name("failure_domain", failure_domain).map_err(|e| e.to_string())?;
    let known = &settings.failure_domains;
    let is_known = known.is_empty() || known.iter().any(|name| name == failure_domain);
    if is_known || state.is_evacuated(failure_domain) {
        return Ok(());
    }
    Err(format!("the cluster has no failure domain {failure_domain:?}"))
}

impl DaemonCx {
    /// Carries out an order that has no command id, and returns once its outcome is known.
    pub async fn order_evacuation(&self, order: EvacuationOrder, failure_domain: &str) -> EvacuationOutcome {
        if let Err(reason) = check_failure_domain(&self.settings, &self.state(), failure_domain) {
            return EvacuationOutcome::Refused(reason);
        }
        let command = OperatorCommand {
            body: Some(order.command_body(failure_domain)),
            ..OperatorCommand::default()
        };
        let proposed = self.propose(change::Body::OperatorCommand(command)).await;
        let answer = proposed.and_then(|answer: ProposeAnswer| answer.command);
        match answer.and_then(|answer: CommandAnswer| answer.body) {
            Some(command_answer::Body::Accepted(_)) => EvacuationOutcome::Committed {
                services_without_servers: match order {
                    EvacuationOrder::Start => self.services_without_servers(failure_domain),
                    EvacuationOrder::Finish => Vec::new(),
                },
            },
            Some(command_answer::Body::Refused(refused)) => EvacuationOutcome::Refused(refused.reason),
            Some(command_answer::Body::Conflict(_) | command_answer::Body::Unavailable(_)) | None => {
                EvacuationOutcome::Unavailable
            }
        }
    }

    /// Returns the services that have no usable server while a failure domain is evacuated.
    pub(super) fn services_without_servers(&self, failure_domain: &str) -> Vec<String> {
        let scope = self.state().evacuation_scope(failure_domain);
        scope.services_without_servers
    }

    /// Returns the evacuations in force, or what an evacuation of the failure domain that `query` names would affect.
    ///
    /// # Errors
    /// Returns the reason why an evacuation of that failure domain would be refused.
    pub(super) fn evacuation_list(&self, query: Option<&str>) -> Result<Value, String> {
        let state = self.state();
        let asked = query.and_then(|q| q.strip_prefix("failure_domain="));
        let asked = asked.map(|text| percent_decode_str(text).decode_utf8_lossy().into_owned());
        if let Some(domain) = &asked {
            check_failure_domain(&self.settings, &state, domain)?;
        }
        let listed = |domain: &str| {
            let scope = state.evacuation_scope(domain);
            let servers: Vec<Value> = scope
                .servers
                .iter()
                .map(|(service, address, host)| {
                    json!({ "service": service, "address": address, "host": host })
                })
                .collect();
            json!({
                "failure_domain": domain,
                "since": state.last_evacuation(domain).filter(|e| e.ended == 0).map(|e| e.since),
                "servers": servers,
                "ranges": scope.ranges,
                "services_without_servers": scope.services_without_servers,
            })
        };
        let domains = match &asked {
            Some(domain) => vec![domain.as_str()],
            None => state.evacuated_domains(),
        };
        let evacuations: Vec<Value> = domains.into_iter().map(listed).collect();
        Ok(json!({ "revision": state.revision().to_string(), "evacuations": evacuations }))
    }

    /// Follows the evacuation of this host's failure domain in a new state, before the state counts as confirmed.
    /// `is_first` tells that it is the first state of this process.
    pub(super) fn follow_evacuation(&self, is_first: bool) {
        let now = self.clock.now();
        let confirmed_age = self.freshness.borrow().since_confirmation(now);
        let confirmed_at = confirmed_age.map(|age| now - age);
        let (evacuation, in_force) = {
            let state = self.state.borrow();
            let last = state.last_evacuation(&self.settings.failure_domain);
            let evacuation = last.map_or(LastEvacuation::default(), |e| LastEvacuation {
                since: e.since,
                ended: e.ended,
            });
            (evacuation, state.evacuated_domains().len())
        };
        self.metrics.gauge(
            Metric::Evacuations,
            &[],
            u64::try_from(in_force).unwrap_or(u64::MAX),
        );
        let changed = self
            .evacuation_gate
            .borrow_mut()
            .update(evacuation, confirmed_at, is_first, now);
        match changed {
            Some(GateChange::Started(served)) => log_event!(
                self.log, Event::DomainEvacuated;
                "failure_domain" => &self.settings.failure_domain, "since" => evacuation.since,
                "served_ms" => served.0
            ),
            Some(GateChange::Ended) => {
                self.handle_evacuation_end(evacuation.ended);
            }
            None => {}
        }
    }

    /// Handles the end of the evacuation of this host's failure domain, which was committed at log index `ended`.
    ///
    /// It is called before any further call is sent to a local server, also if this daemon missed the whole evacuation.
    /// The local servers may have become cold shortly before, so what this daemon knows of their warmth is discarded.
    fn handle_evacuation_end(&self, ended: u64) {
        log_event!(
            self.log, Event::DomainRestored;
            "failure_domain" => &self.settings.failure_domain, "ended" => ended
        );
        let now = self.clock.now();
        for server in self.servers.borrow().iter() {
            let mut warmup = server.warmup.get();
            warmup.forget_warmth(now);
            server.warmup.set(warmup);
        }
        self.update_limits();
        self.warmups_changed.notify_one();
    }
}
