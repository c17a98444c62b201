//! The outcome of calls when the link between two nodes breaks, and what a node
//! tells a peer that has restarted. The tests play one of the two nodes.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Method;
use tokio::{io::AsyncWriteExt, net::TcpListener};
use walnutmoor::mesh::frame::{self, Call, Frame, Hello, Reply};
use walnutmoor_core::{
    bulkhead::Load,
    error::Kind,
    feasibility::Need,
    footprint::Footprint,
    id::CallId,
    lifetime::{Lifetime, StartTime},
    proof::Proof,
    rate_limit::{Limited, Rate},
    table::Effect,
    time::Millis,
};
use walnutmoor_standin::mesh::caller;

use crate::{
    fixture::{World, run, until},
    peer::{Peer, hello, is_answered, order},
};

#[test]
fn an_answer_of_a_call_in_flight_when_the_link_broke_is_sent_again() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        world.pairs[0].instance.set_run_time(Duration::from_millis(400));
        let mut peer = Peer::open(address, 7).await;
        peer.send(&order(1, "r1")).await;
        until("the call runs", || async { world.runs("r1") == 1 }).await;
        drop(peer);

        let mut peer = Peer::open(address, 7).await;
        peer.send(&Frame::Resume(vec![CallId(1)])).await;

        assert!(is_answered(&peer.answer(1).await));
        assert_eq!(world.runs("r1"), 1);
    });
}

#[test]
fn an_answer_that_came_while_the_link_was_broken_is_kept() {
    run(async {
        let world = World::start(&["desk"]).await;
        let addresses = world.pairs[0].node.addresses();
        world.pairs[0].instance.set_run_time(Duration::from_millis(400));
        let mut peer = Peer::open(addresses.peers, 7).await;
        peer.send(&order(1, "k1")).await;
        until("the call runs", || async { world.runs("k1") == 1 }).await;
        drop(peer);
        until("the run has ended", || async {
            let path = "/metrics";
            let body = String::new();
            let sent =
                caller::send(addresses.metrics, Method::GET, path, &[], body);
            let answer = sent.await;
            answer.is_some_and(|a| a.body.contains("walnutmoor_running 0"))
        })
        .await;

        let mut peer = Peer::open(addresses.peers, 7).await;
        peer.send(&Frame::Resume(vec![CallId(1)])).await;

        assert!(is_answered(&peer.answer(1).await));
    });
}

#[test]
fn a_call_that_was_not_received_is_reported_as_not_run_and_never_runs() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let mut peer = Peer::open(address, 7).await;
        peer.send(&order(1, "n1")).await;
        assert!(is_answered(&peer.answer(1).await));

        // A call that the node has not read yet arrives on the older
        // connection.
        let mut newer = Peer::open(address, 7).await;
        newer.send(&Frame::Resume(vec![CallId(1), CallId(2)])).await;
        let reply = newer.answer(2).await;
        let mut bytes = BytesMut::new();
        frame::encode(&order(2, "n2"), &mut bytes);
        // The node has closed the connection, so the write may fail.
        let _ = peer.stream.write_all(&bytes).await;
        newer.send(&order(3, "n3")).await;
        assert!(is_answered(&newer.answer(3).await));

        assert!(matches!(reply, Reply::NotRun { .. }), "{reply:?}");
        assert_eq!(world.runs("n2"), 0);
    });
}

#[test]
fn a_call_whose_answer_was_evicted_is_reported_as_unknown() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let mut peer = Peer::open(address, 7).await;
        // More answers than a node keeps per peer.
        for id in 1..=300 {
            peer.send(&order(id, &format!("k{id}"))).await;
            peer.answer(id).await;
        }

        peer.send(&Frame::Resume(vec![CallId(1)])).await;

        let reply = peer.answer(1).await;
        assert!(matches!(reply, Reply::Unknown(_)), "{reply:?}");
    });
}

#[test]
fn a_new_incarnation_does_not_receive_answers_of_the_former_one() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let mut peer = Peer::open(address, 7).await;
        peer.send(&order(1, "l1")).await;
        assert!(is_answered(&peer.answer(1).await));

        let mut other = Peer::open(address, 8).await;
        other.send(&Frame::Resume(vec![CallId(1)])).await;

        let reply = other.answer(1).await;
        assert!(matches!(reply, Reply::NotRun { .. }), "{reply:?}");
    });
}

/// Guards against a call that runs and is reported as not run by a node that
/// has forgotten the session in which it received the call.
#[test]
fn a_call_sent_before_a_session_was_forgotten_is_reported_as_unknown() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let node = ([127, 0, 0, 1], 9).into();
        let hello = hello(node, 7, "front", Load::default());

        // This node has no session of incarnation 7.
        let hello = Hello { last_call: CallId(1), ..hello };
        let mut peer = Peer::open_with(hello, address).await;
        peer.send(&Frame::Resume(vec![CallId(1)])).await;

        let reply = peer.answer(1).await;
        assert!(matches!(reply, Reply::Unknown(_)), "{reply:?}");
    });
}

