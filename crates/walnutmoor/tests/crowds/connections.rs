//! Clients that open connections and send little or nothing.

use std::time::Duration;

use tokio::{net::TcpStream, time::sleep};
use walnutmoor_core::{table::Limits, time::Millis};
use walnutmoor_standin::mesh::{caller::Connection, slow};

use crate::{
    fixture::{World, until},
    world::{LONG, check, empty, head, limits, request, run_alone, start},
};

/// The memory of a node, in megabytes: that of the target.
const MEMORY_MB: u64 = 64;

/// The descriptors that a process may open; the crowd wants more.
const DESCRIPTORS: usize = 100;

const SILENT: usize = 150;

/// Two pairs whose processes have few descriptors, and no timeout that would
/// free some.
async fn world() -> World {
    let limits = Limits { head_timeout: LONG, ..limits(1 << 20) };
    let world = empty(&limits, MEMORY_MB).await;
    let (descriptors, limits_processes) = (DESCRIPTORS, true);
    let mut world = World { descriptors, limits_processes, ..world };
    for service in ["front", "desk"] {
        world.add(service).await;
    }
    world.wait_until_connected().await;
    world
}

async fn open_silent(world: &World, index: usize) -> Vec<TcpStream> {
    let address = world.pairs[index].node.addresses().callers;
    let mut silent = Vec::new();
    for _ in 0..SILENT {
        silent.extend(slow::open(address).await);
    }
    silent
}

/// Opens them while the node is suspended, so that it finds all at once.
async fn open_silent_at_once(world: &World, index: usize) -> Vec<TcpStream> {
    let node = &world.pairs[index].node;
    node.signal("STOP");
    let silent = open_silent(world, index).await;
    node.signal("CONT");
    silent
}

async fn check_silent(world: &mut World, index: usize) {
    until("the node is ready", || world.is_ready(index)).await;
    check(world).await;
    let open = world.pairs[index].node.descriptors().unwrap();
    assert!(open < DESCRIPTORS, "{open} of {DESCRIPTORS} descriptors");
}

/// Guards against silent connections that take the descriptors with which the
/// node reaches the other nodes, the store and its instance.
#[test]
fn silent_connections_leave_descriptors_to_the_node_called() {
    run_alone(async {
        let mut world = world().await;

        let _silent = open_silent(&world, 0).await;

        check_silent(&mut world, 0).await;
    });
}

/// Guards against the same at the node of the instance.
#[test]
fn silent_connections_leave_descriptors_to_the_instances_node() {
    run_alone(async {
        let mut world = world().await;

        let _silent = open_silent(&world, 1).await;

        check_silent(&mut world, 1).await;
    });
}

/// Guards against connections that are accepted faster than they are counted.
#[test]
fn silent_connections_at_once_leave_descriptors_to_the_node_called() {
    run_alone(async {
        let mut world = world().await;

        let _silent = open_silent_at_once(&world, 0).await;

        check_silent(&mut world, 0).await;
    });
}

/// Guards against the same at the node of the instance.
#[test]
fn silent_connections_at_once_leave_descriptors_to_the_instances_node() {
    run_alone(async {
        let mut world = world().await;

        let _silent = open_silent_at_once(&world, 1).await;

        check_silent(&mut world, 1).await;
    });
}

/// Limits with a short time for heads.
fn short_head_timeout() -> Limits {
    Limits { head_timeout: Millis(500), ..limits(1 << 20) }
}

const HEADS: usize = 60;

/// Guards against heads that hold a connection without end, a byte at a time.
#[test]
fn heads_that_drip_are_given_up() {
    run_alone(async {
        let services = ["front", "desk"];
        let limits = short_head_timeout();
        let mut world = start(&limits, MEMORY_MB, &services).await;
        let address = world.pairs[0].node.addresses().callers;

        let mut dripping = Vec::new();
        for n in 0..HEADS {
            let mut stream = slow::open(address).await.unwrap();
            dripping.push(tokio::spawn(async move {
                let head = head(&format!("head-{n}"), "x-long: ");
                let head = head.trim_end();
                slow::send(&mut stream, head.as_bytes()).await;
                let (mut read, write) = stream.split();
                let drip = async {
                    while write.try_write(b"x").is_ok() {
                        sleep(Duration::from_millis(200)).await;
                    }
                };
                let mut byte = [0];
                let closed =
                    tokio::io::AsyncReadExt::read(&mut read, &mut byte);
                tokio::select! {
                    () = drip => {}
                    _ = closed => {}
                }
            }));
        }

        until("all are given up", || async {
            dripping.iter().all(|client| client.is_finished())
        })
        .await;
        check(&mut world).await;
    });
}

/// Guards against a late head that cuts off the response to an earlier request
/// on its connection.
#[test]
fn a_late_head_does_not_cut_off_a_request_in_flight() {
    run_alone(async {
        let limits = short_head_timeout();
        let services = ["front", "desk"];
        let mut world = start(&limits, MEMORY_MB, &services).await;
        let address = world.pairs[0].node.addresses().callers;
        let desk = world.pairs[1].instance.clone();
        desk.hold("first");

        let mut caller = Connection::open(address).await.unwrap();
        let second = head("second", "x-long: ");
        let text = request("first") + second.trim_end();
        caller.write(&text).await.unwrap();
        until("it runs", || async { desk.runs("first") == 1 }).await;
        // The time for the second head passes.
        sleep(Duration::from_secs(3)).await;
        desk.release("first");

        let answer = caller.read().await.unwrap();
        assert_eq!(answer.status, 200);
        assert!(caller.is_closing());
        check(&mut world).await;
    });
}

/// Guards against connections that send nothing and stay open for the idle
/// timeout, which is for callers between two requests.
#[test]
fn connections_that_never_send_a_head_are_closed() {
    run_alone(async {
        let services = ["front", "desk"];
        let limits = short_head_timeout();
        let mut world = start(&limits, MEMORY_MB, &services).await;
        let address = world.pairs[0].node.addresses().callers;

        let mut silent = Vec::new();
        for _ in 0..HEADS {
            let mut stream = slow::open(address).await.unwrap();
            silent.push(tokio::spawn(async move {
                slow::await_close(&mut stream).await;
            }));
        }

        until("all are closed", || async {
            silent.iter().all(|client| client.is_finished())
        })
        .await;
        check(&mut world).await;
    });
}
