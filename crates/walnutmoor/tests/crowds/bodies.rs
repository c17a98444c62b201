//! Clients that send many bodies of legal length, whole or never completely.

use std::time::Duration;

use tokio::{io::AsyncReadExt, net::TcpStream, task::JoinHandle, time::sleep};
use walnutmoor_core::time::Millis;
use walnutmoor_standin::{mesh::slow, soak::proxy::Mode};

use crate::{
    fixture::{World, until},
    world::{
        LONG, check, empty, head, limits, run_alone, start, start_with_timeout,
    },
};

/// The memory of a node, in megabytes: that of the target.
const MEMORY_MB: u64 = 64;

const BODY_BYTES: usize = 1_000_000;

/// The bytes that are missing at the end of a body.
const MISSING: usize = 10;

const CLIENTS: usize = 100;

/// Opens clients that send these bytes at once and keep their connections
/// open.
async fn crowd(
    world: &World,
    index: usize,
    request: impl Fn(usize) -> Vec<u8>,
) -> Vec<JoinHandle<TcpStream>> {
    let address = world.pairs[index].node.addresses().callers;
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let mut stream = slow::open(address).await.unwrap();
        let bytes = request(n);
        clients.push(tokio::spawn(async move {
            slow::send(&mut stream, &bytes).await;
            stream
        }));
    }
    clients
}

/// Waits until a body of legal length is served.
async fn upload(world: &World, index: usize) {
    let body = "u".repeat(BODY_BYTES);
    let mut attempts = 0;
    until("an upload is served", || {
        attempts += 1;
        let (id, body) = (format!("upload-{attempts}"), &body);
        async move {
            let sent = world.send_body(index, "browse", &id, body).await;
            sent.is_some_and(|response| response.status == 200)
        }
    })
    .await;
}

/// Checks the nodes, after an upload was served at this one.
async fn check_with_upload(world: &mut World, index: usize) {
    upload(world, index).await;
    check(world).await;
}

/// A body with a length that stops short of its end.
fn short_by_length(n: usize) -> Vec<u8> {
    let framing = format!("content-length: {BODY_BYTES}");
    let mut bytes = head(&format!("short-{n}"), &framing).into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES - MISSING, b'b');
    bytes
}

