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

/// Body of an operator's command.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CommandRequest {
    /// Id of the command, chosen by the operator's tool. A resend has the same id.
    pub command_id: String,
    /// Revision that the command is based on.
    pub base: String,
    /// The schema file, for `apply`.
    pub schema: Option<serde_json::Value>,
    /// Version of the schema, for `apply`. Zero means that it has none.
    #[serde(skip_serializing_if = "has_no_version")]
    pub version: u64,
    /// Name of the host, for `drain`, `undrain` and `move`.
    pub host: String,
    /// Address of one server of the host. If empty, `drain` and `undrain` take all servers, and `move` any one.
    pub server: String,
    /// Name of the service, for `move`.
    pub service: String,
    /// First key of the span in its text form, for `move`. Empty means the lowest key.
    pub start: String,
    /// First key after the span, for `move`. If absent, the span has no upper bound.
    pub end: Option<String>,
    /// Name of the failure domain, for `evacuate-start` and `evacuate-finish`.
    pub failure_domain: String,
    /// Fingerprint of the quarantined request in hexadecimal, for `release`.
    pub fingerprint: String,
}

fn has_no_version(version: &u64) -> bool {
    *version == 0
}

fn versioned_schema(version: u64, schema: &serde_json::Value) -> VersionedSchema {
    let text = PackedText::pack(schema.to_string().as_bytes());
    VersionedSchema {
        version,
        packed_schema: text.as_bytes().clone(),
        packed_source: text.as_bytes().clone(),
    }
}

/// Reads the operator's command `name` from the body of its request.
///
/// # Errors
/// Returns the invalid field and what is wrong with it.
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
                version => operator_command::Body::ReplaceSchema(versioned_schema(version, schema)),
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
        "evacuate-start" => operator_command::Body::StartEvacuation(request.failure_domain.clone()),
        "evacuate-finish" => operator_command::Body::EndEvacuation(request.failure_domain.clone()),
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
    let parse_key = |field: &str, text: &str| Key::from_text(text).map_err(|e| format!("{field}: {e}"));
    let end = request
        .end
        .as_deref()
        .map(|end| parse_key("end", end))
        .transpose()?;
    let start = parse_key("start", &request.start)?;
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
