//! Tests of safety checks that the randomized tests rarely reach.

mod net;

use walnutmoor_core::{
    admit::Level,
    call::{Envelope, Role},
    class::{Key, Kind},
    config::Config,
    directory::{Record, Status},
    error::Ran,
    gossip::{Body, Packet},
    id::{CallId, Incarnation, NodeId, Revision},
    member::Message,
    node::{self, Action, Event, Node, OpId, Starting},
    once::Begin,
    platform::{Object, Reply, Version},
    retry::Budget,
    server::Announcement,
    ticket::{Party, Ticket, WITNESS_RETENTION},
    time::Millis,
    witness::{Table, Verdict},
};

fn me() -> NodeId {
    "10.0.0.1:7402".parse().unwrap()
}

/// A node with a one-slot server, and its incarnation.
fn node() -> (Node<Starting>, Incarnation) {
    let mut node = Node::new(node::Config::new(me()).seed(5), Millis(0));
    let mut out = Vec::new();
    let announcement = Announcement {
        service: "work".parse().unwrap(),
        slots: 1,
        connections: 9,
        warmup: Millis(0),
    };
    node.handle(Millis(0), Event::Announce(announcement), &mut out);
    node.handle(Millis(0), Event::Tick, &mut out);
    let incarnation = node.directory().get(me()).unwrap().incarnation;
    (node, incarnation)
}

fn config(changes: u64) -> Config {
    let mut config = Config::default();
    for n in 0..changes {
        let author = walnutmoor_core::config::Author {
            change: format!("c{n}").parse().unwrap(),
            by: "test".into(),
            at: 0,
        };
        config.apply(author, net::set("raced", n));
    }
    config
}

fn boot(node: &mut Node<Starting>, config: &Config) {
    let value = serde_json::to_string(config).unwrap();
    let found = Reply::Found(Object { version: Version(1), value });
    let mut out = Vec::new();
    for (op, reply) in [(1, found), (2, Reply::Listed(Vec::new()))] {
        let op = OpId(op);
        node.handle(Millis(1), Event::Platform { op, reply }, &mut out);
    }
}

fn ticket() -> Ticket {
    "10.0.0.9:7402~9~77~10.0.0.8:7402~8~0~60000".parse().unwrap()
}

fn hop(call: u64, target: Incarnation, ticket: Option<Ticket>) -> Event {
    let envelope = Envelope {
        role: Role::Server,
        service: "work".parse().unwrap(),
        from: None,
        class: "order".parse().unwrap(),
        kind: Kind::Once,
        key: Key(3),
        request: format!("r{call}").parse().unwrap(),
        left: Millis(2_000),
        budget: Budget::of_attempt(1, 3),
        ticket,
        target,
        send: 1,
        revision: Revision(1),
        applied: Level::OPEN,
        depth: 0,
        fingerprint: 1,
    };
    Event::Hop { call: CallId(call), envelope }
}

fn starts(actions: &[Action]) -> usize {
    let is_start = |a: &&Action| matches!(a, Action::Start { .. });
    actions.iter().filter(is_start).count()
}

fn refusals(actions: &[Action]) -> Vec<Ran> {
    let ran = |a: &Action| match a {
        Action::Refuse { refusal, .. } => Some(refusal.ran),
        _ => None,
    };
    actions.iter().filter_map(ran).collect()
}

#[test]
fn a_duplicate_of_a_queued_call_does_not_run() {
    // Arrange: the only slot is taken, so the order is queued.
    let (mut node, incarnation) = node();
    let mut out = Vec::new();
    node.handle(Millis(10), hop(1, incarnation, None), &mut out);
    node.handle(Millis(11), hop(2, incarnation, Some(ticket())), &mut out);
    assert_eq!(starts(&out), 1);

    // Act: a duplicate of the order arrives, and the slot is freed twice.
    let mut out = Vec::new();
    node.handle(Millis(12), hop(3, incarnation, Some(ticket())), &mut out);
    assert_eq!(refusals(&out), [Ran::Unknown]);
    for call in [1, 2] {
        let trailer = Default::default();
        let reply = walnutmoor_core::call::Reply::Complete {
            status: 200,
            size: 1,
            trailer,
        };
        let call = CallId(call);
        node.handle(Millis(20), Event::Replied { call, reply }, &mut out);
    }

    // Assert: the order ran once.
    assert_eq!(starts(&out), 1);
}

