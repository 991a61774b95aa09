use serde_json::Value;

/// Field that tells the entries of a list apart, where they have it.
const NAME_FIELD: &str = "name";

/// One difference between two schema files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Path of the field, e.g. `services[ucty].park_ms`.
    pub path: String,
    /// Value in the first file. `None`: only the second one has it.
    pub old: Option<Value>,
    /// Value in the second file. `None`: only the first one has it.
    pub new: Option<Value>,
}

/// Returns all differences, ordered by path as they stand in the files. Entries of lists are matched by
/// their names where they have them, so that another order is no difference.
pub fn differences(old: &Value, new: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("", Some(old), Some(new), &mut found);
    found
}

fn compare(path: &str, old: Option<&Value>, new: Option<&Value>, found: &mut Vec<Difference>) {
    match (old, new) {
        (Some(old), Some(new)) if old == new => {}
        (Some(Value::Object(a)), Some(Value::Object(b))) => {
            let added = b.keys().filter(|key| !a.contains_key(*key));
            for key in a.keys().chain(added) {
                compare(&field_path(path, key), a.get(key), b.get(key), found);
            }
        }
        (Some(Value::Array(a)), Some(Value::Array(b))) if are_named(a) && are_named(b) => {
            let added = b.iter().filter(|entry| by_name(a, name(entry)).is_none());
            for entry in a.iter().chain(added) {
                let name = name(entry);
                let path = format!("{path}[{}]", name.unwrap_or_default());
                compare(&path, by_name(a, name), by_name(b, name), found);
            }
        }
        (old, new) => found.push(Difference {
            path: path.to_owned(),
            old: old.cloned(),
            new: new.cloned(),
        }),
    }
}

fn field_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn name(entry: &Value) -> Option<&str> {
    entry[NAME_FIELD].as_str()
}

fn are_named(list: &[Value]) -> bool {
    list.iter().all(|entry| name(entry).is_some())
}

fn by_name<'a>(list: &'a [Value], wanted: Option<&str>) -> Option<&'a Value> {
    list.iter().find(|entry| name(entry) == wanted)
}
