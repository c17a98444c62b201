//! A small JSON reader and writer.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// A number, a boolean or null, as written.
    Raw(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(all) => {
                all.iter().find(|(k, _)| k == key).map(|(_, v)| v)
            }
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Raw(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Raw(text) => write!(f, "{text}"),
            Json::Text(text) => quote(f, text),
            Json::List(all) => {
                write!(f, "[")?;
                for (at, item) in all.iter().enumerate() {
                    let comma = if at > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                write!(f, "]")
            }
            Json::Table(all) => {
                write!(f, "{{")?;
                for (at, (key, item)) in all.iter().enumerate() {
                    let comma = if at > 0 { "," } else { "" };
                    write!(f, "{comma}")?;
                    quote(f, key)?;
                    write!(f, ":{item}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn quote(f: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    write!(f, "\"")?;
    for c in text.chars() {
        match c {
            '"' => write!(f, "\\\"")?,
            '\\' => write!(f, "\\\\")?,
            c if (c as u32) < 32 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    write!(f, "\"")
}

fn skip(c: &[char], at: &mut usize) {
    while c.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(c: &[char], at: &mut usize) -> Option<Json> {
    skip(c, at);
    match c.get(*at)? {
        '"' => text(c, at).map(Json::Text),
        '[' => {
            *at += 1;
            let mut all = Vec::new();
            loop {
                skip(c, at);
                match c.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(all));
                    }
                    ',' => *at += 1,
                    _ => all.push(value(c, at)?),
                }
            }
        }
        '{' => {
            *at += 1;
            let mut all = Vec::new();
            loop {
                skip(c, at);
                match c.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(all));
                    }
                    ',' => *at += 1,
                    _ => {
                        let key = text(c, at)?;
                        skip(c, at);
                        if *c.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        all.push((key, value(c, at)?));
                    }
                }
            }
        }
        _ => {
            let from = *at;
            while c.get(*at).is_some_and(|c| {
                !c.is_whitespace() && !matches!(c, ',' | ']' | '}')
            }) {
                *at += 1;
            }
            Some(Json::Raw(c[from..*at].iter().collect()))
        }
    }
}

fn text(c: &[char], at: &mut usize) -> Option<String> {
    if *c.get(*at)? != '"' {
        return None;
    }
    *at += 1;
    let mut out = String::new();
    loop {
        let next = *c.get(*at)?;
        *at += 1;
        match next {
            '"' => return Some(out),
            '\\' => {
                let escaped = *c.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'u' => {
                        let hex: String =
                            c.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        let code = u32::from_str_radix(&hex, 16).ok()?;
                        out.push(char::from_u32(code).unwrap_or('?'));
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}
