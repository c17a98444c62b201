//! Decodes requests: table-driven cases, and a fuzz test against a reference
//! parser that sees all bytes at once.

use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};
use serde::Deserialize;
use walnutmoor::http1::{Decoder, Error, Event};

/// Maximum size of a request head in these tests.
const MAX_HEAD_BYTES: usize = 160;

/// Default number of fuzz cases; `WALNUTMOOR_CASES` overrides it.
const CASES: u64 = 20_000;

#[derive(Deserialize)]
struct Case {
    name: String,
    bytes: String,
    reads: Vec<String>,
}

fn cases() -> Vec<Case> {
    let text = include_str!("../testdata/http1/requests.yaml");
    serde_saphyr::from_str(text).unwrap()
}

/// Feeds the pieces one after the other and describes the decoded requests.
fn read(pieces: &[&[u8]]) -> Vec<String> {
    let mut decoder = Decoder::new(MAX_HEAD_BYTES);
    let mut reads = Vec::new();
    let mut line = String::new();
    let mut closes = false;
    for piece in pieces {
        decoder.feed(piece);
        loop {
            match decoder.next() {
                Ok(None) => break,
                Ok(Some(Event::Head(head))) => {
                    line = format!("{} {} ", head.method, head.uri);
                    closes = head.closes;
                }
                Ok(Some(Event::Data(data))) => {
                    assert!(!data.is_empty());
                    line.push_str(&String::from_utf8_lossy(&data));
                }
                Ok(Some(Event::End)) => {
                    line.push_str(if closes { " closes" } else { "" });
                    reads.push(std::mem::take(&mut line));
                }
                Err(error) => {
                    assert_eq!(decoder.next().unwrap_err(), error);
                    reads.push(name(error).to_string());
                    return reads;
                }
            }
        }
    }
    reads.push("wait".to_string());
    reads
}

fn name(error: Error) -> &'static str {
    match error {
        Error::Malformed => "malformed",
        Error::HeadTooLarge => "too large",
    }
}

#[test]
fn cases_decode_as_expected_however_they_are_split() {
    for case in cases() {
        let bytes = case.bytes.as_bytes();

        assert_eq!(read(&[bytes]), case.reads, "{}", case.name);
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(read(&single), case.reads, "{}, by bytes", case.name);
        for at in 0..bytes.len() {
            let (first, second) = bytes.split_at(at);
            let reads = read(&[first, second]);
            assert_eq!(reads, case.reads, "{}, at {at}", case.name);
        }
    }
}

/// A reference parser that sees all bytes at once and slices them.
mod oracle {
    use super::MAX_HEAD_BYTES;

    pub fn read(bytes: &[u8]) -> Vec<String> {
        let mut rest = bytes;
        let mut reads = Vec::new();
        loop {
            match request(&mut rest) {
                Ok(Some(line)) => reads.push(line),
                Ok(None) => {
                    reads.push("wait".into());
                    return reads;
                }
                Err(error) => {
                    reads.push(error.into());
                    return reads;
                }
            }
        }
    }

    type Part<T> = Result<Option<T>, &'static str>;

    fn request(rest: &mut &[u8]) -> Part<String> {
        while let Some(left) = rest.strip_prefix(b"\r\n") {
            *rest = left;
        }
        let end = rest.windows(4).position(|w| w == b"\r\n\r\n");
        let seen = end.map_or(rest.len(), |end| end + 4);
        if seen > MAX_HEAD_BYTES {
            return Err("too large");
        }
        let head = &rest[..seen];
        let line_feeds = (0..seen).filter(|at| head[*at] == b'\n');
        let mut bare =
            line_feeds.filter(|at| *at == 0 || head[at - 1] != b'\r');
        if bare.next().is_some() {
            return Err("malformed");
        }
        if end.is_none() {
            return Ok(None);
        }
        let (first, is_http_1_0, headers) = lines(head).ok_or("malformed")?;
        *rest = &rest[seen..];
        let values_of = |name: &str| {
            let matching = headers.iter().filter(|(n, _)| n == name);
            matching.map(|(_, value)| value.as_str()).collect::<Vec<_>>()
        };
        let hosts = values_of("host").len();
        if hosts != 1 && !(is_http_1_0 && hosts == 0) {
            return Err("malformed");
        }
        let lengths = values_of("content-length");
        let codings = values_of("transfer-encoding");
        let body = match (&lengths[..], &codings[..]) {
            ([], []) => Some(String::new()),
            ([length], []) => sized_body(rest, length)?,
            ([], [coding])
                if coding.eq_ignore_ascii_case("chunked") && !is_http_1_0 =>
            {
                chunked_body(rest)?
            }
            _ => return Err("malformed"),
        };
        let closes = values_of("connection")
            .iter()
            .flat_map(|value| value.split(','))
            .any(|token| token.trim().eq_ignore_ascii_case("close"));
        let closes = if closes || is_http_1_0 { " closes" } else { "" };
        Ok(body.map(|body| format!("{first} {body}{closes}")))
    }

    type Lines = (String, bool, Vec<(String, String)>);

