use std::fmt::Write as _;

/// One field of a message of a `.proto` file.
#[derive(Debug)]
struct Field {
    name: String,
    declared_type: String,
    comment: String,
}

/// One message with the comment above it.
#[derive(Debug)]
struct Message {
    name: String,
    comment: String,
    fields: Vec<Field>,
}

/// Returns a Markdown page with a table for each message of a `.proto` file, in the order of the file.
pub fn reference_page(title: &str, intro: &str, proto: &str) -> String {
    let mut page = format!("# {title}\n\n{intro}\n");
    for message in parse_messages(proto) {
        let _ = write!(page, "\n## {}\n\n{}\n\n", message.name, message.comment);
        page.push_str("| field | type | meaning |\n|---|---|---|\n");
        for field in &message.fields {
            let _ = writeln!(
                page,
                "| `{}` | {} | {} |",
                field.name, field.declared_type, field.comment
            );
        }
    }
    page
}

fn parse_messages(proto: &str) -> Vec<Message> {
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
        } else if let (Some(message), Some(field)) = (messages.last_mut(), parse_field(line, comment)) {
            message.fields.push(field);
        }
    }
    messages
}

/// Parses the declaration of a field, e.g. `optional uint32 renew_ms = 2;`.
fn parse_field(line: &str, comment: String) -> Option<Field> {
    let (declaration, _) = line.strip_suffix(';')?.split_once(" = ")?;
    let (declared_type, name) = declaration.rsplit_once(' ')?;
    Some(Field {
        name: name.to_owned(),
        declared_type: type_name(declared_type),
        comment: comment.replace('|', "\\|"),
    })
}

fn type_name(declared_type: &str) -> String {
    let (prefix, name) = match declared_type.split_once(' ') {
        Some(("repeated", name)) => ("list of ", name),
        Some(("optional", name)) => ("optional ", name),
        _ => ("", declared_type),
    };
    let name = match name {
        "string" => "text".to_owned(),
        "bool" => "true or false".to_owned(),
        "uint32" | "uint64" => "whole number".to_owned(),
        message => format!("[{message}](#{})", message.to_lowercase()),
    };
    format!("{prefix}{name}")
}
