//! A node that a test plays: opens and accepts links, and exchanges frames.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use walnutmoor::mesh::frame::{
    self, Call, Frame, Hello, PROTOCOL_VERSION, Reply,
};
use walnutmoor_core::{
    bulkhead::Load,
    edition::Edition,
    id::{CallId, Era, Incarnation, NodeId, RouteKey},
    poison::Fingerprint,
    table::Effect,
    time::Millis,
};

/// A peer that the test plays, with its connection to the node.
pub struct Peer {
    pub stream: TcpStream,
    bytes: BytesMut,
    /// The calls that the node still waited for when it opened the link.
    pub wanted: Vec<CallId>,
}

pub fn hello(
    node: SocketAddr,
    incarnation: u64,
    service: &str,
    load: Load,
) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        last_call: CallId(0),
        zone: "a".parse().unwrap(),
        service: service.parse().unwrap(),
        edition: Edition::default(),
        era: Era::default(),
        load,
        known: Vec::new(),
        fleet: 0,
        profiles: Vec::new(),
    }
}

impl Peer {
    fn new(stream: TcpStream) -> Peer {
        Peer { stream, bytes: BytesMut::new(), wanted: Vec::new() }
    }

    pub async fn open(address: SocketAddr, incarnation: u64) -> Peer {
        // Nothing listens on this port, so the node cannot open a link of its
        // own.
        let node = ([127, 0, 0, 1], 9).into();
        Peer::open_as(node, address, incarnation).await
    }

    /// Opens a link under the address of a peer.
    pub async fn open_as(
        node: SocketAddr,
        address: SocketAddr,
        incarnation: u64,
    ) -> Peer {
        let hello = hello(node, incarnation, "front", Load::default());
        Peer::open_with(hello, address).await
    }

    /// Opens a link with this handshake.
    pub async fn open_with(hello: Hello, address: SocketAddr) -> Peer {
        let stream = TcpStream::connect(address).await.unwrap();
        let mut peer = Peer::new(stream);
        peer.send(&Frame::Hello(hello)).await;
        assert!(matches!(peer.receive().await, Frame::Hello(_)));
        peer
    }

    /// Accepts the link of a node, as the node of an instance of `desk`.
    pub async fn accept(
        listener: &TcpListener,
        incarnation: u64,
        load: Load,
    ) -> Peer {
        let (stream, _) = listener.accept().await.unwrap();
        let mut peer = Peer::new(stream);
        assert!(matches!(peer.receive().await, Frame::Hello(_)));
        let node = listener.local_addr().unwrap();
        let hello = hello(node, incarnation, "desk", load);
        peer.send(&Frame::Hello(hello)).await;
        let Frame::Resume(wanted) = peer.receive().await else {
            panic!("it precedes all other frames");
        };
        Peer { wanted, ..peer }
    }

    /// The next call that the node sends.
    pub async fn call(&mut self) -> Box<Call> {
        loop {
            if let Frame::Call(call) = self.receive().await {
                return call;
            }
        }
    }

    pub async fn send(&mut self, frame: &Frame) {
        let mut bytes = BytesMut::new();
        frame::encode(frame, &mut bytes);
        self.stream.write_all(&bytes).await.unwrap();
    }

    pub async fn receive(&mut self) -> Frame {
        loop {
            if let Some(frame) = frame::decode(&mut self.bytes).unwrap() {
                return frame;
            }
            let read = self.stream.read_buf(&mut self.bytes).await.unwrap();
            assert!(read > 0, "the node closed the link");
        }
    }

    pub async fn answer(&mut self, id: u64) -> Reply {
        loop {
            if let Frame::Answer(call, reply, _) = self.receive().await
                && call == CallId(id)
            {
                return reply;
            }
        }
    }
}

pub fn order(id: u64, attempt: &str) -> Frame {
    let name = walnutmoor_platform::header::ATTEMPT;
    let value = Bytes::copy_from_slice(attempt.as_bytes());
    Frame::Call(Box::new(Call {
        id: CallId(id),
        service: "desk".parse().unwrap(),
        route: RouteKey::default(),
        caller: "front".parse().unwrap(),
        account: None,
        root: None,
        attempt: attempt.into(),
        fingerprint: Fingerprint::default(),
        evidence: None,
        effect: Effect::Once,
        priority: 0,
        target: Millis(1_000),
        time_left: Millis(20_000),
        caller_time_left: Millis(20_000),
        is_retry: false,
        parent_is_retry: false,
        need: None,
        moved: false,
        has_alternative: false,
        method: "POST".into(),
        path: "/order/x".into(),
        headers: vec![(name.as_str().into(), value)],
        body: Bytes::new(),
    }))
}

pub fn is_answered(reply: &Reply) -> bool {
    matches!(reply, Reply::Answered { status: 200, .. })
}
