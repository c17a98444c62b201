//! What a node holds for other nodes: the memory of its replies, and sessions
//! that end while the other node still waits.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use http::Method;
use walnutmoor::mesh::frame::{Frame, Reply};
use walnutmoor_core::{id::CallId, table::Effect, time::Millis};
use walnutmoor_standin::{
    mesh::caller::{Connection, Response},
    soak::proxy::Mode,
};

use crate::{
    fixture::{World, desired, headers, is_accepting, route, run, until},
    peer::{Peer, is_answered, order},
};

/// The memory that a node may take at the target's size, in megabytes.
const MAX_MEMORY_MB: u64 = 64;

/// The nodes that fetch replies.
const CALLERS: usize = 5;

/// The replies that each of them fetches.
const REPLIES: u64 = 256;

/// The length of a large reply. All of them together take more memory than
/// a node may.
const REPLY_BYTES: usize = 256 << 10;

/// Fetches replies from the last node through this one.
async fn fetch(world: &World, index: usize) {
    let address = world.pairs[index].node.addresses().callers;
    let mut caller = Connection::open(address).await.unwrap();
    for n in 0..REPLIES {
        let headers = headers(&format!("r{index}-{n}"), 5_000);
        let (method, path) = (Method::GET, "/browse/x");
        let response = caller.send(method, path, &headers, "").await.unwrap();
        assert_eq!(response.status, 200);
        assert_eq!(response.body.len(), REPLY_BYTES);
    }
}

/// Guards against a node that is killed for the memory of replies that the
/// other nodes have read.
#[test]
fn replies_that_were_read_do_not_take_the_memory() {
    run(async {
        let services = [["front"; CALLERS].as_slice(), &["desk"]].concat();
        let world = World::start_with_memory(&services, MAX_MEMORY_MB).await;
        let desk = world.pairs.last().unwrap();
        desk.instance.set_response_bytes(REPLY_BYTES);

        let [a, b, c, d, e] = std::array::from_fn(|n| fetch(&world, n));
        tokio::join!(a, b, c, d, e);

        let peak = desk.node.peak_memory_mb().unwrap();
        assert!(peak < MAX_MEMORY_MB, "{peak} MB");
        let held = || world.metric(CALLERS, "walnutmoor_retained_bytes ");
        until("no reply is held", || async { held().await == Some(0.0) })
            .await;
    });
}

/// Guards against memory that grows with the replies to processes that have
/// ended, even within the time for which these are retained.
#[test]
fn replies_to_ended_processes_do_not_take_the_memory() {
    run(async {
        let world = World::start_with_memory(&["desk"], MAX_MEMORY_MB).await;
        let desk = &world.pairs[0];
        desk.instance.set_response_bytes(REPLY_BYTES);

        for incarnation in 1..=40 {
            let address = desk.node.addresses().peers;
            let mut peer = Peer::open(address, incarnation).await;
            for id in 1..=30 {
                let attempt = format!("e{incarnation}-{id}");
                peer.send(&order(id, &attempt)).await;
                assert!(is_answered(&peer.answer(id).await));
            }
        }

        let peak = desk.node.peak_memory_mb().unwrap();
        assert!(peak < MAX_MEMORY_MB, "{peak} MB");
    });
}

/// Guards against a node that is killed for the memory of replies that the
/// other nodes do not read.
#[test]
fn replies_that_are_not_read_do_not_take_the_memory() {
    run(async {
        let world = World::start_with_memory(&["desk"], MAX_MEMORY_MB).await;
        let desk = &world.pairs[0];
        desk.instance.set_response_bytes(REPLY_BYTES);
        let mut peers = Vec::new();
        for incarnation in 1..=CALLERS as u64 {
            let address = desk.node.addresses().peers;
            peers.push(Peer::open(address, incarnation).await);
        }

        for id in 1..=REPLIES {
            for (index, peer) in peers.iter_mut().enumerate() {
                peer.send(&order(id, &format!("u{index}-{id}"))).await;
            }
            let calls = id as u32 * CALLERS as u32;
            until("all calls have run", || async {
                desk.instance.total_runs() == calls
            })
            .await;
        }

        let peak = desk.node.peak_memory_mb().unwrap();
        assert!(peak < MAX_MEMORY_MB, "{peak} MB");
        for peer in &mut peers {
            let mut missing: BTreeSet<u64> = (1..=REPLIES).collect();
            while !missing.is_empty() {
                let Frame::Answer(CallId(id), reply, _) = peer.receive().await
                else {
                    continue;
                };
                assert!(missing.remove(&id), "{id} is answered twice");
                let is_true =
                    is_answered(&reply) || matches!(reply, Reply::Unknown(_));
                assert!(is_true, "{id}: {reply:?}");
            }
        }
    });
}

