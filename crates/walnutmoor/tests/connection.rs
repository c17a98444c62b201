//! The connections of callers of `walnutmoor node`: how many are served, and
//! which of them closes for a new one.

use std::{net::SocketAddr, sync::Arc};

use dropshot::Body;
use http::{Request, Response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Semaphore,
};
use walnutmoor::worker::connection::{self, Handler};
use walnutmoor_standin::{
    mesh::{caller::Connection, slow},
    wait::run,
};

/// More bytes than the socket buffers of a connection hold.
const LONG: usize = 24 << 20;

/// Serves `/held` once it is released, `/long` with a long body, and all other
/// paths at once.
#[derive(Clone)]
struct Paths {
    /// Has a permit for each request of `/held` that has arrived.
    arrived: Arc<Semaphore>,
    released: Arc<Semaphore>,
}

impl Handler for Paths {
    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        let body = match request.uri().path() {
            "/long" => Body::from(vec![b'l'; LONG]),
            "/held" => {
                self.arrived.add_permits(1);
                let _ = self.released.acquire().await;
                Body::from("held")
            }
            _ => Body::from("short"),
        };
        Response::new(body)
    }
}

/// Starts a listener that serves this many connections.
fn start(max: usize) -> (SocketAddr, Paths) {
    let address = "127.0.0.1:0".parse().unwrap();
    let listener = connection::listen(address).unwrap();
    let address = listener.local_addr().unwrap();
    let [arrived, released] = [0, 0].map(|n| Arc::new(Semaphore::new(n)));
    let paths = Paths { arrived, released };
    tokio::spawn(connection::serve(listener, max, paths.clone()));
    (address, paths)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: node\r\n\r\n")
}

/// Sends a request, and reads its response if there is one.
async fn request(connection: &mut Connection, path: &str) -> Option<String> {
    connection.write(&get(path)).await?;
    Some(connection.read().await?.body)
}

/// Waits until a connection is closed without a response.
async fn await_close(mut stream: TcpStream) {
    slow::await_close(&mut stream).await;
}

/// Guards against a caller that loses its connection to one that never sent a
/// request.
#[test]
fn a_silent_connection_closes_for_a_new_one_before_an_idle_one() {
    run(async {
        let (address, _paths) = start(2);
        let mut idle = Connection::open(address).await.unwrap();
        assert_eq!(request(&mut idle, "/").await.unwrap(), "short");
        let silent = slow::open(address).await.unwrap();

        let mut new = Connection::open(address).await.unwrap();

        assert_eq!(request(&mut new, "/").await.unwrap(), "short");
        await_close(silent).await;
        assert_eq!(request(&mut idle, "/").await.unwrap(), "short");
    });
}

/// Guards against an order to close that closes more than one connection.
#[test]
fn the_connection_that_was_unused_for_the_longest_closes_alone() {
    run(async {
        let (address, _paths) = start(3);
        let mut idle = Vec::new();
        for _ in 0..3 {
            let mut connection = Connection::open(address).await.unwrap();
            assert_eq!(request(&mut connection, "/").await.unwrap(), "short");
            idle.push(connection);
        }

        let mut new = Connection::open(address).await.unwrap();

        assert_eq!(request(&mut new, "/").await.unwrap(), "short");
        for connection in &mut idle[1..] {
            assert_eq!(request(connection, "/").await.unwrap(), "short");
        }
        assert_eq!(request(&mut idle[0], "/").await, None);
    });
}

/// Guards against a call that is lost for a new connection.
#[test]
fn a_new_connection_is_closed_while_all_are_in_use() {
    run(async {
        let (address, paths) = start(1);
        let mut held = slow::open(address).await.unwrap();
        held.write_all(get("/held").as_bytes()).await.unwrap();
        let _ = paths.arrived.acquire().await.unwrap();

        let new = slow::open(address).await.unwrap();

        assert!(refuses(new).await);
        paths.released.add_permits(1);
        let mut answer = Connection::from(held);

        assert_eq!(answer.read().await.unwrap().body, "held");
    });
}

/// True if a connection is closed without a response.
async fn refuses(stream: TcpStream) -> bool {
    let mut connection = Connection::from(stream);
    request(&mut connection, "/").await.is_none()
}

/// Guards against a response that is cut off, as its caller reads slowly.
#[test]
fn a_connection_whose_response_is_being_read_is_in_use() {
    run(async {
        let (address, _paths) = start(1);
        let mut slow = slow::open(address).await.unwrap();
        slow.write_all(get("/long").as_bytes()).await.unwrap();
        let mut first = [0; 12];
        slow.read_exact(&mut first).await.unwrap();

        let new = slow::open(address).await.unwrap();

        assert!(refuses(new).await);
        let mut rest = Vec::new();
        while rest.len() < LONG {
            assert!(slow.read_buf(&mut rest).await.unwrap() > 0);
        }
    });
}
