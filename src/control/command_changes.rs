use {
    super::{
        answers::CommandStatus, ownership_changes::key_range, CommandId, Release, Revision, Session, State,
    },
    crate::{
        control::RangeTable,
        schema::{PackedText, Schema},
        wire::control::{
            command_answer, operator_command, AnsweredCommand, CommandAnswer, Drain, MoveSpan,
            OperatorCommand, Refused, SplitAction, VersionedSchema,
        },
    },
    prost::Message,
    std::sync::Arc,
};

/// Whether an accepted command changes the revision of the configuration.
enum Effect {
    /// The configuration changes and gets a new revision.
    NewRevision,
    /// The command changes nothing, or only owners or suspects, which are not part of the configuration.
    SameRevision,
}

impl State {
    /// Decides a command and records the answer. A resend gets the recorded answer and changes nothing.
    pub(super) fn operator_command(
        &mut self,
        index: u64,
        now_ms: u64,
        command: &OperatorCommand,
    ) -> CommandAnswer {
        if let Some(operator_command::Body::ReplaceSchema(versioned)) = &command.body {
            return self.replace_schema(index, versioned, command);
        }
        if command.command_id.is_empty() && is_evacuation(command) {
            return self.decide_command(index, command);
        }
        let id: CommandId = match command.command_id.parse() {
            Ok(id) => id,
            Err(e) => return refused_answer(&format!("{e}"), "command_id"),
        };
        let base = command.base.as_ref().map_or(0, |base| base.index);
        match self.answers.look_up(&id, base, self.revision.index) {
            CommandStatus::Answered(answer) => return answer,
            CommandStatus::TooOld => {
                return refused_answer("the command is too old to be decided", "command_id")
            }
            CommandStatus::TableFull => {
                return refused_answer("too many commands since the last change of the configuration", "");
            }
            CommandStatus::New => {}
        }
        let answer = self.decide_command(index, command);
        let record = AnsweredCommand {
            command_id: id.to_string(),
            answer: Some(answer.clone()),
            at_ms: now_ms,
            base,
        };
        self.answers.record(record, self.revision.index);
        answer
    }

    fn decide_command(&mut self, index: u64, command: &OperatorCommand) -> CommandAnswer {
        let base = command.base.as_ref().map(Revision::from_wire).unwrap_or_default();
        // An evacuation must take effect whatever other operators change at the same time.
        if base != self.revision && !is_evacuation(command) {
            return answer(command_answer::Body::Conflict(self.revision.to_wire()));
        }
        let result = match &command.body {
            Some(operator_command::Body::ApplySchema(json)) => {
                self.apply_schema(index, PackedText::pack(json.as_bytes()))
            }
            Some(operator_command::Body::Drain(drain)) => self.add_drain(drain),
            Some(operator_command::Body::Undrain(drain)) => self.remove_drain(drain),
            Some(operator_command::Body::Move(span)) => self.move_span(index, span),
            Some(operator_command::Body::ReleaseQuarantine(fingerprint)) => {
                self.release_quarantine(fingerprint)
            }
            Some(operator_command::Body::Split(action)) => self.split_command(index, *action),
            Some(operator_command::Body::StartEvacuation(domain)) => self.evacuate(index, domain),
            Some(operator_command::Body::EndEvacuation(domain)) => {
                Ok(effect_of(self.end_evacuation(index, domain)))
            }
            Some(operator_command::Body::ReplaceSchema(_) | operator_command::Body::PatchSchema(_))
            | None => Err(refused("the command is not known", "")),
        };
        match result {
            Ok(effect) => {
                if matches!(effect, Effect::NewRevision) {
                    self.revision = self.revision.next(index, &command.encode_to_vec());
                }
                answer(command_answer::Body::Accepted(self.revision.to_wire()))
            }
            Err(refused) => answer(command_answer::Body::Refused(refused)),
        }
    }

    /// Replaces the schema if the version is above the one in force. An equal or lower version changes nothing and
    /// is accepted if its schema is valid, so a resend needs no recorded answer.
    fn replace_schema(
        &mut self,
        index: u64,
        versioned: &VersionedSchema,
        command: &OperatorCommand,
    ) -> CommandAnswer {
        let text = PackedText::from_bytes(versioned.packed_schema.clone());
        let is_newer = versioned.version > self.schema_version;
        let checked = match is_newer {
            true => self.apply_schema(index, text).map(drop),
            false => read_schema(&text).map(drop),
        };
        if let Err(refused) = checked {
            return answer(command_answer::Body::Refused(refused));
        }
        if is_newer {
            self.schema_version = versioned.version;
            self.schema_source = PackedText::from_bytes(versioned.packed_source.clone());
            self.revision = self.revision.next(index, &command.encode_to_vec());
        }
        answer(command_answer::Body::Accepted(self.revision.to_wire()))
    }

    /// Puts a schema in force. A service that stays divided by key, or was before, keeps its ranges and owners; the
    /// boundaries in the schema apply only to a service that is newly divided.
    fn apply_schema(&mut self, index: u64, text: PackedText) -> Result<Effect, Refused> {
        let schema = read_schema(&text)?;
        if !self.schema.cluster.is_empty() && schema.cluster != self.schema.cluster {
            return Err(refused("the schema is for another cluster", "cluster"));
        }
        if self.is_split_fixed() && schema.split != self.schema.split {
            return Err(refused("the split has been started and stays as it is", "split"));
        }
        self.update_tables(index, &schema);
        for service in schema.services.iter().filter(|s| s.divided_by_key) {
            if let Some(table) = self.table_mut(&service.name) {
                let longest = service.longest_deadline().max(schema.longest_timeout);
                table.longest_deadline = table.longest_deadline.max(longest);
            }
        }
        self.schema = Arc::new(schema);
        self.schema_text = text;
        self.schema_source = PackedText::default();
        Ok(Effect::NewRevision)
    }

