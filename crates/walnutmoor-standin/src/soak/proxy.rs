/*!
A loopback TCP proxy that can delay, stall, reset or refuse connections.

Stalled bytes are not lost. They are forwarded when the fault ends, as after
retransmissions, unless one side has closed the connection by then.
*/

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

/// How the proxy handles connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Forwards everything.
    #[default]
    Forward,
    /// Forwards everything after a delay.
    Delay(Duration),
    /// Stalls bytes sent to the target.
    StallToTarget,
    /// Stalls bytes sent by the target.
    StallFromTarget,
    /// Stalls both directions.
    StallBoth,
    /// Resets new connections.
    Refuse,
}

/// The direction of a byte stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Mode {
    fn stalls(self, direction: Direction) -> bool {
        match self {
            Mode::StallBoth => true,
            Mode::StallToTarget => direction == Direction::ToTarget,
            Mode::StallFromTarget => direction == Direction::FromTarget,
            _ => false,
        }
    }
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Proxy {
    /// Starts a proxy for `target` on a free loopback port.
    ///
    /// # Panics
    ///
    /// If no port can be opened.
    pub async fn start(target: SocketAddr) -> Arc<Proxy> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listener = TcpListener::bind(any).await.expect("a free port");
        let (mode, _) = watch::channel(Mode::Forward);
        let proxy = Arc::new(Proxy {
            address: listener.local_addr().expect("a bound port"),
            mode,
            tasks: Mutex::default(),
        });
        tokio::spawn(accept(proxy.clone(), listener, target));
        proxy
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how it handles connections, including the open ones.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        let tasks = std::mem::take(&mut *self.lock());
        for task in tasks {
            task.abort();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.tasks.lock().expect("no holder panics")
    }
}

async fn accept(proxy: Arc<Proxy>, listener: TcpListener, target: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        // With zero linger, dropping the stream resets the connection.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let mode = proxy.mode.subscribe();
        if *mode.borrow() == Mode::Refuse {
            continue;
        }
        let task = tokio::spawn(forward(stream, target, mode));
        let mut tasks = proxy.lock();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
) {
    let Ok(target) = TcpStream::connect(target).await else {
        return;
    };
    let _ = SockRef::from(&target).set_linger(Some(Duration::ZERO));
    let _ = (client.set_nodelay(true), target.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    tokio::join!(
        copy(client_read, target_write, Direction::ToTarget, mode.clone()),
        copy(target_read, client_write, Direction::FromTarget, mode),
    );
}

/// Copies bytes in one direction until the end of the stream.
async fn copy(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    direction: Direction,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = read.read(&mut buffer).await else {
            return;
        };
        let current = *mode.borrow();
        if let Mode::Delay(span) = current {
            tokio::time::sleep(span).await;
        }
        if mode.wait_for(|mode| !mode.stalls(direction)).await.is_err() {
            return;
        }
        if count == 0 {
            // Passes on the half-close.
            let _ = write.shutdown().await;
            return;
        }
        if write.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
