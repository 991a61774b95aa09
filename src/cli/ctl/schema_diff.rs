use serde_json::Value;

/// Field that identifies the entries of a list, if all of them have it.
const NAME_FIELD: &str = "name";

/// One difference between two schema files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Path of the field, e.g. `services[ucty].park_ms`.
    pub path: String,
    /// Value in the first file, or `None` if only the second file has the field.
    pub old: Option<Value>,
    /// Value in the second file, or `None` if only the first file has the field.
    pub new: Option<Value>,
}

/// Returns all differences. At each level, the fields and entries of `old` come first, then those that only `new`
/// has. Lists whose entries all have names are matched by name, so reordering them makes no difference.
pub fn differences(old: &Value, new: &Value) -> Vec<Difference> {
    let mut out = Vec::new();
    compare("", Some(old), Some(new), &mut out);
    out
}

fn compare(path: &str, old: Option<&Value>, new: Option<&Value>, out: &mut Vec<Difference>) {
    match (old, new) {
        (Some(old), Some(new)) if old == new => {}
        (Some(Value::Object(a)), Some(Value::Object(b))) => {
            let added = b.keys().filter(|key| !a.contains_key(*key));
            for key in a.keys().chain(added) {
                compare(&field_path(path, key), a.get(key), b.get(key), out);
            }
        }
        (Some(Value::Array(a)), Some(Value::Array(b))) if are_named(a) && are_named(b) => {
            let added = b.iter().filter(|entry| by_name(a, name(entry)).is_none());
            for entry in a.iter().chain(added) {
                let name = name(entry);
                let path = format!("{path}[{}]", name.unwrap_or_default());
                compare(&path, by_name(a, name), by_name(b, name), out);
            }
        }
        (old, new) => out.push(Difference {
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
