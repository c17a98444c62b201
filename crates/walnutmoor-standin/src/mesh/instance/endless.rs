/*!
Responses in which bytes come without end.
*/

use tokio::{io::AsyncWriteExt, net::TcpStream};

/// The part of a response that has no end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The reason in the status line.
    StatusLine,
    /// The value of a header.
    Header,
    /// Headers that are complete.
    Headers,
    /// Interim responses before the real one.
    Interim,
    /// A body that states a giant length.
    Body,
    /// A body that ends with its connection.
    OpenBody,
    /// A chunk that states a giant length.
    Chunk,
    /// Small chunks.
    Chunks,
    /// The extension of a chunk's length.
    ChunkExtension,
    /// The headers behind the last chunk.
    Trailers,
    /// Responses behind the complete one.
    Behind,
}

impl Part {
    /// All parts.
    pub const ALL: [Part; 11] = [
        Part::StatusLine,
        Part::Header,
        Part::Headers,
        Part::Interim,
        Part::Body,
        Part::OpenBody,
        Part::Chunk,
        Part::Chunks,
        Part::ChunkExtension,
        Part::Trailers,
        Part::Behind,
    ];
}

/// The bytes after which an instance gives up.
const MAX_BYTES: usize = 256 << 20;

/// The bytes that are written at a time, about.
const BLOCK_BYTES: usize = 64 << 10;

/// Writes a response with these headers and bytes without end.
pub(super) async fn send(stream: &mut TcpStream, headers: &str, part: Part) {
    let head =
        |framing: &str| format!("HTTP/1.1 200 OK\r\n{headers}{framing}");
    let chunked = head("transfer-encoding: chunked\r\n\r\n");
    let empty = head("content-length: 0\r\n\r\n");
    let (begin, unit) = match part {
        Part::StatusLine => ("HTTP/1.1 200 ".into(), "x"),
        Part::Header => (head("x: "), "x"),
        Part::Headers => (head(""), "x: y\r\n"),
        Part::Interim => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
        Part::Body => (head("content-length: 99999999999\r\n\r\n"), "x"),
        Part::OpenBody => (head("connection: close\r\n\r\n"), "x"),
        Part::Chunk => (format!("{chunked}ffffffffff\r\n"), "x"),
        Part::Chunks => (chunked, "1\r\nx\r\n"),
        Part::ChunkExtension => (format!("{chunked}1;"), "x"),
        Part::Trailers => (format!("{chunked}0\r\n"), "x: y\r\n"),
        Part::Behind => (empty.clone(), empty.as_str()),
    };
    let block = unit.repeat(BLOCK_BYTES / unit.len());
    let mut sent = 0;
    let mut next = begin.as_bytes();
    // A failed write means that the node has closed the connection.
    while sent < MAX_BYTES && stream.write_all(next).await.is_ok() {
        sent += next.len();
        next = block.as_bytes();
    }
}
