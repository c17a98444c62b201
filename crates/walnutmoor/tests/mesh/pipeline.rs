//! HTTP/1.1 pipelining: callers that send requests before earlier ones are
//! answered.

use std::time::Duration;

use http::Method;
use walnutmoor_platform::header;
use walnutmoor_standin::mesh::caller::{Connection, Response, format_request};

use crate::fixture::{World, headers, run, until};

/// The text of a request.
fn request(method: Method, route: &str, attempt: &str, body: &str) -> String {
    format_request(
        method,
        &format!("/{route}/x"),
        &headers(attempt, 20_000),
        body,
    )
}

fn browse(attempt: &str) -> String {
    request(Method::GET, "browse", attempt, "")
}

/// Connects to the first node and sends these requests at once.
async fn connect(world: &World, requests: &[String]) -> Connection {
    let address = world.pairs[0].node.addresses().callers;
    let mut connection = Connection::open(address).await.unwrap();
    connection.write(&requests.concat()).await.unwrap();
    connection
}

/// True if this is a successful response to the given attempt.
fn is_for(answer: &Response, attempt: &str) -> bool {
    let id = answer.headers.get(header::ATTEMPT);
    answer.status == 200 && id.is_some_and(|id| id == attempt)
}

#[test]
fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        desk.hold("slow");

        let ids = ["slow", "q1", "q2", "q3"];
        let mut caller = connect(&world, &ids.map(browse)).await;
        until("all requests have started", || async {
            ids.iter().all(|id| desk.runs(id) == 1)
        })
        .await;
        desk.release("slow");

        for id in ids {
            let answer = caller.read().await.unwrap();
            assert!(is_for(&answer, id), "{id}: {answer:?}");
        }
    });
}

#[test]
fn a_rejected_request_does_not_affect_those_pipelined_after_it() {
    run(async {
        let world = World::start(&["front", "desk"]).await;

        let unroutable = request(Method::GET, "nowhere", "lost", "");
        let sent = [unroutable, browse("a"), browse("b")];
        let mut caller = connect(&world, &sent).await;

        assert_eq!(caller.read().await.unwrap().status, 404);
        assert!(is_for(&caller.read().await.unwrap(), "a"));
        assert!(is_for(&caller.read().await.unwrap(), "b"));
    });
}

#[test]
fn no_request_runs_after_one_that_closes_the_connection() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let closing =
            browse("b").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");

        let sent = [browse("a"), closing, browse("c")];
        let mut caller = connect(&world, &sent).await;

        assert!(is_for(&caller.read().await.unwrap(), "a"));
        assert!(!caller.is_closing());
        assert!(is_for(&caller.read().await.unwrap(), "b"));
        assert!(caller.is_closing());
        assert!(caller.read().await.is_none());
        assert_eq!(world.runs("c"), 0);
    });
}

#[test]
fn a_disconnecting_caller_cancels_all_of_its_requests() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        ["a", "b", "c"].iter().for_each(|id| desk.hold(id));

        let caller = connect(&world, &["a", "b", "c"].map(browse)).await;
        until("all run", || async { desk.total_runs() == 3 }).await;
        assert_eq!(
            desk.aborted_runs(),
            0,
            "a request was canceled before the caller left"
        );
        drop(caller);

        until("all are canceled", || async { desk.aborted_runs() == 3 }).await;
    });
}

#[test]
fn a_terminating_node_answers_all_started_requests() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = world.pairs[1].instance.clone();
        let ids = ["a", "b", "c", "d"];
        ids.iter().for_each(|id| desk.hold(id));
        let mut caller = connect(&world, &ids.map(browse)).await;
        until("all run", || async { desk.total_runs() == 4 }).await;

        world.pairs[0].node.signal("TERM");
        until("the node is not ready", || async { !world.is_ready(0).await })
            .await;
        ids.iter().for_each(|id| desk.release(id));

        for id in ids {
            assert!(is_for(&caller.read().await.unwrap(), id));
            assert_eq!(caller.is_closing(), id == "d");
        }
    });
}

#[test]
fn malformed_framing_closes_the_connection_after_earlier_responses() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let malformed = [
            browse("odd").replace("\r\n", "\n"),
            browse("odd").replace("host:", " host:"),
            browse("odd")
                .replace("length: 0", "length: 0\r\ncontent-length: 9"),
            browse("odd").replace("content-length: 0", "transfer-encoding: x"),
        ];

        for (n, malformed) in malformed.into_iter().enumerate() {
            let good = format!("good-{n}");
            let sent = [browse(&good), malformed, browse("behind")];
            let mut caller = connect(&world, &sent).await;

            assert!(is_for(&caller.read().await.unwrap(), &good));
            assert_eq!(caller.read().await.unwrap().status, 400);
            assert!(caller.is_closing());
            assert!(caller.read().await.is_none());
        }
        assert_eq!(world.runs("odd") + world.runs("behind"), 0);
    });
}

