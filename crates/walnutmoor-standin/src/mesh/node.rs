/*!
Nodes of the mesh as child processes, on free loopback ports.

Dropping a handle kills its process.
*/

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

use crate::child::{self, Ports};

/// The addresses of a node and its instance.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// The readiness endpoint.
    pub ready: SocketAddr,
    /// Where the instance sends heartbeats.
    pub control: SocketAddr,
    /// The metrics endpoint.
    pub metrics: SocketAddr,
    /// Where its instance listens.
    pub server: SocketAddr,
}

impl Addresses {
    /// Allocates free loopback addresses.
    pub fn allocate() -> Addresses {
        let (first, second) = (Ports::allocate(), Ports::allocate());
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Addresses {
            peers: local(first.node),
            callers: local(first.caller),
            ready: local(first.operator),
            control: local(second.node),
            metrics: local(second.caller),
            server: local(second.operator),
        }
    }
}

/// The program and settings of a node.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program and its leading arguments.
    pub program: Vec<PathBuf>,
    /// The address that other nodes use, if not `addresses.peers`.
    pub advertise: Option<SocketAddr>,
    /// Its availability zone.
    pub zone: String,
    /// The service of its instance.
    pub service: String,
    /// The address of the store.
    pub store: SocketAddr,
    /// Its addresses.
    pub addresses: Addresses,
    /// The address at which it reaches its instance, if not
    /// `addresses.server`.
    pub server: Option<SocketAddr>,
    /// The limit of file descriptors in its settings.
    pub descriptors: usize,
    /// The limit of memory in its settings, in megabytes.
    pub memory: u64,
    /// The parts of overload control that are enabled in its settings.
    pub overload: Vec<String>,
    /// The platform's bounds, as names and values.
    pub bounds: Vec<(String, String)>,
}

/// A running node process.
#[derive(Debug)]
pub struct Node {
    child: Child,
    setup: Setup,
    dir: PathBuf,
}

static SERIAL: AtomicU32 = AtomicU32::new(0);

impl Node {
    /// Writes the settings file and starts the process.
    ///
    /// # Panics
    ///
    /// If the settings can't be written or the process can't be started.
    pub fn start(setup: &Setup) -> Node {
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let name = format!("walnutmoor-mesh-{}-{serial}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("a folder for settings");
        let file = dir.join("node.yaml");
        fs::write(&file, render_settings(setup)).expect("a settings file");
        let child = spawn(&setup.program, &file, &dir);
        Node { child, setup: setup.clone(), dir }
    }

    /// Its addresses.
    pub fn addresses(&self) -> Addresses {
        self.setup.addresses
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        let file = self.dir.join("node.yaml");
        self.child = spawn(&self.setup.program, &file, &self.dir);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// True if the process handles SIGHUP. `None` where the system doesn't
    /// tell, or after its exit.
    pub fn handles_hangup(&self) -> Option<bool> {
        const HANGUP: u64 = 1;
        let caught = child::status(self.child.id(), "SigCgt:")?;
        let caught = u64::from_str_radix(&caught, 16).ok()?;
        Some(caught & HANGUP != 0)
    }

    /// True if the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.exit_status().is_some()
    }

    /// How the process has exited; `None` if it has not.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// True if the process has exited with success.
    pub fn has_succeeded(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(s)) if s.success())
    }

    /// The number of file descriptors that the process has open. `None` where
    /// the system doesn't tell, or after its exit.
    pub fn descriptors(&self) -> Option<usize> {
        child::descriptors(self.child.id())
    }

    /// The most memory that the process has held, in mebibytes. `None` where
    /// the system doesn't tell, or after its exit.
    pub fn peak_memory_mb(&self) -> Option<u64> {
        self.status_mb("VmHWM:")
    }

    /// The memory that the process holds, in mebibytes. `None` as above.
    pub fn resident_mb(&self) -> Option<u64> {
        self.status_mb("VmRSS:")
    }

    fn status_mb(&self, field: &str) -> Option<u64> {
        child::status_mb(self.child.id(), field)
    }

    /// Its log so far; empty if the log can't be read.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Sends a signal to a process by its name, such as `STOP`, `CONT` or `TERM`.
pub fn signal(pid: u32, name: &str) {
    let pid = pid.to_string();
    let status = Command::new("kill").args(["-s", name, &pid]).status();
    debug_assert!(status.is_ok());
}

fn spawn(program: &[PathBuf], file: &Path, dir: &Path) -> Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(dir.join("log"))
        .expect("a log file");
    let (program, arguments) = program.split_first().expect("a program");
    let mut program = Command::new(program);
    let program = program
        .args(arguments)
        .args(["mesh", "--settings"])
        .arg(file)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::inherit());
    child::spawn(program).expect("the node starts")
}

fn render_settings(setup: &Setup) -> String {
    let addresses = &setup.addresses;
    let pair = |(name, value): &(String, String)| format!("{name}: '{value}'");
    let bounds: Vec<String> = setup.bounds.iter().map(pair).collect();
    let enable = |part: &String| format!("{part}: true");
    let overload: Vec<String> = setup.overload.iter().map(enable).collect();
    format!(
        "name: '{}'\npeers: '{}'\nadvertise: '{}'\nzone: {}\n\
         service: {}\nserver: '{}'\n\
         callers: '{}'\nready: '{}'\ncontrol: '{}'\nmetrics: '{}'\n\
         store: '{}'\nbounds: {{ {} }}\n\
         overload: {{ {} }}\n\
         descriptors: {}\nmemory: {}\n",
        addresses.peers,
        addresses.peers,
        setup.advertise.unwrap_or(addresses.peers),
        setup.zone,
        setup.service,
        setup.server.unwrap_or(addresses.server),
        addresses.callers,
        addresses.ready,
        addresses.control,
        addresses.metrics,
        setup.store,
        bounds.join(", "),
        overload.join(", "),
        setup.descriptors,
        setup.memory,
    )
}
