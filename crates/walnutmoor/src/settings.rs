/*!
Settings of a node, read from YAML and validated before the node starts.

Spans are written with a unit (`200ms`, `2s`, `1m`), and so are sizes (`64KB`,
`1MB`). An unknown key, a wrong unit or a value out of bounds is an error that
shows its position in the file. `docs/SETTINGS.md` lists every key with its
default.

# Example

```
use walnutmoor::settings::Settings;

let wrong = "node: { address: 127.0.0.1:7402, zoen: portland }";
let error = Settings::parse(wrong).unwrap_err();
assert!(error.to_string().contains("zoen"));
```
*/

use std::{fmt, net::SocketAddr, path::Path, str::FromStr, sync::Arc};

use miette::{NamedSource, SourceSpan};
use rustix::process::{Resource, getrlimit};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use walnutmoor_core::{class::Class, id::ParseError, node::Mode, server};

use crate::prelude::*;

/// A span of time, written as a number and a unit, as in `200ms`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub Millis);

impl TryFrom<String> for Span {
    type Error = walnutmoor_core::time::ParseError;

    fn try_from(text: String) -> Result<Span, Self::Error> {
        text.parse().map(Span)
    }
}

impl From<Span> for String {
    fn from(span: Span) -> String {
        span.0.to_string()
    }
}

/// A size in bytes, written as a number and `B`, `KB` or `MB`; a kilobyte has
/// 1,024 bytes.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Size(pub usize);

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

/// A text that is not a number and a unit of size.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{0}` is not a size: write a number and a unit, as in 64KB or 1MB")]
pub struct SizeError(String);

impl FromStr for Size {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Size, SizeError> {
        let fail = || SizeError(text.to_string());
        let end = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(fail)?;
        let (number, unit) = text.split_at(end);
        let number: usize = number.parse().map_err(|_| fail())?;
        let factor = match unit {
            "B" => 1,
            "KB" => 1 << 10,
            "MB" => 1 << 20,
            _ => return Err(fail()),
        };
        number.checked_mul(factor).map(Size).ok_or_else(fail)
    }
}

impl TryFrom<String> for Size {
    type Error = SizeError;

    fn try_from(text: String) -> Result<Size, SizeError> {
        text.parse()
    }
}

impl From<Size> for String {
    fn from(size: Size) -> String {
        size.to_string()
    }
}

/// All settings of one node.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The identity of this node.
    pub node: Node,
    /// The listener for callers.
    #[serde(default = "Listener::caller")]
    pub caller: Listener,
    /// The listener of the operator interface.
    #[serde(default = "Listener::operator")]
    pub operator: Listener,
    /// The platform's object API.
    #[serde(default)]
    pub platform: Platform,
    /// The backend server of this node; `None` if it announces itself.
    #[serde(default)]
    pub server: Option<Server>,
    /// Bounds on memory and time.
    #[serde(default)]
    pub limits: Limits,
    /// The log.
    #[serde(default)]
    pub log: Log,
    /// The initial classes; only with the in-memory platform.
    #[serde(default)]
    pub classes: Vec<ClassSpec>,
}

/// The identity of a node.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The address at which peers reach it, by TCP and UDP. The next port
    /// receives control messages that are too long for a datagram.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it sheds load or only observes.
    #[serde(default)]
    pub mode: Mode,
}

/// A listening socket.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// The address and port.
    pub address: SocketAddr,
}

impl Listener {
    fn caller() -> Listener {
        Listener { address: ([127, 0, 0, 1], 7400).into() }
    }

    fn operator() -> Listener {
        Listener { address: ([127, 0, 0, 1], 7401).into() }
    }
}

/// The platform that stores the configuration.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Platform {
    /// A store in the memory of this process, lost when it ends.
    #[default]
    Memory,
    /// The platform's object API over HTTP.
    Http {
        /// The base URL, as in `http://10.0.0.9:8080`.
        url: String,
    },
}

/// The backend server of a node.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The service that it offers.
    pub service: Service,
    /// Its address. Without one the node starts a built-in echo server.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// The number of calls that it runs concurrently.
    pub slots: u32,
    /// The number of connections that it accepts.
    pub connections: u32,
    /// The duration of its cold start.
    #[serde(default = "Server::warmup")]
    pub warmup: Span,
}

impl Server {
    fn warmup() -> Span {
        Span(Millis(0))
    }

