//! Requests from end to end, and malformed input.

use std::time::{Duration, Instant};

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
        let top = Plan { nested_calls: vec!["middle"], ..plan("top", "a") };
        let middle =
            Plan { nested_calls: vec!["deep"], ..plan("middle", "b") };
        let cluster = Cluster::start(&[top, middle, plan("deep", "a")]).await;

        // Every node accepts calls to every service.
        let mut bodies = Vec::new();
        for index in 0..3 {
            let request = format!("r{index}");
            let attempt = browse("top", &request);
            bodies.push(body_text(&cluster.send(index, attempt).await));
        }

        for (index, body) in bodies.iter().enumerate() {
            assert_eq!(*body, format!("r{index}:top(middle(deep()))"));
        }
    });
}

#[test]
fn many_callers_each_get_their_own_answer() {
    run(async {
        let top = Plan { nested_calls: vec!["deep"], ..plan("top", "a") };
        let deep = Plan {
            service_time: Duration::from_millis(30),
            ..plan("deep", "b")
        };
        let cluster = Cluster::start(&[top, deep]).await;

        let calls = (0..60).map(|n| {
            let request = format!("many{n}");
            let cluster = &cluster;
            async move {
                let attempt = browse("top", &request);
                let response = cluster.send(n % 2, attempt).await;
                (request, response)
            }
        });
        let responses = join_all(calls).await;

        let mut answered = 0;
        for (request, response) in &responses {
            if response.is_success() {
                answered += 1;
                assert!(
                    body_text(response).starts_with(&format!("{request}:"))
                );
            }
        }
        assert!(answered > 0);
    });
}

async fn join_all<F: Future>(
    calls: impl Iterator<Item = F>,
) -> Vec<F::Output> {
    let mut calls: Vec<_> = calls.map(Box::pin).collect();
    let mut done: Vec<Option<F::Output>> = Vec::new();
    done.resize_with(calls.len(), || None);
    std::future::poll_fn(|context| {
        let mut pending = false;
        for (call, slot) in calls.iter_mut().zip(&mut done) {
            if slot.is_some() {
                continue;
            }
            match call.as_mut().poll(context) {
                std::task::Poll::Ready(output) => *slot = Some(output),
                std::task::Poll::Pending => pending = true,
            }
        }
        match pending {
            true => std::task::Poll::Pending,
            false => std::task::Poll::Ready(()),
        }
    })
    .await;
    done.into_iter().flatten().collect()
}

#[test]
fn malformed_input_is_refused_and_does_not_run() {
    run(async {
        let cluster = Cluster::start(&[plan("top", "a")]).await;
        let call = || Attempt::get("/v1/call/top/it");
        let ticket = cluster.ticket(0).await;
        let ticket_with = |part: usize, value: &'static str| {
            let mut parts: Vec<&str> = ticket.split('~').collect();
            parts[part] = value;
            parts.join("~")
        };
        let (foreign, forged) =
            (ticket_with(1, "1"), ticket_with(2, "7000000001"));
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
            (order("top", "x", &forged), "ticket_forged", "no"),
            (order("top", "x", &foreign), "owner_silent", "no"),
            (call().body(vec![0; 65 << 10]), "too_large", "no"),
        ];

        for (attempt, kind, ran) in cases {
            let headers = format!("{:?}", attempt.headers);
            let response = cluster.send(0, attempt).await;
            let expected = (kind.to_string(), ran.to_string());
            assert_eq!(refusal(&response), expected, "{headers}");
        }

        assert_eq!(cluster.oracle.runs(), 0);
        let response = cluster.send(0, browse("top", "after")).await;
        assert_eq!(body_text(&response), "after:top()");
    });
}

#[test]
fn a_truncated_request_does_not_run() {
    run(async {
        let cluster = Cluster::start(&[plan("top", "a")]).await;
        let address = cluster.pairs[0].node.caller_address();

        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = "POST /v1/call/top/it HTTP/1.1\r\nhost: x\r\n\
                    content-length: 100\r\n\r\nhalf";
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;

        assert_eq!(cluster.oracle.runs(), 0);
        let response = cluster.send(0, browse("top", "after")).await;
        assert_eq!(body_text(&response), "after:top()");
    });
}

#[test]
fn an_incomplete_answer_is_an_error() {
    run(async {
        let cluster = Cluster::start(&[plan("top", "a")]).await;
        cluster.pairs[0].backend.set_abort_responses(true);

        let ticket = cluster.ticket(0).await;
        let response = cluster.send(0, order("top", "cut", &ticket)).await;

        // It may have run, so it must not be retried.
        let expected = ("broken".to_string(), "unknown".to_string());
        assert_eq!(refusal(&response), expected);
        cluster.pairs[0].backend.set_abort_responses(false);
        let second = cluster.send(0, order("top", "cut", &ticket)).await;
        assert_eq!(refusal(&second), expected);
        assert_eq!(cluster.oracle.runs_of("top", "cut"), 1);
    });
}