    fn release_quarantine(&mut self, fingerprint: &bytes::Bytes) -> Result<Effect, Refused> {
        if self.suspects.clear(std::slice::from_ref(fingerprint), true) == 0 {
            return Err(refused("no such request is quarantined", "fingerprint"));
        }
        Ok(Effect::SameRevision)
    }

    fn split_command(&mut self, index: u64, action: i32) -> Result<Effect, Refused> {
        let action = SplitAction::try_from(action).unwrap_or_default();
        match self.split_action(index, action) {
            Ok(()) => Ok(Effect::NewRevision),
            Err(e) => Err(refused(&e.to_string(), "split")),
        }
    }

    fn add_drain(&mut self, drain: &Drain) -> Result<Effect, Refused> {
        if self.session_of_host(&drain.host).is_none() {
            return Err(refused("no such host has a session", "host"));
        }
        if !self.drains.contains(drain) {
            self.drains.push(drain.clone());
        }
        Ok(Effect::NewRevision)
    }

    fn remove_drain(&mut self, drain: &Drain) -> Result<Effect, Refused> {
        let count = self.drains.len();
        self.drains.retain(|d| d != drain);
        if self.drains.len() == count {
            return Err(refused("this host or server is not being drained", "host"));
        }
        Ok(Effect::NewRevision)
    }

    fn evacuate(&mut self, index: u64, failure_domain: &str) -> Result<Effect, Refused> {
        if failure_domain.is_empty() {
            return Err(refused("a failure domain is needed", "failure_domain"));
        }
        match self.start_evacuation(index, failure_domain) {
            Some(is_new) => Ok(effect_of(is_new)),
            None => Err(refused(
                "too many failure domains were evacuated",
                "failure_domain",
            )),
        }
    }

    /// Starts the planned moves of all ranges within a span to one server.
    fn move_span(&mut self, index: u64, req: &MoveSpan) -> Result<Effect, Refused> {
        let Some(table) = self.table(&req.service) else {
            return Err(refused("no such service is divided by key", "service"));
        };
        let span = key_range(&req.start, req.end.as_ref());
        if span.is_empty() {
            return Err(refused("the span holds no key", "end"));
        }
        if table.overlapping(&span).any(|(_, range)| range.release.is_some()) {
            return Err(refused("a part of the span is moving already", "start"));
        }
        let session = self
            .session_of_host(&req.to_host)
            .ok_or_else(|| refused("no such host has a session", "to_host"))?;
        let to_session = session.id;
        if !self.split_allows(&req.service, &span, to_session) {
            return Err(refused("the span belongs to the other half", "to_host"));
        }
        let to_server = self
            .move_target(session, table, req)
            .ok_or_else(|| refused("the host has no such server that takes ranges", "to_server"))?;
        let Some(table) = self.table_mut(&req.service) else {
            return Err(refused("no such service is divided by key", "service"));
        };
        for position in table.isolate(&span) {
            let range = table.range_mut(position);
            let is_target = |o: &super::Owner| o.session == to_session && o.server == to_server;
            if !range.owner.as_ref().is_some_and(is_target) {
                range.release = Some(Box::new(Release {
                    index,
                    to_session,
                    to_server: to_server.clone(),
                    reason: "an operator moves it".into(),
                }));
            }
        }
        Ok(Effect::SameRevision)
    }

    /// Returns the address of the requested server, or of the host's server with the fewest ranges if the request
    /// names none. Servers that are being drained are left out.
    fn move_target(&self, session: &Session, table: &RangeTable, req: &MoveSpan) -> Option<String> {
        let candidates = session.servers.iter().filter(|server| {
            let is_requested = req.to_server.is_empty() || req.to_server == server.address;
            server.service == req.service && is_requested && !self.is_drained(session, server)
        });
        let range_count = |address: &str| {
            let owned = table.ranges().iter().filter(|range| {
                let is_owner = |o: &super::Owner| o.session == session.id && o.server == address;
                range.owner.as_ref().is_some_and(is_owner)
            });
            owned.count()
        };
        let target = candidates.min_by_key(|server| range_count(&server.address))?;
        Some(target.address.clone())
    }
}

/// Returns whether a command starts or ends an evacuation. Such a command may be sent without a command id, because a
/// repeat changes nothing.
fn is_evacuation(command: &OperatorCommand) -> bool {
    matches!(
        command.body,
        Some(operator_command::Body::StartEvacuation(_) | operator_command::Body::EndEvacuation(_))
    )
}

fn effect_of(is_changed: bool) -> Effect {
    match is_changed {
        true => Effect::NewRevision,
        false => Effect::SameRevision,
    }
}

fn read_schema(text: &PackedText) -> Result<Schema, Refused> {
    let json = text.to_text();
    let json = json.ok_or_else(|| refused("the schema cannot be unpacked", ""))?;
    Schema::from_json(&json).map_err(|e| refused(&e.to_string(), ""))
}

fn answer(body: command_answer::Body) -> CommandAnswer {
    CommandAnswer { body: Some(body) }
}

fn refused_answer(reason: &str, field: &str) -> CommandAnswer {
    answer(command_answer::Body::Refused(refused(reason, field)))
}

fn refused(reason: &str, field: &str) -> Refused {
    Refused {
        reason: reason.to_owned(),
        field: field.to_owned(),
    }
}
