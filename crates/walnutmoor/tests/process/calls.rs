//! Whole requests from end to end, and bad input.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use walnutmoor::wire;
use walnutmoor_standin::client::{Attempt, Outcome};

use super::fixture::*;

#[test]
fn a_request_crosses_three_services() {
    run(async {
        // Arrange
        let top = Plan { calls: vec!["middle"], ..plan("top", "a") };
        let middle = Plan { calls: vec!["deep"], ..plan("middle", "b") };
        let world = World::start(&[top, middle, plan("deep", "a")]).await;

        // Act: any node takes any request.
        let mut came = Vec::new();
        for index in 0..3 {
            let request = format!("r{index}");
            let attempt = browse("top", &request);
            came.push(text(&world.send(index, attempt).await));
        }

        // Assert
        for (index, text) in came.iter().enumerate() {
            assert_eq!(*text, format!("r{index}:top(middle(deep()))"));
        }
    });
}

#[test]
fn many_callers_each_get_their_own_answer() {
    run(async {
        let top = Plan { calls: vec!["deep"], ..plan("top", "a") };
        let deep =
            Plan { time: Duration::from_millis(30), ..plan("deep", "b") };
        let world = World::start(&[top, deep]).await;

        let calls = (0..60).map(|n| {
            let request = format!("many{n}");
            let world = &world;
            async move {
                let attempt = browse("top", &request);
                let came = world.send(n % 2, attempt).await;
                (request, came)
            }
        });
        let came = join_all(calls).await;

        let mut whole = 0;
        for (request, came) in &came {
            if came.is_success() {
                whole += 1;
                assert!(text(came).starts_with(&format!("{request}:")));
            }
        }
        assert!(whole > 0);
    });
}

async fn join_all<F: Future>(
    calls: impl Iterator<Item = F>,
) -> Vec<F::Output> {
    let mut calls: Vec<_> = calls.map(Box::pin).collect();
    let mut done: Vec<Option<F::Output>> = Vec::new();
    done.resize_with(calls.len(), || None);
    std::future::poll_fn(|context| {
        let mut open = false;
        for (call, slot) in calls.iter_mut().zip(&mut done) {
            if slot.is_some() {
                continue;
            }
            match call.as_mut().poll(context) {
                std::task::Poll::Ready(output) => *slot = Some(output),
                std::task::Poll::Pending => open = true,
            }
        }
        match open {
            true => std::task::Poll::Pending,
            false => std::task::Poll::Ready(()),
        }
    })
    .await;
    done.into_iter().flatten().collect()
}

#[test]
fn bad_input_gets_a_clear_error_and_loses_nothing() {
    run(async {
        let world = World::start(&[plan("top", "a")]).await;
        let call = || Attempt::get("/v1/call/top/it");
        let ticket = world.ticket(0).await;
        let with = |part: usize, text: &'static str| {
            let mut parts: Vec<&str> = ticket.split('~').collect();
            parts[part] = text;
            parts.join("~")
        };
        let (foreign, made_up) = (with(1, "1"), with(2, "7000000001"));
        let cases = [
            (call().header(wire::CLASS, "nobody"), "unknown_class", "no"),
            (Attempt::get("/v1/call/nowhere/it"), "unknown_service", "no"),
            (Attempt::get("/v1/call/No%20Name/it"), "malformed", "no"),
            (call().header(wire::DEADLINE, "soon"), "malformed", "no"),
            (call().header(wire::DEADLINE, "0"), "deadline", "no"),
            (call().header(wire::ATTEMPT, "-1"), "malformed", "no"),
            (call().header(wire::ATTEMPT, "99"), "budget", "no"),
            (call().header(wire::PARENT, "1.1"), "malformed", "no"),
            (call().header(wire::TICKET, "mine"), "malformed", "no"),
            (call().header(wire::CLASS, "order"), "ticket_required", "no"),
            (order("top", "x", &made_up), "ticket_forged", "no"),
            (order("top", "x", &foreign), "owner_silent", "no"),
            (call().body(vec![0; 65 << 10]), "too_large", "no"),
        ];

        for (attempt, kind, ran) in cases {
            let shown = format!("{:?}", attempt.headers);
            let came = world.send(0, attempt).await;
            let want = (kind.to_string(), ran.to_string());
            assert_eq!(refusal(&came), want, "{shown}");
        }

        assert_eq!(world.oracle.runs(), 0);
        let came = world.send(0, browse("top", "after")).await;
        assert_eq!(text(&came), "after:top()");
    });
}

