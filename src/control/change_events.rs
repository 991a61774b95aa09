use {
    super::{Applied, State},
    crate::{
        event::Event,
        log_event,
        schema::Service,
        split,
        wire::control::{change, command_answer, operator_command, Change, CommandAnswer},
    },
    slog::Logger,
};

/// Logs the effect of a committed change.
pub(super) fn log_applied(log: &Logger, state: &State, applied: &Applied, change: &Change) {
    match applied {
        Applied::SessionOpened(session) => {
            let host = state.session(*session).map_or("", |s| s.open.host.as_str());
            log_event!(log, Event::ControlSessionOpened; "session" => session, "host" => host);
        }
        Applied::SessionEnded(session) => {
            log_event!(log, Event::ControlSessionEnded; "session" => session);
        }
        Applied::RangeAssigned { service, span, owner } => {
            let reason = match &change.body {
                Some(change::Body::AssignRange(assign)) => assign.reason.as_str(),
                _ => "",
            };
            log_event!(
                log, Event::RangeAssigned;
                "service" => service, "range" => span.to_string(), "session" => owner.session,
                "server" => &owner.server, "epoch" => owner.epoch, "reason" => reason
            );
        }
        Applied::SplitStaged(stage) => {
            log_event!(log, Event::SplitStaged; "stage" => split::stage_name(*stage));
        }
        Applied::Command(answer) => {
            log_evacuation(log, state, change);
            log_event!(log, Event::CommandDecided; "answer" => answer_name(answer), "revision" => state.revision().to_string());
        }
        Applied::ReleaseStarted { service, span, .. } => {
            if let Some(change::Body::ReleaseRange(release)) = &change.body {
                log_event!(
                    log, Event::MovePlanned;
                    "service" => service, "range" => span.to_string(), "epoch" => release.epoch,
                    "session" => release.to_session, "server" => &release.to_server, "reason" => &release.reason
                );
            }
        }
        Applied::CrashCounted(quarantined) => {
            for fingerprint in quarantined {
                log_event!(log, Event::RequestQuarantined; "fingerprint" => fingerprint.to_text());
            }
        }
        Applied::RangesJoined { .. }
        | Applied::GuardReady(_)
        | Applied::SuspectsCleared
        | Applied::ServersSet(_)
        | Applied::ServerLeft(_)
        | Applied::ServiceForgotten(_)
        | Applied::RangeReleased { .. }
        | Applied::PatchBaseMismatch
        | Applied::Ignored(_) => {}
    }
}

/// Returns the retired services with their division, for [`log_retirements`].
pub(super) fn retired_names(state: &State) -> Vec<(String, bool)> {
    let retired = state.retired_services().iter();
    retired
        .map(|r| (r.ranges.service.clone(), r.divided_by_key))
        .collect()
}

/// Logs which services the last change has retired, brought back or forgotten. `before` are the services that were
/// retired before it.
pub(super) fn log_retirements(log: &Logger, state: &State, before: &[(String, bool)]) {
    for retired in state
        .retired_services()
        .iter()
        .filter(|r| r.retired_at == state.applied())
    {
        log_event!(
            log, Event::ServiceRetired;
            "service" => &retired.ranges.service, "divided_by_key" => retired.divided_by_key,
            "ranges" => retired.ranges.ranges().len(), "owned" => retired.owned_count()
        );
    }
    let after = retired_names(state);
    for (service, divided_by_key) in before.iter().filter(|name| !after.contains(name)) {
        let is_named = |s: &Service| s.divided_by_key == *divided_by_key;
        match state.schema().service(service).is_some_and(is_named) {
            true => {
                log_event!(log, Event::ServiceRestored; "service" => service, "divided_by_key" => divided_by_key);
            }
            false => {
                log_event!(log, Event::ServiceForgotten; "service" => service, "divided_by_key" => divided_by_key);
            }
        }
    }
}

/// Logs the start or end of an evacuation, unless the command changed nothing.
fn log_evacuation(log: &Logger, state: &State, change: &Change) {
    let Some(change::Body::OperatorCommand(command)) = &change.body else {
        return;
    };
    if state.revision().index != state.applied() {
        return;
    }
    match &command.body {
        Some(operator_command::Body::StartEvacuation(domain)) => {
            let scope = state.evacuation_scope(domain);
            log_event!(
                log, Event::EvacuationStarted;
                "failure_domain" => domain, "servers" => scope.servers.len(), "ranges" => scope.ranges,
                "services_without_servers" => scope.services_without_servers.join(" ")
            );
        }
        Some(operator_command::Body::EndEvacuation(domain)) => {
            log_event!(log, Event::EvacuationEnded; "failure_domain" => domain);
        }
        _ => {}
    }
}

fn answer_name(answer: &CommandAnswer) -> &'static str {
    match &answer.body {
        Some(command_answer::Body::Accepted(_)) => "accepted",
        Some(command_answer::Body::Conflict(_)) => "conflict",
        Some(command_answer::Body::Refused(_)) => "refused",
        Some(command_answer::Body::Unavailable(_)) | None => "unavailable",
    }
}
