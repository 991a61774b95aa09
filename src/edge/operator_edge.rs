use {
    crate::{
        control::{CommandId, Revision},
        key::Key,
        link::from_hex,
        schema::PackedText,
        wire::control::{operator_command, Drain, MoveSpan, OperatorCommand, SplitAction, VersionedSchema},
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
    /// Version of the schema, for `apply`; 0 for one without a version.
    #[serde(skip_serializing_if = "has_no_version")]
    pub version: u64,
    /// Name of the host, for `drain`, `undrain` and `move`.
    pub host: String,
    /// Address of one server of the host; empty for all, or for any with `move`.
    pub server: String,
    /// Name of the service, for `move`.
    pub service: String,
    /// First key of the span in its text form, for `move`; empty for the lowest key.
    pub start: String,
    /// First key after the span, for `move`; absent for no upper bound.
    pub end: Option<String>,
    /// Fingerprint of a quarantined request in hexadecimal, for `release`.
    pub fingerprint: String,
}

fn has_no_version(version: &u64) -> bool {
    *version == 0
}

fn versioned(version: u64, schema: &serde_json::Value) -> VersionedSchema {
    let text = PackedText::pack(schema.to_string().as_bytes());
    VersionedSchema {
        version,
        packed_schema: text.as_bytes().clone(),
        packed_source: text.as_bytes().clone(),
    }
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
    let drain = || Drain {
        host: request.host.clone(),
        server: request.server.clone(),
    };
    let body = match name {
        "apply" => {
            let schema = request
                .schema
                .as_ref()
                .ok_or("schema: the schema file is needed")?;
            match request.version {
                0 => operator_command::Body::ApplySchema(schema.to_string()),
                version => operator_command::Body::ReplaceSchema(versioned(version, schema)),
            }
        }
        "drain" => operator_command::Body::Drain(drain()),
        "undrain" => operator_command::Body::Undrain(drain()),
        "move" => operator_command::Body::Move(move_span(&request)?),
        "release" => {
            let fingerprint = from_hex(&request.fingerprint).filter(|bytes| !bytes.is_empty());
            let fingerprint = fingerprint.ok_or("fingerprint: hexadecimal digits are needed")?;
            operator_command::Body::ReleaseQuarantine(fingerprint.into())
        }
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

fn move_span(request: &CommandRequest) -> Result<MoveSpan, String> {
    let key = |field: &str, text: &str| Key::from_text(text).map_err(|e| format!("{field}: {e}"));
    let end = request.end.as_deref().map(|end| key("end", end)).transpose()?;
    let start = key("start", &request.start)?;
    if end.as_ref().is_some_and(|end| *end <= start) {
        return Err("end: it must be above the start".into());
    }
    Ok(MoveSpan {
        service: request.service.clone(),
        start: start.to_bytes(),
        end: end.map(|end| end.to_bytes()),
        to_host: request.host.clone(),
        to_server: request.server.clone(),
    })
}
