//! The same crowds at `walnutmoor node`.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::timeout,
};
use walnutmoor::wire;
use walnutmoor_standin::{
    child,
    client::{Attempt, Client, Outcome},
    mesh::{caller, slow},
};

use crate::{fixture::until, world::run_alone};

/// The memory of a machine, in megabytes.
const MEMORY_MB: u64 = 260;

const BODY_BYTES: usize = 1_000_000;

/// After this time a call is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The descriptors that a process may open where the crowd wants more.
const DESCRIPTORS: usize = 100;

/// A node with its backend server.
struct World {
    node: child::Node,
    client: Client,
    answer_bytes: Arc<AtomicUsize>,
}

/// Starts a backend server that answers every request with a body of the
/// length returned.
async fn start_backend() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let length = Arc::new(AtomicUsize::new(2));
    let shared = length.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, shared.clone()));
        }
    });
    (address, length)
}

async fn serve(mut stream: TcpStream, length: Arc<AtomicUsize>) {
    let mut buffer = Vec::new();
    while caller::read_request(&mut stream, &mut buffer).await.is_some() {
        let length = length.load(Ordering::Relaxed);
        let head =
            format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + length, b'a');
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn start_with(program: Vec<PathBuf>, deadline: &str) -> World {
    let (backend, answer_bytes) = start_backend().await;
    let extra = format!(
        "server: {{ service: desk, address: '{backend}', slots: 64, \
         connections: 64 }}\nlimits: {{ body: 1MB, deadline: {deadline} }}\n\
         classes: [{{ name: browse, kind: browse, share: 99%, \
         within: 5s }}]\n"
    );
    let path = Path::new(env!("CARGO_BIN_EXE_walnutmoor"));
    let setup =
        child::Setup { program, extra, ..child::Setup::new(path, "a") };
    let node = child::Node::start(&setup);
    let world = World { node, client: Client::new(), answer_bytes };
    until("the node serves", || world.is_served("first")).await;
    world
}

/// The longest time that a caller may give a call, unless a test needs another.
const DEADLINE: &str = "5s";

async fn start() -> World {
    start_with_deadline(DEADLINE).await
}

async fn start_with_deadline(deadline: &str) -> World {
    let program = Path::new(env!("CARGO_BIN_EXE_walnutmoor"));
    start_with(vec![program.to_path_buf()], deadline).await
}

/// The head of a call whose body has this length.
fn head(request: &str, length: usize) -> String {
    format!(
        "POST /v1/call/desk/it HTTP/1.1\r\nhost: node\r\n{}: browse\r\n\
         {}: {request}\r\ncontent-length: {length}\r\n\r\n",
        wire::CLASS,
        wire::REQUEST,
    )
}

impl World {
    async fn is_served(&self, request: &str) -> bool {
        let call = Attempt::post("/v1/call/desk/it")
            .header(wire::CLASS, "browse")
            .header(wire::REQUEST, request);
        let sent = self.client.send(self.node.caller_address(), call);
        // A node without descriptors never answers.
        let sent = timeout(ANSWER_TIMEOUT, sent).await;
        matches!(sent, Ok(Outcome::Response { status, .. }) if status == 200)
    }

    async fn open(&self) -> Option<TcpStream> {
        slow::open(self.node.caller_address()).await
    }

    /// Checks that the process lives, stays within its memory and answers.
    async fn check(&mut self) {
        self.answer_bytes.store(2, Ordering::Relaxed);
        let mut attempts = 0;
        until("an ordinary call is served", || {
            attempts += 1;
            let (world, id) = (&*self, format!("after-{attempts}"));
            async move { world.is_served(&id).await }
        })
        .await;
        assert!(!self.node.has_ended(), "the node has ended");
        let peak = self.node.peak_memory_mb().unwrap();
        eprintln!("peak of {peak} MB, {MEMORY_MB} MB allowed");
        assert!(peak < MEMORY_MB, "{peak} MB of {MEMORY_MB} MB");
    }
}

/// Guards against limits that leave no room for a single call.
#[test]
fn node_a_body_and_an_answer_of_the_greatest_length_are_served_in_calm() {
    const GREATEST: usize = 1 << 20;
    run_alone(async {
        let mut world = start().await;
        world.answer_bytes.store(GREATEST, Ordering::Relaxed);

        let call = Attempt::post("/v1/call/desk/it")
            .header(wire::CLASS, "browse")
            .header(wire::REQUEST, "longest")
            .body(vec![b'b'; GREATEST]);
        let sent = world.client.send(world.node.caller_address(), call).await;

        let Outcome::Response { status, body, .. } = sent else {
            panic!("{sent:?}");
        };
        assert_eq!((status, body.len()), (200, GREATEST));
        world.check().await;
    });
}

/// Guards against a node that holds all bodies that stop short of their end.
#[test]
fn node_bodies_short_of_their_length_do_not_take_the_memory() {
    const CLIENTS: usize = 400;
    run_alone(async {
        let mut world = start().await;

        let mut clients = Vec::new();
        for n in 0..CLIENTS {
            let mut stream = world.open().await.unwrap();
            let text = head(&format!("short-{n}"), BODY_BYTES);
            let mut bytes = text.into_bytes();
            bytes.resize(bytes.len() + BODY_BYTES - 10, b'b');
            slow::send(&mut stream, &bytes).await;
            clients.push(stream);
        }

        world.check().await;
        drop(clients);
    });
}

/// Opens clients that request long answers in a pipeline and read only the
/// first bytes.
async fn open_unread(world: &World) -> Vec<TcpStream> {
    const CLIENTS: usize = 400;
    const PIPELINED: usize = 8;
    world.answer_bytes.store(BODY_BYTES, Ordering::Relaxed);
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let mut stream = world.open().await.unwrap();
        let calls = (0..PIPELINED).map(|k| head(&format!("p{n}-{k}"), 0));
        let calls: String = calls.collect();
        slow::send(&mut stream, calls.as_bytes()).await;
        slow::await_first_bytes(&mut stream).await;
        clients.push(stream);
    }
    clients
}

