//! What the pool of connections to an instance believes of its responses, if
//! the instance repeats them.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
};
use walnutmoor::mesh::instance::{Outcome, Pool, Response};
use walnutmoor_core::{table::Effect, time::Millis};
use walnutmoor_platform::header::{self, Verdict};

/// When an instance sends a response again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Repeat {
    Never,
    AtOnce,
    /// As soon as it has read the next request on the connection, which it
    /// runs then.
    WithNextRequest,
}

/// How an instance responds to a request.
#[derive(Clone, Copy, Debug)]
struct Reaction {
    rejects: bool,
    names_attempt: bool,
    repeat: Repeat,
}

/// An instance that reacts to each request as its script says.
struct Instance {
    address: SocketAddr,
    /// The attempts that reached it, and whether it ran them.
    arrivals: RefCell<Vec<(String, bool)>>,
    react: Box<dyn Fn() -> Reaction>,
}

impl Instance {
    async fn start(react: impl Fn() -> Reaction + 'static) -> Rc<Instance> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let instance = Rc::new(Instance {
            address: listener.local_addr().unwrap(),
            arrivals: RefCell::default(),
            react: Box::new(react),
        });
        let accepting = instance.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(accepting.clone().serve(stream));
            }
        });
        instance
    }

    async fn serve(self: Rc<Instance>, mut stream: TcpStream) {
        let mut repeated = None;
        while let Some(attempt) = read_attempt(&mut stream).await {
            let mut reaction = (self.react)();
            let copy: Option<String> = repeated.take();
            if let Some(copy) = &copy {
                // It runs this request while the copy is on its way.
                reaction.rejects = false;
                let _ = stream.write_all(copy.as_bytes()).await;
            }
            let arrival = (attempt.clone(), !reaction.rejects);
            self.arrivals.borrow_mut().push(arrival);
            let response = response(&attempt, reaction);
            let _ = stream.write_all(response.as_bytes()).await;
            match reaction.repeat {
                Repeat::Never => {}
                Repeat::AtOnce => {
                    let _ = stream.write_all(response.as_bytes()).await;
                }
                Repeat::WithNextRequest => repeated = Some(response),
            }
        }
    }

    /// Whether it ran the attempt when it arrived for the nth time.
    fn ran(&self, attempt: &str, n: usize) -> bool {
        let arrivals = self.arrivals.borrow();
        let mut own = arrivals.iter().filter(|(id, _)| id == attempt);
        own.nth(n).is_some_and(|(_, ran)| *ran)
    }
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

fn response(attempt: &str, reaction: Reaction) -> String {
    let (status, mark) = match reaction.rejects {
        true => ("503 Service Unavailable", header::NOT_RUN),
        false => ("200 OK", header::SIGNATURE),
    };
    let id = match reaction.names_attempt || !reaction.rejects {
        true => format!("{}: {attempt}\r\n", header::ATTEMPT),
        false => String::new(),
    };
    format!("HTTP/1.1 {status}\r\n{id}{mark}: 1\r\ncontent-length: 0\r\n\r\n")
}

/// A clock by which each connection has been idle long enough to be reused,
/// but not too long.
fn clock() -> impl Fn() -> Millis {
    let now = Cell::new(0);
    move || {
        now.set(now.get() + 50);
        Millis(now.get())
    }
}

fn order(attempt: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    let id = attempt.parse().unwrap();
    request.headers_mut().insert(header::ATTEMPT, id);
    request
}

/// The most sends of one attempt.
const MAX_SENDS: usize = 4;

/// Sends an attempt until it is not rejected. Returns how many of its sends
/// were reported as not run although the instance ran them.
async fn send(
    pool: &Pool,
    clock: &impl Fn() -> Millis,
    instance: &Instance,
    attempt: &str,
) -> usize {
    let mut lies = 0;
    for n in 0..MAX_SENDS {
        let request = order(attempt);
        let sent = pool.send(clock, request, attempt, Effect::Once);
        let Outcome::Response(Response { verdict, .. }) = sent.await else {
            return lies;
        };
        if verdict != Verdict::NotRun {
            return lies;
        }
        // The instance reads the request before its response can arrive, but
        // a copy of an earlier response may arrive first.
        tokio::task::yield_now().await;
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        lies += usize::from(instance.ran(attempt, n));
    }
    lies
}

fn run(test: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a late copy of a rejection that is taken for the rejection
/// of a later send of the same attempt.
#[test]
fn a_repeated_rejection_does_not_answer_the_next_send_of_its_attempt() {
    run(async {
        let count = Cell::new(0);
        let instance = Instance::start(move || {
            count.set(count.get() + 1);
            Reaction {
                rejects: count.get() == 1,
                names_attempt: true,
                repeat: Repeat::WithNextRequest,
            }
        })
        .await;
        let pool = Pool::new(instance.address);

        let lies = send(&pool, &clock(), &instance, "a-1").await;

        assert_eq!(lies, 0);
    });
}

/// Guards against a rejection without an id whose copy is taken for the
/// rejection of another attempt.
#[test]
fn a_repeated_rejection_without_an_id_does_not_answer_another_attempt() {
    run(async {
        let count = Cell::new(0);
        let instance = Instance::start(move || {
            count.set(count.get() + 1);
            Reaction {
                rejects: count.get() == 1,
                names_attempt: false,
                repeat: Repeat::WithNextRequest,
            }
        })
        .await;
        let pool = Pool::new(instance.address);
        let clock = clock();
        let rejected = pool.send(&clock, order("a-1"), "a-1", Effect::Once);
        rejected.await;

        let lies = send(&pool, &clock, &instance, "a-2").await;

        assert_eq!(lies, 0);
    });
}

/// Guards against a rejection of a health check whose copy is taken for the
/// rejection of a request.
#[test]
fn a_repeated_rejection_of_a_health_check_does_not_answer_a_request() {
    run(async {
        let count = Cell::new(0);
        let instance = Instance::start(move || {
            count.set(count.get() + 1);
            Reaction {
                rejects: count.get() == 1,
                names_attempt: false,
                repeat: Repeat::WithNextRequest,
            }
        })
        .await;
        let pool = Pool::new(instance.address);
        let clock = clock();
        let checked = pool.check_health(clock(), Request::default()).await;
        assert!(checked.is_some_and(|response| response.status == 503));

        let lies = send(&pool, &clock, &instance, "a-1").await;

        assert_eq!(lies, 0);
    });
}

/// Guards against any order of rejections, runs and copies, with and without
/// ids, after which a send that ran is reported as not run.
#[test]
fn no_send_that_ran_is_reported_as_not_run() {
    for seed in 0..400 {
        run(async move {
            let rng = RefCell::new(ChaCha8Rng::seed_from_u64(seed));
            let instance = Instance::start(move || {
                let draw = rng.borrow_mut().next_u64();
                Reaction {
                    rejects: draw % 100 < 45,
                    names_attempt: (draw >> 8) % 100 < 70,
                    repeat: match (draw >> 16) % 4 {
                        0 => Repeat::AtOnce,
                        1 => Repeat::WithNextRequest,
                        _ => Repeat::Never,
                    },
                }
            })
            .await;
            let pool = Pool::new(instance.address);
            let clock = clock();

            let mut lies = 0;
            for n in 0..8 {
                let attempt = format!("a-{n}");
                lies += send(&pool, &clock, &instance, &attempt).await;
            }

            assert_eq!(lies, 0, "seed {seed}");
        });
    }
}