/// A body in chunks that stops short of its end.
fn short_in_chunks(n: usize) -> Vec<u8> {
    const CHUNK_BYTES: usize = 32_000;
    let framing = "transfer-encoding: chunked";
    let mut bytes = head(&format!("chunks-{n}"), framing).into_bytes();
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        bytes.extend(format!("{CHUNK_BYTES:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + CHUNK_BYTES, b'b');
        bytes.extend(b"\r\n");
    }
    bytes
}

/// Guards against bodies that hold the room for all bodies without end.
#[test]
fn bodies_short_of_their_length_leave_room_for_an_upload() {
    run_alone(async {
        let services = ["front", "desk"];
        let mut world = start(&limits(1 << 20), MEMORY_MB, &services).await;

        let clients = crowd(&world, 0, short_by_length).await;

        check_with_upload(&mut world, 0).await;
        drop(clients);
    });
}

/// Guards against the same for bodies in chunks, whose length is not known.
#[test]
fn bodies_short_of_their_last_chunk_leave_room_for_an_upload() {
    run_alone(async {
        let services = ["front", "desk"];
        let mut world = start(&limits(1 << 20), MEMORY_MB, &services).await;

        let clients = crowd(&world, 0, short_in_chunks).await;

        check_with_upload(&mut world, 0).await;
        drop(clients);
    });
}

/// Guards against the same at the node of the instance.
#[test]
fn bodies_short_of_their_length_leave_room_at_the_instances_node() {
    run_alone(async {
        let services = ["front", "desk"];
        let mut world = start(&limits(1 << 20), MEMORY_MB, &services).await;

        let clients = crowd(&world, 1, short_by_length).await;

        check_with_upload(&mut world, 1).await;
        drop(clients);
    });
}

/// Guards against a deadline that each byte postpones.
#[test]
fn bodies_that_drip_leave_room_for_an_upload() {
    run_alone(async {
        let services = ["front", "desk"];
        let mut world = start(&limits(1 << 20), MEMORY_MB, &services).await;

        let clients = crowd(&world, 0, |n| {
            let mut bytes = short_by_length(n);
            bytes.truncate(bytes.len() - 1_000);
            bytes
        });
        let drips = clients.await.into_iter().map(|client| {
            tokio::spawn(async move {
                slow::drip(&mut client.await.unwrap()).await;
            })
        });
        let drips: Vec<JoinHandle<()>> = drips.collect();

        check_with_upload(&mut world, 0).await;
        drips.iter().for_each(|drip| drip.abort());
    });
}

/// Guards against a node that is killed for the bodies that other nodes send
/// to its instance.
#[test]
fn whole_bodies_do_not_take_the_memory_of_the_instances_node() {
    const MEMORY_MB: u64 = 128;
    const LONG_BODY_BYTES: usize = 12 << 20;
    const FRONTS: usize = 6;
    const CLIENTS_EACH: usize = 3;
    run_alone(async {
        let mut world = empty(&limits(LONG_BODY_BYTES), MEMORY_MB).await;
        for _ in 0..FRONTS {
            world.add("front").await;
        }
        let proxy = world.add_with_proxied_instance("desk").await;
        world.wait_until_connected().await;
        proxy.set_mode(Mode::StallToTarget);

        let framing = format!("content-length: {LONG_BODY_BYTES}");
        let mut clients = Vec::new();
        for n in 0..FRONTS * CLIENTS_EACH {
            let index = n % FRONTS;
            let address = world.pairs[index].node.addresses().callers;
            let mut stream = slow::open(address).await.unwrap();
            let mut bytes = head(&format!("long-{n}"), &framing).into_bytes();
            bytes.resize(bytes.len() + LONG_BODY_BYTES, b'b');
            clients.push(tokio::spawn(async move {
                slow::send(&mut stream, &bytes).await;
                slow::await_first_bytes(&mut stream).await;
                stream
            }));
        }
        let mut streams = Vec::new();
        for client in clients {
            streams.push(client.await.unwrap());
        }

        proxy.set_mode(Mode::Forward);
        check(&mut world).await;
        drop(streams);
    });
}

/// Guards against a room for bodies that is held as long as deadlines allow.
#[test]
fn slow_bodies_with_long_deadlines_give_way_to_an_upload() {
    run_alone(async {
        let limits = limits(1 << 20);
        let services = ["front", "desk"];
        let world = start_with_timeout(&limits, MEMORY_MB, &services, LONG);
        let mut world = world.await;

        let framing = format!("content-length: {BODY_BYTES}");
        let clients = crowd(&world, 0, |n| {
            let attempt = format!("long-{n}");
            let head = slow::head(&attempt, LONG, &framing);
            let mut bytes = head.into_bytes();
            bytes.resize(bytes.len() + BODY_BYTES - MISSING, b'b');
            bytes
        });
        let clients = clients.await;

        check_with_upload(&mut world, 0).await;
        drop(clients);
    });
}

/// Guards against a deadline that ends nothing while there is room.
#[test]
fn a_body_that_drips_is_refused_as_not_run_at_its_deadline() {
    run_alone(async {
        let limits = limits(1 << 20);
        let services = ["front", "desk"];
        let timeout = Millis(1_000);
        let world = start_with_timeout(&limits, MEMORY_MB, &services, timeout);
        let mut world = world.await;
        let address = world.pairs[0].node.addresses().callers;

        let mut stream = slow::open(address).await.unwrap();
        let mut bytes = short_by_length(0);
        bytes.truncate(bytes.len() - 1_000);
        slow::send(&mut stream, &bytes).await;
        let answer = tokio::spawn(async move {
            let (mut read, write) = stream.into_split();
            let mut status = [0; 12];
            tokio::select! {
                _ = read.read_exact(&mut status) => {}
                () = async {
                    while write.try_write(b"b").is_ok() {
                        sleep(Duration::from_millis(200)).await;
                    }
                    std::future::pending().await
                } => {}
            }
            String::from_utf8_lossy(&status).into_owned()
        });

        until("it is answered", || async { answer.is_finished() }).await;
        assert_eq!(answer.await.unwrap(), "HTTP/1.1 408");
        assert_eq!(world.runs("short-0"), 0);
        check(&mut world).await;
    });
}

/// Guards against limits that leave no room for a single upload.
#[test]
fn a_body_of_legal_length_is_served_by_small_nodes() {
    run_alone(async {
        let services = ["front", "desk"];
        let mut world = start(&limits(1 << 20), MEMORY_MB, &services).await;

        check_with_upload(&mut world, 0).await;
    });
}