/// Guards against a node that holds the answers of all clients that do not
/// read them.
#[test]
fn node_unread_answers_to_pipelined_calls_do_not_take_the_memory() {
    run_alone(async {
        let mut world = start().await;

        let _clients = open_unread(&world).await;

        world.check().await;
    });
}

/// Guards against answers that are held as long as deadlines allow.
#[test]
fn node_unread_answers_with_long_deadlines_do_not_take_the_memory() {
    run_alone(async {
        let mut world = start_with_deadline("60s").await;

        let _clients = open_unread(&world).await;

        world.check().await;
    });
}

/// Guards against a body that is awaited after its caller has stopped waiting.
#[test]
fn node_a_body_that_is_not_complete_by_its_deadline_is_refused() {
    run_alone(async {
        let mut world = start_with_deadline("1s").await;
        let mut stream = world.open().await.unwrap();
        let text = head("late", BODY_BYTES) + "begun";

        slow::send(&mut stream, text.as_bytes()).await;

        let mut caller = caller::Connection::from(stream);
        let answer = timeout(ANSWER_TIMEOUT, caller.read()).await.unwrap();
        assert_eq!(answer.map(|answer| answer.status), Some(408));
        world.check().await;
    });
}

/// Guards against the same where each client sends a whole body first.
#[test]
fn node_unread_answers_to_whole_bodies_do_not_take_the_memory() {
    const CLIENTS: usize = 600;
    run_alone(async {
        let mut world = start().await;
        world.answer_bytes.store(BODY_BYTES, Ordering::Relaxed);

        let mut clients = Vec::new();
        for n in 0..CLIENTS {
            let mut stream = world.open().await.unwrap();
            let text = head(&format!("whole-{n}"), BODY_BYTES);
            let mut bytes = text.into_bytes();
            bytes.resize(bytes.len() + BODY_BYTES, b'b');
            clients.push(tokio::spawn(async move {
                slow::send(&mut stream, &bytes).await;
                slow::await_first_bytes(&mut stream).await;
                stream
            }));
        }
        let mut streams = Vec::new();
        for client in clients {
            streams.push(client.await.unwrap());
        }

        world.check().await;
        drop(streams);
    });
}

/// Guards against silent connections that take all descriptors.
#[test]
fn node_silent_connections_leave_descriptors() {
    const SILENT: usize = 150;
    run_alone(async {
        let program = Path::new(env!("CARGO_BIN_EXE_walnutmoor"));
        let program = child::limit_descriptors(program, DESCRIPTORS);
        let mut world = start_with(program, DEADLINE).await;
        // The next call needs a connection of its own.
        world.client = Client::new();

        let mut silent = Vec::new();
        for _ in 0..SILENT {
            silent.extend(world.open().await);
        }

        world.check().await;
        drop(silent);
    });
}
