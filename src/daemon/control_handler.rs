use {
    super::daemon_cx::DaemonCx,
    crate::{
        edge::{self, HttpResponse},
        wire::peer::{
            frame::Body, members_request::Change, ControlMember, MembersAnswer, MembersRequest, ReplaceMember,
        },
    },
    http::StatusCode,
    serde_json::{json, Value},
};

impl DaemonCx {
    /// Serves the operators' `control` requests, which list the control hosts of the cell or change one of them.
    pub async fn control(&self, body: &[u8]) -> HttpResponse {
        let change = match body {
            [] => None,
            body => match members_change(body) {
                Ok(change) => Some(change),
                Err(reason) => return refused(StatusCode::BAD_REQUEST, reason),
            },
        };
        let request = Body::MembersRequest(MembersRequest { change });
        match self.ask_control(request).await {
            Ok(Body::MembersAnswer(answer)) if answer.refused.is_empty() => {
                edge::json_response(StatusCode::OK, &members_json(&answer))
            }
            Ok(Body::MembersAnswer(answer)) => refused(StatusCode::UNPROCESSABLE_ENTITY, &answer.refused),
            Ok(_) | Err(_) => {
                let json = json!({ "unavailable": "no control host leads, or its answer was lost" });
                edge::json_response(StatusCode::SERVICE_UNAVAILABLE, &json)
            }
        }
    }
}

fn refused(status: StatusCode, reason: &str) -> HttpResponse {
    edge::json_response(status, &json!({ "refused": { "reason": reason, "field": "" } }))
}

/// Parses `{"add": ADDRESS}`, `{"remove": ID}` or `{"replace": {"old": ID, "new": ADDRESS}}`.
fn members_change(body: &[u8]) -> Result<Change, &'static str> {
    let json: Value = serde_json::from_slice(body).map_err(|_| "the body is not JSON")?;
    if let Some(address) = json["add"].as_str() {
        return Ok(Change::Add(address.to_owned()));
    }
    if let Some(id) = json["remove"].as_str() {
        return Ok(Change::Remove(member_id(id)?));
    }
    let replace = &json["replace"];
    match (replace["old"].as_str(), replace["new"].as_str()) {
        (Some(old), Some(new)) => Ok(Change::Replace(ReplaceMember {
            old: member_id(old)?,
            new: new.to_owned(),
        })),
        _ => Err("add, remove or replace is needed"),
    }
}

fn member_id(text: &str) -> Result<u64, &'static str> {
    u64::from_str_radix(text, 16).map_err(|_| "a member is named by 16 hexadecimal digits")
}

fn members_json(answer: &MembersAnswer) -> Value {
    let member = |m: &ControlMember| {
        json!({
            "id": format!("{:016x}", m.id),
            "address": m.address,
            "role": m.role,
            "lag": m.lag,
            "silent_ms": m.silent_ms,
        })
    };
    let members: Vec<Value> = answer.members.iter().map(member).collect();
    json!({ "term": answer.term, "members": members })
}
