//! HTTP/1.1 messages over blocking sockets.

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        let found = all.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut parts = self.first.split(' ');
        parts.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the next message; `buffer` keeps the bytes behind it. `None` if the
/// connection ends or a read times out.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        let found = buffer.windows(4).position(|w| w == b"\r\n\r\n");
        match found {
            Some(at) => break at + 4,
            None => fill(stream, buffer)?,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first: lines.next().unwrap_or_default().to_string(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let value = value.trim().to_string();
            message.headers.push((name.trim().to_string(), value));
        }
    }
    let length = message.header("content-length");
    let length: Option<usize> = length.and_then(|l| l.parse().ok());
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(stream, buffer)?;
    } else if let Some(length) = length {
        message.body = take(stream, buffer, length)?;
    } else if message.first.starts_with("HTTP/")
        && message.header("connection") == Some("close")
    {
        while fill(stream, buffer).is_some() {}
        message.body = std::mem::take(buffer);
    }
    Some(message)
}

fn read_chunks(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = loop {
            match buffer.windows(2).position(|w| w == b"\r\n") {
                Some(at) => break at,
                None => fill(stream, buffer)?,
            }
        };
        let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
        buffer.drain(..end + 2);
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).ok()?;
        body.extend(take(stream, buffer, size)?);
        take(stream, buffer, 2)?;
        if size == 0 {
            return Some(body);
        }
    }
}

fn take(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> Option<Vec<u8>> {
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    Some(buffer.drain(..length).collect())
}

thread_local! {
    /// How many bytes this thread reads a second; 0 without a limit.
    static READS_PER_S: Cell<u64> = const { Cell::new(0) };
}

/// Lets this thread read so many bytes a second, or any number for 0.
pub fn read_slowly(bytes_per_s: u64) {
    READS_PER_S.set(bytes_per_s);
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16 << 10];
    match stream.read(&mut part) {
        Ok(count) if count > 0 => {
            buffer.extend_from_slice(&part[..count]);
            let rate = READS_PER_S.get();
            if rate > 0 {
                let span = count as f64 / rate as f64;
                thread::sleep(Duration::from_secs_f64(span));
            }
            Some(())
        }
        _ => None,
    }
}

/// Writes a response with these header lines, each ended by CR LF.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Sends a request on a new connection, and waits this long for the response.
pub fn send(
    address: SocketAddr,
    request: &str,
    patience: Duration,
) -> Result<Message, String> {
    let until = Instant::now() + patience;
    let stream = TcpStream::connect_timeout(&address, patience);
    let mut stream = stream.map_err(|e| format!("not connected: {e}"))?;
    let _ = stream.set_nodelay(true);
    let left = until.saturating_duration_since(Instant::now());
    let left = left.max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let sent = stream.write_all(request.as_bytes());
    sent.map_err(|e| format!("not sent: {e}"))?;
    let response = read(&mut stream, &mut Vec::new());
    response.ok_or_else(|| match Instant::now() >= until {
        true => "no answer in time".to_string(),
        false => "closed without an answer".to_string(),
    })
}