/// Guards against the same after a handshake that the other node gave up: it
/// was read late, and names fewer calls than have been sent since.
#[test]
fn a_handshake_that_was_given_up_does_not_deny_later_calls() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let node = ([127, 0, 0, 1], 9).into();
        let hello = hello(node, 7, "front", Load::default());
        let late = Hello { last_call: CallId(1), ..hello.clone() };
        drop(Peer::open_with(late, address).await);

        let hello = Hello { last_call: CallId(3), ..hello };
        let mut peer = Peer::open_with(hello, address).await;
        let wanted = [2, 3, 4].map(CallId).to_vec();
        peer.send(&Frame::Resume(wanted)).await;

        for id in [2, 3] {
            let reply = peer.answer(id).await;
            assert!(matches!(reply, Reply::Unknown(_)), "{id}: {reply:?}");
        }
        let reply = peer.answer(4).await;
        assert!(matches!(reply, Reply::NotRun { .. }), "{reply:?}");
    });
}

/// Guards against memory that grows with each process that ever linked to a
/// node.
#[test]
fn a_session_is_forgotten_after_its_link_broke() {
    run(async {
        let world = World::start(&["desk"]).await;
        let addresses = world.pairs[0].node.addresses();
        let sessions = |count: u32| async move {
            let (path, body) = ("/metrics", String::new());
            let sent =
                caller::send(addresses.metrics, Method::GET, path, &[], body);
            let line = format!("walnutmoor_sessions {count}\n");
            sent.await.is_some_and(|answer| answer.body.contains(&line))
        };
        let mut peer = Peer::open(addresses.peers, 7).await;
        peer.send(&order(1, "f1")).await;
        peer.answer(1).await;
        until("it has a session", || sessions(1)).await;

        drop(peer);

        until("the session is forgotten", || sessions(0)).await;
    });
}

/// Guards against the reply to a call of a former link being taken for that of
/// a call with the same number on its successor.
#[test]
fn no_two_calls_of_a_node_have_the_same_number() {
    run(async {
        let world = World::start(&["front"]).await;
        let mut numbers = Vec::new();
        for name in ["first", "second"] {
            let (listener, opener) = listen(&world).await;
            let mut peer = Peer::accept(&listener, 9, accepting()).await;
            let call = async {
                world.send(0, "order", &format!("{name}-1")).await;
            };
            let answer = async {
                let call = peer.call().await;
                let proof = Proof::Declined;
                let (kind, retry) = (Kind::Leaving, Millis(0));
                let reply = Reply::NotRun { kind, retry, proof };
                let load = Load::default();
                peer.send(&Frame::Answer(call.id, reply, load)).await;
                call.id
            };
            numbers.push(tokio::join!(call, answer).1);
            drop((listener, opener, peer));
        }

        assert_ne!(numbers[0], numbers[1]);
    });
}

#[test]
fn a_call_for_another_service_is_rejected() {
    run(async {
        let world = World::start(&["board"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let mut peer = Peer::open(address, 7).await;

        peer.send(&order(1, "w1")).await;

        let reply = peer.answer(1).await;
        assert!(matches!(reply, Reply::NotRun { .. }), "{reply:?}");
        assert_eq!(world.runs("w1"), 0);
    });
}

/// Listens as a peer, and makes node 0 open a link to it by opening one.
async fn listen(world: &World) -> (TcpListener, Peer) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let own = listener.local_addr().unwrap();
    let address = world.pairs[0].node.addresses().peers;
    (listener, Peer::open_as(own, address, 7).await)
}

/// The load of an instance that accepts work.
fn accepting() -> Load {
    Load { accepting: true, limit: 10, ..Load::default() }
}

#[test]
fn a_node_that_passed_on_a_departure_tells_the_restarted_peer() {
    run(async {
        let world = World::start(&["front"]).await;
        let (listener, _link) = listen(&world).await;
        let mut peer = Peer::accept(&listener, 7, accepting()).await;
        let lifetime = Lifetime::new("i-9", Some(StartTime(5)));

        let answer = async {
            let call = peer.call().await;
            let reply = Reply::Answered {
                status: 200,
                headers: Vec::new(),
                body: Bytes::new(),
                footprint: Footprint::default(),
                departed: Some(lifetime.clone()),
            };
            peer.send(&Frame::Answer(call.id, reply, accepting())).await;
        };
        let (sent, ()) =
            tokio::join!(world.send(0, "order", "passed-on"), answer);
        assert_eq!(sent.unwrap().status, 200);
        drop(peer);
        let mut restarted = Peer::accept(&listener, 8, accepting()).await;

        let told = Frame::KnownDepartures(vec![lifetime]);
        assert_eq!(restarted.receive().await, told);
    });
}

#[test]
fn a_restarted_peer_is_told_the_limit_of_its_instance() {
    run(async {
        let world = World::start(&["front"]).await;
        let (listener, _link) = listen(&world).await;
        let rate = Rate::new(12.5).unwrap();
        let limited = Some(Limited { rate, age: Millis(0), share: 500 });
        let load = Load { limited, ..accepting() };

        let peer = Peer::accept(&listener, 7, load).await;
        until("the node knows the instance", || async {
            let log = world.pairs[0].node.log();
            let own = listener.local_addr().unwrap();
            log.contains("\"accepting\":true")
                && log.contains(&format!("\"peer\":\"{own}\""))
        })
        .await;
        drop(peer);
        let mut restarted = Peer::accept(&listener, 8, accepting()).await;

        assert_eq!(restarted.receive().await, Frame::KnownLimit(rate));
    });
}

/// A retry of an idempotent request of rank 2 that needs this many more.
fn retry(id: u64, need: Option<Need>) -> Frame {
    let Frame::Call(call) = order(id, &format!("n{id}")) else {
        unreachable!("it is a call");
    };
    Frame::Call(Box::new(Call {
        effect: Effect::Idempotent,
        priority: 2,
        is_retry: true,
        need,
        ..*call
    }))
}

/// Guards against a node that ignores the need that a call carries. A node
/// that has just started has a burst of three retries.
#[test]
fn a_retry_that_needs_few_more_goes_before_one_that_needs_many() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let mut peer = Peer::open(address, 7).await;
        let (few, many) = (Need::from_retries(1.2), Need::from_retries(9.8));
        peer.send(&retry(1, Some(few))).await;
        assert!(is_answered(&peer.answer(1).await));

        peer.send(&retry(2, Some(many))).await;
        let denied = peer.answer(2).await;
        peer.send(&retry(3, Some(few))).await;
        let admitted = peer.answer(3).await;

        assert!(matches!(denied, Reply::NotRun { .. }), "{denied:?}");
        assert!(is_answered(&admitted), "{admitted:?}");
    });
}

