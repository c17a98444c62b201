/*!
A minimal HTTP/1.1 client, and the message parser that it shares with the
instance.
*/

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// A request read from a connection.
#[derive(Clone, Debug)]
pub struct Request {
    /// Path and query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: String,
}

/// A response read from a connection.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: String,
}

/// The time limit for one exchange on a new connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a request on a new connection. `None` if no complete response
/// arrives.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(HeaderName, String)],
    body: String,
) -> Option<Response> {
    send_raw(address, &format_request(method, path, headers, &body)).await
}

/// Formats a request, with a `host` header if there is none.
pub fn format_request(
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

/// A persistent connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    is_closing: bool,
    read_pause: Duration,
}

impl From<TcpStream> for Connection {
    fn from(stream: TcpStream) -> Connection {
        Connection {
            stream,
            buffer: Vec::new(),
            is_closing: false,
            read_pause: Duration::ZERO,
        }
    }
}

impl Connection {
    /// Connects to an address. `None` if that fails.
    pub async fn open(address: SocketAddr) -> Option<Connection> {
        TcpStream::connect(address).await.ok().map(Connection::from)
    }

    /// Pauses before each read from the socket.
    pub fn set_read_pause(&mut self, pause: Duration) {
        self.read_pause = pause;
    }

    /// True if the last response had `connection: close`.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Sends a request. `None` if no complete response arrives.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(HeaderName, String)],
        body: &str,
    ) -> Option<Response> {
        self.write(&format_request(method, path, headers, body)).await?;
        self.read().await
    }

    /// Writes text unchanged. `None` if the connection is closed.
    pub async fn write(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).await.ok()
    }

    /// Reads the next response. `None` if it is incomplete.
    pub async fn read(&mut self) -> Option<Response> {
        let (stream, buffer) = (&mut self.stream, &mut self.buffer);
        let message = read_message(stream, buffer, self.read_pause).await;
        let (first, headers, body) = message?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let connection = headers.get(http::header::CONNECTION);
        self.is_closing = connection.is_some_and(|value| value == "close");
        Some(Response { status, headers, body })
    }
}

/// Sends text unchanged on a new connection and reads one response.
pub async fn send_raw(address: SocketAddr, text: &str) -> Option<Response> {
    send_keep_alive(address, text).await.map(|(response, _)| response)
}

/// Like [`send_raw`], but also returns the connection, still open.
pub async fn send_keep_alive(
    address: SocketAddr,
    text: &str,
) -> Option<(Response, TcpStream)> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut buffer = Vec::new();
        let (first, headers, body) =
            read_message(&mut stream, &mut buffer, Duration::ZERO).await?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some((Response { status, headers, body }, stream))
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.ok()?
}

/// Reads the next request. `None` if the connection ends first or the request
/// is malformed.
pub async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<Request> {
    let message = read_message(stream, buffer, Duration::ZERO).await;
    let (first, headers, body) = message?;
    let path = first.split(' ').nth(1)?.to_string();
    Some(Request { path, headers, body })
}

/// Reads one message: its first line, its headers and its body. Pauses before
/// each read.
async fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    pause: Duration,
) -> Option<(String, HeaderMap, String)> {
    let end = loop {
        let head_end = buffer.windows(4).position(|w| w == b"\r\n\r\n");
        if let Some(at) = head_end {
            break at + 4;
        }
        if !pause.is_zero() {
            sleep(pause).await;
        }
        fill(stream, buffer).await?;
    };
    let head: Vec<u8> = buffer.drain(..end).collect();
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
    while buffer.len() < length {
        if !pause.is_zero() {
            sleep(pause).await;
        }
        fill(stream, buffer).await?;
    }
    let body: Vec<u8> = buffer.drain(..length).collect();
    Some((first, headers, String::from_utf8(body).ok()?))
}

/// Reads more bytes into the buffer. `None` at the end of the stream.
async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let read = stream.read_buf(buffer).await.ok()?;
    (read > 0).then_some(())
}
