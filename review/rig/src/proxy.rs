//! A loopback proxy in front of an address. Its open connections can go
//! silent: their bytes are dropped, while new connections work. It can also
//! lose the path of one sender, which it knows by the first bytes that a
//! connection carries.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

pub struct Proxy {
    pub address: SocketAddr,
    /// Connections with a number up to this one are silent.
    silent_up_to: AtomicU64,
    count: AtomicU64,
    /// Ports of senders whose path is lost.
    lost: Mutex<Vec<u16>>,
    /// True while all bytes are lost.
    cut: AtomicBool,
    /// The open connections, with the port of their sender once known.
    open: Mutex<Vec<(Arc<AtomicU64>, TcpStream, TcpStream)>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Proxy> {
        let listener =
            TcpListener::bind(crate::node::free()).expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let proxy = Arc::new(Proxy {
            address,
            silent_up_to: AtomicU64::new(0),
            count: AtomicU64::new(0),
            lost: Mutex::default(),
            cut: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number =
                    accepting.count.fetch_add(1, Ordering::SeqCst) + 1;
                let proxy = accepting.clone();
                thread::spawn(move || proxy.forward(stream, target, number));
            }
        });
        proxy
    }

    /// Makes all open connections silent for good.
    pub fn silence(&self) {
        self.silent_up_to
            .store(self.count.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Sets the senders whose path is lost.
    pub fn lose(&self, ports: &[u16]) {
        *self.lost.lock().unwrap() = ports.to_vec();
    }

    /// Closes the open connections of a sender.
    pub fn reset(&self, port: u16) {
        let mut open = self.open.lock().unwrap();
        open.retain(|(sender, client, server)| {
            if sender.load(Ordering::SeqCst) != u64::from(port) {
                return true;
            }
            let _ = client.shutdown(Shutdown::Both);
            let _ = server.shutdown(Shutdown::Both);
            false
        });
    }

    /// Begins or ends the loss of all bytes.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn forward(
        self: Arc<Proxy>,
        client: TcpStream,
        target: SocketAddr,
        number: u64,
    ) {
        let Ok(server) = TcpStream::connect(target) else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let sender = Arc::new(AtomicU64::new(0));
        if let (Ok(client), Ok(server)) =
            (client.try_clone(), server.try_clone())
        {
            let kept = (sender.clone(), client, server);
            let mut open = self.open.lock().unwrap();
            // Those that have ended are held by nobody else.
            open.retain(|(sender, ..)| Arc::strong_count(sender) > 1);
            open.push(kept);
        }
        let pairs = [(&client, &server, true), (&server, &client, false)];
        for (from, to, from_client) in pairs {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let (proxy, sender) = (self.clone(), sender.clone());
            thread::spawn(move || {
                proxy.copy(from, to, number, from_client, &sender)
            });
        }
    }

    fn drops(&self, number: u64, sender: &AtomicU64) -> bool {
        let port = sender.load(Ordering::SeqCst) as u16;
        self.cut.load(Ordering::SeqCst)
            || number <= self.silent_up_to.load(Ordering::SeqCst)
            || (port != 0 && self.lost.lock().unwrap().contains(&port))
    }

    fn copy(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        number: u64,
        from_client: bool,
        sender: &AtomicU64,
    ) {
        let mut bytes = vec![0; 64 << 10];
        let mut first = Vec::new();
        let mut lost = false;
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            if from_client
                && sender.load(Ordering::SeqCst) == 0
                && first.len() < 256
            {
                first.extend_from_slice(&bytes[..count]);
                if let Some(port) = sender_port(&first) {
                    sender.store(u64::from(port), Ordering::SeqCst);
                }
            }
            // What is lost once ends the stream: later bytes can't follow it.
            lost |= self.drops(number, sender);
            if lost {
                if count == 0 {
                    // The other side does not see the close either.
                    std::mem::forget(to);
                    return;
                }
                continue;
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                if count != 0 {
                    let _ = from.shutdown(Shutdown::Both);
                }
                return;
            }
        }
    }
}

/// The port of the loopback address that occurs first: the four bytes of
/// 127.0.0.1 and the port in groups of seven bits, the lowest first.
fn sender_port(bytes: &[u8]) -> Option<u16> {
    let at = bytes.windows(4).position(|part| part == [127, 0, 0, 1])? + 4;
    let (mut port, mut shift) = (0u32, 0);
    for byte in &bytes[at..] {
        port |= u32::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return u16::try_from(port).ok();
        }
        shift += 7;
    }
    None
}