    /// The announcement that the server would make itself.
    pub fn announcement(&self) -> server::Announcement {
        server::Announcement {
            service: self.service.clone(),
            slots: self.slots,
            connections: self.connections,
            warmup: self.warmup.0,
        }
    }
}

/// Bounds on the memory and time that a node uses.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Retries of one request, over all calls made for it.
    pub retries: u8,
    /// Calls in flight.
    pub calls: usize,
    /// Tickets that the node keeps as their owner.
    pub tickets: usize,
    /// Marks and tombstones that the node keeps as a witness.
    pub marks: usize,
    /// Messages in each channel between threads.
    pub ring: usize,
    /// The size of one body.
    pub body: Size,
    /// The memory that the process may take.
    pub memory: Size,
    /// The files and sockets that the process may open; `None` for the limit
    /// of the operating system.
    pub descriptors: Option<usize>,
    /// The size of one answer that is cached for repeated calls.
    pub kept_answer: Size,
    /// The longest deadline that a caller may request.
    pub deadline: Span,
    /// How long a ticket is valid.
    pub ticket: Span,
    /// How long a call may wait in the queue.
    pub patience: Span,
    /// How long a canceled call still counts as in flight.
    pub linger: Span,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            retries: 3,
            calls: 16_384,
            tickets: 16_384,
            marks: 65_536,
            ring: 4_096,
            body: Size(1 << 20),
            memory: Size(256 << 20),
            descriptors: None,
            kept_answer: Size(64 << 10),
            deadline: Span(Millis(30_000)),
            ticket: Span(Millis(60_000)),
            patience: Span(Millis(200)),
            linger: Span(Millis(20)),
        }
    }
}

/// The fewest descriptors that a node may be limited to.
const MIN_DESCRIPTORS: usize = 64;

impl Limits {
    /// The files and sockets that the process may open.
    pub fn descriptors(&self) -> usize {
        let limit = || getrlimit(Resource::Nofile).current;
        let limit = || limit().and_then(|limit| usize::try_from(limit).ok());
        self.descriptors.or_else(limit).unwrap_or(usize::MAX)
    }
}

/// Settings of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The most verbose level that is written.
    pub level: Level,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: Level::Info }
    }
}

/// A log level.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Level {
    Off,
    Error,
    Warn,
    Info,
    Debug,
}

impl From<Level> for log::LevelFilter {
    fn from(level: Level) -> log::LevelFilter {
        match level {
            Level::Off => log::LevelFilter::Off,
            Level::Error => log::LevelFilter::Error,
            Level::Warn => log::LevelFilter::Warn,
            Level::Info => log::LevelFilter::Info,
            Level::Debug => log::LevelFilter::Debug,
        }
    }
}

/// A class, as written in settings.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The name of the class.
    pub name: walnutmoor_core::id::Class,
    /// The kind of its requests.
    pub kind: walnutmoor_core::class::Kind,
    /// The share of requests to complete, as in `99.5%`.
    pub share: walnutmoor_core::class::Share,
    /// The time to complete them in, as in `2s`.
    pub within: Span,
}

