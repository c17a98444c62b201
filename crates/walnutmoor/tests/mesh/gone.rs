//! Callers that leave before their response: the work for them ends soon.

use std::time::Duration;

use http::Method;
use tokio::time::{sleep, timeout};
use walnutmoor_core::{
    table::{Effect, Route},
    time::Millis,
};
use walnutmoor_platform::header;
use walnutmoor_standin::mesh::{
    caller::{Connection, Response, format_request},
    instance::{Behavior, Instance},
};

use walnutmoor_standin::soak::proxy::Mode;

use crate::fixture::{
    World, desired, guarantees_not_run, headers, route, run, until,
};

/// Long enough that no request ends by its timeout unless its caller's leaving
/// is missed.
const REQUEST_TIMEOUT_MS: u64 = 20_000;

/// An idempotent route to `desk`.
fn browse() -> Route {
    Route {
        timeout: Millis(REQUEST_TIMEOUT_MS),
        ..route("browse", Effect::Idempotent, &[("desk", 1)])
    }
}

async fn world() -> World {
    let desired = desired(1, &[browse()]);
    World::start_desired(&["front", "desk"], &desired, &[]).await
}

fn request(attempt: &str, body: &str) -> String {
    let headers = headers(attempt, REQUEST_TIMEOUT_MS);
    format_request(Method::POST, "/browse/x", &headers, body)
}

/// Requests of this many bytes in total.
fn backlog(bytes: usize) -> String {
    const BODY_BYTES: usize = 2_000;
    let body = "x".repeat(BODY_BYTES);
    let requests = 0..bytes / BODY_BYTES;
    requests.map(|n| request(&format!("behind-{n}"), &body)).collect()
}

async fn connect(world: &World) -> Connection {
    let address = world.pairs[0].node.addresses().callers;
    Connection::open(address).await.unwrap()
}

/// Writes as much as the node takes within a moment.
async fn write_some(caller: &mut Connection, text: &str) {
    const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
    // Times out if the node does not read all of it.
    let _ = timeout(WRITE_TIMEOUT, caller.write(text)).await;
}

async fn wait_for_start(desk: &Instance, attempt: &str) {
    until("it runs", || async { desk.runs(attempt) == 1 }).await;
}

/// Waits until a run has ended, and asserts that it was canceled.
async fn wait_for_cancel(world: &World, attempt: &str) {
    wait_for_cancel_at(world, &world.pairs[1].instance, attempt).await;
}

/// The same at this instance.
async fn wait_for_cancel_at(world: &World, desk: &Instance, attempt: &str) {
    until("its run has ended", || async {
        let mut arrivals = desk.arrivals().into_iter();
        let arrival = arrivals.find(|arrival| arrival.id == attempt);
        arrival.is_some_and(|arrival| arrival.ended_at.is_some())
    })
    .await;
    let request = format!("\"request\":\"{attempt}\"");
    let is_about = |line: &&str| line.contains(&request);
    until("its end is logged", || async {
        world.pairs[0].node.log().lines().any(|line| is_about(&line))
    })
    .await;
    let log = world.pairs[0].node.log();
    let mut lines = log.lines().filter(is_about);
    assert!(lines.all(|line| line.contains("\"canceled\"")), "{log}");
}

fn is_for(answer: &Response, attempt: &str) -> bool {
    let id = answer.headers.get(header::ATTEMPT);
    answer.status == 200 && id.is_some_and(|id| id == attempt)
}

/// Guards against work for a caller whose close is not seen, as it is behind
/// requests that the node does not read.
#[test]
fn work_ends_for_a_caller_that_leaves_unread_requests_behind() {
    // The second does not fit into the read-ahead, and the last two do not
    // fit into the buffers of the kernel either.
    for bytes in [16 << 10, 64 << 10, 320 << 10, 8 << 20] {
        run(async {
            let world = world().await;
            let desk = &world.pairs[1].instance;
            desk.hold("first");
            (0..40).for_each(|n| desk.hold(&format!("behind-{n}")));
            let mut caller = connect(&world).await;
            caller.write(&request("first", "")).await.unwrap();
            wait_for_start(desk, "first").await;

            write_some(&mut caller, &backlog(bytes)).await;
            drop(caller);

            wait_for_cancel(&world, "first").await;
        });
    }
}

