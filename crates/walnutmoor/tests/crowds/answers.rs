//! Clients that do not read their answers, or read them slowly.

use std::{net::SocketAddr, time::Duration};

use tokio::{io::AsyncReadExt, net::TcpStream, time::sleep};

use crate::{
    client,
    fixture::World,
    world::{check, limits, request, run_alone, start},
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
    let services = ["front", "desk"];
    let world = start(&limits(1 << 20), MEMORY_MB, &services).await;
    world.pairs[INSTANCE].instance.set_response_bytes(answer_bytes);
    world
}

/// Opens clients that request long answers and read only their first bytes.
async fn crowd(address: SocketAddr) -> Vec<TcpStream> {
    let mut readers = Vec::new();
    for n in 0..READERS {
        let Some(mut stream) = client::open(address).await else {
            continue;
        };
        let text = request(&format!("reader-{n}"));
        client::send(&mut stream, text.as_bytes()).await;
        client::await_first_bytes(&mut stream).await;
        readers.push(stream);
    }
    readers
}

async fn check_unread(index: usize) {
    let mut world = world(ANSWER_BYTES).await;
    let address = world.pairs[index].node.addresses().callers;

    let readers = crowd(address).await;

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

        let readers = crowd(address).await;
        let readers = readers.into_iter().map(|mut stream| {
            tokio::spawn(async move {
                let mut bytes = [0; 2 << 10];
                while stream.read(&mut bytes).await.is_ok_and(|n| n > 0) {
                    sleep(Duration::from_millis(200)).await;
                }
            })
        });
        let readers: Vec<_> = readers.collect();

        world.pairs[INSTANCE].instance.set_response_bytes(0);
        check(&mut world).await;
        readers.iter().for_each(|reader| reader.abort());
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
            let mut stream = client::open(address).await.unwrap();
            let requests =
                (0..PIPELINED).map(|k| request(&format!("p{n}-{k}")));
            let requests: String = requests.collect();
            client::send(&mut stream, requests.as_bytes()).await;
            client::await_first_bytes(&mut stream).await;
            readers.push(stream);
        }

        world.pairs[INSTANCE].instance.set_response_bytes(0);
        check(&mut world).await;
        drop(readers);
    });
}
