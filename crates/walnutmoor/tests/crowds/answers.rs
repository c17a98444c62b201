//! Clients that do not read their answers, or read them slowly.

use std::net::SocketAddr;

use tokio::net::TcpStream;
use walnutmoor_core::time::Millis;
use walnutmoor_standin::mesh::slow;

use crate::{
    fixture::{World, until},
    world::{
        LONG, ROUTE_TIMEOUT, TIME_LEFT, check, limits, request, run_alone,
        start_with_timeout,
    },
};

/// The memory of a node, in megabytes: that of the target.
const MEMORY_MB: u64 = 64;

/// An answer that a node of this memory delivers in calm.
const ANSWER_BYTES: usize = 6_000_000;

const READERS: usize = 60;

/// The node that is called, and the node of the instance.
const CALLED: usize = 0;
const INSTANCE: usize = 1;

async fn world(answer_bytes: usize) -> World {
    world_with_timeout(answer_bytes, ROUTE_TIMEOUT).await
}

async fn world_with_timeout(answer_bytes: usize, timeout: Millis) -> World {
    let services = ["front", "desk"];
    let limits = limits(1 << 20);
    let world =
        start_with_timeout(&limits, MEMORY_MB, &services, timeout).await;
    world.pairs[INSTANCE].instance.set_response_bytes(answer_bytes);
    world
}

/// Opens clients that request long answers and read only their first bytes.
async fn crowd(address: SocketAddr, time_left: Millis) -> Vec<TcpStream> {
    let mut readers = Vec::new();
    for n in 0..READERS {
        let Some(mut stream) = slow::open(address).await else {
            continue;
        };
        let attempt = format!("reader-{n}");
        let text = slow::head(&attempt, time_left, "content-length: 0");
        slow::send(&mut stream, text.as_bytes()).await;
        slow::await_first_bytes(&mut stream).await;
        readers.push(stream);
    }
    readers
}

async fn check_unread(index: usize) {
    let mut world = world(ANSWER_BYTES).await;
    let address = world.pairs[index].node.addresses().callers;

    let readers = crowd(address, TIME_LEFT).await;

    world.pairs[INSTANCE].instance.set_response_bytes(0);
    check(&mut world).await;
    drop(readers);
}

/// Guards against a node that holds the answers of all clients that do not
/// read them.
#[test]
fn unread_answers_do_not_take_the_memory_of_the_node_called() {
    run_alone(check_unread(CALLED));
}

/// Guards against the same at the node of the instance.
#[test]
fn unread_answers_do_not_take_the_memory_of_the_instances_node() {
    run_alone(check_unread(INSTANCE));
}

/// Guards against a deadline that each byte read postpones.
#[test]
fn answers_read_slowly_do_not_take_the_memory() {
    run_alone(async {
        let mut world = world(ANSWER_BYTES).await;
        let address = world.pairs[CALLED].node.addresses().callers;

        let readers = crowd(address, TIME_LEFT).await;
        let readers = readers
            .into_iter()
            .map(|stream| tokio::spawn(slow::read_slowly(stream)));
        let readers: Vec<_> = readers.collect();

        world.pairs[INSTANCE].instance.set_response_bytes(0);
        check(&mut world).await;
        readers.iter().for_each(|reader| reader.abort());
    });
}

/// Guards against a room for answers that is held as long as deadlines allow.
#[test]
fn unread_answers_with_long_deadlines_give_way_to_others() {
    /// Longer than what three long answers leave of the room.
    const ORDINARY_BYTES: usize = 3_000_000;
    run_alone(async {
        let mut world = world_with_timeout(ANSWER_BYTES, LONG).await;
        let address = world.pairs[CALLED].node.addresses().callers;

        let readers = crowd(address, LONG).await;

        let desk = world.pairs[INSTANCE].instance.clone();
        desk.set_response_bytes(ORDINARY_BYTES);
        // Their deadlines would free the room later.
        let first = world.send(CALLED, "order", "first").await;
        assert_eq!(first.map(|answer| answer.status), Some(200));
        check(&mut world).await;
        drop(readers);
    });
}

/// Guards against a deadline that ends nothing while there is room.
#[test]
fn an_answer_that_is_read_slowly_is_not_held_after_its_deadline() {
    run_alone(async {
        let timeout = Millis(1_000);
        let mut world = world_with_timeout(ANSWER_BYTES, timeout).await;
        let address = world.pairs[CALLED].node.addresses().callers;

        let mut stream = slow::open(address).await.unwrap();
        slow::send(&mut stream, request("slow").as_bytes()).await;
        slow::await_first_bytes(&mut stream).await;
        let reader = tokio::spawn(slow::read_slowly(stream));

        let held = || world.metric(CALLED, "walnutmoor_held_bytes ");
        until("it is not held", || async { held().await == Some(0.0) }).await;
        world.pairs[INSTANCE].instance.set_response_bytes(0);
        check(&mut world).await;
        reader.abort();
    });
}

/// Guards against a connection that is given all the answers to its pipelined
/// requests at once.
#[test]
fn unread_answers_to_pipelined_requests_do_not_take_the_memory() {
    const CONNECTIONS: usize = 60;
    const PIPELINED: usize = 10;
    run_alone(async {
        let mut world = world(1_000_000).await;
        let address = world.pairs[CALLED].node.addresses().callers;

        let mut readers = Vec::new();
        for n in 0..CONNECTIONS {
            let mut stream = slow::open(address).await.unwrap();
            let requests =
                (0..PIPELINED).map(|k| request(&format!("p{n}-{k}")));
            let requests: String = requests.collect();
            slow::send(&mut stream, requests.as_bytes()).await;
            slow::await_first_bytes(&mut stream).await;
            readers.push(stream);
        }

        world.pairs[INSTANCE].instance.set_response_bytes(0);
        check(&mut world).await;
        drop(readers);
    });
}