impl From<ClassSpec> for Class {
    fn from(spec: ClassSpec) -> Class {
        let target = walnutmoor_core::class::Target {
            share: spec.share,
            within: spec.within.0,
        };
        Class { name: spec.name, kind: spec.kind, target }
    }
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or [`Settings::parse`] fails.
    pub fn read(path: &Path) -> Result<Settings, Failure> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| Failure::File { path: name.clone(), cause })?;
        Settings::parse_named(&name, &text)
    }

    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// If the YAML is malformed, a key is unknown, or a value is out of
    /// bounds; the error shows the position.
    pub fn parse(text: &str) -> Result<Settings, Failure> {
        Settings::parse_named("settings", text)
    }

    /// Parses the text of a file with this name, and validates it.
    fn parse_named(name: &str, text: &str) -> Result<Settings, Failure> {
        let settings: Settings = parse_yaml(name, text)?;
        match settings.validate() {
            Ok(()) => Ok(settings),
            Err(violation) => {
                let at = text.find(violation.key).unwrap_or(0);
                Err(settings_error(name, text, violation.message, Some(at)))
            }
        }
    }

    /// Checks ranges, and rules that involve several values.
    fn validate(&self) -> Result<(), Violation> {
        let limits = &self.limits;
        let has_classes = !self.classes.is_empty();
        let listeners = [self.caller.address, self.operator.address];
        let own = self.node.address;
        let next = SocketAddr::new(own.ip(), own.port().wrapping_add(1));
        let conflict = listeners.contains(&own)
            || listeners.contains(&next)
            || listeners[0] == listeners[1];
        let rules = [
            (
                own.port() == u16::MAX,
                "address",
                "the port must leave room for the one above it",
            ),
            (
                own.ip().is_unspecified(),
                "address",
                "node.address must be the IP that peers use",
            ),
            (
                conflict,
                "address",
                "two listeners share an address (node.address also takes the port above it)",
            ),
            (limits.ring == 0, "ring", "limits.ring must be at least 1"),
            (limits.calls == 0, "calls", "limits.calls must be at least 1"),
            (
                limits.descriptors.is_some_and(|n| n < MIN_DESCRIPTORS),
                "descriptors",
                "limits.descriptors must be at least 64",
            ),
            (
                limits.body > Size(16 << 20),
                "body",
                "limits.body is at most 16MB",
            ),
            (
                limits.ticket.0 > Millis(60_000),
                "ticket",
                "limits.ticket is at most 60s, for which witnesses keep marks",
            ),
            (
                limits.deadline.0 == Millis(0),
                "deadline",
                "limits.deadline must be above 0ms",
            ),
            (
                self.server.as_ref().is_some_and(|s| s.slots == 0),
                "slots",
                "server.slots must be at least 1",
            ),
            (
                self.server.as_ref().is_some_and(|s| s.connections == 0),
                "connections",
                "server.connections must be at least 1",
            ),
            (
                has_classes && !matches!(self.platform, Platform::Memory),
                "classes",
                "classes in settings are for the in-memory platform only; use `walnutmoor class set`",
            ),
        ];
        match rules.into_iter().find(|(violated, ..)| *violated) {
            None => Ok(()),
            Some((_, key, message)) => {
                Err(Violation { key, message: message.to_string() })
            }
        }
    }

    /// The configuration of [`walnutmoor_core::node::Node`], with the seed of
    /// its randomness and the version of its first membership record.
    pub fn core_config(
        &self,
        seed: u64,
        version: u64,
    ) -> walnutmoor_core::node::Config {
        let limits = &self.limits;
        walnutmoor_core::node::Config::new(NodeId(self.node.address))
            .zone(self.node.zone.clone())
            .mode(self.node.mode)
            .seed(seed)
            .version(version)
            .retries(limits.retries)
            .calls_max(limits.calls)
            .tickets_max(limits.tickets)
            .marks_max(limits.marks)
            .deadline_max(limits.deadline.0)
            .ticket_span(limits.ticket.0)
            .answer_max_bytes(limits.kept_answer.0)
            .queue_timeout(limits.patience.0)
            .linger(limits.linger.0)
    }
}

/// A rule that the settings violate, and the key to point at.
struct Violation {
    key: &'static str,
    message: String,
}

/// Decodes YAML; an error shows its position in the text.
pub(crate) fn parse_yaml<T: DeserializeOwned>(
    name: &str,
    text: &str,
) -> Result<T, Failure> {
    serde_saphyr::from_str(text).map_err(|error| {
        let at = error.location().map(|l| {
            let (line, column) = (l.line(), l.column());
            offset(text, line as usize, column as usize)
        });
        settings_error(name, text, first_line(&error.to_string()), at)
    })
}

fn settings_error(
    name: &str,
    text: &str,
    message: String,
    at: Option<usize>,
) -> Failure {
    let source_code = NamedSource::new(name, text.to_string());
    let span = at.map(|at| SourceSpan::new(at.into(), 1));
    Failure::Settings { message, source_code: Arc::new(source_code), span }
}

/// The first line of a message. The parser's own excerpt of the source follows
/// it, which [`Failure::Settings`] replaces.
fn first_line(message: &str) -> String {
    message.lines().next().unwrap_or(message).to_string()
}

/// The byte offset of a line and a column, both counted from 1.
fn offset(text: &str, line: usize, column: usize) -> usize {
    let before = text.split_inclusive('\n').take(line.saturating_sub(1));
    let start: usize = before.map(str::len).sum();
    (start + column.saturating_sub(1)).min(text.len())
}

impl From<ParseError> for Failure {
    fn from(error: ParseError) -> Failure {
        Failure::usage(error.to_string())
    }
}