/// Guards against a node that reads a response without end until it has no
/// memory left.
#[test]
fn a_response_without_end_is_an_error_and_frees_its_slot() {
    run(async {
        let cluster = Cluster::start(&[plan("top", "a")]).await;
        let backend = &cluster.pairs[0].backend;
        backend.set_endless_responses(true);

        for n in 0..10 {
            let ticket = cluster.ticket(0).await;
            let id = format!("endless-{n}");
            let response = cluster.send(0, order("top", &id, &ticket)).await;

            let expected = ("broken".to_string(), "unknown".to_string());
            assert_eq!(refusal(&response), expected);
        }

        backend.set_endless_responses(false);
        let ticket = cluster.ticket(0).await;
        let next = cluster.send(0, order("top", "next", &ticket)).await;
        assert!(next.is_success(), "{next:?}");
    });
}

#[test]
fn a_disconnected_caller_frees_its_slots() {
    run(async {
        let top = Plan { nested_calls: vec!["deep"], ..plan("top", "a") };
        let deep = Plan {
            service_time: Duration::from_secs(600),
            ..plan("deep", "b")
        };
        let cluster = Cluster::start(&[top, deep]).await;
        let address = cluster.pairs[0].node.caller_address();

        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = "GET /v1/call/top/it HTTP/1.1\r\nhost: x\r\n\
                    walnutmoor-class: browse\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let deep = &cluster.pairs[1].backend;
        until("the nested call runs", || async { deep.running() == 1 }).await;
        drop(stream);

        until("all slots are free", || async {
            deep.running() == 0 && cluster.pairs[0].backend.running() == 0
        })
        .await;
    });
}

/// Guards against work for a caller whose close is not seen, as it is behind a
/// request that was not read.
#[test]
fn a_caller_that_leaves_a_request_behind_frees_its_slots() {
    run(async {
        let deep = Plan {
            service_time: Duration::from_secs(600),
            ..plan("deep", "b")
        };
        let cluster = Cluster::start(&[plan("top", "a"), deep]).await;
        let address = cluster.pairs[0].node.caller_address();

        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = "GET /v1/call/deep/it HTTP/1.1\r\nhost: x\r\n\
                    walnutmoor-class: browse\r\n\
                    walnutmoor-deadline: 30000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let deep = &cluster.pairs[1].backend;
        until("the call runs", || async { deep.running() == 1 }).await;
        stream.write_all(head.as_bytes()).await.unwrap();
        drop(stream);

        let left_at = Instant::now();
        until("the slot is free", || async { deep.running() == 0 }).await;

        assert!(left_at.elapsed() < Duration::from_secs(15), "by deadline");
    });
}

#[test]
fn a_ticket_runs_once_and_its_answer_is_replayed() {
    run(async {
        let cluster =
            Cluster::start(&[plan("top", "a"), plan("top", "b")]).await;
        let ticket = cluster.ticket(0).await;

        let first = cluster.send(0, order("top", "one", &ticket)).await;
        let second = cluster.send(1, order("top", "one", &ticket)).await;
        let other = cluster
            .send(0, order("top", "one", &ticket).body("another"))
            .await;

        assert!(first.is_success(), "{first:?}");
        assert_eq!(body_text(&first), body_text(&second));
        let expected = ("ticket_reused".to_string(), "no".to_string());
        assert_eq!(refusal(&other), expected);
        assert_eq!(cluster.oracle.runs_of("top", "one"), 1);
        let node = cluster.pairs[1].node.caller_address();
        let path = format!("/v1/tickets/{ticket}");
        let outcome = cluster.get_json(node, &path).await;
        assert_eq!(outcome["ran"], "yes");
    });
}

#[test]
fn a_server_announces_itself_and_leaves() {
    run(async {
        let cluster =
            Cluster::start(&[plan("top", "a"), plan("late", "b")]).await;

        // The node stays, but its backend server withdraws the service.
        let node = cluster.pairs[1].node.caller_address();
        let leave = Attempt {
            method: http::Method::DELETE,
            ..Attempt::get("/v1/server")
        };
        cluster.client.send(node, leave).await;
        until("the service is unavailable", || async {
            let response = cluster.send(0, browse("late", "x")).await;
            matches!(response, Outcome::Refused(refused) if refused.ran == "no")
        })
        .await;

        let announcement =
            "{\"service\":\"late\",\"slots\":8,\"connections\":64}";
        let announce = Attempt {
            method: http::Method::PUT,
            ..Attempt::get("/v1/server").body(announcement)
        };
        until("the service is available again", || async {
            cluster.client.send(node, announce.clone()).await;
            cluster.send(0, browse("late", "y")).await.is_success()
        })
        .await;
    });
}
