use {
    super::daemon_cx::DaemonCx,
    crate::{
        control::{RangeTable, State},
        key::Key,
        schema::Service,
    },
    percent_encoding::percent_decode_str,
    serde_json::{json, Value},
};

/// The query of an `explain` request.
#[derive(Debug, Default)]
struct ExplainQuery {
    service: String,
    key: String,
    method: String,
    path: String,
}

impl DaemonCx {
    /// Returns the owner of a key, its epoch, the reason for it, and what would happen to a call now.
    ///
    /// # Errors
    /// Returns the invalid field of the query and what is wrong with it.
    pub fn explain(&self, query_text: &str) -> Result<Value, (&'static str, String)> {
        let query = parse_query(query_text);
        let state = self.state();
        let service = state.schema().service(&query.service);
        let service = service.ok_or_else(|| ("service", "the schema has no such service".to_owned()))?;
        let key = Key::from_text(&query.key).map_err(|e| ("key", e.to_string()))?;
        let mut answer = json!({
            "service": service.name,
            "divided_by_key": service.divided_by_key,
            "revision": state.revision().to_string(),
            "told_by": self.settings.host,
            "lease_left_ms": self.lease.remaining(self.clock.now()).0,
        });
        match service.call_kind(&query.method, &query.path) {
            Some(kind) => {
                answer["kind"] = json!(kind.name);
                answer["idempotent"] = json!(kind.idempotent);
            }
            None => answer["kind"] = json!("none: such a call ends as not-run with unknown-kind"),
        }
        match state.table(&service.name) {
            Some(table) => self.explain_key(&mut answer, &state, table, service, &key),
            None => explain_undivided(&mut answer, &state, service),
        }
        Ok(answer)
    }

    /// Adds the owner of a key of a divided service, and what would happen to a call.
    fn explain_key(
        &self,
        answer: &mut Value,
        state: &State,
        table: &RangeTable,
        service: &Service,
        key: &Key,
    ) {
        let position = table.position(key);
        let range = &table.ranges()[position];
        answer["key"] = json!(key.to_string());
        answer["range"] = json!(table.span(position).to_string());
        let Some(owner) = &range.owner else {
            answer["owner"] = Value::Null;
            answer["a_call_now"] = json!(format!(
                "waits up to {} ms for an owner, then ends as not-run with no-owner",
                service.park.0
            ));
            return;
        };
        let host = state.session(owner.session).map(|s| s.open.host.as_str());
        answer["owner"] = json!(owner.server);
        answer["host"] = json!(host);
        answer["session"] = json!(owner.session);
        answer["epoch"] = json!(owner.epoch);
        let decisions = self.decisions.borrow();
        answer["why"] = match decisions.at(owner.epoch) {
            Some(decision) => json!(decision.text),
            None => json!(format!(
                "change {} of the log, from before this daemon started or too long ago",
                owner.epoch
            )),
        };
        let own = Some(owner.session) == self.session.get();
        answer["a_call_now"] = json!(match (&range.release, own) {
            (Some(release), _) => format!(
                "waits up to {} ms: the range moves, {}",
                service.park.0, release.reason
            ),
            (None, true) if !self.lease.is_valid(self.clock.now()) =>
                "waits: the lease of this daemon does not hold".to_owned(),
            (None, true) => format!("runs on {} behind this daemon", owner.server),
            (None, false) => format!("is forwarded to host {}", host.unwrap_or("?")),
        });
    }
}

/// Adds the servers of a service that is not divided by key, and what would happen to a call.
fn explain_undivided(answer: &mut Value, state: &State, service: &Service) {
    let mut usable = Vec::new();
    for session in state.sessions() {
        for server in session.servers_of(&service.name) {
            if !state.is_drained(session, server) {
                usable.push(format!("{} of host {}", server.address, session.open.host));
            }
        }
    }
    answer["a_call_now"] = match usable.as_slice() {
        [] => json!("waits for a server, then ends as not-run with no-server"),
        servers => json!(format!("runs on one of {} servers", servers.len())),
    };
    answer["servers"] = json!(usable);
}

/// Parses the query part of a URI. Unknown parameters are ignored.
fn parse_query(text: &str) -> ExplainQuery {
    let mut query = ExplainQuery::default();
    for pair in text.split('&') {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let value = percent_decode_str(value).decode_utf8_lossy().into_owned();
        match name {
            "service" => query.service = value,
            "key" => query.key = value,
            "method" => query.method = value,
            "path" => query.path = value,
            _ => {}
        }
    }
    query
}
