/*!
Runs nodes as child processes on free loopback ports.

Dropping the handle of a node kills its process.
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

/// Configures a node process.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program and its leading arguments.
    pub program: Vec<PathBuf>,
    /// The availability zone.
    pub zone: String,
    /// The URL of the platform, or `None` for the in-memory platform.
    pub platform: Option<String>,
    /// `enforce` or `observe`.
    pub mode: String,
    /// Additional settings, as YAML.
    pub extra: String,
    /// The ports to use, or `None` to allocate free ones.
    pub ports: Option<Ports>,
}

impl Setup {
    /// Creates the setup of an enforcing node with an in-memory platform.
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

/// Held while a process is spawned and while ports are probed. Between fork
/// and exec a child holds copies of all open sockets, so a port that is probed
/// at that time would stay in use after the probe.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

fn lock_spawning() -> MutexGuard<'static, ()> {
    // The lock guards no data, so a poisoned one is safe to use.
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Spawns a program while no port is being probed.
///
/// # Errors
///
/// If the program cannot be started.
pub fn spawn(program: &mut Command) -> io::Result<Child> {
    let _guard = lock_spawning();
    program.spawn()
}

/// A program and its leading arguments that run with this limit of open file
/// descriptors.
pub fn limit_descriptors(program: &Path, limit: usize) -> Vec<PathBuf> {
    let script = format!("ulimit -n {limit}; exec \"$0\" \"$@\"");
    let shell = ["sh", "-c", &script].map(PathBuf::from);
    [shell.as_slice(), &[program.to_path_buf()]].concat()
}

/// The number of file descriptors that a process has open. `None` where the
/// system doesn't tell, or after its exit.
pub fn descriptors(pid: u32) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}

/// A field of the memory of a process, in mebibytes, such as `VmHWM:`. `None`
/// where the system doesn't tell, or after its exit.
pub fn status_mb(pid: u32, field: &str) -> Option<u64> {
    let kib: u64 = status(pid, field)?.parse().ok()?;
    Some(kib / 1_024)
}

/// The first word of a field of the status of a process, such as `SigCgt:`.
/// `None` where the system doesn't tell, or after its exit.
pub fn status(pid: u32, field: &str) -> Option<String> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1).map(str::to_string)
}

/// The ports of one node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ports {
    /// For peers; the next port is for long control messages.
    pub node: u16,
    /// For callers.
    pub caller: u16,
    /// For operators.
    pub operator: u16,
}

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// The lowest allocated port. The range stays below the ephemeral ports of
/// the operating system.
const FIRST_PORT: u16 = 12_000;
/// The number of ports from which blocks are allocated.
const PORT_COUNT: u16 = 20_000;

impl Ports {
    /// Allocates four consecutive free ports.
    pub fn allocate() -> Ports {
        loop {
            let start = (std::process::id() as u16).wrapping_mul(97);
            let offset = NEXT_OFFSET.fetch_add(4, Ordering::Relaxed);
            let base = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
            if (base..base + 4).all(is_free) {
                return Ports {
                    node: base,
                    caller: base + 2,
                    operator: base + 3,
                };
            }
        }
    }

    /// The node id, which is its peer address.
    pub fn node_id(&self) -> NodeId {
        NodeId(local(self.node))
    }
}

fn is_free(port: u16) -> bool {
    let _guard = lock_spawning();
    TcpListener::bind(local(port)).is_ok()
        && UdpSocket::bind(local(port)).is_ok()
}

fn local(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// A running node process.
#[derive(Debug)]
pub struct Node {
    child: Child,
    ports: Ports,
    setup: Setup,
    dir: PathBuf,
}

static NEXT_DIR_ID: AtomicU32 = AtomicU32::new(0);

impl Node {
    /// Starts a node.
    ///
    /// # Panics
    ///
    /// If the process cannot be started.
    pub fn start(setup: &Setup) -> Node {
        let ports = setup.ports.unwrap_or_else(Ports::allocate);
        let serial = NEXT_DIR_ID.fetch_add(1, Ordering::Relaxed);
        let name = format!("walnutmoor-{}-{serial}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("create the settings directory");
        let file = dir.join("node.yaml");
        fs::write(&file, settings(setup, ports))
            .expect("write the settings file");
        let log =
            fs::File::create(dir.join("log")).expect("create the log file");
        let mut program = Command::new(&setup.program[0]);
        let program = program
            .args(&setup.program[1..])
            .arg("node")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = spawn(program).expect("start the node process");
        Node { child, ports, setup: setup.clone(), dir }
    }

    /// Kills the process and starts a new one on the same ports.
    pub fn restart(&mut self) {
        self.kill();
        let mut setup = self.setup.clone();
        setup.ports = Some(self.ports);
        *self = Node::start(&setup);
    }

    /// The ports of the node.
    pub fn ports(&self) -> Ports {
        self.ports
    }

    /// The address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        local(self.ports.caller)
    }

    /// The address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        local(self.ports.operator)
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The most memory that the process has held, in mebibytes. `None` where
    /// the system doesn't tell, or after its exit.
    pub fn peak_memory_mb(&self) -> Option<u64> {
        status_mb(self.pid(), "VmHWM:")
    }

    /// The log output of the current process so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        debug_assert!(status.is_ok());
    }

    /// Returns true if the process has exited.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The exit code, if the process has exited with one.
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
