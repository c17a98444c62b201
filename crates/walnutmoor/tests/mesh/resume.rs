//! What becomes of calls when a link between two nodes breaks. The test plays
//! the node that sends them.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use walnutmoor::mesh::frame::{self, Call, Frame, Hello, PROTOCOL, Reply};
use walnutmoor_core::{
    bulkhead::Load,
    edition::Edition,
    id::{CallId, Era, Incarnation, NodeId},
    poison::Fingerprint,
    table::Effect,
    time::Millis,
};

use walnutmoor_standin::mesh::caller;

use crate::fixture::{World, run, until};

/// One end of a link.
struct End {
    stream: TcpStream,
    bytes: BytesMut,
}

impl End {
    async fn open(to: SocketAddr, life: u64) -> End {
        let stream = TcpStream::connect(to).await.unwrap();
        let mut end = End { stream, bytes: BytesMut::new() };
        // Nobody listens there: the node's own link to it stays down.
        let node = NodeId(([127, 0, 0, 1], 9).into());
        end.send(&Frame::Hello(Hello {
            protocol: PROTOCOL,
            node,
            life: Incarnation(life),
            zone: "a".parse().unwrap(),
            service: "front".parse().unwrap(),
            edition: Edition::default(),
            era: Era::default(),
            load: Load::default(),
            known: Vec::new(),
            fleet: 0,
        }))
        .await;
        assert!(matches!(end.receive().await, Frame::Hello(_)));
        end
    }

    async fn send(&mut self, frame: &Frame) {
        let mut bytes = BytesMut::new();
        frame::encode(frame, &mut bytes);
        self.stream.write_all(&bytes).await.unwrap();
    }

    async fn receive(&mut self) -> Frame {
        loop {
            if let Some(frame) = frame::decode(&mut self.bytes).unwrap() {
                return frame;
            }
            let read = self.stream.read_buf(&mut self.bytes).await.unwrap();
            assert!(read > 0, "the node closed the link");
        }
    }

    async fn answer(&mut self, id: u64) -> Reply {
        loop {
            if let Frame::Answer(at, reply, _) = self.receive().await
                && at == CallId(id)
            {
                return reply;
            }
        }
    }
}

fn order(id: u64, attempt: &str) -> Frame {
    let name = walnutmoor_platform::header::ATTEMPT;
    let value = Bytes::copy_from_slice(attempt.as_bytes());
    Frame::Call(Box::new(Call {
        id: CallId(id),
        service: "desk".parse().unwrap(),
        caller: "front".parse().unwrap(),
        account: None,
        attempt: attempt.into(),
        fingerprint: Fingerprint::default(),
        evidence: None,
        effect: Effect::Once,
        priority: 0,
        target: Millis(1_000),
        left: Millis(20_000),
        caller_left: Millis(20_000),
        repeat: false,
        echo: false,
        moved: false,
        method: "POST".into(),
        path: "/order/x".into(),
        headers: vec![(name.as_str().into(), value)],
        body: Bytes::new(),
    }))
}

fn is_answered(reply: &Reply) -> bool {
    matches!(reply, Reply::Answered { status: 200, .. })
}

#[test]
fn an_answer_that_was_under_way_when_the_link_broke_is_given_again() {
    run(async {
        let world = World::start(&["desk"]).await;
        let at = world.pairs[0].node.addresses().peers;
        world.pairs[0].instance.set_run_time(Duration::from_millis(400));
        let mut end = End::open(at, 7).await;
        end.send(&order(1, "r1")).await;
        until("it runs", || async { world.runs("r1") == 1 }).await;
        drop(end);

        let mut end = End::open(at, 7).await;
        end.send(&Frame::Query(vec![CallId(1)])).await;

        assert!(is_answered(&end.answer(1).await));
        assert_eq!(world.runs("r1"), 1);
    });
}

#[test]
fn an_answer_that_came_while_the_link_was_broken_is_kept() {
    run(async {
        let world = World::start(&["desk"]).await;
        let addresses = world.pairs[0].node.addresses();
        world.pairs[0].instance.set_run_time(Duration::from_millis(400));
        let mut end = End::open(addresses.peers, 7).await;
        end.send(&order(1, "k1")).await;
        until("it runs", || async { world.runs("k1") == 1 }).await;
        drop(end);
        until("it has ended", || async {
            let path = "/metrics";
            let body = String::new();
            let sent =
                caller::send(addresses.metrics, Method::GET, path, &[], body);
            let answer = sent.await;
            answer.is_some_and(|a| a.body.contains("walnutmoor_running 0"))
        })
        .await;

        let mut end = End::open(addresses.peers, 7).await;
        end.send(&Frame::Query(vec![CallId(1)])).await;

        assert!(is_answered(&end.answer(1).await));
    });
}

#[test]
fn a_call_that_never_came_is_said_not_to_have_run_and_never_runs() {
    run(async {
        let world = World::start(&["desk"]).await;
        let at = world.pairs[0].node.addresses().peers;
        let mut end = End::open(at, 7).await;
        end.send(&order(1, "n1")).await;
        assert!(is_answered(&end.answer(1).await));

        // The older connection still holds a call that was not read yet.
        let mut newer = End::open(at, 7).await;
        newer.send(&Frame::Query(vec![CallId(1), CallId(2)])).await;
        let told = newer.answer(2).await;
        let mut bytes = BytesMut::new();
        frame::encode(&order(2, "n2"), &mut bytes);
        // The node has closed it, so the write may fail as well.
        let _ = end.stream.write_all(&bytes).await;
        newer.send(&order(3, "n3")).await;
        assert!(is_answered(&newer.answer(3).await));

        assert!(matches!(told, Reply::NotRun { .. }), "{told:?}");
        assert_eq!(world.runs("n2"), 0);
    });
}

#[test]
fn an_answer_no_longer_kept_is_not_said_to_be_unrun() {
    run(async {
        let world = World::start(&["desk"]).await;
        let at = world.pairs[0].node.addresses().peers;
        let mut end = End::open(at, 7).await;
        // More answers than are kept for one node.
        for id in 1..=300 {
            end.send(&order(id, &format!("k{id}"))).await;
            end.answer(id).await;
        }

        end.send(&Frame::Query(vec![CallId(1)])).await;

        let told = end.answer(1).await;
        assert!(matches!(told, Reply::Unknown(_)), "{told:?}");
    });
}

#[test]
fn another_life_of_a_node_is_told_nothing_of_the_former_one() {
    run(async {
        let world = World::start(&["desk"]).await;
        let at = world.pairs[0].node.addresses().peers;
        let mut end = End::open(at, 7).await;
        end.send(&order(1, "l1")).await;
        assert!(is_answered(&end.answer(1).await));

        let mut other = End::open(at, 8).await;
        other.send(&Frame::Query(vec![CallId(1)])).await;

        let told = other.answer(1).await;
        assert!(matches!(told, Reply::NotRun { .. }), "{told:?}");
    });
}

#[test]
fn a_call_for_another_service_is_turned_away() {
    run(async {
        let world = World::start(&["board"]).await;
        let at = world.pairs[0].node.addresses().peers;
        let mut end = End::open(at, 7).await;

        end.send(&order(1, "w1")).await;

        let told = end.answer(1).await;
        assert!(matches!(told, Reply::NotRun { .. }), "{told:?}");
        assert_eq!(world.runs("w1"), 0);
    });
}
