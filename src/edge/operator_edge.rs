use {
    crate::{
        control::{CommandId, Revision},
        key::Key,
        wire::control::{operator_command, Drain, MoveSpan, OperatorCommand, SplitAction},
    },
    serde::{Deserialize, Serialize},
};

/// Body of a changing call of an operator.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CommandRequest {
    /// Chosen by the operator's side and kept for a resend.
    pub command_id: String,
    /// Revision that the command was made against.
    pub base: String,
    /// The schema file, for `apply`.
    pub schema: Option<serde_json::Value>,
    /// Name of the host, for `drain`, `undrain` and `move`.
    pub host: String,
    /// Address of one server of the host; empty for all, or for the one with the fewest ranges.
    pub server: String,
    /// Name of the service, for `move`.
    pub service: String,
    /// Text of the first key, for `move`.
    pub start: String,
    /// Text of the first key after the span, for `move`. `None`: no upper bound.
    pub end: Option<String>,
}

/// Reads the changing call `name` of an operator.
///
/// # Errors
/// The field at fault and what is wrong with it.
pub fn operator_command(name: &str, body: &[u8]) -> Result<OperatorCommand, String> {
    let request: CommandRequest = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let id: CommandId = request
        .command_id
        .parse()
        .map_err(|e| format!("command_id: {e}"))?;
    let base: Revision = request.base.parse().map_err(|e| format!("base: {e}"))?;
    let body = match name {
        "apply" => {
            let schema = request.schema.ok_or("schema: the schema file is needed")?;
            operator_command::Body::ApplySchema(schema.to_string())
        }
        "drain" => operator_command::Body::Drain(drain(request)),
        "undrain" => operator_command::Body::Undrain(drain(request)),
        "move" => operator_command::Body::Move(move_span(request)?),
        "split-start" => operator_command::Body::Split(SplitAction::Start.into()),
        "split-pause" => operator_command::Body::Split(SplitAction::Pause.into()),
        "split-resume" => operator_command::Body::Split(SplitAction::Resume.into()),
        "split-part" => operator_command::Body::Split(SplitAction::Part.into()),
        other => return Err(format!("{other:?} is not a command")),
    };
    Ok(OperatorCommand {
        command_id: id.to_string(),
        base: Some(base.to_wire()),
        body: Some(body),
    })
}

fn drain(request: CommandRequest) -> Drain {
    Drain {
        host: request.host,
        server: request.server,
    }
}

fn move_span(request: CommandRequest) -> Result<MoveSpan, String> {
    let start = Key::from_text(&request.start).map_err(|e| format!("start: {e}"))?;
    let end = match &request.end {
        Some(end) => Some(Key::from_text(end).map_err(|e| format!("end: {e}"))?),
        None => None,
    };
    Ok(MoveSpan {
        service: request.service,
        start: start.to_bytes(),
        end: end.map(|e| e.to_bytes()),
        to_host: request.host,
        to_server: request.server,
    })
}
