use {
    crate::{
        control::Applied,
        key::{Key, KeyRange},
        wire::control::{change, operator_command, Committed, OperatorCommand},
    },
    bytes::Bytes,
    serde::Serialize,
    std::collections::VecDeque,
};

/// Limit of the decisions that are kept.
const DECISIONS_MAX: usize = 256;

/// A committed decision with its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// Log index of the change.
    pub index: u64,
    /// What was decided, and why.
    pub text: String,
}

/// The most recent decisions that this daemon has applied, oldest first.
#[derive(Debug, Default)]
pub struct Decisions {
    last: VecDeque<Decision>,
}

impl Decisions {
    /// Records a change that was applied, if it is a decision. Changes without effect are left out.
    pub fn record(&mut self, committed: &Committed, applied: &Applied) {
        let body = committed.change.as_ref().and_then(|change| change.body.as_ref());
        let text = match (body, applied) {
            (None, _) | (_, Applied::Ignored(_)) => None,
            (Some(body), _) => decision_text(body),
        };
        let Some(text) = text else {
            return;
        };
        if self.last.len() == DECISIONS_MAX {
            self.last.pop_front();
        }
        self.last.push_back(Decision {
            index: committed.index,
            text,
        });
    }

    /// Returns the latest `count` decisions, oldest first.
    pub fn last(&self, count: usize) -> Vec<Decision> {
        let skipped = self.last.len().saturating_sub(count);
        self.last.iter().skip(skipped).cloned().collect()
    }

    /// Returns the decision at a log index, or `None` if it is not kept.
    pub fn at(&self, index: u64) -> Option<&Decision> {
        let found = self.last.binary_search_by_key(&index, |decision| decision.index);
        found.ok().and_then(|i| self.last.get(i))
    }
}

/// Returns the text of a change that affects ownership, or `None` for other changes.
fn decision_text(body: &change::Body) -> Option<String> {
    Some(match body {
        change::Body::OpenSession(open) => {
            format!("host {} opened a session", open.host)
        }
        change::Body::EndSession(end) => {
            format!("session {} ended: {}", end.session, end.reason)
        }
        change::Body::AssignRange(assign) => format!(
            "{} {} assigned to {} of session {}: {}",
            assign.service,
            span(&assign.start, assign.end.as_ref()),
            assign.server,
            assign.session,
            assign.reason
        ),
        change::Body::ReleaseRange(release) => format!(
            "{} {} is to move to {} of session {}: {}",
            release.service,
            span(&release.start, release.end.as_ref()),
            release.to_server,
            release.to_session,
            release.reason
        ),
        change::Body::OperatorCommand(command) => command_text(command),
        _ => return None,
    })
}

fn command_text(command: &OperatorCommand) -> String {
    let what = match &command.body {
        Some(operator_command::Body::ApplySchema(_)) => "apply of a schema".to_owned(),
        Some(operator_command::Body::Drain(d)) => format!("drain of {} {}", d.host, d.server),
        Some(operator_command::Body::Undrain(d)) => format!("undrain of {} {}", d.host, d.server),
        Some(operator_command::Body::Move(m)) => {
            format!(
                "move of {} {} to {}",
                m.service,
                span(&m.start, m.end.as_ref()),
                m.to_host
            )
        }
        _ => "command".to_owned(),
    };
    format!("{} decided, command id {}", what.trim_end(), command.command_id)
}

fn span(start: &Bytes, end: Option<&Bytes>) -> KeyRange {
    KeyRange {
        start: Key::new(start.clone()),
        end: end.map(|end| Key::new(end.clone())),
    }
}