/// Guards against a backlog that is given up although it moves.
#[test]
fn all_requests_of_a_long_pipeline_are_answered() {
    run(async {
        let world = world().await;
        let mut caller = connect(&world).await;
        let count = 200;
        let body = "x".repeat(2_000);
        let requests: String =
            (0..count).map(|n| request(&format!("p-{n}"), &body)).collect();

        caller.write(&requests).await.unwrap();

        for n in 0..count {
            let answer = caller.read().await.unwrap();
            assert!(is_for(&answer, &format!("p-{n}")), "{n}: {answer:?}");
        }
        assert!(!caller.is_closing());
    });
}

/// Guards against a request in flight that is broken off, or a request of the
/// backlog that runs after the response which closed the connection.
#[test]
fn requests_in_flight_are_answered_before_a_backlog_that_stands_still() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[1].instance;
        desk.hold("first");
        let mut caller = connect(&world).await;
        caller.write(&request("first", "")).await.unwrap();
        wait_for_start(desk, "first").await;

        write_some(&mut caller, &backlog(1 << 20)).await;
        until("the backlog is given up", || async {
            world.pairs[0].node.log().contains("\"backlog_bytes\"")
        })
        .await;
        desk.release("first");
        let mut answered = vec![caller.read().await.unwrap()];
        while !caller.is_closing() {
            answered.push(caller.read().await.unwrap());
        }

        assert!(is_for(&answered[0], "first"), "{:?}", answered[0]);
        for (n, answer) in answered[1..].iter().enumerate() {
            assert!(is_for(answer, &format!("behind-{n}")), "{answer:?}");
        }
        let all_runs = desk.total_runs() as usize;
        assert_eq!(all_runs, answered.len(), "only answered requests ran");
    });
}

/// Sends a nested call as the instance of a node, and leaves its response
/// unread.
async fn call(world: &World, attempt: &str) -> Connection {
    let address = world.pairs[1].node.addresses().callers;
    let mut connection = Connection::open(address).await.unwrap();
    connection.write(&request(attempt, "")).await.unwrap();
    connection
}

/// Guards against calls of an aborted run at an instance that goes on although
/// its connection was closed.
#[test]
fn calls_of_an_aborted_run_end_and_further_ones_are_refused() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[1].instance;
        ["root", "root.1"].iter().for_each(|id| desk.hold(id));
        let mut caller = connect(&world).await;
        caller.write(&request("root", "")).await.unwrap();
        wait_for_start(desk, "root").await;
        let mut first = call(&world, "root.1").await;
        wait_for_start(desk, "root.1").await;

        drop(caller);
        let ended = first.read().await.unwrap();
        until("both runs are aborted", || async { desk.aborted_runs() == 2 })
            .await;
        let further = call(&world, "root.2").await.read().await.unwrap();

        assert_eq!(ended.status, 502, "it may have run");
        assert!(guarantees_not_run(&further), "{further:?}");
        assert_eq!(world.runs("root.2"), 0);
    });
}

/// Guards against calls of a run whose response can no longer arrive, since its
/// connection broke.
#[test]
fn calls_of_a_run_whose_connection_broke_are_refused() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[1].instance;
        desk.set_behavior(Behavior::DropsResponses);
        let mut caller = connect(&world).await;

        caller.write(&request("root", "")).await.unwrap();
        let failed = caller.read().await.unwrap();
        desk.set_behavior(Behavior::Healthy);
        let further = call(&world, "root.1").await.read().await.unwrap();

        assert_eq!(failed.status, 502);
        assert!(guarantees_not_run(&further), "{further:?}");
        assert_eq!(world.runs("root.1"), 0);
    });
}

