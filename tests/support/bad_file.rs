//! Runs a program on files with one invalid field each.

use {serde_json::Value, std::process::Command};

/// Name of the case, JSON pointer of the field, its invalid value as JSON (`null` removes the field), and the start
/// of the error line after the name of the file.
pub type BadFile<'a> = (&'a str, &'a str, &'a str, &'a str);

/// Exit code of a program that refuses its input file.
const BAD_INPUT: i32 = 2;

/// Runs every case, and checks the exit code and the single error line.
pub fn check_cases(good: &Value, cases: &[BadFile], command: impl Fn(&str) -> Command) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("bad.json");
    let file = path.to_str().unwrap();
    for (name, pointer, value, expected) in cases {
        std::fs::write(&path, with_field(good, pointer, value).to_string()).unwrap();
        let line = error_line(&mut command(file));
        let start = format!("error: {file}: {expected}");
        assert!(
            line.starts_with(&start),
            "{name}: {line:?} does not start with {start:?}"
        );
    }
}

/// Runs a command that must fail with a single error line, and returns this line.
pub fn error_line(command: &mut Command) -> String {
    let output = command.output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(BAD_INPUT), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(output.stdout.is_empty());
    text
}

/// Returns `good` with one field replaced or removed.
fn with_field(good: &Value, pointer: &str, value: &str) -> Value {
    let mut file = good.clone();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    let value: Value = serde_json::from_str(value).unwrap();
    match file.pointer_mut(parent).unwrap() {
        Value::Object(map) if value.is_null() => drop(map.remove(field)),
        Value::Object(map) => drop(map.insert(field.to_owned(), value)),
        Value::Array(list) => list[field.parse::<usize>().unwrap()] = value,
        other => panic!("{pointer}: {other} has no fields"),
    }
    file
}
