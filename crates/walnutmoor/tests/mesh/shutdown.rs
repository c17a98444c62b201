//! What callers get from a node that has received SIGTERM.

use std::{net::SocketAddr, time::Duration};

use http::{Method, header::RETRY_AFTER};
use tokio::{
    net::TcpSocket,
    task::JoinHandle,
    time::{Instant, sleep},
};
use walnutmoor_core::{
    account::{Account, Quota},
    table::{Effect, Limits, Route, Spec},
    time::Millis,
};
use walnutmoor_platform::{header, standin};
use walnutmoor_standin::{
    mesh::{
        caller::{Connection, Response, format_request},
        instance::Behavior,
    },
    soak::proxy::Mode,
};

use crate::fixture::{Pair, World, headers, route, run, until};

/// The time budget of a request that outlasts any grace period.
const LONG_TIMEOUT: Millis = Millis(30_000);

/// The grace period of the nodes, in milliseconds.
const GRACE_MS: u64 = 6_000;

/// The target latency of a request that may wait for longer than that.
const LONG_TARGET: Millis = Millis(60_000);

/// More bytes than the socket buffers of a connection hold.
const LARGE_BODY_BYTES: usize = 24 << 20;

/// Routes whose requests may be queued and may run for a long time.
fn patient_routes() -> Vec<Route> {
    let patient = |name, effect| Route {
        timeout: LONG_TIMEOUT,
        target_latency: LONG_TARGET,
        ..route(name, effect, &[("desk", 1)])
    };
    vec![patient("browse", Effect::Idempotent), patient("order", Effect::Once)]
}

fn desired(version: u64) -> String {
    let spec = Spec { health_path: "/health".into(), max_connections: 64 };
    let services = [("desk".parse().unwrap(), spec)];
    let limits =
        Limits { max_body_bytes: LARGE_BODY_BYTES, ..Limits::default() };
    standin::desired(version, &patient_routes(), &services, &limits)
}

/// Starts pairs with [`patient_routes`].
async fn start(services: &[&str]) -> World {
    let world = World::start(services).await;
    world.store.write_desired(&desired(2));
    for index in 0..services.len() {
        until("the new desired state is in force", || async {
            world.pairs[index].node.log().contains("\"version\":2")
        })
        .await;
    }
    world
}

/// The result of a request: the time of sending and the response, if it was
/// complete.
struct Sent {
    id: String,
    at: Instant,
    response: Option<Response>,
}

/// The key of the only account, if there are accounts.
const KEY: &str = "kmgjqnirth5mgjy5rcpi";

/// Sends a request on a new connection. Resolves to `None` if there was no
/// connection.
fn send(
    address: SocketAddr,
    route: &'static str,
    id: String,
) -> JoinHandle<Option<Sent>> {
    tokio::spawn(async move {
        let mut headers = headers(&id, LONG_TIMEOUT.0);
        headers.push((header::KEY, KEY.into()));
        let path = format!("/{route}/x");
        let text = format_request(Method::POST, &path, &headers, "body");
        let mut connection = Connection::open(address).await?;
        let at = Instant::now();
        connection.write(&text).await?;
        let response = connection.read().await;
        Some(Sent { id, at, response })
    })
}

fn callers(world: &World) -> SocketAddr {
    world.pairs[0].node.addresses().callers
}

/// The ids of the requests that a node named when it exited.
fn unanswered(world: &World) -> Vec<String> {
    let log = world.pairs[0].node.log();
    let lines = log.lines().filter(|line| line.contains("\"unanswered\""));
    lines.map(str::to_string).collect()
}

/// Waits until the first node has exited.
async fn wait_for_exit(world: &mut World) {
    let node = std::cell::RefCell::new(&mut world.pairs[0].node);
    until("the node has exited", || async { node.borrow_mut().has_exited() })
        .await;
}

/// Sends requests that may and that may not run twice in turn, every 100 ms
/// from the signal to the exit of the first node.
async fn send_until_exit(world: &mut World) -> (Instant, Vec<Sent>) {
    let address = callers(world);
    world.pairs[0].node.signal("TERM");
    let signal_at = Instant::now();
    let mut pending = Vec::new();
    while !world.pairs[0].node.has_exited() {
        let route = ["browse", "order"][pending.len() % 2];
        let id = format!("{route}-{}", pending.len());
        pending.push(send(address, route, id));
        sleep(Duration::from_millis(100)).await;
    }
    let mut sent = Vec::new();
    for request in pending {
        sent.extend(request.await.unwrap());
    }
    (signal_at, sent)
}

