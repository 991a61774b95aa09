//! Reads the JSON of the answers to heartbeats.

/// A value. Of an object, the fields are kept in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Self>),
    Object(Vec<(String, Self)>),
}

impl Value {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut rest = text;
        let value = value(&mut rest)?;
        skip_spaces(&mut rest);
        rest.is_empty().then_some(value)
    }

    pub fn field(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.iter().find(|(known, _)| known == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }
}

fn skip_spaces(rest: &mut &[u8]) {
    *rest = rest.trim_ascii_start();
}

fn take(rest: &mut &[u8], expected: &[u8]) -> Option<()> {
    skip_spaces(rest);
    *rest = rest.strip_prefix(expected)?;
    Some(())
}

fn value(rest: &mut &[u8]) -> Option<Value> {
    skip_spaces(rest);
    match rest.first()? {
        b'{' => {
            take(rest, b"{")?;
            let mut fields = Vec::new();
            if take(rest, b"}").is_some() {
                return Some(Value::Object(fields));
            }
            loop {
                skip_spaces(rest);
                let name = text(rest)?;
                take(rest, b":")?;
                fields.push((name, value(rest)?));
                if take(rest, b",").is_none() {
                    take(rest, b"}")?;
                    return Some(Value::Object(fields));
                }
            }
        }
        b'[' => {
            take(rest, b"[")?;
            let mut items = Vec::new();
            if take(rest, b"]").is_some() {
                return Some(Value::List(items));
            }
            loop {
                items.push(value(rest)?);
                if take(rest, b",").is_none() {
                    take(rest, b"]")?;
                    return Some(Value::List(items));
                }
            }
        }
        b'"' => text(rest).map(Value::Text),
        b't' => take(rest, b"true").map(|()| Value::Bool(true)),
        b'f' => take(rest, b"false").map(|()| Value::Bool(false)),
        b'n' => take(rest, b"null").map(|()| Value::Null),
        _ => {
            let end = rest.iter().position(|b| !b"+-.eE0123456789".contains(b)).unwrap_or(rest.len());
            let (number, left) = rest.split_at(end);
            *rest = left;
            std::str::from_utf8(number).ok()?.parse().ok().map(Value::Number)
        }
    }
}

/// Reads a text without escapes, which these answers do not use.
fn text(rest: &mut &[u8]) -> Option<String> {
    *rest = rest.strip_prefix(b"\"")?;
    let end = rest.iter().position(|b| *b == b'"')?;
    let (text, left) = rest.split_at(end);
    *rest = &left[1..];
    String::from_utf8(text.to_vec()).ok()
}