    fn lines(head: &[u8]) -> Option<Lines> {
        let text = std::str::from_utf8(head).ok()?.strip_suffix("\r\n\r\n")?;
        let mut lines = text.split("\r\n");
        let (first, version) = lines.next()?.rsplit_once(' ')?;
        let is_http_1_0 = match version {
            "HTTP/1.1" => false,
            "HTTP/1.0" => true,
            _ => return None,
        };
        let (method, target) = first.split_once(' ')?;
        let is_token_byte =
            |b: u8| b.is_ascii_alphanumeric() || b"-+".contains(&b);
        if method.is_empty() || !method.bytes().all(is_token_byte) {
            return None;
        }
        let is_visible = |b: u8| b.is_ascii_graphic();
        if !target.starts_with('/') || !target.bytes().all(is_visible) {
            return None;
        }
        let mut headers = Vec::new();
        for line in lines {
            let (name, value) = line.split_once(':')?;
            if name.is_empty() || !name.bytes().all(is_token_byte) {
                return None;
            }
            let is_value_byte =
                |b: u8| b == b'\t' || (b' '..=b'~').contains(&b);
            if !value.bytes().all(is_value_byte) {
                return None;
            }
            let value = value.trim_matches([' ', '\t']);
            headers.push((name.to_ascii_lowercase(), value.to_string()));
        }
        Some((first.to_string(), is_http_1_0, headers))
    }

    fn sized_body(rest: &mut &[u8], length: &str) -> Part<String> {
        let is_digits = length.bytes().all(|byte| byte.is_ascii_digit());
        let length: u64 = match length.parse() {
            Ok(length) if is_digits => length,
            _ => return Err("malformed"),
        };
        if length > rest.len() as u64 {
            return Ok(None);
        }
        let (body, left) = rest.split_at(length as usize);
        *rest = left;
        Ok(Some(String::from_utf8_lossy(body).into_owned()))
    }

    fn line<'a>(rest: &mut &'a [u8], max_len: usize) -> Part<&'a [u8]> {
        let Some(end) = rest.iter().position(|byte| *byte == b'\n') else {
            let is_too_long = rest.len() > max_len;
            return if is_too_long { Err("malformed") } else { Ok(None) };
        };
        let line = &rest[..end];
        *rest = &rest[end + 1..];
        match line.strip_suffix(b"\r") {
            Some(line) if end < max_len && !line.contains(&b'\r') => {
                Ok(Some(line))
            }
            _ => Err("malformed"),
        }
    }

    fn chunked_body(rest: &mut &[u8]) -> Part<String> {
        let mut body = String::new();
        loop {
            let Some(size) = line(rest, 256)? else {
                return Ok(None);
            };
            let size = std::str::from_utf8(size).map_err(|_| "malformed")?;
            let size = size.split(';').next().unwrap_or_default();
            let size = size.trim_end_matches([' ', '\t']);
            let is_hex = size.bytes().all(|byte| byte.is_ascii_hexdigit());
            if size.is_empty() || size.len() > 15 || !is_hex {
                return Err("malformed");
            }
            let size =
                u64::from_str_radix(size, 16).map_err(|_| "malformed")?;
            if size == 0 {
                break;
            }
            if size > rest.len() as u64 {
                return Ok(None);
            }
            let (data, left) = rest.split_at(size as usize);
            body.push_str(&String::from_utf8_lossy(data));
            *rest = left;
            match line(rest, 2)? {
                None => return Ok(None),
                Some(b"") => {}
                Some(_) => return Err("malformed"),
            }
        }
        loop {
            match line(rest, 4_096)? {
                None => return Ok(None),
                Some(b"") => return Ok(Some(body)),
                Some(_) => {}
            }
        }
    }
}

/// Generates pipelined requests, most of them valid, some with changed bytes.
fn generate(rng: &mut SmallRng) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let head = "GET /a HTTP/1.1\r\nhost: x\r\n";
        let body = "0123456789abcdef";
        let body = &body[..rng.random_range(0..body.len())];
        let (half, tail) = body.split_at(body.len() / 2);
        let text = match rng.random_range(0..6) {
            0 => format!("{head}\r\n"),
            1 => format!("{head}connection: close\r\n\r\n"),
            2 => format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()),
            3 => format!("{head}b: {body}\r\n\r\n"),
            _ => {
                let mut text =
                    format!("{head}transfer-encoding: chunked\r\n\r\n");
                for part in [half, tail].iter().filter(|p| !p.is_empty()) {
                    text += &format!("{:x}\r\n{part}\r\n", part.len());
                }
                text + "0\r\n\r\n"
            }
        };
        bytes.extend_from_slice(text.as_bytes());
    }
    for _ in 0..rng.random_range(0..3_u32).saturating_sub(1) {
        mutate(rng, &mut bytes);
    }
    bytes
}

fn mutate(rng: &mut SmallRng, bytes: &mut Vec<u8>) {
    const REPLACEMENTS: &[u8] = b"\r\n :,;0159afGx/\t-+\0";
    let at = rng.random_range(0..bytes.len());
    let byte = REPLACEMENTS[rng.random_range(0..REPLACEMENTS.len())];
    match rng.random_range(0..4) {
        0 => bytes[at] = byte,
        1 => bytes.insert(at, byte),
        2 => drop(bytes.remove(at)),
        _ => bytes.truncate(at.max(1)),
    }
}

fn split<'a>(rng: &mut impl Rng, bytes: &'a [u8]) -> Vec<&'a [u8]> {
    let mut rest = bytes;
    let mut pieces = Vec::new();
    while !rest.is_empty() {
        let max_len = rest.len().min(40);
        let (piece, left) = rest.split_at(rng.random_range(1..=max_len));
        pieces.push(piece);
        rest = left;
    }
    pieces
}

#[test]
fn random_requests_decode_as_by_the_reference_parser() {
    let count = std::env::var("WALNUTMOOR_CASES");
    let count = count.map_or(CASES, |count| count.parse().unwrap());
    for seed in 0..count {
        let mut rng = SmallRng::seed_from_u64(seed);
        let bytes = generate(&mut rng);
        let pieces = split(&mut rng, &bytes);

        let reads = read(&pieces);

        let text = String::from_utf8_lossy(&bytes);
        assert_eq!(reads, oracle::read(&bytes), "seed {seed}: {text:?}");
    }
}
