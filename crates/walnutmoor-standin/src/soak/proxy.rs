/*!
A proxy on the loopback that delays, holds back, resets or refuses what goes
through it.

Bytes that are held back are not lost: they come through when the fault ends,
as a network's retransmissions do, unless a side has given up by then.
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

/// What the proxy does with connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Passes everything on.
    #[default]
    Open,
    /// Passes everything on after this long.
    Slow(Duration),
    /// Holds back what is sent to the target.
    CutThere,
    /// Holds back what the target sends.
    CutBack,
    /// Holds back everything.
    Silent,
    /// Resets new connections.
    Refuses,
}

/// The way that bytes go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    There,
    Back,
}

impl Mode {
    fn holds(self, way: Way) -> bool {
        match self {
            Mode::Silent => true,
            Mode::CutThere => way == Way::There,
            Mode::CutBack => way == Way::Back,
            _ => false,
        }
    }
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    open: Mutex<Vec<JoinHandle<()>>>,
}

impl Proxy {
    /// Starts one on a free port of the loopback.
    ///
    /// # Panics
    ///
    /// If no port can be opened.
    pub async fn start(target: SocketAddr) -> Arc<Proxy> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listener = TcpListener::bind(any).await.expect("a free port");
        let (mode, _) = watch::channel(Mode::Open);
        let proxy = Arc::new(Proxy {
            address: listener.local_addr().expect("a bound port"),
            mode,
            open: Mutex::default(),
        });
        tokio::spawn(accept(proxy.clone(), listener, target));
        proxy
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what becomes of bytes and connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        let open = std::mem::take(&mut *self.lock());
        for task in open {
            task.abort();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.open.lock().expect("no holder panics")
    }
}

async fn accept(proxy: Arc<Proxy>, listener: TcpListener, to: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        // A connection that is dropped is then reset, not closed.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let mode = proxy.mode.subscribe();
        if *mode.borrow() == Mode::Refuses {
            continue;
        }
        let task = tokio::spawn(carry(stream, to, mode));
        let mut open = proxy.lock();
        open.retain(|task| !task.is_finished());
        open.push(task);
    }
}

async fn carry(from: TcpStream, to: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(to) = TcpStream::connect(to).await else {
        return;
    };
    let _ = SockRef::from(&to).set_linger(Some(Duration::ZERO));
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let (from_read, from_write) = from.into_split();
    let (to_read, to_write) = to.into_split();
    tokio::join!(
        pump(from_read, to_write, Way::There, mode.clone()),
        pump(to_read, from_write, Way::Back, mode),
    );
}

/// Passes bytes on in one direction until it ends.
async fn pump(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    way: Way,
    mut mode: watch::Receiver<Mode>,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let Ok(count) = read.read(&mut bytes).await else {
            return;
        };
        let now = *mode.borrow();
        if let Mode::Slow(span) = now {
            tokio::time::sleep(span).await;
        }
        if mode.wait_for(|mode| !mode.holds(way)).await.is_err() {
            return;
        }
        if count == 0 {
            // The other side has closed its half; so does this one.
            let _ = write.shutdown().await;
            return;
        }
        if write.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
