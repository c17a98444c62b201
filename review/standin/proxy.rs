//! A proxy in front of the inbound address of each node, which cuts one node
//! off from the others.
//!
//! While a node is cut off, nothing passes between it and the others: new
//! connections get no answer, and bytes on open ones are held. After the cut
//! they pass when TCP would send them again: 0.2, 0.6, 1.4, 3.0 and 6.2 s
//! after they were sent first.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// The node that is cut off, if any.
#[derive(Clone, Default)]
pub struct Cut(Arc<Mutex<Option<SocketAddr>>>);

impl Cut {
    pub fn set(&self, node: Option<SocketAddr>) {
        *self.0.lock().unwrap() = node;
    }

    fn parts(&self, one: SocketAddr, other: Option<SocketAddr>) -> bool {
        let cut = *self.0.lock().unwrap();
        cut.is_some_and(|cut| cut == one || Some(cut) == other)
    }
}

/// Starts a proxy for the node that listens on `node`, and returns the
/// address at which the others reach it.
pub fn start(node: SocketAddr, cut: &Cut) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let cut = cut.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || pass(stream, address, node, &cut));
        }
    });
    address
}

fn pass(
    mut from: TcpStream,
    address: SocketAddr,
    node: SocketAddr,
    cut: &Cut,
) {
    let _ = from.set_nodelay(true);
    // The first frame names the node that opens the connection.
    let mut first = vec![0; 16 << 10];
    let Ok(count) = from.read(&mut first) else {
        return;
    };
    first.truncate(count);
    let opener = opener(&first);
    if count == 0 {
        return;
    }
    if cut.parts(address, opener) {
        // The opening packet is lost; its sender gives up.
        while matches!(from.read(&mut [0; 1024]), Ok(n) if n > 0) {}
        return;
    }
    let Ok(mut to) = TcpStream::connect(node) else {
        return;
    };
    let _ = to.set_nodelay(true);
    if to.write_all(&first).is_err() {
        return;
    }
    let (Ok(from_copy), Ok(to_copy)) = (from.try_clone(), to.try_clone())
    else {
        return;
    };
    let back = cut.clone();
    thread::spawn(move || copy(to_copy, from_copy, address, opener, &back));
    copy(from, to, address, opener, cut);
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    address: SocketAddr,
    opener: Option<SocketAddr>,
    cut: &Cut,
) {
    let mut bytes = vec![0; 64 << 10];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        hold(address, opener, cut);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

/// Holds what was just sent until the cut ends, and then until TCP sends it
/// again.
fn hold(address: SocketAddr, opener: Option<SocketAddr>, cut: &Cut) {
    let since = Instant::now();
    if !cut.parts(address, opener) {
        return;
    }
    while cut.parts(address, opener) {
        thread::sleep(Duration::from_millis(5));
    }
    let (mut again, mut pause) = (0.2, 0.4);
    while again < since.elapsed().as_secs_f64() {
        again += pause;
        pause *= 2.0;
    }
    let left = again - since.elapsed().as_secs_f64();
    thread::sleep(Duration::from_secs_f64(left.max(0.0)));
}

/// The address in the handshake: after the length of four bytes and the
/// numbers of the frame and of the protocol, the kind of address, four bytes
/// and the port, seven bits a byte.
fn opener(first: &[u8]) -> Option<SocketAddr> {
    let rest = first.get(6..)?;
    let [0, a, b, c, d, port @ ..] = rest else {
        return None;
    };
    let mut number = 0u32;
    for (at, byte) in port.iter().take(3).enumerate() {
        number |= u32::from(byte & 0x7f) << (7 * at);
        if byte & 0x80 == 0 {
            break;
        }
    }
    Some(SocketAddr::from(([*a, *b, *c, *d], number as u16)))
}