#[test]
fn a_call_for_a_previous_incarnation_does_not_run() {
    let (mut node, incarnation) = node();
    let mut out = Vec::new();

    let previous = Incarnation(incarnation.0 ^ 1);
    node.handle(Millis(10), hop(1, previous, Some(ticket())), &mut out);

    assert_eq!(starts(&out), 0);
    assert_eq!(refusals(&out), [Ran::No]);
}

#[test]
fn an_older_configuration_is_not_adopted() {
    let (mut node, _) = node();
    boot(&mut node, &config(3));
    assert_eq!(node.configuration().revision, Revision(3));

    let from: NodeId = "10.0.0.2:7402".parse().unwrap();
    let packet = Packet {
        from,
        incarnation: Incarnation(2),
        revision: Revision(1),
        root: 0,
        updates: Vec::new(),
        body: Body::Snapshot(Box::new(config(1))),
    };
    let mut out = Vec::new();
    node.handle(Millis(5), Event::Packet(Box::new(packet)), &mut out);

    assert_eq!(node.configuration().revision, Revision(3));
}

#[test]
fn a_witness_verdict_is_final() {
    let party = |port: u16, incarnation| Party {
        node: NodeId(([10, 0, 0, 8], port).into()),
        incarnation: Incarnation(incarnation),
    };
    let mut ticket = ticket();
    ticket.witness = party(7402, 8);

    let mut marked = Table::new(ticket.witness, 9);
    assert_eq!(marked.mark(Millis(1), &ticket), Verdict::Mark);
    assert_eq!(marked.resolve(Millis(2), &ticket), Verdict::Mark);
    let mut dead = Table::new(ticket.witness, 9);
    assert_eq!(dead.resolve(Millis(1), &ticket), Verdict::Tombstone);
    assert_eq!(dead.mark(Millis(2), &ticket), Verdict::Tombstone);

    // After the retention the outcome is unknown.
    for table in [&mut marked, &mut dead] {
        assert_eq!(
            table.resolve(WITNESS_RETENTION, &ticket),
            Verdict::Unknown
        );
        assert_eq!(table.mark(WITNESS_RETENTION, &ticket), Verdict::Unknown);
    }
    let mut other = Table::new(party(7402, 9), 9);
    assert_eq!(other.mark(Millis(1), &ticket), Verdict::Unknown);
}

#[test]
fn a_full_ledger_refuses_new_tickets_and_keeps_active_ones() {
    let party = Party { node: me(), incarnation: Incarnation(1) };
    let mut ledger = walnutmoor_core::once::Ledger::new(party, 3, 2);
    let span = Millis(1_000);
    let mut issue = |now| ledger.issue(Millis(now), party, Millis(0), span);
    let first = issue(0).unwrap();
    issue(1).unwrap();

    assert!(issue(2).is_err());
    let begun = ledger.begin(Millis(3), &first, 1, CallId(1));
    assert_eq!(begun, Begin::Fresh);
    // The call is still in progress after the ticket expired, so the ticket is
    // kept.
    while ledger.expire(Millis(100_000)).is_some() {}
    let again = ledger.begin(Millis(100_000), &first, 1, CallId(2));
    assert_eq!(again, Begin::Joined);
}

#[test]
fn a_node_reported_dead_refutes_with_a_newer_version() {
    let (mut node, incarnation) = node();
    let before = node.directory().get(me()).unwrap().version;
    let dead = Record {
        status: Status::Dead,
        ..node.directory().get(me()).unwrap().clone()
    };
    assert_eq!(dead.incarnation, incarnation);
    let packet = Packet {
        from: "10.0.0.2:7402".parse().unwrap(),
        incarnation: Incarnation(2),
        revision: Revision(0),
        root: 0,
        updates: vec![dead],
        body: Body::Member(Message::Ack { seq: 0 }),
    };

    let mut out = Vec::new();
    node.handle(Millis(5), Event::Packet(Box::new(packet)), &mut out);

    let record = node.directory().get(me()).unwrap();
    assert!(record.version > before);
    assert_eq!(record.status, Status::Alive);
}
