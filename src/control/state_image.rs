use {
    super::{
        answers::{Answers, Horizon},
        Departures, GuardTable, Owner, Range, RangeTable, Release, RetiredService, Revision, Session, State,
        SuspectList, Vacancy,
    },
    crate::{
        clock::Ms,
        key::Key,
        schema::{PackedText, Schema},
        wire::control::{
            OwnerImage, RangeImage, ReleaseImage, RetiredServiceImage, ServiceImage, SessionImage,
            StateImage, VacancyImage,
        },
    },
    prost::Message,
    std::sync::Arc,
};

impl State {
    /// Returns the whole state as an encoded [`StateImage`], which snapshots hold and daemons read.
    pub fn to_image(&self) -> Vec<u8> {
        let sessions = self.sessions.iter().map(|s| SessionImage {
            id: s.id,
            open: Some(s.open.clone()),
            servers: s.servers.clone(),
            servers_number: s.servers_number,
        });
        let image = StateImage {
            applied: self.applied,
            revision: Some(self.revision.to_wire()),
            schema: String::new(),
            packed_schema: self.schema_text.as_bytes().clone(),
            schema_version: self.schema_version,
            packed_source: self.schema_source.as_bytes().clone(),
            sessions: sessions.collect(),
            services: self.range_tables.iter().map(service_image).collect(),
            retired_services: self.retired_services.iter().map(retired_image).collect(),
            answered: self.answers.records().to_vec(),
            answers_horizon_ms: self.answers.horizon().made_at.0,
            answers_horizon_base: self.answers.horizon().base,
            drains: self.drains.clone(),
            guards: self.guard_tables.iter().map(GuardTable::to_image).collect(),
            suspects: self.suspects.list().to_vec(),
            departures: self.departures.list().to_vec(),
            evacuations: self.evacuations.clone(),
            split: Some(self.split),
        };
        image.encode_to_vec()
    }

    /// Returns the state of an encoded image, or `None` if the bytes are not an image with a valid schema.
    pub fn from_image(bytes: &[u8]) -> Option<Self> {
        let image = StateImage::decode(bytes).ok()?;
        let schema_text = match image.schema.as_str() {
            "" => PackedText::from_bytes(image.packed_schema),
            json => PackedText::pack(json.as_bytes()),
        };
        let schema = match schema_text.is_empty() {
            true => Schema::default(),
            false => Schema::from_json(&schema_text.to_text()?).ok()?,
        };
        let mut sessions = Vec::with_capacity(image.sessions.len());
        for session in image.sessions {
            sessions.push(Session {
                id: session.id,
                open: session.open?,
                servers: session.servers,
                servers_number: session.servers_number,
            });
        }
        let mut retired_services = Vec::with_capacity(image.retired_services.len());
        for retired in image.retired_services {
            retired_services.push(retired_from_image(retired)?);
        }
        Some(Self {
            applied: image.applied,
            revision: image
                .revision
                .as_ref()
                .map(Revision::from_wire)
                .unwrap_or_default(),
            schema: Arc::new(schema),
            schema_text,
            schema_version: image.schema_version,
            schema_source: PackedText::from_bytes(image.packed_source),
            sessions,
            range_tables: image.services.into_iter().map(service_from_image).collect(),
            retired_services,
            answers: Answers::from_records(
                image.answered,
                Horizon {
                    made_at: Ms(image.answers_horizon_ms),
                    base: image.answers_horizon_base,
                },
            ),
            drains: image.drains,
            guard_tables: image.guards.into_iter().map(GuardTable::from_image).collect(),
            suspects: SuspectList::from_list(image.suspects),
            departures: Departures::from_list(image.departures),
            evacuations: image.evacuations,
            split: image.split.unwrap_or_default(),
        })
    }
}

fn service_image(table: &RangeTable) -> ServiceImage {
    ServiceImage {
        name: table.service.clone(),
        ranges: table.ranges().iter().map(range_image).collect(),
        longest_deadline_ms: table.longest_deadline.0,
    }
}

fn service_from_image(image: ServiceImage) -> RangeTable {
    let ranges = image.ranges.into_iter().map(range_from_image).collect();
    let mut table = RangeTable::from_ranges(&image.name, ranges);
    table.longest_deadline = Ms(image.longest_deadline_ms);
    table
}

fn retired_image(retired: &RetiredService) -> RetiredServiceImage {
    RetiredServiceImage {
        retired_at: retired.retired_at,
        divided_by_key: retired.divided_by_key,
        checks_fencing: retired.checks_fencing,
        retention_ms: retired.retention.0,
        ranges: Some(service_image(&retired.ranges)),
        guards: Some(retired.guards.to_image()),
    }
}

fn retired_from_image(image: RetiredServiceImage) -> Option<RetiredService> {
    Some(RetiredService {
        retired_at: image.retired_at,
        divided_by_key: image.divided_by_key,
        checks_fencing: image.checks_fencing,
        retention: Ms(image.retention_ms),
        ranges: service_from_image(image.ranges?),
        guards: GuardTable::from_image(image.guards?),
    })
}

fn range_image(range: &Range) -> RangeImage {
    let owner = range.owner.as_ref().map(|o| OwnerImage {
        session: o.session,
        server: o.server.clone(),
        epoch: o.epoch,
        handover: o.handover.clone(),
    });
    let release = range.release.as_deref().map(|r| ReleaseImage {
        index: r.index,
        to_session: r.to_session,
        to_server: r.to_server.clone(),
        reason: r.reason.clone(),
    });
    let vacancy = range.vacancy.map(|v| VacancyImage {
        index: v.index,
        wait_ms: v.wait.0,
    });
    RangeImage {
        start: range.start.to_bytes(),
        owner,
        release,
        vacancy,
        handover: range.handover.clone(),
    }
}

fn range_from_image(image: RangeImage) -> Range {
    let owner = image.owner.map(|o| Owner {
        session: o.session,
        server: o.server,
        epoch: o.epoch,
        handover: o.handover,
    });
    let release = image.release.map(|r| Release {
        index: r.index,
        to_session: r.to_session,
        to_server: r.to_server,
        reason: r.reason,
    });
    let vacancy = image.vacancy.map(|v| Vacancy {
        index: v.index,
        wait: Ms(v.wait_ms),
    });
    Range {
        start: Key::new(image.start),
        owner,
        release: release.map(Box::new),
        vacancy,
        handover: image.handover,
    }
}
