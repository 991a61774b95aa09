use {
    super::{Applied, Revision, State},
    crate::{
        schema::PackedText,
        wire::control::{
            change, command_answer, operator_command, Change, OperatorCommand, SchemaPatch, TextPatch,
            VersionedSchema,
        },
    },
    bytes::Bytes,
};

/// The schema before a change. Daemons hold this schema when they receive the change.
pub(super) struct PatchBase {
    revision: Revision,
    schema: PackedText,
    source: PackedText,
}

impl PatchBase {
    /// Returns the schema in force in `state`.
    pub fn of(state: &State) -> Self {
        Self {
            revision: state.revision,
            schema: state.schema_text.clone(),
            source: state.schema_source.clone(),
        }
    }

    /// Returns a change with the effect of `change` in fewer bytes. `state` is the state after the change.
    ///
    /// A whole schema with many routes takes seconds over a saturated link, and most changes affect only a few
    /// routes.
    pub fn shrink(&self, change: Change, state: &State) -> Change {
        let Some(change::Body::OperatorCommand(command)) = &change.body else {
            return change;
        };
        let is_revised = state.revision != self.revision;
        let body = match &command.body {
            Some(operator_command::Body::ReplaceSchema(versioned)) if !is_revised => {
                // A superseded or refused version changes nothing, so it is sent without its texts.
                operator_command::Body::ReplaceSchema(VersionedSchema {
                    version: versioned.version,
                    ..VersionedSchema::default()
                })
            }
            Some(operator_command::Body::ReplaceSchema(versioned)) => self.patch(versioned.version, state),
            Some(operator_command::Body::ApplySchema(_)) if is_revised => self.patch(0, state),
            _ => return change,
        };
        Change {
            body: Some(change::Body::OperatorCommand(OperatorCommand {
                body: Some(body),
                ..command.clone()
            })),
            ..change
        }
    }

    /// Returns the patch that turns the texts of this schema into those in `state`.
    fn patch(&self, version: u64, state: &State) -> operator_command::Body {
        operator_command::Body::PatchSchema(SchemaPatch {
            version,
            base: Some(self.revision.to_wire()),
            revision: Some(state.revision.to_wire()),
            schema: Some(text_patch(&self.schema, &state.schema_text)),
            source: Some(text_patch(&self.source, &state.schema_source)),
        })
    }
}

/// Returns whether a change is a patch of the schema.
pub(super) fn is_patch(change: &Change) -> bool {
    let Some(change::Body::OperatorCommand(command)) = &change.body else {
        return false;
    };
    matches!(command.body, Some(operator_command::Body::PatchSchema(_)))
}

/// Returns whether a change puts another schema in force. A superseded or refused version has no texts.
pub(super) fn replaces_schema(change: &Change) -> bool {
    let Some(change::Body::OperatorCommand(command)) = &change.body else {
        return false;
    };
    match &command.body {
        Some(operator_command::Body::ReplaceSchema(versioned)) => !versioned.packed_schema.is_empty(),
        Some(operator_command::Body::ApplySchema(_) | operator_command::Body::PatchSchema(_)) => true,
        _ => false,
    }
}

/// Removes the operator's source text from a patch.
pub(super) fn strip_source(change: &mut Change) {
    if let Some(change::Body::OperatorCommand(command)) = &mut change.body {
        if let Some(operator_command::Body::PatchSchema(patch)) = &mut command.body {
            patch.source = None;
        }
    }
}

impl State {
    /// Applies a change of the schema that was received as a patch. Does nothing if the patch is for another
    /// schema.
    pub(super) fn apply_patch(
        &mut self,
        index: u64,
        now_ms: u64,
        command: &OperatorCommand,
        patch: &SchemaPatch,
    ) -> Applied {
        let base = patch.base.as_ref().map(Revision::from_wire);
        if base != Some(self.revision) {
            return Applied::PatchBaseMismatch;
        }
        let Some(body) = self.whole_body(patch) else {
            return Applied::PatchBaseMismatch;
        };
        self.applied = index;
        let whole = OperatorCommand {
            body: Some(body),
            ..command.clone()
        };
        let mut answer = self.operator_command(index, now_ms, &whole);
        if let (Some(command_answer::Body::Accepted(accepted)), Some(revision)) =
            (&mut answer.body, &patch.revision)
        {
            // The digest covers the compressed bytes, and another build may compress the same text to other bytes.
            self.revision = Revision::from_wire(revision);
            accepted.clone_from(revision);
        }
        Applied::Command(answer)
    }

    /// Returns the command with the whole schema, or `None` if the patch is for another schema.
    fn whole_body(&self, patch: &SchemaPatch) -> Option<operator_command::Body> {
        let schema = patch.schema.as_ref()?.apply(&self.schema_text.unpack()?)?;
        if patch.version == 0 {
            return Some(operator_command::Body::ApplySchema(
                String::from_utf8(schema).ok()?,
            ));
        }
        let packed_source = match &patch.source {
            Some(source) => pack(&source.apply(&self.schema_source.unpack()?)?),
            None => Bytes::new(),
        };
        Some(operator_command::Body::ReplaceSchema(VersionedSchema {
            version: patch.version,
            packed_schema: pack(&schema),
            packed_source,
        }))
    }
}

fn text_patch(old: &PackedText, new: &PackedText) -> TextPatch {
    // Both were accepted, so they can be unpacked.
    let (old, new) = (old.unpack().unwrap_or_default(), new.unpack().unwrap_or_default());
    TextPatch::between(&old, &new)
}

fn pack(text: &[u8]) -> Bytes {
    PackedText::pack(text).as_bytes().clone()
}
