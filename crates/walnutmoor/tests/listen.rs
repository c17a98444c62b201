//! The listeners of `walnutmoor node`: the cancellation of calls whose callers
//! have left.

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use futures_util::poll;
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

fn is_cancel(input: &Input, call: CallId) -> bool {
    let Input::Event(event) = input else {
        return false;
    };
    matches!(&**event, Event::Cancel { call: canceled } if *canceled == call)
}
