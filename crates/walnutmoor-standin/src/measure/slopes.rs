//! Measures how memory, time and message sizes of the core grow with the
//! number of members. Prints one JSON line per figure.

use std::{hint::black_box, time::Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use walnutmoor::prelude::*;
use walnutmoor_core::{
    admit::{Controller, Level, Sample, View},
    call::{Arrival, Trailer},
    config::{Author, Config, Op, Table},
    directory::{Offer, Record, Status},
    gossip::{Body, Gossip},
    member,
    node::{self, Event, Node},
    platform::Reply,
    ticket::Party,
    witness,
};

use super::probe;

/// A measured value.
#[derive(Debug, Serialize)]
struct Figure {
    name: &'static str,
    members: usize,
    value: f64,
    unit: &'static str,
}

fn print(name: &'static str, members: usize, value: f64, unit: &'static str) {
    let figure = Figure { name, members, value, unit };
    let text = serde_json::to_string(&figure).expect("a figure serializes");
    println!("{text}");
}

/// The member counts to measure.
const MEMBER_COUNTS: [usize; 3] = [1_000, 4_000, 14_000];

/// The number of services.
const SERVICE_COUNT: usize = 1_300;

/// The number of availability zones.
const ZONE_COUNT: usize = 6;

/// The number of iterations over which a time is averaged.
const ITERATIONS: usize = 10_000;

/// Prints all figures.
pub fn run() {
    for members in MEMBER_COUNTS {
        measure_membership(members);
    }
    for members in MEMBER_COUNTS {
        measure_call(members);
    }
    measure_admission();
    measure_configuration();
    measure_tickets();
}

fn node_id(index: usize) -> NodeId {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    NodeId(([10, 0, high, low], 7402).into())
}

fn zone(index: usize) -> Zone {
    let text = format!("zone-{}", index % ZONE_COUNT);
    text.parse().expect("a valid name")
}

fn service(index: usize) -> Service {
    let text = format!("service-{:04}", index % SERVICE_COUNT);
    text.parse().expect("a valid name")
}

fn record(index: usize) -> Record {
    Record {
        node: node_id(index),
        incarnation: Incarnation(index as u64 * 0x9e37_79b9_7f4a_7c15),
        version: 1_796_000_000_000 + index as u64,
        status: Status::Alive,
        zone: zone(index),
        offer: Some(Offer {
            service: service(index),
            slots: 300,
            accepts: true,
        }),
    }
}

fn rss_kb() -> f64 {
    probe::rss_mb(std::process::id()).unwrap_or(0.0) * 1024.0
}

fn mean_micros(started_at: Instant, iterations: usize) -> f64 {
    started_at.elapsed().as_secs_f64() * 1e6 / iterations as f64
}

/// A gossip instance that knows `members` members and has no pending updates.
fn populated_gossip(members: usize) -> Gossip {
    let mut gossip = Gossip::new(record(0), Millis(0));
    for index in 1..members {
        gossip.members_mut().merge(Millis(1), &record(index));
    }
    // Drains the pending updates, to reach the steady state.
    while gossip.members().pending_updates() > 0 {
        gossip.members_mut().take_updates(member::MAX_PACKET_UPDATES);
    }
    gossip.members_mut().take_events();
    gossip
}

/// Memory, processing time and packet sizes of membership and its repair.
fn measure_membership(members: usize) {
    let before = rss_kb();
    let mut gossip = populated_gossip(members);
    let bytes = (rss_kb() - before).max(0.0) * 1024.0 / members as f64;
    print("directory_memory_per_member", members, bytes, "B");

    let started_at = Instant::now();
    for round in 0..ITERATIONS {
        let mut changed = record(1 + round % (members - 1));
        changed.version += 1 + round as u64;
        gossip.members_mut().merge(Millis(2), &changed);
        gossip.members_mut().take_updates(member::MAX_PACKET_UPDATES);
    }
    print(
        "learn_one_record",
        members,
        mean_micros(started_at, ITERATIONS),
        "us",
    );

    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut out = Vec::new();
    let mut now = Millis(10);
    let started_at = Instant::now();
    for _ in 0..1_000 {
        now += member::PROBE_INTERVAL;
        gossip.tick(now, &mut rng, &mut out);
        // Acknowledges each probe at once, as a healthy member would.
        for (_, body) in std::mem::take(&mut out) {
            if let Body::Member(member::Message::Probe { seq }) = body {
                let ack = member::Message::Ack { seq };
                let mut sent = Vec::new();
                let from = node_id(1);
                gossip.members_mut().receive(now, from, ack, &mut sent);
            }
        }
    }
    print("probe_period", members, mean_micros(started_at, 1_000), "us");
    measure_packets(members, &mut gossip);
}

/// Sizes of membership packets.
fn measure_packets(members: usize, gossip: &mut Gossip) {
    while gossip.members().pending_updates() > 0 {
        gossip.members_mut().take_updates(member::MAX_PACKET_UPDATES);
    }
    let probe = Body::Member(member::Message::Probe { seq: 1 });
    let empty = gossip.build_packet(Revision(1), probe.clone()).encode().len();
    print("probe_packet", members, empty as f64, "B");
    gossip.members_mut().merge(Millis(3), &{
        let mut changed = record(1);
        changed.version += u64::from(u32::MAX);
        changed
    });
    let with_update = gossip.build_packet(Revision(1), probe).encode().len();
    print("news_item", members, (with_update - empty) as f64, "B");
    let digests = gossip.members().directory().digests().to_vec();
    let body = Body::Digests(digests);
    let size = gossip.build_packet(Revision(1), body).encode().len();
    print("repair_question", members, size as f64, "B");
    let records = gossip.members().directory().bucket(7);
    let body = Body::Records { records, complete: vec![7] };
    let size = gossip.build_packet(Revision(1), body).encode().len();
    print("repair_bucket", members, size as f64, "B");
}

/// The time of one call in a node that knows `members` servers.
fn measure_call(members: usize) {
    let config = node::Config::new(node_id(0)).zone(zone(0)).seed(3);
    let mut node = Node::new(config, Millis(0));
    let mut out = Vec::new();
    node.handle(Millis(0), Event::Tick, &mut out);
    for op in [1, 2] {
        let op = node::OpId(op);
        let reply = Reply::Absent;
        node.handle(Millis(1), Event::Platform { op, reply }, &mut out);
    }
    let mut other = populated_gossip(members);
    for index in 0..members.div_ceil(16) {
        let updates = (0..16).map(|i| record((1 + index * 16 + i) % members));
        let ack = Body::Member(member::Message::Ack { seq: 0 });
        let mut packet = other.build_packet(Revision(0), ack);
        packet.updates = updates.collect();
        let event = Event::Packet(Box::new(packet));
        node.handle(Millis(2), event, &mut out);
    }
    out.clear();
    let started_at = Instant::now();
    for round in 0..ITERATIONS {
        handle_call(&mut node, round, &mut out);
        out.clear();
    }
    let each = mean_micros(started_at, ITERATIONS);
    print("call_out_and_back", members, each, "us");
}

/// Handles one call: arrival, admission, routing, dispatch and response.
fn handle_call(
    node: &mut Node<node::Starting>,
    round: usize,
    out: &mut Vec<node::Action>,
) {
    let call = CallId(round as u64 + 1);
    let arrival = Arrival {
        call,
        service: service(round),
        class: None,
        request: None,
        attempt: 1,
        left: Some(Millis(1_000)),
        ticket: None,
        step: None,
        parent: None,
        fingerprint: 0,
    };
    node.handle(Millis(5), Event::Arrive(arrival), out);
    let trailer = Trailer::default();
    let reply = walnutmoor_core::call::Reply::Complete {
        status: 200,
        size: 10,
        trailer,
    };
    node.handle(Millis(6), Event::Replied { call, reply }, out);
    black_box(&out);
}

/// The admission level controller, and an entry node's view of a call path
/// with 29 services.
fn measure_admission() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut controller = Controller::new();
    let started_at = Instant::now();
    for round in 0..ITERATIONS {
        for _ in 0..4 {
            let key = walnutmoor_core::class::Key(rng.random_range(0..900));
            controller.record_arrival(key, Level::OPEN);
        }
        let sample = Sample {
            capacity: 40.0,
            hold_secs: 1.0,
            min_queued: 1,
            utilization: 1.0,
            window_secs: 0.1,
        };
        controller.tick(Millis(100 * round as u64), sample);
    }
    print("level_window", 0, mean_micros(started_at, ITERATIONS), "us");

    let mut view = View::new();
    let class: walnutmoor_core::id::Class = "a".parse().expect("a valid name");
    for index in 0..29 {
        let report = walnutmoor_core::admit::Report {
            origin: node_id(index),
            service: service(index),
            level: Some(Level::OPEN),
            age: Millis(0),
        };
        view.record_report(Millis(1), &report);
        view.record_path(Millis(1), &class, &service(0), &service(index));
    }
    let entry = service(0);
    let started_at = Instant::now();
    for _ in 0..ITERATIONS {
        black_box(view.strictest_level(Millis(2), &class, &entry));
    }
    print("admission_29_deep", 0, mean_micros(started_at, ITERATIONS), "us");
    let reports = (0..29).flat_map(|i| view.reports(Millis(2), &service(i)));
    let reports = reports.collect();
    let trailer = Trailer { reports, ..Trailer::default() };
    let size = trailer.encode().len();
    print("trailer_29_deep", 0, size as f64, "B");
}