/// A call that runs until it is released or canceled.
async fn send_held(world: &World, peer: &mut Peer, id: u64, effect: Effect) {
    let attempt = format!("held-{id}");
    let Frame::Call(call) = order(id, &attempt) else {
        unreachable!("it is a call");
    };
    world.pairs[0].instance.hold(&attempt);
    peer.send(&Frame::Call(Box::new(Call { effect, ..*call }))).await;
    until("the call runs", || async { world.runs(&attempt) == 1 }).await;
}

/// Guards against a run that goes on for nobody, as its cancellation was lost
/// with the link.
#[test]
fn a_call_that_is_not_wanted_when_the_link_is_up_again_is_canceled() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let mut peer = Peer::open(address, 7).await;
        send_held(&world, &mut peer, 1, Effect::Idempotent).await;
        send_held(&world, &mut peer, 2, Effect::Idempotent).await;
        drop(peer);

        let mut peer = Peer::open(address, 7).await;
        peer.send(&Frame::Resume(vec![CallId(2)])).await;
        until("the other one is aborted", || async {
            world.pairs[0].instance.aborted_runs() == 1
        })
        .await;
        world.pairs[0].instance.release("held-2");

        assert!(is_answered(&peer.answer(2).await));
        until("the reason is logged", || async {
            world.pairs[0].node.log().contains("\"unwanted\"")
        })
        .await;
    });
}

/// Guards against a run that goes on for a node that does not come back, and
/// against the loss of a once-only run that it asks for later.
#[test]
fn idempotent_calls_end_if_the_link_stays_down() {
    run(async {
        let world = World::start(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let mut peer = Peer::open(address, 7).await;
        send_held(&world, &mut peer, 1, Effect::Idempotent).await;
        send_held(&world, &mut peer, 2, Effect::Once).await;

        drop(peer);
        until("the idempotent one is aborted", || async {
            world.pairs[0].instance.aborted_runs() == 1
        })
        .await;
        let mut peer = Peer::open(address, 7).await;
        peer.send(&Frame::Resume(vec![CallId(2)])).await;
        world.pairs[0].instance.release("held-2");

        assert!(is_answered(&peer.answer(2).await));
        until("the reason is logged", || async {
            world.pairs[0].node.log().contains("\"unlinked\"")
        })
        .await;
    });
}

/// Guards against a peer that is not told that nobody waits for a call any
/// more.
#[test]
fn a_resumed_link_names_only_the_calls_whose_callers_wait() {
    run(async {
        let world = World::start(&["front"]).await;
        let (listener, _link) = listen(&world).await;
        let mut peer = Peer::accept(&listener, 7, accepting()).await;
        assert_eq!(peer.wanted, Vec::new());
        let gone = {
            let sent = world.send(0, "browse", "gone");
            let called = async { peer.call().await.id };
            tokio::select! {
                _ = sent => unreachable!("there is no answer"),
                id = called => id,
            }
        };
        // The link breaks before the caller's leaving is seen.
        drop(peer);
        let peer = Peer::accept(&listener, 7, accepting()).await;

        assert!(!peer.wanted.contains(&gone), "{:?}", peer.wanted);
    });
}
