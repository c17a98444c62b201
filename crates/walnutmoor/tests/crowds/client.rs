//! Clients that send and read as the tests tell them to.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// The bytes that the kernel receives ahead for a client.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// Connects to an address. `None` if that fails.
pub async fn open(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    socket.connect(address).await.ok()
}

/// Sends bytes as far as the other side takes them.
pub async fn send(stream: &mut TcpStream, bytes: &[u8]) {
    // The other side may refuse them and close the connection.
    let _ = stream.write_all(bytes).await;
}

/// Waits until the first bytes of an answer arrive or the connection ends.
pub async fn await_first_bytes(stream: &mut TcpStream) {
    let mut bytes = [0; 16];
    let _ = stream.read(&mut bytes).await;
}

/// Waits until the other side has closed the connection.
pub async fn await_close(stream: &mut TcpStream) {
    let mut bytes = [0; 1 << 10];
    while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
}