/// Sizes and ranking time of a configuration with one class per service.
fn measure_configuration() {
    let mut config = Config::default();
    for index in 0..SERVICE_COUNT {
        let mut class = walnutmoor_core::class::Class::internal();
        class.name =
            format!("class-{index:04}").parse().expect("a valid name");
        let author = Author {
            change: format!("{index:032x}").parse().expect("a valid id"),
            by: "operator".to_string(),
            at: 1_796_000_000_000,
        };
        config.apply(author, Op::Set(class));
    }
    let entry = config.journal[0].clone();
    let keep = config.journal.len() - 64;
    config.journal.drain(..keep);
    let json = serde_json::to_string(&config).expect("a config serializes");
    print("configuration_object", SERVICE_COUNT, json.len() as f64, "B");
    let mut gossip = Gossip::new(record(0), Millis(0));
    let packet_size = |gossip: &mut Gossip, body: Body| {
        gossip.build_packet(Revision(1), body).encode().len() as f64
    };
    let change = packet_size(&mut gossip, Body::Entries(vec![entry]));
    print("change_packet", 1, change, "B");
    let snapshot =
        packet_size(&mut gossip, Body::Snapshot(Box::new(config.clone())));
    print("whole_configuration_packet", SERVICE_COUNT, snapshot, "B");
    let started_at = Instant::now();
    for _ in 0..100 {
        black_box(Table::new(&config));
    }
    print("rank_classes", SERVICE_COUNT, mean_micros(started_at, 100), "us");
}

