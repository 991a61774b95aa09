//! Renders the settings template of the deploy file as DEPLOY.md describes it.

use crate::json::Json;

struct Scope<'a> {
    value: &'a Json,
    key: String,
    is_last: bool,
}

/// Renders `template` with the fields of `values`, whose tables count as one.
pub fn render(template: &str, values: &Json) -> String {
    let mut flat = Vec::new();
    if let Json::Obj(tables) = values {
        for (_, table) in tables {
            if let Json::Obj(fields) = table {
                flat.extend(fields.iter().cloned());
            }
        }
    }
    let flat = Json::Obj(flat);
    let root = Scope {
        value: &flat,
        key: String::new(),
        is_last: true,
    };
    render_part(template, &[root])
}

fn lookup<'a>(scopes: &[Scope<'a>], name: &str) -> Option<&'a Json> {
    if name == "." {
        return scopes.last().map(|s| s.value);
    }
    let found = scopes.iter().rev().find_map(|scope| {
        let mut value = scope.value;
        for part in name.split('.') {
            value = value.get(part)?;
        }
        Some(value)
    });
    found.filter(|v| !matches!(v, Json::Null))
}

fn render_part(template: &str, scopes: &[Scope<'_>]) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(open) = rest.find("{{") {
        out.push_str(&rest[..open]);
        let close = open + rest[open..].find("}}").expect("a placeholder is closed");
        let tag = &rest[open + 2..close];
        rest = &rest[close + 2..];
        if let Some(name) = tag.strip_prefix(['#', '^']) {
            let end_tag = format!("{{{{/{name}}}}}");
            let end = rest.find(&end_tag).expect("a section is closed");
            let (body, after) = (&rest[..end], &rest[end + end_tag.len()..]);
            rest = after;
            let value = lookup(scopes, name).filter(|v| !matches!(v, Json::Bool(false)));
            if tag.starts_with('^') {
                if value.is_none() {
                    out.push_str(&render_part(body, scopes));
                }
                continue;
            }
            let Some(value) = value else { continue };
            let entries: Vec<(String, &Json)> = match value {
                Json::Arr(items) => items.iter().enumerate().map(|(i, v)| (i.to_string(), v)).collect(),
                Json::Obj(fields) => fields.iter().map(|(n, v)| (n.clone(), v)).collect(),
                other => vec![(String::new(), other)],
            };
            let count = entries.len();
            for (i, (key, value)) in entries.into_iter().enumerate() {
                let mut inner: Vec<Scope<'_>> = scopes
                    .iter()
                    .map(|s| Scope {
                        value: s.value,
                        key: s.key.clone(),
                        is_last: s.is_last,
                    })
                    .collect();
                inner.push(Scope {
                    value,
                    key,
                    is_last: i + 1 == count,
                });
                out.push_str(&render_part(body, &inner));
            }
            continue;
        }
        match tag {
            "@" => out.push_str(&scopes.last().map(|s| s.key.clone()).unwrap_or_default()),
            "," => {
                if scopes.last().is_some_and(|s| !s.is_last) {
                    out.push(',');
                }
            }
            _ => {
                let (name, as_json) = match tag.strip_suffix("|json") {
                    Some(name) => (name, true),
                    None => (tag, false),
                };
                match lookup(scopes, name) {
                    Some(value) if as_json => out.push_str(&value.text()),
                    Some(Json::Str(s)) => out.push_str(s),
                    Some(value) => out.push_str(&value.text()),
                    None if as_json => out.push_str("null"),
                    None => {}
                }
            }
        }
    }
    out.push_str(rest);
    out
}
