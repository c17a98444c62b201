//! What nodes tell each other about routes, and what they make of bad input.

use std::{net::SocketAddr, time::Duration};

use bytes::BytesMut;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use walnutmoor::mesh::frame::{self, Frame, Hello, PROTOCOL_VERSION};
use walnutmoor_core::{
    bulkhead::Load,
    edition::Edition,
    footprint::Key,
    id::{CallId, Era, Incarnation, NodeId, Service},
    profile::{Profile, Usage},
    time::Millis,
};

use crate::fixture::{World, run, until};

async fn world(services: &[&str]) -> World {
    World::start_with(services, &["handover"]).await
}

/// The log of a node since its last start.
fn log(world: &World, index: usize) -> String {
    let log = world.pairs[index].node.log();
    let start = log.rfind("\"event\":\"start\"").unwrap();
    log[start..].to_string()
}

/// True if the node has logged this since its last start.
fn has_logged(world: &World, index: usize, text: &str) -> bool {
    log(world, index).contains(text)
}

/// Sends enough requests to a node that it learns the route.
async fn learn(world: &World, index: usize, name: &str) {
    for n in 0..6 {
        world.send_until_ok(index, "browse", &format!("{name}-{n}")).await;
    }
}

/// Guards against a restarted node that learns all routes anew.
#[test]
fn a_restarted_node_adopts_what_others_have_learned() {
    run(async {
        let mut world = world(&["front", "desk"]).await;
        learn(&world, 1, "before").await;

        world.pairs[0].node.restart();

        until("it adopts a profile", || async {
            has_logged(&world, 0, "\"profiles_adopted\":1")
        })
        .await;
    });
}

/// Guards against a fleet in which each node learns alone.
#[test]
fn the_first_node_that_learns_a_route_tells_the_others() {
    run(async {
        let world = world(&["front", "desk"]).await;

        learn(&world, 0, "first").await;
        until("the other adopts it", || async {
            has_logged(&world, 1, "\"profiles_adopted\":1")
        })
        .await;
        learn(&world, 1, "second").await;
        world.send_until_ok(0, "browse", "last").await;

        assert!(!has_logged(&world, 0, "profiles_"), "it was told it back");
    });
}

/// A peer that the test plays.
struct Peer {
    stream: TcpStream,
    bytes: BytesMut,
}

impl Peer {
    async fn open(address: SocketAddr) -> (Peer, Hello) {
        let stream = TcpStream::connect(address).await.unwrap();
        let mut peer = Peer { stream, bytes: BytesMut::new() };
        let hello = Hello {
            last_call: CallId(0),
            protocol: PROTOCOL_VERSION,
            // Nothing listens on this port.
            node: NodeId(([127, 0, 0, 1], 9).into()),
            incarnation: Incarnation(7),
            zone: "a".parse().unwrap(),
            service: "front".parse().unwrap(),
            edition: Edition::default(),
            era: Era::default(),
            load: Load::default(),
            known: Vec::new(),
            fleet: 0,
            profiles: vec![profile("order", 0, 1.0)],
        };
        peer.send(&Frame::Hello(hello)).await;
        let Frame::Hello(hello) = peer.receive().await else {
            panic!("no hello");
        };
        (peer, hello)
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
            let count = self.stream.read_buf(&mut self.bytes).await.unwrap();
            assert!(count > 0, "the node closed the link");
        }
    }
}

fn profile(route: &str, age: u64, slot_ms: f32) -> Profile {
    let service: Service = "desk".parse().unwrap();
    let key = Key::of(&service);
    let usage = Usage { key, slot_ms, runs: 1.0, is_direct: true };
    Profile { route: route.into(), age: Millis(age), usages: vec![usage] }
}

/// Guards against a change of behaviour where the setting is off: a node tells
/// nothing, and makes nothing of what it is told.
#[test]
fn nothing_is_exchanged_by_default() {
    run(async {
        let world = World::start(&["desk"]).await;
        learn(&world, 0, "own").await;
        let address = world.pairs[0].node.addresses().peers;

        let (mut peer, hello) = Peer::open(address).await;
        let told = vec![profile("order", 0, 9.0), profile("order", 0, -1.0)];
        peer.send(&Frame::Profiles(told)).await;
        peer.send(&Frame::Ping(Edition::default())).await;
        while !matches!(peer.receive().await, Frame::Pong(..)) {}
        // Log lines are written within 100 ms.
        tokio::time::sleep(Duration::from_millis(300)).await;

        assert_eq!(hello.profiles, []);
        assert!(!has_logged(&world, 0, "profiles_"));
    });
}

/// Guards against harm by a faulty peer: each bad profile is logged or
/// ignored, and the good one beside them counts.
#[test]
fn bad_profiles_have_no_effect() {
    run(async {
        let world = world(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let (mut peer, _) = Peer::open(address).await;

        let mut empty = profile("browse", 0, 1.0);
        empty.usages.clear();
        let profiles = vec![
            profile("browse", 0, f32::NAN),
            profile("browse", 0, -5.0),
            empty,
            profile("", 0, 1.0),
            profile("nowhere", 0, 1.0),
            profile("browse", u64::MAX, 1.0),
            profile("browse", 0, f32::MAX),
        ];
        peer.send(&Frame::Profiles(profiles)).await;
        until("it has read them", || async {
            has_logged(&world, 0, "\"profiles_malformed\":4")
        })
        .await;

        assert!(has_logged(&world, 0, "\"profiles_ignored\":2"));
        assert!(has_logged(&world, 0, "\"profiles_adopted\":1"));
        let flood = vec![profile("nowhere", 0, 1.0); 100_000];
        peer.send(&Frame::Profiles(flood)).await;
        world.send_until_ok(0, "browse", "after").await;
    });
}

/// Guards against what was heard being passed on, and against routes in the
/// handshake that this node has not learned.
#[test]
fn only_what_a_node_has_learned_is_in_its_handshake() {
    run(async {
        let world = world(&["desk"]).await;
        let address = world.pairs[0].node.addresses().peers;
        let (mut peer, before) = Peer::open(address).await;
        peer.send(&Frame::Profiles(vec![profile("order", 0, 9.0)])).await;
        until("it adopts the profile", || async {
            has_logged(&world, 0, "\"profiles_adopted\":1")
        })
        .await;

        learn(&world, 0, "own").await;
        let (_, after) = Peer::open(address).await;

        assert_eq!(before.profiles, []);
        let routes = after.profiles.iter().map(|p| p.route.as_str());
        assert_eq!(routes.collect::<Vec<_>>(), ["browse"]);
    });
}
