//! Schemas with versions: the highest version applies, in whatever order and however often they arrive.

use clementinefold::{
    control::State,
    schema::PackedText,
    wire::control::{
        change, command_answer, operator_command, Change, CommandAnswer, OperatorCommand, VersionedSchema,
    },
};

fn schema(park_ms: u64) -> String {
    format!(
        r#"{{"cluster":"test","services":[{{"name":"s","park_ms":{park_ms}}}],"routes":[{{"name":"r","host":"one","path_prefix":"/","timeout_ms":9,"attempts":1,"targets":[{{"service":"s","weight":1}}]}}]}}"#
    )
}

/// A control state that schemas are sent to.
#[derive(Default)]
struct Fixture {
    state: State,
}

impl Fixture {
    fn replace(&mut self, version: u64, schema: String) -> CommandAnswer {
        let versioned = VersionedSchema {
            version,
            packed_source: PackedText::pack(format!("source of {version}").as_bytes())
                .as_bytes()
                .clone(),
            packed_schema: PackedText::pack(schema.as_bytes()).as_bytes().clone(),
        };
        let command = OperatorCommand {
            body: Some(operator_command::Body::ReplaceSchema(versioned)),
            ..OperatorCommand::default()
        };
        let change = Change {
            proposed_at_ms: 0,
            body: Some(change::Body::OperatorCommand(command)),
        };
        match self.state.apply(self.state.applied() + 1, &change) {
            clementinefold::control::Applied::Command(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    fn park(&self) -> u64 {
        self.state.schema().service("s").map_or(0, |s| s.park.0)
    }
}

fn accepted(answer: &CommandAnswer) -> bool {
    matches!(answer.body, Some(command_answer::Body::Accepted(_)))
}

#[test]
fn highest_version_applies() {
    let mut fixture = Fixture::default();
    let steps = [
        (7, 70, 70),
        (3, 30, 70),
        (7, 71, 70),
        (12, 120, 120),
        (11, 110, 120),
    ];
    for (version, park, expected) in steps {
        assert!(accepted(&fixture.replace(version, schema(park))), "{version}");
        assert_eq!(fixture.park(), expected, "{version}");
    }
    assert_eq!(fixture.state.schema_version(), 12);
    assert_eq!(fixture.state.schema_source().to_text().unwrap(), "source of 12");
}

#[test]
fn refused_version_changes_nothing() {
    let mut fixture = Fixture::default();
    assert!(accepted(&fixture.replace(7, schema(70))));
    let before = fixture.state.revision();
    let refused = fixture.replace(9, schema(70).replace("\"one\"", "\"\""));
    assert!(matches!(refused.body, Some(command_answer::Body::Refused(_))));
    assert_eq!(
        (fixture.state.schema_version(), fixture.state.revision()),
        (7, before)
    );
    assert!(
        accepted(&fixture.replace(8, schema(80))),
        "the refused version is not kept as the highest one"
    );
}

#[test]
fn invalid_schema_refused_at_any_version() {
    let mut fixture = Fixture::default();
    assert!(accepted(&fixture.replace(7, schema(70))));
    let before = fixture.state.clone();
    for version in [3, 7] {
        let refused = fixture.replace(version, schema(70).replace("\"one\"", "\"\""));
        assert!(
            matches!(refused.body, Some(command_answer::Body::Refused(_))),
            "{version}"
        );
        assert_eq!(fixture.state.revision(), before.revision());
        assert!(
            accepted(&fixture.replace(version, schema(70))),
            "{version} is valid"
        );
    }
}

#[test]
fn kept_in_state_image() {
    let mut fixture = Fixture::default();
    fixture.replace(7, schema(70));
    let image = State::from_image(&fixture.state.to_image()).unwrap();
    assert_eq!(image, fixture.state);
    assert_eq!(image.schema_source().to_text().unwrap(), "source of 7");
}
