/*!
Nodes of the mesh as processes of their own, on free ports of the loopback.

A process is ended when its handle is dropped, and only by the id under which
it was started.
*/

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

use crate::child::{self, Ports};

/// The addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For links of other nodes.
    pub peers: SocketAddr,
    /// For callers.
    pub callers: SocketAddr,
    /// For the question whether callers may come.
    pub ready: SocketAddr,
    /// For heartbeats.
    pub control: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// Where its instance listens.
    pub server: SocketAddr,
}

impl Addresses {
    /// Free ones.
    pub fn draw() -> Addresses {
        let (a, b) = (Ports::allocate(), Ports::allocate());
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Addresses {
            peers: local(a.node),
            callers: local(a.caller),
            ready: local(a.operator),
            control: local(b.node),
            metrics: local(b.caller),
            server: local(b.operator),
        }
    }
}

/// How to start a node.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program.
    pub program: PathBuf,
    /// Where other nodes reach it, if not at its own address.
    pub advertise: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// The service of its instance.
    pub service: String,
    /// The store.
    pub store: SocketAddr,
    /// Its addresses.
    pub addresses: Addresses,
    /// Where it reaches its instance, if not at the instance's own address.
    pub server: Option<SocketAddr>,
    /// Files and sockets that it is told it may have.
    pub descriptors: usize,
    /// The platform's bounds, as name and text.
    pub bounds: Vec<(String, String)>,
}

/// A node that runs.
#[derive(Debug)]
pub struct Node {
    child: Child,
    setup: Setup,
    dir: PathBuf,
}

static SERIAL: AtomicU32 = AtomicU32::new(0);

impl Node {
    /// Starts a node.
    ///
    /// # Panics
    ///
    /// If the process can't be started.
    pub fn start(setup: &Setup) -> Node {
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let name = format!("walnutmoor-mesh-{}-{serial}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("a folder for settings");
        let file = dir.join("node.yaml");
        fs::write(&file, settings(setup)).expect("a settings file");
        let child = spawn(&setup.program, &file, &dir);
        Node { child, setup: setup.clone(), dir }
    }

    /// Its addresses.
    pub fn addresses(&self) -> Addresses {
        self.setup.addresses
    }

    /// Ends it without a word and starts another life of it.
    pub fn restart(&mut self) {
        self.kill();
        let file = self.dir.join("node.yaml");
        self.child = spawn(&self.setup.program, &file, &self.dir);
    }

    /// Ends it at once, without a word.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name, as in `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        debug_assert!(status.is_ok());
    }

    /// True if the process is there no more.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// True once it has ended by itself with success.
    pub fn has_ended_well(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(s)) if s.success())
    }

    /// What it wrote to its log.
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

fn spawn(program: &Path, file: &Path, dir: &Path) -> Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(dir.join("log"))
        .expect("a log file");
    let mut program = Command::new(program);
    let program = program
        .args(["mesh", "--settings"])
        .arg(file)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::inherit());
    child::spawn(program).expect("the node starts")
}

fn settings(setup: &Setup) -> String {
    let at = &setup.addresses;
    let pair = |(name, value): &(String, String)| format!("{name}: '{value}'");
    let bounds: Vec<String> = setup.bounds.iter().map(pair).collect();
    format!(
        "name: '{}'\npeers: '{}'\nadvertise: '{}'\nzone: {}\n\
         service: {}\nserver: '{}'\n\
         callers: '{}'\nready: '{}'\ncontrol: '{}'\nmetrics: '{}'\n\
         store: '{}'\nbounds: {{ {} }}\n\
         descriptors: {}\n",
        at.peers,
        at.peers,
        setup.advertise.unwrap_or(at.peers),
        setup.zone,
        setup.service,
        setup.server.unwrap_or(at.server),
        at.callers,
        at.ready,
        at.control,
        at.metrics,
        setup.store,
        bounds.join(", "),
        setup.descriptors,
    )
}