#[test]
fn a_request_read_late_in_a_shutdown_is_answered() {
    run(async {
        let mut world = start(&["front", "desk", "desk"]).await;
        for pair in &world.pairs {
            pair.instance.set_run_time(Duration::from_millis(2_500));
        }

        let (signal_at, sent) = send_until_exit(&mut world).await;

        assert_eq!(unanswered(&world), [""; 0]);
        for Sent { id, at, response } in sent {
            let after = at.duration_since(signal_at).as_millis();
            let runs = world.runs(&id);
            let Some(response) = response else {
                assert_eq!(runs, 0, "{id}, sent after {after} ms, was cut");
                continue;
            };
            match response.status {
                200 => assert_eq!(runs, 1, "{id}: {response:?}"),
                504 => assert!(runs <= 1, "{id} ran {runs} times"),
                503 => assert_eq!(runs, 0, "{id}: {response:?}"),
                _ => panic!("{id}, sent after {after} ms: {response:?}"),
            }
        }
    });
}

#[test]
fn a_queued_request_is_refused_before_its_node_exits() {
    run(async {
        let mut world = start(&["front", "desk"]).await;
        let desk = world.pairs[1].instance.clone();
        // The instance has eight slots, of which seven are used.
        let held: Vec<String> = (0..7).map(|n| format!("held-{n}")).collect();
        held.iter().for_each(|id| desk.hold(id));
        let address = callers(&world);
        let held: Vec<_> =
            held.into_iter().map(|id| send(address, "order", id)).collect();
        until("all slots are taken", || async { desk.total_runs() == 7 })
            .await;
        let queued = ["order", "browse"]
            .map(|route| send(address, route, format!("queued-{route}")));
        until("two requests are queued", || async {
            let load = world.pairs[1].node.addresses().metrics;
            queued_calls(load).await == Some(2)
        })
        .await;
        // Another instance is free by then, but a run there would be cut.
        world.add("desk").await;
        world.pairs[2].instance.set_run_time(Duration::from_secs(2));
        world.wait_until_connected().await;

        world.pairs[0].node.signal("TERM");
        wait_for_exit(&mut world).await;

        assert_eq!(unanswered(&world), [""; 0]);
        for request in queued {
            let sent = request.await.unwrap().unwrap();
            let response = sent.response.unwrap();
            assert_eq!(response.status, 503, "{}", sent.id);
            assert_eq!(response.body, "leaving");
            assert!(response.headers.contains_key("retry-after"));
            assert_eq!(world.runs(&sent.id), 0);
        }
        for request in held {
            let sent = request.await.unwrap().unwrap();
            assert_eq!(sent.response.unwrap().status, 504, "{}", sent.id);
        }
    });
}

/// The number of queued calls in the metrics of a node.
async fn queued_calls(metrics: SocketAddr) -> Option<u32> {
    let mut connection = Connection::open(metrics).await?;
    let headers = [];
    let sent = connection.send(Method::GET, "/metrics", &headers, "").await?;
    let mut lines = sent.body.lines();
    let line = lines.find(|line| line.starts_with("walnutmoor_queued "))?;
    line.split(' ').nth(1)?.parse().ok()
}

#[test]
fn a_request_at_a_silent_instance_is_answered_before_its_node_exits() {
    run(async {
        let mut world = start(&["front", "desk"]).await;
        let desk = world.pairs[1].instance.clone();
        desk.set_behavior(Behavior::NeverResponds);
        let address = callers(&world);
        let ids = ["order", "browse"];
        let sent = ids.map(|route| send(address, route, route.to_string()));
        until("both run", || async { desk.total_runs() == 2 }).await;

        world.pairs[0].node.signal("TERM");
        wait_for_exit(&mut world).await;

        assert_eq!(unanswered(&world), [""; 0]);
        for request in sent {
            let sent = request.await.unwrap().unwrap();
            assert_eq!(sent.response.unwrap().status, 504, "{}", sent.id);
        }
    });
}

#[test]
fn a_node_that_was_frozen_in_its_shutdown_answers_before_it_exits() {
    run(async {
        let mut world = start(&["front", "desk"]).await;
        let desk = world.pairs[1].instance.clone();
        let ids = ["order", "browse"];
        ids.iter().for_each(|id| desk.hold(id));
        let address = callers(&world);
        let sent = ids.map(|route| send(address, route, route.to_string()));
        until("both run", || async { desk.total_runs() == 2 }).await;
        world.pairs[0].node.signal("TERM");
        until("the node has noticed the signal", || async {
            world.pairs[0].node.log().contains("\"leaving\"")
        })
        .await;

        world.pairs[0].node.signal("STOP");
        sleep(Duration::from_secs(7)).await;
        world.pairs[0].node.signal("CONT");
        wait_for_exit(&mut world).await;

        assert_eq!(unanswered(&world), [""; 0]);
        for request in sent {
            let sent = request.await.unwrap().unwrap();
            assert_eq!(sent.response.unwrap().status, 504, "{}", sent.id);
        }
    });
}

