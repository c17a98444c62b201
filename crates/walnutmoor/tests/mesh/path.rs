//! The way of a request.

use http::Method;
use walnutmoor_platform::header;
use walnutmoor_standin::mesh::{caller, instance::Behavior};

use crate::fixture::{DESCRIPTORS, World, headers, is_promise, run, until};

#[test]
fn a_request_reaches_the_instance_of_another_node_unchanged() {
    run(async {
        let world = World::start(&["front", "desk"]).await;

        let answer = world.send(0, "browse", "a1").await.unwrap();

        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, "i-1 a1 body");
        let signature = &answer.headers[header::SIGNATURE];
        assert_eq!(signature, "s.a1");
        assert_eq!(world.pairs[1].instance.callers(), ["front"]);
    });
}

#[test]
fn what_no_route_matches_is_not_found() {
    run(async {
        let world = World::start(&["desk"]).await;

        let answer = world.send(0, "nowhere", "a1").await.unwrap();

        assert_eq!(answer.status, 404);
    });
}

#[test]
fn odd_framing_is_refused_and_runs_nothing() {
    run(async {
        let world = World::start(&["desk"]).await;
        let at = world.pairs[0].node.addresses().callers;
        let id = header::ATTEMPT;
        let odd = [
            "content-length: 4\r\ncontent-length: 5\r\n",
            "content-length: -1\r\n",
            "transfer-encoding: chunked, identity\r\n",
            "content-length : 4\r\n",
        ];

        for line in odd {
            let text = format!(
                "POST /order/x HTTP/1.1\r\nhost: shop.example\r\n\
                 {id}: odd\r\n{line}\r\nabcdGET /order/y HTTP/1.1\r\n\
                 host: shop.example\r\n{id}: smuggled\r\n\r\n"
            );
            let answer = caller::send_raw(at, &text).await;
            let refused =
                answer.is_none_or(|a| (400..500).contains(&a.status));
            assert!(refused, "{line}");
        }

        assert_eq!(world.runs("odd") + world.runs("smuggled"), 0);
    });
}

#[test]
fn a_caller_that_leaves_takes_its_idempotent_request_with_it() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let instance = &world.pairs[1].instance;
        instance.set_behavior(Behavior::NeverResponds);
        instance.set_run_time(std::time::Duration::from_secs(600));
        let at = world.pairs[0].node.addresses().callers;

        let waiting = tokio::spawn(async move {
            let headers = headers("left", 60_000);
            let path = "/browse/x";
            let body = String::new();
            caller::send(at, Method::GET, path, &headers, body).await
        });
        until("it runs", || async { instance.runs("left") == 1 }).await;
        waiting.abort();

        until("its run is cut", || async { instance.aborted_runs() == 1 })
            .await;
    });
}

#[test]
fn shed_requests_are_refused_with_the_word_that_they_did_not_run() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        for pair in &world.pairs {
            pair.instance.set_behavior(Behavior::Sheds);
        }

        for n in 0..20 {
            let id = format!("s{n}");
            let answer = world.send(0, "order", &id).await.unwrap();

            assert!(is_promise(&answer), "{}", answer.status);
            let back = answer.headers.get(http::header::RETRY_AFTER);
            assert!(back.is_some());
            assert_eq!(world.runs(&id), 0);
        }
    });
}

#[test]
fn metrics_tell_what_was_answered() {
    run(async {
        let world = World::start(&["desk"]).await;
        world.served(0, "browse", "m").await;
        let at = world.pairs[0].node.addresses().metrics;

        let sent =
            caller::send(at, Method::GET, "/metrics", &[], String::new());
        let answer = sent.await.unwrap();

        let line = "walnutmoor_requests_total{outcome=\"answered\"} 1";
        assert!(answer.body.contains(line), "{}", answer.body);
    });
}

#[test]
fn callers_are_asked_to_close_before_descriptors_run_out() {
    run(async {
        let world = World::start(&["desk"]).await;
        let at = world.pairs[0].node.addresses().callers;
        let mut held = Vec::new();

        let mut asked = 0;
        for n in 0..DESCRIPTORS {
            let text = format!(
                "GET /browse/x HTTP/1.1\r\nhost: shop.example\r\n{}: h{n}\r\n\
                 \r\n",
                header::ATTEMPT
            );
            let (answer, stream) =
                caller::send_keep_alive(at, &text).await.unwrap();
            assert_eq!(answer.status, 200);
            let close = answer.headers.get(http::header::CONNECTION);
            asked += usize::from(close.is_some_and(|c| c == "close"));
            held.push(stream);
        }

        assert!(asked > DESCRIPTORS / 2, "{asked}");
        assert!(asked < DESCRIPTORS, "{asked}");
    });
}
