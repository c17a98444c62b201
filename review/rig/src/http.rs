//! Reads and writes HTTP/1.1 messages with a length or in chunks.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found =
            self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The part of the first line at this index.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if !line.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while line.last().is_some_and(|b| *b == b'\n' || *b == b'\r') {
        line.pop();
    }
    Ok(String::from_utf8_lossy(&line).into_owned())
}

/// Reads one message; an error at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message =
        Message { line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().into(), value.trim().into()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16);
            let size =
                size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut part = vec![0; size];
            reader.read_exact(&mut part)?;
            message.body.extend(part);
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(message)
}

/// Writes a message with its length.
pub fn write(
    stream: &mut TcpStream,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("{line}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