/// Guards against a call that a terminating node breaks off while an instance
/// works on it.
#[test]
fn calls_of_a_canceled_run_are_finished_at_a_terminating_node() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[1].instance;
        ["root", "root.1"].iter().for_each(|id| desk.hold(id));
        let mut caller = connect(&world).await;
        caller.write(&request("root", "")).await.unwrap();
        wait_for_start(desk, "root").await;
        let mut first = call(&world, "root.1").await;
        wait_for_start(desk, "root.1").await;
        world.pairs[1].node.signal("TERM");
        until("it shuts down", || async {
            world.pairs[1].node.log().contains("\"stop\"")
        })
        .await;

        drop(caller);
        until("the run is aborted", || async { desk.aborted_runs() >= 1 })
            .await;
        desk.release("root.1");
        let finished = first.read().await.unwrap();

        assert!(is_for(&finished, "root.1"), "{finished:?}");
    });
}

/// Guards against the refusal of calls of a later run of the same attempt.
#[test]
fn calls_of_an_attempt_that_runs_again_are_served() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[1].instance;
        desk.hold("root");
        for _ in 0..2 {
            let before = desk.runs("root");
            let mut caller = connect(&world).await;
            caller.write(&request("root", "")).await.unwrap();
            until("it runs", || async { desk.runs("root") > before }).await;
            if before > 0 {
                let served = call(&world, "root.1").await.read().await;
                assert_eq!(served.unwrap().status, 200);
            }
            drop(caller);
            until("it is aborted", || async {
                desk.aborted_runs() == u64::from(before) + 1
            })
            .await;
        }
    });
}

/// Guards against a cancellation that is lost with the link on which it was
/// sent, or that is not sent as the link is down.
#[test]
fn work_ends_for_a_caller_that_leaves_around_a_reset_of_the_link() {
    run(async {
        let mut world = world().await;
        let proxy = world.add_behind_proxy("desk").await;
        let desk = world.pairs[2].instance.clone();
        // Only the instance behind the proxy is used.
        assert_eq!(world.pairs[1].instance.drain().await, 200);
        for (round, lead_ms) in (-60_i64..=60).step_by(10).enumerate() {
            world.send_until_ok(0, "browse", &format!("up-{round}")).await;
            let attempt = format!("held-{round}");
            desk.hold(&attempt);
            let mut caller = connect(&world).await;
            caller.write(&request(&attempt, "")).await.unwrap();
            wait_for_start(&desk, &attempt).await;

            let pause = Duration::from_millis(lead_ms.unsigned_abs());
            if lead_ms < 0 {
                drop(caller);
                sleep(pause).await;
                proxy.reset();
            } else {
                proxy.reset();
                sleep(pause).await;
                drop(caller);
            }

            wait_for_cancel_at(&world, &desk, &attempt).await;
        }
    });
}

/// The same while frames are held up in one direction or in both, before the
/// link is reset.
#[test]
fn work_ends_for_a_caller_that_leaves_while_the_link_is_silent() {
    run(async {
        let mut world = world().await;
        let proxy = world.add_behind_proxy("desk").await;
        let desk = world.pairs[2].instance.clone();
        assert_eq!(world.pairs[1].instance.drain().await, 200);
        let modes = [Mode::StallToTarget, Mode::StallBoth];
        for (round, mode) in modes.into_iter().enumerate() {
            world.send_until_ok(0, "browse", &format!("up-{round}")).await;
            let attempt = format!("held-{round}");
            desk.hold(&attempt);
            let mut caller = connect(&world).await;
            caller.write(&request(&attempt, "")).await.unwrap();
            wait_for_start(&desk, &attempt).await;

            proxy.set_mode(mode);
            drop(caller);
            sleep(Duration::from_millis(100)).await;
            // The frames that were held up are lost.
            proxy.reset();
            proxy.set_mode(Mode::Forward);

            wait_for_cancel_at(&world, &desk, &attempt).await;
        }
    });
}
