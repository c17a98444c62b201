//! Single requests at the limits, with the default settings of a node.

use walnutmoor_core::table::Limits;

use walnutmoor_standin::mesh::caller::{self, Response};

use crate::{
    fixture::World,
    world::{TIME_LEFT, check, head, run_alone, start_with_timeout},
};

/// The default memory of a node, in megabytes.
const MEMORY_MB: u64 = 256;

/// The longest body that the platform allows.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Sends an order with this body, which may take long on a slow machine.
async fn send(
    world: &World,
    index: usize,
    attempt: &str,
    body: &str,
) -> Response {
    let address = world.pairs[index].node.addresses().callers;
    let framing = format!("content-length: {}", body.len());
    let text = head(attempt, &framing) + body;
    caller::send_raw(address, &text).await.unwrap()
}

/// An answer of a tenth of the memory.
const ANSWER_BYTES: usize = 25 << 20;

/// Checks that an answer of this length is served by either node.
async fn check_answer(length: usize) {
    let services = ["front", "desk"];
    let limits = Limits::default();
    let world = start_with_timeout(&limits, MEMORY_MB, &services, TIME_LEFT);
    let mut world = world.await;
    world.pairs[1].instance.set_response_bytes(length);

    for index in 0..2 {
        let answer = send(&world, index, &format!("a{index}"), "").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body.len(), length);
    }

    world.pairs[1].instance.set_response_bytes(0);
    check(&mut world).await;
}

#[test]
fn a_body_of_the_greatest_length_is_served_in_calm() {
    run_alone(async {
        let limits =
            Limits { max_body_bytes: MAX_BODY_BYTES, ..Limits::default() };
        let services = ["front", "desk"];
        let world =
            start_with_timeout(&limits, MEMORY_MB, &services, TIME_LEFT);
        let mut world = world.await;
        world.pairs[1].instance.omit_request();
        let body = "b".repeat(MAX_BODY_BYTES);

        for index in 0..2 {
            let id = format!("longest-{index}");
            assert_eq!(send(&world, index, &id, &body).await.status, 200);
        }

        check(&mut world).await;
    });
}

#[test]
fn an_answer_of_a_tenth_of_the_memory_is_served_in_calm() {
    run_alone(check_answer(ANSWER_BYTES));
}

/// Guards against answers that must be shorter than bodies.
#[test]
fn an_answer_of_the_greatest_length_is_served_in_calm() {
    run_alone(check_answer(MAX_BODY_BYTES));
}
