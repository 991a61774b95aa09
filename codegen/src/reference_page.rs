use std::fmt::Write as _;

/// One field of a message, as its `.proto` file has it.
#[derive(Debug)]
struct Field {
    name: String,
    kind: String,
    comment: String,
}

/// One message with the comment in front of it.
#[derive(Debug)]
struct Message {
    name: String,
    comment: String,
    fields: Vec<Field>,
}

/// Returns a page with a table for each message of a `.proto` file, in the order of the file.
pub fn reference_page(title: &str, intro: &str, proto: &str) -> String {
    let mut page = format!("# {title}\n\n{intro}\n");
    for message in messages(proto) {
        let _ = write!(page, "\n## {}\n\n{}\n\n", message.name, message.comment);
        page.push_str("| field | type | meaning |\n|---|---|---|\n");
        for field in &message.fields {
            let _ = writeln!(page, "| `{}` | {} | {} |", field.name, field.kind, field.comment);
        }
    }
    page
}

fn messages(proto: &str) -> Vec<Message> {
    let mut messages: Vec<Message> = Vec::new();
    let mut comment = String::new();
    for line in proto.lines().map(str::trim) {
        if let Some(text) = line.strip_prefix("//") {
            if !comment.is_empty() {
                comment.push(' ');
            }
            comment.push_str(text.trim());
            continue;
        }
        let comment = std::mem::take(&mut comment);
        if let Some(name) = line.strip_prefix("message ") {
            messages.push(Message {
                name: name.trim_end_matches(" {").to_owned(),
                comment,
                fields: Vec::new(),
            });
        } else if let (Some(message), Some(field)) = (messages.last_mut(), field(line, comment)) {
            message.fields.push(field);
        }
    }
    messages
}

/// Reads a line like `optional uint32 renew_ms = 2;`.
fn field(line: &str, comment: String) -> Option<Field> {
    let (declaration, _) = line.strip_suffix(';')?.split_once(" = ")?;
    let (kind, name) = declaration.rsplit_once(' ')?;
    Some(Field {
        name: name.to_owned(),
        kind: kind_text(kind),
        comment: comment.replace('|', "\\|"),
    })
}

fn kind_text(kind: &str) -> String {
    let (prefix, name) = match kind.split_once(' ') {
        Some(("repeated", name)) => ("list of ", name),
        Some(("optional", name)) => ("optional ", name),
        _ => ("", kind),
    };
    let name = match name {
        "string" => "text".to_owned(),
        "bool" => "true or false".to_owned(),
        "uint32" | "uint64" => "whole number".to_owned(),
        message => format!("[{message}](#{})", message.to_lowercase()),
    };
    format!("{prefix}{name}")
}
