//! Clients: one connection each, kept open, one request at a time.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;

pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

/// A request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub deadline_ms: u64,
    pub key: Option<&'a str>,
    pub body: &'a str,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, stream: None }
    }

    /// True if the next request goes on a connection that was used before.
    pub fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    fn connect(&self) -> std::io::Result<BufReader<TcpStream>> {
        let stream =
            TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(BufReader::new(stream))
    }

    /// Sends a request and returns its response; `None` without one.
    pub fn send(
        &mut self,
        record: &Record,
        request: &Request<'_>,
    ) -> Option<Message> {
        record.line(&format!(
            "sent {} {} {}",
            request.attempt, request.method, request.path
        ));
        let answer = self.exchange(request);
        match &answer {
            Ok(answer) => {
                record.line(&format!(
                    "answered {} {}",
                    request.attempt,
                    answer.status()
                ));
                if answer
                    .header("connection")
                    .is_some_and(|c| c.eq_ignore_ascii_case("close"))
                {
                    self.stream = None;
                }
            }
            Err(error) => {
                record
                    .line(&format!("unanswered {} {error}", request.attempt));
                self.stream = None;
            }
        }
        answer.ok()
    }

    fn exchange(&mut self, request: &Request<'_>) -> std::io::Result<Message> {
        if self.stream.is_none() {
            self.stream = Some(self.connect()?);
        }
        let stream = self.stream.as_mut().expect("just connected");
        let limit = Duration::from_millis(request.deadline_ms + 1_000);
        stream.get_ref().set_read_timeout(Some(limit))?;
        let line = format!("{} {} HTTP/1.1", request.method, request.path);
        let left = request.deadline_ms.to_string();
        let mut headers = vec![
            ("Host", request.host),
            ("Walnutmoor-Attempt-Id", request.attempt),
            ("Walnutmoor-Deadline-Ms", left.as_str()),
        ];
        if let Some(key) = request.key {
            headers.push(("Walnutmoor-Key", key));
        }
        let mut writing = stream.get_ref().try_clone()?;
        http::write(&mut writing, &line, &headers, request.body.as_bytes())?;
        http::read(stream)
    }
}