/// Memory of an owner's ledger, and memory and marking time of a witness's
/// table.
fn measure_tickets() {
    let party = |index| Party {
        node: node_id(index),
        incarnation: Incarnation(index as u64),
    };
    let before = rss_kb();
    let mut ledger = walnutmoor_core::once::Ledger::new(party(0), 7, 100_000);
    let mut tickets = Vec::new();
    for _ in 0..20_000 {
        let now = Millis(1);
        let issued = ledger.issue(now, party(1), now, Millis(60_000));
        tickets.push(issued.expect("there is room"));
    }
    let bytes = (rss_kb() - before) * 1024.0 / 20_000.0;
    print("ledger_memory_per_ticket", 20_000, bytes, "B");
    let before = rss_kb();
    let mut table = witness::Table::new(party(1), 100_000);
    let started_at = Instant::now();
    for ticket in &tickets {
        black_box(table.mark(Millis(2), ticket));
    }
    print("mark", 20_000, mean_micros(started_at, 20_000), "us");
    let bytes = (rss_kb() - before) * 1024.0 / 20_000.0;
    print("witness_memory_per_mark", 20_000, bytes, "B");
    let mut gossip = Gossip::new(record(0), Millis(0));
    let size = gossip
        .build_packet(Revision(1), Body::MarkRequest(tickets[0]))
        .encode();
    print("mark_packet", 1, size.len() as f64, "B");
}