#[test]
fn a_request_that_must_not_run_twice_is_exclusive_on_its_connection() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        desk.hold("read");
        desk.hold("once");

        let once = request(Method::POST, "order", "once", "body");
        let sent = [browse("read"), once, browse("after")];
        let mut caller = connect(&world, &sent).await;
        until("the first runs", || async { desk.runs("read") == 1 }).await;
        world.send_until_ok(0, "browse", "beside").await;
        assert_eq!(desk.runs("once"), 0);
        desk.release("read");
        until("the second runs", || async { desk.runs("once") == 1 }).await;
        world.send_until_ok(0, "browse", "beside-2").await;
        assert_eq!(desk.runs("after"), 0);
        desk.release("once");

        for id in ["read", "once", "after"] {
            assert!(is_for(&caller.read().await.unwrap(), id));
        }
        assert_eq!(desk.runs("once"), 1);
    });
}

#[test]
fn a_caller_that_does_not_read_responses_is_not_read_further() {
    run(async {
        const COUNT: u32 = 600;
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        let body = "x".repeat(30_000);
        let address = world.pairs[0].node.addresses().callers;
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let (mut reader, mut writer) = stream.into_split();

        let sending = tokio::spawn(async move {
            for n in 0..COUNT {
                let id = format!("n{n}");
                let text = request(Method::GET, "browse", &id, &body);
                let bytes = text.as_bytes();
                tokio::io::AsyncWriteExt::write_all(&mut writer, bytes)
                    .await
                    .unwrap();
            }
            writer
        });
        let mut last_total = u32::MAX;
        until("no further request runs", || {
            let unchanged = desk.total_runs()
                == std::mem::replace(&mut last_total, desk.total_runs());
            async move {
                tokio::time::sleep(Duration::from_millis(300)).await;
                unchanged
            }
        })
        .await;
        assert!(desk.total_runs() < COUNT, "all {COUNT} requests ran");
        let mut bytes = 0;
        let mut buffer = vec![0; 64 << 10];
        while bytes < COUNT as usize * 30_000 {
            let read = tokio::io::AsyncReadExt::read(&mut reader, &mut buffer);
            let count = read.await.unwrap();
            assert!(count > 0, "closed after {bytes} bytes");
            bytes += count;
        }

        assert_eq!(desk.total_runs(), COUNT);
        drop(sending.await.unwrap());
    });
}

#[test]
fn continue_is_sent_after_the_earlier_responses() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        desk.hold("a");
        let order = request(Method::POST, "order", "b", "body");
        let (head, body) = order.split_at(order.len() - 4);
        let head =
            head.replace("\r\n\r\n", "\r\nexpect: 100-continue\r\n\r\n");

        let mut caller = connect(&world, &[browse("a"), head]).await;
        until("the first runs", || async { desk.runs("a") == 1 }).await;
        desk.release("a");

        assert!(is_for(&caller.read().await.unwrap(), "a"));
        assert_eq!(caller.read().await.unwrap().status, 100);
        caller.write(body).await.unwrap();
        let answer = caller.read().await.unwrap();
        assert!(is_for(&answer, "b"));
        assert!(answer.body.ends_with(" b body"));
    });
}

#[test]
fn continue_is_not_sent_before_an_earlier_response_of_a_terminating_node() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        desk.hold("a");
        let order = request(Method::POST, "order", "b", "body");
        let (head, _) = order.split_at(order.len() - 4);
        let head =
            head.replace("\r\n\r\n", "\r\nexpect: 100-continue\r\n\r\n");

        let mut caller = connect(&world, &[browse("a"), head]).await;
        until("the first runs", || async { desk.runs("a") == 1 }).await;
        world.pairs[0].node.signal("TERM");
        until("the node leaves", || async { !world.is_ready(0).await }).await;
        desk.release("a");

        assert!(is_for(&caller.read().await.unwrap(), "a"));
    });
}

#[test]
fn a_chunked_body_may_be_pipelined() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let plain = request(Method::POST, "browse", "b", "");
        let chunked =
            plain.replace("content-length: 0", "transfer-encoding: chunked");
        let chunked =
            format!("{chunked}3\r\nbod\r\n1;x=y\r\ny\r\n0\r\nt: 1\r\n\r\n");

        let sent = [browse("a"), chunked, browse("c")];
        let mut caller = connect(&world, &sent).await;

        assert!(is_for(&caller.read().await.unwrap(), "a"));
        let answer = caller.read().await.unwrap();
        assert!(is_for(&answer, "b"));
        assert!(answer.body.ends_with(" b body"));
        assert!(is_for(&caller.read().await.unwrap(), "c"));
    });
}
