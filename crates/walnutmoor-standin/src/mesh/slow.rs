/*!
Clients that send and read as little as they can.
*/

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};
use walnutmoor_core::time::Millis;
use walnutmoor_platform::header;

/// The bytes that the kernel receives ahead for such a client.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// The pause between two bytes that drip or two reads.
const PAUSE: Duration = Duration::from_millis(200);

/// The bytes that a slow client reads at a time.
const READ_BYTES: usize = 2 << 10;

/// Connects to an address. `None` if that fails.
pub async fn open(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    socket.connect(address).await.ok()
}

/// The head of a request of the route `browse` with this time left, whose last
/// header tells how its body is framed.
pub fn head(attempt: &str, time_left: Millis, framing: &str) -> String {
    let (id, left) = (header::ATTEMPT, header::TIME_LEFT);
    format!(
        "POST /browse/x HTTP/1.1\r\nhost: shop.example\r\n{id}: {attempt}\r\n\
         {left}: {}\r\n{framing}\r\n\r\n",
        time_left.0
    )
}

/// Sends bytes as far as the other side takes them.
pub async fn send(stream: &mut TcpStream, bytes: &[u8]) {
    // The other side may refuse them and close the connection.
    let _ = stream.write_all(bytes).await;
}

/// Sends a byte now and then, until the other side has closed the connection.
pub async fn drip(stream: &mut TcpStream) {
    while stream.write_all(b"x").await.is_ok() {
        sleep(PAUSE).await;
    }
}

/// Reads a little at a time, until the other side closes the connection.
pub async fn read_slowly(mut stream: impl AsyncRead + Unpin) {
    let mut bytes = [0; READ_BYTES];
    while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
        sleep(PAUSE).await;
    }
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