/// Connects with a small receive buffer.
async fn connect_slow_reader(address: SocketAddr) -> Connection {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    Connection::from(socket.connect(address).await.unwrap())
}

#[test]
fn a_request_that_waits_for_quota_is_answered_before_its_node_exits() {
    run(async {
        let mut world = start(&["front", "desk"]).await;
        // A request waits for at most an eighth of its target latency.
        let quota = Quota { rate: 0.15, burst: 1.0 };
        let account = Account::new("acme".parse().unwrap()).quota(quota);
        let accounts = [(account, vec![KEY.to_string()])];
        let state = standin::with_accounts(&desired(3), &accounts);
        world.store.write_desired(&state);
        until("the accounts are in force", || async {
            world.pairs[0].node.log().contains("\"version\":3")
        })
        .await;

        let address = callers(&world);
        world.pairs[0].node.signal("TERM");
        let mut sent = Vec::new();
        for n in 0..20 {
            sent.push(send(address, "order", format!("quota-{n}")));
            sleep(Duration::from_millis(20)).await;
        }
        wait_for_exit(&mut world).await;

        assert_eq!(unanswered(&world), [""; 0]);
        let mut statuses = Vec::new();
        for request in sent {
            let sent = request.await.unwrap().unwrap();
            statuses.push(sent.response.expect("a response").status);
            let ran = u32::from(statuses.last() == Some(&200));
            assert_eq!(world.runs(&sent.id), ran, "{}", sent.id);
        }
        // The wait for the next token outlasts the node.
        assert!(statuses.contains(&503), "{statuses:?}");
    });
}

#[test]
fn an_instance_is_told_when_a_terminating_node_ends_requests() {
    run(async {
        let world = start(&["front", "desk"]).await;
        world.pairs[0].node.signal("TERM");
        until("the node has noticed the signal", || async {
            world.pairs[0].node.log().contains("\"leaving\"")
        })
        .await;

        let sent = send(callers(&world), "browse", "a".into()).await.unwrap();

        assert_eq!(sent.unwrap().response.unwrap().status, 200);
        let arrivals = world.pairs[1].instance.arrivals();
        let left = arrivals.iter().find(|arrival| arrival.id == "a");
        let left = left.and_then(|arrival| arrival.time_left).unwrap();
        assert!(left < GRACE_MS, "{left}");
    });
}

#[test]
fn a_slow_reader_gets_the_whole_response_of_a_terminating_node() {
    run(async {
        let mut world = start(&["front", "desk"]).await;
        let desk = world.pairs[1].instance.clone();
        desk.hold("large");
        let headers = headers("large", LONG_TIMEOUT.0);
        let body = "x".repeat(LARGE_BODY_BYTES - 1);
        let text = format_request(Method::POST, "/order/x", &headers, &body);
        let mut caller = connect_slow_reader(callers(&world)).await;
        caller.write(&text).await.unwrap();
        until("the request runs", || async { world.runs("large") == 1 }).await;

        world.pairs[0].node.signal("TERM");
        desk.release("large");
        until("the node refuses new requests", || async {
            world.pairs[0].node.log().contains("\"finishing\"")
        })
        .await;
        sleep(Duration::from_millis(500)).await;

        let response = caller.read().await.expect("a complete response");
        assert_eq!(response.status, 200);
        assert!(response.body.ends_with(&body));
        wait_for_exit(&mut world).await;
        assert_eq!(unanswered(&world), [""; 0]);
    });
}

/// Sends a nested call to a node.
async fn send_nested(world: &World, index: usize, id: &str, left: u64) -> u16 {
    let address = world.pairs[index].node.addresses().callers;
    let headers = headers(id, left);
    let text = format_request(Method::GET, "/browse/x", &headers, "");
    let mut connection = Connection::open(address).await.unwrap();
    connection.write(&text).await.unwrap();
    connection.read().await.unwrap().status
}

#[test]
fn a_run_that_a_terminating_node_finishes_may_still_make_calls() {
    run(async {
        let world = start(&["front", "desk", "desk"]).await;
        world.pairs.iter().for_each(|pair| pair.instance.hold("root"));
        let root = send(callers(&world), "order", "root".into());
        until("the request runs", || async { world.runs("root") == 1 }).await;
        let running = |pair: &Pair| pair.instance.runs("root") == 1;
        let ending = world.pairs.iter().position(running).unwrap();

        world.pairs[ending].node.signal("TERM");
        until("the node refuses new requests", || async {
            world.pairs[ending].node.log().contains("\"finishing\"")
        })
        .await;
        let short = send_nested(&world, ending, "root.1", 700).await;
        let long = send_nested(&world, ending, "root.2", LONG_TIMEOUT.0).await;
        world.pairs[ending].instance.release("root");

        assert_eq!(short, 200);
        assert_eq!(long, 503, "it might not end before the node exits");
        assert_eq!(world.runs("root.2"), 0);
        let root = root.await.unwrap().unwrap();
        assert_eq!(root.response.unwrap().status, 200);
    });
}