#[test]
fn a_truncated_request_leaves_nothing_behind() {
    run(async {
        let world = World::start(&[plan("top", "a")]).await;
        let address = world.pairs[0].node.caller_address();

        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = "POST /v1/call/top/it HTTP/1.1\r\nhost: x\r\n\
                    content-length: 100\r\n\r\nhalf";
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;

        assert_eq!(world.oracle.runs(), 0);
        let came = world.send(0, browse("top", "after")).await;
        assert_eq!(text(&came), "after:top()");
    });
}

#[test]
fn half_an_answer_is_an_error() {
    run(async {
        let world = World::start(&[plan("top", "a")]).await;
        world.pairs[0].backend.set_abort_responses(true);

        let ticket = world.ticket(0).await;
        let came = world.send(0, order("top", "cut", &ticket)).await;

        // It may have run, so it is never run again.
        let told = ("broken".to_string(), "unknown".to_string());
        assert_eq!(refusal(&came), told);
        world.pairs[0].backend.set_abort_responses(false);
        let again = world.send(0, order("top", "cut", &ticket)).await;
        assert_eq!(refusal(&again), told);
        assert_eq!(world.oracle.runs_of("top", "cut"), 1);
    });
}

#[test]
fn a_caller_that_leaves_frees_its_places() {
    run(async {
        let top = Plan { calls: vec!["deep"], ..plan("top", "a") };
        let deep =
            Plan { time: Duration::from_secs(600), ..plan("deep", "b") };
        let world = World::start(&[top, deep]).await;
        let address = world.pairs[0].node.caller_address();

        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = "GET /v1/call/top/it HTTP/1.1\r\nhost: x\r\n\
                    walnutmoor-class: browse\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let deep = &world.pairs[1].backend;
        until("the deep call runs", || async { deep.running() == 1 }).await;
        drop(stream);

        until("all places are free", || async {
            deep.running() == 0 && world.pairs[0].backend.running() == 0
        })
        .await;
    });
}

#[test]
fn a_ticket_runs_once_and_its_answer_is_replayed() {
    run(async {
        let world = World::start(&[plan("top", "a"), plan("top", "b")]).await;
        let ticket = world.ticket(0).await;

        let first = world.send(0, order("top", "one", &ticket)).await;
        let second = world.send(1, order("top", "one", &ticket)).await;
        let other =
            world.send(0, order("top", "one", &ticket).body("another")).await;

        assert!(first.is_success(), "{first:?}");
        assert_eq!(text(&first), text(&second));
        let told = ("ticket_reused".to_string(), "no".to_string());
        assert_eq!(refusal(&other), told);
        assert_eq!(world.oracle.runs_of("top", "one"), 1);
        let node = world.pairs[1].node.caller_address();
        let path = format!("/v1/tickets/{ticket}");
        let outcome = world.get_json(node, &path).await;
        assert_eq!(outcome["ran"], "yes");
    });
}

#[test]
fn a_server_announces_itself_and_leaves() {
    run(async {
        let world = World::start(&[plan("top", "a"), plan("late", "b")]).await;

        // It leaves by its own word: the node stays, the service goes.
        let node = world.pairs[1].node.caller_address();
        let leave = Attempt {
            method: http::Method::DELETE,
            ..Attempt::get("/v1/server")
        };
        world.client.send(node, leave).await;
        until("the service is gone", || async {
            let came = world.send(0, browse("late", "x")).await;
            matches!(came, Outcome::Refused(told) if told.ran == "no")
        })
        .await;

        let what = "{\"service\":\"late\",\"slots\":8,\"connections\":64}";
        let announce = Attempt {
            method: http::Method::PUT,
            ..Attempt::get("/v1/server").body(what)
        };
        until("the service is back", || async {
            world.client.send(node, announce.clone()).await;
            world.send(0, browse("late", "y")).await.is_success()
        })
        .await;
    });
}
