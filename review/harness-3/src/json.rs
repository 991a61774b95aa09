//! A small JSON reader and writer, so that the package needs no dependency.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            Json::Arr(items) => name.parse::<usize>().ok().and_then(|i| items.get(i)),
            _ => None,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }

    pub fn num(&self) -> f64 {
        match self {
            Json::Num(n) => *n,
            _ => 0.0,
        }
    }

    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = read(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn text(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(b) => b.to_string(),
            Json::Num(n) => n.to_string(),
            Json::Str(s) => quote(s),
            Json::Arr(items) => {
                let items: Vec<String> = items.iter().map(Json::text).collect();
                format!("[{}]", items.join(","))
            }
            Json::Obj(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(n, v)| format!("{}:{}", quote(n), v.text()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn quote(s: &str) -> String {
    let mut out = String::from("\"");
    for c in s.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            '\n' => out.push_str("\\n"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(|c| c.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn read(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            skip(b, at);
            if b.get(*at) == Some(&b'}') {
                *at += 1;
                return Some(Json::Obj(fields));
            }
            loop {
                skip(b, at);
                let Json::Str(name) = read(b, at)? else { return None };
                skip(b, at);
                if *b.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((name, read(b, at)?));
                skip(b, at);
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b',' => {}
                    b'}' => return Some(Json::Obj(fields)),
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            skip(b, at);
            if b.get(*at) == Some(&b']') {
                *at += 1;
                return Some(Json::Arr(items));
            }
            loop {
                items.push(read(b, at)?);
                skip(b, at);
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b',' => {}
                    b']' => return Some(Json::Arr(items)),
                    _ => return None,
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b'"' => return String::from_utf8(out).ok().map(Json::Str),
                    b'\\' => {
                        let e = *b.get(*at)?;
                        *at += 1;
                        match e {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?');
                                out.extend_from_slice(c.to_string().as_bytes());
                            }
                            e => out.push(e),
                        }
                    }
                    c => out.push(c),
                }
            }
        }
        b't' => word(b, at, "true", Json::Bool(true)),
        b'f' => word(b, at, "false", Json::Bool(false)),
        b'n' => word(b, at, "null", Json::Null),
        _ => {
            let from = *at;
            while b.get(*at).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[from..*at]).ok()?;
            text.parse().ok().map(Json::Num)
        }
    }
}

fn word(b: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    let found = b.get(*at..*at + text.len())? == text.as_bytes();
    *at += text.len();
    found.then_some(value)
}