#[test]
fn a_peer_gets_the_whole_reply_of_a_terminating_node() {
    run(async {
        let mut world = start(&["front"]).await;
        let proxy = world.add_behind_proxy("desk").await;
        world.send_until_ok(0, "order", "first").await;
        let desk = world.pairs[1].instance.clone();
        desk.hold("large");
        let headers = headers("large", LONG_TIMEOUT.0);
        let body = "x".repeat(LARGE_BODY_BYTES / 2);
        let text = format_request(Method::POST, "/order/x", &headers, &body);
        let mut caller = Connection::open(callers(&world)).await.unwrap();
        caller.write(&text).await.unwrap();
        until("the request runs", || async { world.runs("large") == 1 }).await;

        proxy.set_mode(Mode::Delay(Duration::from_millis(1)));
        world.pairs[1].node.signal("TERM");
        until("the node refuses new requests", || async {
            world.pairs[1].node.log().contains("\"finishing\"")
        })
        .await;
        desk.release("large");

        let response = caller.read().await.expect("a complete response");
        assert_eq!(response.status, 200);
        assert!(response.body.ends_with(&body));
    });
}

/// Pipelines requests behind one that may run once, and sends the signal while
/// that one runs. Returns the responses up to the one that closes the
/// connection, and the ids of the requests that it has no response for.
async fn pipeline_across_signal(
    world: &mut World,
    run_time: Duration,
    late: &[u64],
) -> (Vec<(String, Response)>, Vec<(String, Duration)>) {
    let desk = world.pairs[1].instance.clone();
    desk.set_run_time(run_time);
    let request = |id: &str| {
        let route = if id.starts_with('o') { "order" } else { "browse" };
        let headers = headers(id, LONG_TIMEOUT.0);
        let path = format!("/{route}/x");
        format_request(Method::POST, &path, &headers, "body")
    };
    let mut connection = Connection::open(callers(world)).await.unwrap();
    let early = ["o-0", "b-1", "o-2", "b-3", "b-4", "o-5"];
    let text: String = early.iter().map(|id| request(id)).collect();
    connection.write(&text).await.unwrap();
    let mut sent: Vec<(String, Instant)> =
        early.iter().map(|id| (id.to_string(), Instant::now())).collect();
    until("the first request runs", || async { desk.runs("o-0") == 1 }).await;
    world.pairs[0].node.signal("TERM");
    desk.set_run_time(Duration::from_millis(5));
    for (number, pause) in late.iter().enumerate() {
        sleep(Duration::from_millis(*pause)).await;
        let id = format!("{}-late-{number}", ["o", "b"][number % 2]);
        connection.write(&request(&id)).await.unwrap();
        sent.push((id, Instant::now()));
    }
    let mut sent = sent.into_iter();
    let mut answered = Vec::new();
    while let Some(response) = connection.read().await {
        let Some((id, _)) = sent.next() else {
            break;
        };
        answered.push((id, response));
        if connection.is_closing() {
            break;
        }
    }
    let end = Instant::now();
    (answered, sent.map(|(id, at)| (id, end - at)).collect())
}

// Guards against requests that were read behind another one and end without an
// answer, as their connection closes.
#[test]
fn requests_pipelined_behind_a_run_are_answered_before_the_connection_closes()
{
    run(async {
        for run_ms in [300, 1_500] {
            let mut world = start(&["front", "desk"]).await;
            let run_time = Duration::from_millis(run_ms);

            let (answered, cut) =
                pipeline_across_signal(&mut world, run_time, &[50; 4]).await;

            assert_eq!(cut, [], "{answered:?}");
            for (id, response) in answered {
                assert_eq!(response.status, 200, "{id}");
                assert_eq!(world.runs(&id), 1, "{id}");
            }
        }
    });
}

#[test]
fn requests_pipelined_behind_a_run_are_refused_late_in_a_shutdown() {
    run(async {
        let mut world = start(&["front", "desk"]).await;
        let run_time = Duration::from_millis(4_200);

        let (answered, cut) =
            pipeline_across_signal(&mut world, run_time, &[400; 8]).await;

        assert_eq!(cut, [], "{answered:?}");
        for (id, response) in &answered[1..] {
            assert_eq!(response.status, 503, "{id}");
            assert!(response.headers.contains_key(RETRY_AFTER), "{id}");
            assert_eq!(world.runs(id), 0, "{id}");
        }
        wait_for_exit(&mut world).await;
        assert_eq!(unanswered(&world), [""; 0]);
    });
}
