//! The path of a request from a caller through nodes to an instance.

use http::Method;
use walnutmoor_platform::header;
use walnutmoor_standin::mesh::{caller, instance::Behavior};

use crate::fixture::{
    DESCRIPTORS, World, guarantees_not_run, headers, run, until,
};

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
fn a_request_without_a_route_is_answered_with_404() {
    run(async {
        let world = World::start(&["desk"]).await;

        let answer = world.send(0, "nowhere", "a1").await.unwrap();

        assert_eq!(answer.status, 404);
    });
}

#[test]
fn malformed_framing_is_rejected_and_runs_nothing() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().callers;
        let id = header::ATTEMPT;
        let malformed_headers = [
            "content-length: 4\r\ncontent-length: 5\r\n",
            "content-length: -1\r\n",
            "transfer-encoding: chunked, identity\r\n",
            "content-length : 4\r\n",
        ];

        for line in malformed_headers {
            let text = format!(
                "POST /order/x HTTP/1.1\r\nhost: shop.example\r\n\
                 {id}: odd\r\n{line}\r\nabcdGET /order/y HTTP/1.1\r\n\
                 host: shop.example\r\n{id}: smuggled\r\n\r\n"
            );
            let answer = caller::send_raw(address, &text).await;
            let rejected = answer
                .is_none_or(|answer| (400..500).contains(&answer.status));
            assert!(rejected, "{line}");
        }

        assert_eq!(world.runs("odd") + world.runs("smuggled"), 0);
    });
}

#[test]
fn a_disconnecting_caller_cancels_its_idempotent_request() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let instance = &world.pairs[1].instance;
        instance.set_behavior(Behavior::NeverResponds);
        instance.set_run_time(std::time::Duration::from_secs(600));
        let address = world.pairs[0].node.addresses().callers;

        let waiting = tokio::spawn(async move {
            let headers = headers("left", 60_000);
            let path = "/browse/x";
            let body = String::new();
            caller::send(address, Method::GET, path, &headers, body).await
        });
        until("the request runs", || async { instance.runs("left") == 1 })
            .await;
        waiting.abort();

        until("its run is canceled", || async {
            instance.aborted_runs() == 1
        })
        .await;
    });
}

#[test]
fn shed_requests_are_refused_with_a_status_that_guarantees_no_run() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        for pair in &world.pairs {
            pair.instance.set_behavior(Behavior::Sheds);
        }

        for n in 0..20 {
            let id = format!("s{n}");
            let answer = world.send(0, "order", &id).await.unwrap();

            assert!(guarantees_not_run(&answer), "{}", answer.status);
            let retry_after = answer.headers.get(http::header::RETRY_AFTER);
            assert!(retry_after.is_some());
            assert_eq!(world.runs(&id), 0);
        }
    });
}

#[test]
fn metrics_count_answered_requests() {
    run(async {
        let world = World::start(&["desk"]).await;
        world.send_until_ok(0, "browse", "m").await;
        let address = world.pairs[0].node.addresses().metrics;

        let request =
            caller::send(address, Method::GET, "/metrics", &[], String::new());
        let answer = request.await.unwrap();

        let line = "walnutmoor_requests_total{outcome=\"answered\"} 1";
        assert!(answer.body.contains(line), "{}", answer.body);
    });
}

#[test]
fn callers_are_asked_to_close_before_descriptors_run_out() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().callers;
        let mut open_streams = Vec::new();

        let mut close_count = 0;
        for n in 0..DESCRIPTORS {
            let text = format!(
                "GET /browse/x HTTP/1.1\r\nhost: shop.example\r\n{}: h{n}\r\n\
                 \r\n",
                header::ATTEMPT
            );
            let (answer, stream) =
                caller::send_keep_alive(address, &text).await.unwrap();
            assert_eq!(answer.status, 200);
            let close = answer.headers.get(http::header::CONNECTION);
            close_count +=
                usize::from(close.is_some_and(|value| value == "close"));
            open_streams.push(stream);
        }

        assert!(close_count > DESCRIPTORS / 2, "{close_count}");
        assert!(close_count < DESCRIPTORS, "{close_count}");
    });
}
