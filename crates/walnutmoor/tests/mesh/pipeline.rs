//! Callers that send further requests before the first is answered.

use std::time::Duration;

use http::Method;
use walnutmoor_platform::header;
use walnutmoor_standin::mesh::caller::{Connection, Response, format_request};

use crate::fixture::{World, headers, run, until};

/// A request, as bytes.
fn ask(method: Method, route: &str, attempt: &str, body: &str) -> String {
    format_request(
        method,
        &format!("/{route}/x"),
        &headers(attempt, 20_000),
        body,
    )
}

fn browse(attempt: &str) -> String {
    ask(Method::GET, "browse", attempt, "")
}

/// A connection to the first node, and what it is given at once.
async fn connect(world: &World, requests: &[String]) -> Connection {
    let at = world.pairs[0].node.addresses().callers;
    let mut connection = Connection::open(at).await.unwrap();
    connection.write(&requests.concat()).await.unwrap();
    connection
}

fn is_for(answer: &Response, attempt: &str) -> bool {
    let id = answer.headers.get(header::ATTEMPT);
    answer.status == 200 && id.is_some_and(|id| id == attempt)
}

#[test]
fn quick_requests_behind_a_slow_one_run_beside_it_and_are_answered_after() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        desk.hold("slow");

        let all = ["slow", "q1", "q2", "q3"];
        let mut caller = connect(&world, &all.map(browse)).await;
        until("the quick ones have run", || async {
            all.iter().all(|id| desk.runs(id) == 1)
        })
        .await;
        desk.release("slow");

        for id in all {
            let answer = caller.read().await.unwrap();
            assert!(is_for(&answer, id), "{id}: {answer:?}");
        }
    });
}

#[test]
fn a_refusal_ahead_is_answered_first_and_harms_none_behind() {
    run(async {
        let world = World::start(&["front", "desk"]).await;

        let lost = ask(Method::GET, "nowhere", "lost", "");
        let sent = [lost, browse("a"), browse("b")];
        let mut caller = connect(&world, &sent).await;

        assert_eq!(caller.read().await.unwrap().status, 404);
        assert!(is_for(&caller.read().await.unwrap(), "a"));
        assert!(is_for(&caller.read().await.unwrap(), "b"));
    });
}

#[test]
fn nothing_runs_that_was_sent_behind_the_last_request() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let last =
            browse("b").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");

        let sent = [browse("a"), last, browse("c")];
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
fn a_caller_that_leaves_ends_all_of_its_requests() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        ["a", "b", "c"].iter().for_each(|id| desk.hold(id));

        let caller = connect(&world, &["a", "b", "c"].map(browse)).await;
        until("all run", || async { desk.total_runs() == 3 }).await;
        assert_eq!(
            desk.aborted_runs(),
            0,
            "one had to end for another to begin"
        );
        drop(caller);

        until("all are cut", || async { desk.aborted_runs() == 3 }).await;
    });
}

#[test]
fn a_node_told_to_end_answers_all_that_was_begun() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = world.pairs[1].instance.clone();
        let all = ["a", "b", "c", "d"];
        all.iter().for_each(|id| desk.hold(id));
        let mut caller = connect(&world, &all.map(browse)).await;
        until("all run", || async { desk.total_runs() == 4 }).await;

        world.pairs[0].node.signal("TERM");
        until("it is not ready", || async { !world.is_ready(0).await }).await;
        all.iter().for_each(|id| desk.release(id));

        for id in all {
            assert!(is_for(&caller.read().await.unwrap(), id));
            assert_eq!(caller.is_closing(), id == "d");
        }
    });
}

#[test]
fn odd_framing_behind_a_good_request_ends_the_connection_after_its_answer() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let odd = [
            browse("odd").replace("\r\n", "\n"),
            browse("odd").replace("host:", " host:"),
            browse("odd")
                .replace("length: 0", "length: 0\r\ncontent-length: 9"),
            browse("odd").replace("content-length: 0", "transfer-encoding: x"),
        ];

        for (n, odd) in odd.into_iter().enumerate() {
            let good = format!("good-{n}");
            let sent = [browse(&good), odd, browse("behind")];
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
fn a_request_that_may_run_only_once_is_alone_on_its_connection() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        desk.hold("read");
        desk.hold("once");

        let once = ask(Method::POST, "order", "once", "body");
        let sent = [browse("read"), once, browse("after")];
        let mut caller = connect(&world, &sent).await;
        until("the first runs", || async { desk.runs("read") == 1 }).await;
        world.served(0, "browse", "beside").await;
        assert_eq!(desk.runs("once"), 0);
        desk.release("read");
        until("the second runs", || async { desk.runs("once") == 1 }).await;
        world.served(0, "browse", "beside-2").await;
        assert_eq!(desk.runs("after"), 0);
        desk.release("once");

        for id in ["read", "once", "after"] {
            assert!(is_for(&caller.read().await.unwrap(), id));
        }
        assert_eq!(desk.runs("once"), 1);
    });
}

#[test]
fn a_caller_that_does_not_read_is_not_read_further() {
    run(async {
        const COUNT: u32 = 600;
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        let body = "x".repeat(30_000);
        let at = world.pairs[0].node.addresses().callers;
        let stream = tokio::net::TcpStream::connect(at).await.unwrap();
        let (mut reader, mut writer) = stream.into_split();

        let sending = tokio::spawn(async move {
            for n in 0..COUNT {
                let id = format!("n{n}");
                let text = ask(Method::GET, "browse", &id, &body);
                let bytes = text.as_bytes();
                tokio::io::AsyncWriteExt::write_all(&mut writer, bytes)
                    .await
                    .unwrap();
            }
            writer
        });
        let mut last = u32::MAX;
        until("no more is run", || {
            let same = desk.total_runs()
                == std::mem::replace(&mut last, desk.total_runs());
            async move {
                tokio::time::sleep(Duration::from_millis(300)).await;
                same
            }
        })
        .await;
        assert!(desk.total_runs() < COUNT, "all of {COUNT} were run");
        let mut bytes = 0;
        let mut part = vec![0; 64 << 10];
        while bytes < COUNT as usize * 30_000 {
            let read = tokio::io::AsyncReadExt::read(&mut reader, &mut part);
            let count = read.await.unwrap();
            assert!(count > 0, "closed after {bytes}");
            bytes += count;
        }

        assert_eq!(desk.total_runs(), COUNT);
        drop(sending.await.unwrap());
    });
}

#[test]
fn a_caller_is_told_to_send_its_body_after_the_answers_ahead() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        desk.hold("a");
        let held = ask(Method::POST, "order", "b", "body");
        let (head, body) = held.split_at(held.len() - 4);
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
fn a_body_in_chunks_may_stand_between_heads() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let whole = ask(Method::POST, "browse", "b", "");
        let chunked =
            whole.replace("content-length: 0", "transfer-encoding: chunked");
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
