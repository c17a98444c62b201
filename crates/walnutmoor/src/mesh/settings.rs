/*!
The settings of a node in the mesh, in YAML.

The platform renders the file from a template at each start and each change;
`docs/SETTINGS.md` lists the keys.
*/

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use serde::Deserialize;
use walnutmoor_core::{
    id::{Service, Zone},
    intake::Intake,
    session,
    time::Millis,
};
use walnutmoor_platform::bound::Bounds;

use crate::{failure::Failure, memory::MAX_FRACTION};

/// Time between the termination signal and the kill by the platform, unless
/// the settings specify it.
const DEFAULT_GRACE: Millis = Millis(6_000);

/// The fraction of the memory for responses that are being read, and the same
/// for replies that wait to be written to other nodes. A complete response is
/// held up to four times until it is written to another node.
const MAX_INTAKE_FRACTION: f64 = 0.1;

/// The fraction of the memory for replies that were written to other nodes and
/// may be lost with a link.
const MAX_KEPT_FRACTION: f64 = 0.05;

/// Default limit of open files and sockets.
fn default_descriptors() -> usize {
    1_024
}

/// Default memory limit, in megabytes.
fn default_memory() -> usize {
    256
}

/// Limits on what a node reads from one caller's connection before it has
/// answered earlier requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReadAhead {
    /// Maximum number of requests in flight.
    pub requests: usize,
    /// Maximum number of bytes that are read and not decoded yet. A longer
    /// request head is still read whole if the operator allows its size.
    pub bytes: usize,
}

impl Default for ReadAhead {
    /// Enough for the pipelining of common clients.
    fn default() -> ReadAhead {
        ReadAhead { requests: 16, bytes: 32 << 10 }
    }
}

/// Switches of the overload control, each off by default.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Overload {
    /// Gives refused callers a retry time for which capacity is reserved.
    pub reservations: bool,
    /// Lets requests wait at the ingress for a bounded time.
    pub ingress_wait: bool,
    /// Orders retries by the number that a request needs, and refuses requests
    /// that are unlikely to complete.
    pub feasibility: bool,
    /// Lets the preference for the local zone fall when that zone is full.
    pub zone_spill: bool,
    /// Keeps connections to the instance open after a call was canceled.
    pub keep_connections: bool,
    /// Passes learned profiles to other nodes.
    pub handover: bool,
    /// Divides a short service fairly between client accounts.
    pub fair_shares: bool,
}

/// The settings of a node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the node in logs.
    pub name: String,
    /// The TCP address on which the node listens for other nodes.
    pub peers: SocketAddr,
    /// The address of `peers` as announced to other nodes, if it differs from
    /// the one on which the node listens. It also identifies the node.
    pub advertise: Option<SocketAddr>,
    /// The availability zone of the node.
    pub zone: Zone,
    /// The service of the instance beside the node.
    pub service: Service,
    /// The address on which that instance listens.
    pub server: SocketAddr,
    /// The address that accepts requests from callers and the instance.
    pub callers: SocketAddr,
    /// The address of the platform's readiness probe.
    pub ready: SocketAddr,
    /// The address that accepts heartbeats of the instance.
    pub control: SocketAddr,
    /// The address that serves metrics.
    pub metrics: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Limit of open files and sockets of the process.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Memory limit of the process, in megabytes.
    #[serde(default = "default_memory")]
    pub memory: usize,
    /// Limits on reading ahead on a caller's connection.
    #[serde(default)]
    pub read_ahead: ReadAhead,
    /// Switches of the overload control.
    #[serde(default)]
    pub overload: Overload,
    /// The platform's bounds, by name.
    #[serde(default)]
    pub bounds: BTreeMap<String, String>,
}

impl Settings {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or a key in it is missing or invalid.
    pub fn read(path: &Path) -> Result<Settings, Failure> {
        let text = std::fs::read_to_string(path).map_err(|cause| {
            Failure::File { path: path.display().to_string(), cause }
        })?;
        crate::settings::parse_yaml(&path.display().to_string(), &text)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// If a key is missing or invalid.
    pub fn parse(text: &str) -> Result<Settings, Failure> {
        crate::settings::parse_yaml("settings", text)
    }

    /// The address that identifies this node to others.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peers)
    }

    /// Parses the platform's bounds that apply to this node.
    pub fn bounds(&self) -> Bounds {
        Bounds::parse(
            self.bounds
                .iter()
                .map(|(name, value)| (name.as_str(), value.as_str())),
        )
    }

    /// The bytes of responses that may be read from the instance at a time.
    pub fn max_intake(&self) -> usize {
        self.fraction_of_memory(MAX_INTAKE_FRACTION)
    }

    /// The length of the longest response of the instance that is read, in
    /// bytes.
    pub fn max_response(&self) -> usize {
        self.fraction_of_memory(MAX_FRACTION)
    }

    /// The memory of the replies that are retained for other nodes.
    pub fn reply_memory(&self) -> session::Memory {
        let kept = self.fraction_of_memory(MAX_KEPT_FRACTION);
        session::Memory {
            queued: Intake::new(self.max_intake()),
            kept: Intake::new(kept),
        }
    }

    fn fraction_of_memory(&self, fraction: f64) -> usize {
        let memory = (self.memory << 20) as f64;
        (memory * fraction) as usize
    }

    /// Time between the termination signal and the kill by the platform.
    pub fn grace(&self) -> Millis {
        self.bounds().grace.unwrap_or(DEFAULT_GRACE)
    }
}
