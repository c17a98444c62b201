/*!
A caller that opens a connection for each request, and the reading of plain
HTTP that it shares with the instance.
*/

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// A request as it was read.
#[derive(Clone, Debug)]
pub struct Request {
    /// Path and query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: String,
}

/// An answer as it was read.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: String,
}

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// Sends a request; `None` if the connection ends without a whole answer.
pub async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(HeaderName, String)],
    body: String,
) -> Option<Answer> {
    raw(to, &text(method, path, headers, &body)).await
}

/// The bytes of a request.
pub fn text(
    method: Method,
    path: &str,
    headers: &[(HeaderName, String)],
    body: &str,
) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name == http::header::HOST) {
        text.push_str("host: node\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text
}

/// A connection that a caller keeps for many requests.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
    closes: bool,
}

impl Connection {
    /// Opens one; `None` if nobody accepts it.
    pub async fn open(to: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect(to).await.ok()?;
        Some(Connection { stream, bytes: Vec::new(), closes: false })
    }

    /// True if the other side has said that it takes no more on it.
    pub fn closes(&self) -> bool {
        self.closes
    }

    /// Sends a request; `None` if there is no whole answer to it.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(HeaderName, String)],
        body: &str,
    ) -> Option<Answer> {
        self.write(&text(method, path, headers, body)).await?;
        self.read().await
    }

    /// Sends bytes as they are; `None` if the connection is closed.
    pub async fn write(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).await.ok()
    }

    /// Reads the next answer; `None` if there is no whole one.
    pub async fn read(&mut self) -> Option<Answer> {
        let whole = read(&mut self.stream, &mut self.bytes).await;
        let (first, headers, body) = whole?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let said = headers.get(http::header::CONNECTION);
        self.closes = said.is_some_and(|said| said == "close");
        Some(Answer { status, headers, body })
    }
}

/// Sends bytes as they are and reads one answer.
pub async fn raw(to: SocketAddr, text: &str) -> Option<Answer> {
    hold(to, text).await.map(|(answer, _)| answer)
}

/// The same, and keeps the connection.
pub async fn hold(to: SocketAddr, text: &str) -> Option<(Answer, TcpStream)> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut bytes = Vec::new();
        let (first, headers, body) = read(&mut stream, &mut bytes).await?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some((Answer { status, headers, body }, stream))
    };
    tokio::time::timeout(PATIENCE, exchange).await.ok()?
}

/// Reads a request; `None` at the end of the connection.
pub async fn read_request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> Option<Request> {
    let (first, headers, body) = read(stream, bytes).await?;
    let path = first.split(' ').nth(1)?.to_string();
    Some(Request { path, headers, body })
}

async fn read(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> Option<(String, HeaderMap, String)> {
    let end = loop {
        let found = bytes.windows(4).position(|w| w == b"\r\n\r\n");
        if let Some(at) = found {
            break at + 4;
        }
        fill(stream, bytes).await?;
    };
    let head: Vec<u8> = bytes.drain(..end).collect();
    let head = String::from_utf8(head).ok()?;
    let mut lines = head.lines();
    let first = lines.next()?.to_string();
    let mut headers = HeaderMap::new();
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        let name: HeaderName = name.trim().parse().ok()?;
        let value: HeaderValue = value.trim().parse().ok()?;
        headers.append(name, value);
    }
    let length = headers.get(http::header::CONTENT_LENGTH);
    let length = length.and_then(|v| v.to_str().ok()?.parse().ok());
    let length: usize = length.unwrap_or(0);
    while bytes.len() < length {
        fill(stream, bytes).await?;
    }
    let body: Vec<u8> = bytes.drain(..length).collect();
    Some((first, headers, String::from_utf8(body).ok()?))
}

async fn fill(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let read = stream.read_buf(bytes).await.ok()?;
    (read > 0).then_some(())
}