/// Guards against a node that keeps what the other node has read, and against
/// one that drops a reply that it has not.
#[test]
fn a_reply_is_retained_until_the_other_node_has_read_it() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let mut peer = Peer::open(address, 7).await;
        peer.send(&Frame::Resume(Vec::new())).await;
        for id in 1..=3 {
            peer.send(&order(id, &format!("k{id}"))).await;
            peer.answer(id).await;
        }
        let retained = |count: f64| {
            let name = "walnutmoor_retained_replies ";
            let value = world.metric(0, name);
            async move { value.await == Some(count) }
        };
        until("three are retained", || retained(3.0)).await;

        peer.send(&Frame::Read(2)).await;
        until("one is retained", || retained(1.0)).await;
        drop(peer);
        let mut peer = Peer::open(address, 7).await;
        let wanted = [1, 2, 3].map(CallId).to_vec();
        peer.send(&Frame::Resume(wanted)).await;

        for id in [1, 2] {
            let reply = peer.answer(id).await;
            assert!(matches!(reply, Reply::Unknown(_)), "{reply:?}");
        }
        assert!(is_answered(&peer.answer(3).await));
        // Three replies were sent on this connection, the last one of call 3.
        peer.send(&Frame::Read(2)).await;
        peer.send(&order(4, "k4")).await;
        peer.answer(4).await;
        until("two are retained", || retained(2.0)).await;
        peer.send(&Frame::Read(4)).await;
        until("none is retained", || retained(0.0)).await;
    });
}

/// The desired state with a route for a slow order.
fn slow_orders() -> String {
    let mut order = route("order", Effect::Once, &[("desk", 1)]);
    order.timeout = Millis(20_000);
    desired(1, &[order])
}

/// Waits until the first node knows that the instance of a node accepts work.
async fn wait_until_accepting(world: &World, node: SocketAddr) {
    until("the instance accepts work", || async {
        is_accepting(&world.pairs[0].node.log(), node)
    })
    .await;
}

/// Guards against an order that runs twice, as its node has forgotten the
/// session and reports a call that ran as never received.
#[test]
fn a_call_of_a_forgotten_session_does_not_run_again_elsewhere() {
    run(async {
        let mut world =
            World::start_desired(&["front"], &slow_orders(), &[]).await;
        let path = world.add_behind_proxy("desk").await;
        wait_until_accepting(&world, path.address()).await;
        let first = world.pairs[1].instance.clone();
        first.hold("once");
        let callers = world.pairs[0].node.addresses().callers;
        let sent = tokio::spawn(send_order(callers, "once"));
        until("it runs", || async { first.runs("once") == 1 }).await;
        world.add("desk").await;
        let second = world.pairs[2].node.addresses().peers;
        wait_until_accepting(&world, second).await;

        path.set_mode(Mode::Refuse);
        path.reset();
        first.release("once");
        until("its session is forgotten", || async {
            let sessions = world.metric(1, "walnutmoor_sessions ").await;
            sessions == Some(0.0)
        })
        .await;
        path.set_mode(Mode::Forward);
        let response = sent.await.unwrap().unwrap();

        assert_eq!(response.status, 502, "its outcome is unknown");
        assert_eq!(world.runs("once"), 1);
    });
}

async fn send_order(callers: SocketAddr, attempt: &str) -> Option<Response> {
    let headers = headers(attempt, 20_000);
    let mut caller = Connection::open(callers).await?;
    let sent = caller.send(Method::POST, "/order/x", &headers, "");
    tokio::time::timeout(Duration::from_secs(20), sent).await.ok()?
}
