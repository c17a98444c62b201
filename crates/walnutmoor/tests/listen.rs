//! The listeners of `walnutmoor node`: which calls are rejected, and the
//! cancellation of those whose callers have left.

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use dropshot::Body;
use futures_util::poll;
use http::{Method, Request, StatusCode};
use walnutmoor::worker::{
    driver::{self, Input},
    listen::{self, Context},
    transfer::{Answers, Requests, Transfers},
};
use walnutmoor_core::{id::CallId, memory::Pool, node::Event, time::Millis};
use walnutmoor_standin::wait::{run, until};

/// Guards against a cancellation that is lost, as the driver's channel is full
/// when the caller leaves.
#[test]
fn a_cancellation_waits_while_the_channel_is_full() {
    run(async {
        let (inputs, received) = driver::channel(1);
        let context = Context {
            inputs,
            call_counter: Arc::new(AtomicU64::new(1)),
            tokens: Arc::default(),
            max_body_bytes: 1_000,
            retries: 0,
            max_time_left: Millis(1_000),
            requests: Requests {
                pool: Pool::unlimited(),
                transfers: Transfers::default(),
            },
            answers: Answers {
                pool: Pool::unlimited(),
                transfers: Transfers::default(),
            },
        };
        let call = context.next_call();
        let mut reply = None;
        let mut submitted = Box::pin(listen::submit(&context, call, |to| {
            reply = Some(to);
            Input::Event(Box::new(Event::Tick))
        }));
        assert!(poll!(&mut submitted).is_pending());

        drop(submitted);
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(received.try_recv().is_ok(), "the call");

        until("the cancellation arrives", || async {
            let input = received.try_recv();
            input.is_ok_and(|input| is_cancel(&input, call))
        })
        .await;
    });
}

fn call(method: Method, path: &str) -> Request<Body> {
    let request = Request::builder().method(method).uri(path);
    request.body(Body::empty()).unwrap()
}

/// Guards against a path that a backend server resolves to another one.
#[test]
fn calls_with_dot_segments_or_other_methods_are_rejected() {
    let rejected = |path| listen::check(&call(Method::GET, path)).is_err();

    for path in ["/v1/call/a/..", "/v1/call/a/./b", "/v1/call/a/%2E./b"] {
        assert!(rejected(path), "{path}");
    }
    for path in ["/v1/call/a/...", "/v1/call/a/.b", "/v1/call/a/x%2e"] {
        assert!(!rejected(path), "{path}");
    }
    let traced = listen::check(&call(Method::TRACE, "/v1/call/a"));
    assert_eq!(traced, Err(StatusCode::METHOD_NOT_ALLOWED));
}

fn is_cancel(input: &Input, call: CallId) -> bool {
    let Input::Event(event) = input else {
        return false;
    };
    matches!(&**event, Event::Cancel { call: canceled } if *canceled == call)
}
