/*!
Nodes as processes of their own, on free ports of the loopback.

A process is ended when its handle is dropped, and only by the id under
which it was started.
*/

use std::{
    fs, io,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU16, AtomicU32, Ordering},
    },
};

use walnutmoor::prelude::*;

/// How to start a node.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program and its first words.
    pub program: Vec<PathBuf>,
    /// The zone.
    pub zone: String,
    /// The platform's URL; `None`: in memory.
    pub platform: Option<String>,
    /// `enforce` or `observe`.
    pub mode: String,
    /// Further settings, as YAML.
    pub extra: String,
    /// The ports to use, to start again where one was before.
    pub ports: Option<Ports>,
}

impl Setup {
    /// A node in a zone, with this program.
    pub fn new(program: &Path, zone: &str) -> Setup {
        Setup {
            program: vec![program.to_path_buf()],
            zone: zone.to_string(),
            platform: None,
            mode: "enforce".to_string(),
            extra: String::new(),
            ports: None,
        }
    }
}

/// Held while a process is started, and while ports are probed. A process
/// holds a copy of all open sockets from its fork to its exec, so a port that
/// is probed meanwhile stays taken for some milliseconds more. Of 1,500 ports
/// that were drawn beside four threads that start processes, 13 to 18 could
/// not be bound without this.
static STARTING: Mutex<()> = Mutex::new(());

fn starting() -> MutexGuard<'static, ()> {
    // A test that failed while it held the lock has left nothing unfinished.
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a program.
///
/// # Errors
///
/// If it can't be started.
pub fn spawn(program: &mut Command) -> io::Result<Child> {
    let _starting = starting();
    program.spawn()
}

/// The ports of one node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ports {
    /// For peers; the one above it for long control messages.
    pub node: u16,
    /// For callers.
    pub caller: u16,
    /// For operators.
    pub operator: u16,
}

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Ports are drawn below the range from which systems draw their own.
const LOW: u16 = 12_000;
const SPAN: u16 = 20_000;

impl Ports {
    /// Four free ports in a row.
    pub fn draw() -> Ports {
        loop {
            let start = (std::process::id() as u16).wrapping_mul(97);
            let step = NEXT.fetch_add(4, Ordering::Relaxed);
            let base = LOW + start.wrapping_add(step) % SPAN;
            if (base..base + 4).all(is_free) {
                return Ports {
                    node: base,
                    caller: base + 2,
                    operator: base + 3,
                };
            }
        }
    }

    /// Where peers reach the node.
    pub fn node_id(&self) -> NodeId {
        NodeId(local(self.node))
    }
}

fn is_free(port: u16) -> bool {
    let _starting = starting();
    TcpListener::bind(local(port)).is_ok()
        && UdpSocket::bind(local(port)).is_ok()
}

fn local(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// A node that runs.
#[derive(Debug)]
pub struct Node {
    child: Child,
    ports: Ports,
    setup: Setup,
    dir: PathBuf,
}

static SERIAL: AtomicU32 = AtomicU32::new(0);

impl Node {
    /// Starts a node.
    ///
    /// # Panics
    ///
    /// If the process cannot be started.
    pub fn start(setup: &Setup) -> Node {
        let ports = setup.ports.unwrap_or_else(Ports::draw);
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let name = format!("walnutmoor-{}-{serial}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("a folder for settings");
        let file = dir.join("node.yaml");
        fs::write(&file, settings(setup, ports)).expect("a settings file");
        let log = fs::File::create(dir.join("log")).expect("a log file");
        let mut program = Command::new(&setup.program[0]);
        let program = program
            .args(&setup.program[1..])
            .arg("node")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = spawn(program).expect("the node starts");
        Node { child, ports, setup: setup.clone(), dir }
    }

    /// Starts another life on the same ports.
    pub fn restart(&mut self) {
        self.kill();
        let mut setup = self.setup.clone();
        setup.ports = Some(self.ports);
        *self = Node::start(&setup);
    }

    /// Its ports.
    pub fn ports(&self) -> Ports {
        self.ports
    }

    /// Where callers reach it.
    pub fn caller(&self) -> SocketAddr {
        local(self.ports.caller)
    }

    /// Where operators reach it.
    pub fn operator(&self) -> SocketAddr {
        local(self.ports.operator)
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it wrote to its log.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }

    /// Ends it at once, without a word.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name, as in `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        debug_assert!(status.is_ok());
    }

    /// True once it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The exit code, once it has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().and_then(|s| s.code())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn settings(setup: &Setup, ports: Ports) -> String {
    let platform = match &setup.platform {
        Some(url) => format!("{{ kind: http, url: '{url}' }}"),
        None => "{ kind: memory }".to_string(),
    };
    let Ports { node, caller, operator } = ports;
    let (zone, mode) = (&setup.zone, &setup.mode);
    format!(
        "node: {{ address: '127.0.0.1:{node}', zone: {zone}, \
         mode: {mode} }}\n\
         caller: {{ address: '127.0.0.1:{caller}' }}\n\
         operator: {{ address: '127.0.0.1:{operator}' }}\n\
         platform: {platform}\n{}",
        setup.extra
    )
}
