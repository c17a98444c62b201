/*!
Settings of a node in the mesh, in YAML.

The platform renders the file from a template at each start and at each
change; `docs/SETTINGS.md` lists the keys.
*/

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use serde::Deserialize;
use walnutmoor_core::{
    id::{Service, Zone},
    time::Millis,
};
use walnutmoor_platform::bound::Bounds;

use crate::failure::Failure;

/// The time from the signal to end until the platform kills, where the
/// settings name none.
const GRACE: Millis = Millis(6_000);

/// Files and sockets that a process may commonly have open.
fn descriptors() -> usize {
    1_024
}

/// Megabytes that a process beside an instance is commonly given.
fn memory() -> usize {
    256
}

/// What a node reads ahead of its answers on one caller's connection.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReadAhead {
    /// Requests that are under way at once.
    pub requests: usize,
    /// Bytes that are read and not decoded yet. A longer head is read whole
    /// where the operator allows it.
    pub bytes: usize,
}

impl Default for ReadAhead {
    /// More requests than callers commonly send at once, and bytes for about
    /// as many heads.
    fn default() -> ReadAhead {
        ReadAhead { requests: 16, bytes: 32 << 10 }
    }
}

/// All settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name, for logs.
    pub name: String,
    /// Where other nodes reach it, by TCP.
    pub peers: SocketAddr,
    /// The address that other nodes are told for `peers`, where it differs
    /// from the one that the node listens on; it is also the node's name
    /// among them.
    pub advertise: Option<SocketAddr>,
    /// Its availability zone.
    pub zone: Zone,
    /// The service of the instance beside it.
    pub service: Service,
    /// Where that instance listens.
    pub server: SocketAddr,
    /// Where callers and the instance send requests.
    pub callers: SocketAddr,
    /// Where the platform asks whether callers may come.
    pub ready: SocketAddr,
    /// Where the instance sends heartbeats.
    pub control: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Files and sockets that the process may have open.
    #[serde(default = "descriptors")]
    pub descriptors: usize,
    /// Megabytes that the process may take.
    #[serde(default = "memory")]
    pub memory: usize,
    /// What is read ahead of the answers on a caller's connection.
    #[serde(default)]
    pub read_ahead: ReadAhead,
    /// The platform's bounds by name.
    #[serde(default)]
    pub bounds: BTreeMap<String, String>,
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// If there is no such file, or a key in it is missing or wrong.
    pub fn read(path: &Path) -> Result<Settings, Failure> {
        let text = std::fs::read_to_string(path).map_err(|cause| {
            Failure::File { path: path.display().to_string(), cause }
        })?;
        crate::settings::parse_yaml(&path.display().to_string(), &text)
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// If a key is missing or wrong.
    pub fn parse(text: &str) -> Result<Settings, Failure> {
        crate::settings::parse_yaml("settings", text)
    }

    /// The address by which other nodes know this one.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peers)
    }

    /// The platform's bounds that concern this node.
    pub fn bounds(&self) -> Bounds {
        Bounds::parse(
            self.bounds.iter().map(|(n, v)| (n.as_str(), v.as_str())),
        )
    }

    /// How long the node has from the signal to end.
    pub fn grace(&self) -> Millis {
        self.bounds().grace.unwrap_or(GRACE)
    }
}
