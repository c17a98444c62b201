//! Instances that send bytes without end, and connections that close at any
//! moment of a request.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
};
use walnutmoor::mesh::instance::{Outcome, Pool};
use walnutmoor_core::{table::Effect, time::Millis};
use walnutmoor_platform::header::{self, Verdict};

/// The bytes of a response after which the instance gives up.
const ENDLESS: usize = 64 << 20;

/// The bytes of a response that a node may read of an instance: far less than
/// its memory.
const MAX_READ: usize = 24 << 20;

/// The length of the request that is cut off.
const REQUEST_BYTES: usize = 367;

/// Where the bytes without end begin.
#[derive(Clone, Copy, Debug)]
enum Part {
    Head,
    Body,
    AfterResponse,
}

const PARTS: [Part; 3] = [Part::Head, Part::Body, Part::AfterResponse];

/// Starts an instance whose responses to attempts with "endless" in their ids
/// have bytes without end in this part. Returns its address, and the number of
/// those bytes in the longest response.
async fn start(part: Part) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, part, counter.clone()));
        }
    });
    (address, sent)
}

async fn serve(mut stream: TcpStream, part: Part, sent: Arc<AtomicUsize>) {
    while let Some(attempt) = read_attempt(&mut stream).await {
        let complete = response(&attempt);
        if !attempt.starts_with("endless") {
            let _ = stream.write_all(complete.as_bytes()).await;
            continue;
        }
        let begin = match part {
            Part::Head => "HTTP/1.1 200 OK\r\nx: ".to_string(),
            Part::Body => complete.replace(
                "content-length: 0\r\n\r\n",
                "content-length: 99999999999\r\n\r\n",
            ),
            Part::AfterResponse => complete,
        };
        let _ = stream.write_all(begin.as_bytes()).await;
        let block = vec![b'x'; 64 << 10];
        let mut own = 0;
        while own < ENDLESS {
            match stream.write(&block).await {
                Ok(count) => own += count,
                Err(_) => return,
            };
            sent.fetch_max(own, Ordering::Relaxed);
        }
        return;
    }
}

fn response(attempt: &str) -> String {
    let (id, mark) = (header::ATTEMPT, header::SIGNATURE);
    format!(
        "HTTP/1.1 200 OK\r\n{id}: {attempt}\r\n{mark}: 1\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// Reads a request without a body, and returns its attempt id.
async fn read_attempt(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let name = format!("{}: ", header::ATTEMPT);
    let id = head.lines().find_map(|line| line.strip_prefix(&name));
    Some(id.unwrap_or_default().to_string())
}

fn order(attempt: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    let id = attempt.parse().unwrap();
    request.headers_mut().insert(header::ATTEMPT, id);
    request
}

async fn send(pool: &Pool, attempt: &str) -> Outcome {
    let clock = || Millis(0);
    pool.send(clock, order(attempt), attempt, Effect::Once).await
}

fn is_served(outcome: &Outcome) -> bool {
    let Outcome::Response(response) = outcome else {
        return false;
    };
    response.verdict == Verdict::Trusted && response.status == 200
}

fn run(test: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a node that exceeds its memory by one response.
#[test]
fn bytes_without_end_are_given_up_and_the_next_request_is_served() {
    for part in PARTS {
        run(async move {
            let (address, sent) = start(part).await;
            let pool = Pool::new(address);

            let first = send(&pool, "endless-1").await;
            let next = send(&pool, "a-2").await;

            let is_complete = matches!(part, Part::AfterResponse);
            assert_eq!(is_served(&first), is_complete, "{part:?} {first:?}");
            assert!(is_served(&next), "{part:?} {next:?}");
            let sent = sent.load(Ordering::Relaxed);
            assert!(sent < MAX_READ, "{part:?}: {sent} bytes were read");
        });
    }
}

/// Guards against responses each of which is bounded, and which exceed the
/// memory of the node together, and against a short one that finds no room.
#[test]
fn many_responses_without_end_leave_room_for_others() {
    run(async {
        let (address, sent) = start(Part::Body).await;
        let pool = Rc::new(Pool::new(address));
        let endless = (0..40).map(|n| {
            let pool = pool.clone();
            spawn_local(
                async move { send(&pool, &format!("endless-{n}")).await },
            )
        });
        let endless: Vec<_> = endless.collect();

        for n in 0..40 {
            let outcome = send(&pool, &format!("a-{n}")).await;
            assert!(is_served(&outcome), "{outcome:?}");
        }

        for outcome in endless {
            let outcome = outcome.await.unwrap();
            assert!(matches!(outcome, Outcome::Broken(_)), "{outcome:?}");
        }
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < MAX_READ, "{sent} bytes of one were read");
    });
}

/// Starts an instance whose responses state this length. Returns its address,
/// and the number of bytes of the longest body that it has sent.
async fn start_long(length: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let attempt = read_attempt(&mut stream).await.unwrap();
        let stated = format!("content-length: {length}\r\n\r\n");
        let head =
            response(&attempt).replace("content-length: 0\r\n\r\n", &stated);
        stream.write_all(head.as_bytes()).await.unwrap();
        let block = vec![b'x'; 64 << 10];
        let mut own = 0;
        while own < length {
            let next = &block[..block.len().min(length - own)];
            match stream.write(next).await {
                Ok(count) => own += count,
                Err(_) => return,
            };
            counter.store(own, Ordering::Relaxed);
        }
    });
    (address, sent)
}

/// A length that only responses to requests may state.
const LONG: usize = 48 << 20;

fn small_pool(address: SocketAddr) -> Pool {
    Pool::new(address).max_intake(1 << 20).max_response(LONG)
}

/// Guards against a response that is given up although there is room for it.
#[test]
fn a_response_that_states_its_length_is_read_beyond_the_intake() {
    run(async {
        let (address, _) = start_long(LONG).await;

        let outcome = send(&small_pool(address), "a-1").await;

        let Outcome::Response(response) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(response.body.len(), LONG);
    });
}

/// Guards against a response to a health check that is not counted in any
/// pool, and long.
#[test]
fn a_long_response_to_a_health_check_is_given_up() {
    run(async {
        let (address, sent) = start_long(LONG).await;
        let pool = small_pool(address);

        let checked = pool.check_health(Millis(0), order("health")).await;

        assert!(checked.is_none());
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < MAX_READ, "{sent} bytes were read");
    });
}

/// Guards against a request that the instance has begun to read, and that is
/// reported as unsent after its connection closed.
#[test]
fn a_request_is_unsent_only_if_no_byte_of_it_arrived() {
    run(async {
        let body = Bytes::from(vec![b'b'; 300]);
        for count in 0..REQUEST_BYTES {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let pool = Pool::new(listener.local_addr().unwrap());
            let read = Rc::new(Cell::new(0));
            let counter = read.clone();
            spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                // Reads this many bytes and closes with the rest unread.
                for _ in 0..count {
                    if stream.read_u8().await.is_err() {
                        return;
                    }
                    counter.set(counter.get() + 1);
                }
            });
            let mut request = order("a-1");
            *request.body_mut() = Full::new(body.clone());

            let clock = || Millis(0);
            let sent = pool.send(clock, request, "a-1", Effect::Once).await;

            if matches!(sent, Outcome::Unreachable) {
                assert_eq!(read.get(), 0, "closed after {count} bytes");
            }
        }
    });
}
