//! Slopes for the capacity page: real parts of the core, filled with 1,000,
//! 4,000 and 14,000 members, one JSON line a figure.

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

/// One figure.
#[derive(Debug, Serialize)]
struct Figure {
    name: &'static str,
    members: usize,
    value: f64,
    unit: &'static str,
}

fn print(name: &'static str, members: usize, value: f64, unit: &'static str) {
    let figure = Figure { name, members, value, unit };
    let text = serde_json::to_string(&figure).expect("plain data");
    println!("{text}");
}

/// The sizes; the last is the target's.
const SIZES: [usize; 3] = [1_000, 4_000, 14_000];

/// Services of the target.
const SERVICES: usize = 1_300;

/// Zones of the target.
const ZONES: usize = 6;

/// How often a step is repeated for its mean time.
const TIMES: usize = 10_000;

/// Prints all figures.
pub fn run() {
    for members in SIZES {
        directory(members);
    }
    for members in SIZES {
        decision(members);
    }
    levels();
    configuration();
    marks();
}

fn node_id(index: usize) -> NodeId {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    NodeId(([10, 0, high, low], 7402).into())
}

fn zone(index: usize) -> Zone {
    let text = format!("zone-{}", index % ZONES);
    text.parse().expect("a legal name")
}

fn service(index: usize) -> Service {
    let text = format!("service-{:04}", index % SERVICES);
    text.parse().expect("a legal name")
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

fn micros(begun: Instant, times: usize) -> f64 {
    begun.elapsed().as_secs_f64() * 1e6 / times as f64
}

fn filled(members: usize) -> Gossip {
    let mut gossip = Gossip::new(record(0), Millis(0));
    for index in 1..members {
        gossip.members_mut().merge(Millis(1), &record(index));
    }
    // The news of all is spread; what is left is the steady state.
    while gossip.members().pending_updates() > 0 {
        gossip.members_mut().take_updates(member::PACKET_UPDATES_MAX);
    }
    gossip.members_mut().take_events();
    gossip
}

/// Memory, time and bytes of membership and its repair.
fn directory(members: usize) {
    let before = rss_kb();
    let mut gossip = filled(members);
    let bytes = (rss_kb() - before).max(0.0) * 1024.0 / members as f64;
    print("directory_memory_per_member", members, bytes, "B");

    let begun = Instant::now();
    for round in 0..TIMES {
        let mut changed = record(1 + round % (members - 1));
        changed.version += 1 + round as u64;
        gossip.members_mut().merge(Millis(2), &changed);
        gossip.members_mut().take_updates(member::PACKET_UPDATES_MAX);
    }
    print("learn_one_record", members, micros(begun, TIMES), "us");

    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut out = Vec::new();
    let mut now = Millis(10);
    let begun = Instant::now();
    for _ in 0..1_000 {
        now += member::PROBE_INTERVAL;
        gossip.tick(now, &mut rng, &mut out);
        // All answer at once: the fleet is well.
        for (_, body) in std::mem::take(&mut out) {
            if let Body::Member(member::Message::Probe { seq }) = body {
                let ack = member::Message::Ack { seq };
                let mut sent = Vec::new();
                let from = node_id(1);
                gossip.members_mut().receive(now, from, ack, &mut sent);
            }
        }
    }
    print("probe_period", members, micros(begun, 1_000), "us");
    packets(members, &mut gossip);
}

fn packets(members: usize, gossip: &mut Gossip) {
    while gossip.members().pending_updates() > 0 {
        gossip.members_mut().take_updates(member::PACKET_UPDATES_MAX);
    }
    let probe = Body::Member(member::Message::Probe { seq: 1 });
    let empty = gossip.build_packet(Revision(1), probe.clone()).encode().len();
    print("probe_packet", members, empty as f64, "B");
    gossip.members_mut().merge(Millis(3), &{
        let mut changed = record(1);
        changed.version += u64::from(u32::MAX);
        changed
    });
    let news = gossip.build_packet(Revision(1), probe).encode().len();
    print("news_item", members, (news - empty) as f64, "B");
    let digests = gossip.members().directory().digests().to_vec();
    let body = Body::Digests(digests);
    let size = gossip.build_packet(Revision(1), body).encode().len();
    print("repair_question", members, size as f64, "B");
    let records = gossip.members().directory().bucket(7);
    let body = Body::Records { records, complete: vec![7] };
    let size = gossip.build_packet(Revision(1), body).encode().len();
    print("repair_bucket", members, size as f64, "B");
}

/// One decision of the whole node, with so many servers known.
fn decision(members: usize) {
    let config = node::Config::new(node_id(0)).zone(zone(0)).seed(3);
    let mut node = Node::new(config, Millis(0));
    let mut out = Vec::new();
    node.handle(Millis(0), Event::Tick, &mut out);
    for op in [1, 2] {
        let op = node::OpId(op);
        let reply = Reply::Absent;
        node.handle(Millis(1), Event::Platform { op, reply }, &mut out);
    }
    let mut other = filled(members);
    for index in 0..members.div_ceil(16) {
        let news = (0..16).map(|i| record((1 + index * 16 + i) % members));
        let ack = Body::Member(member::Message::Ack { seq: 0 });
        let mut packet = other.build_packet(Revision(0), ack);
        packet.updates = news.collect();
        let event = Event::Packet(Box::new(packet));
        node.handle(Millis(2), event, &mut out);
    }
    out.clear();
    let begun = Instant::now();
    for round in 0..TIMES {
        call(&mut node, round, &mut out);
        out.clear();
    }
    let each = micros(begun, TIMES);
    print("call_out_and_back", members, each, "us");
}

/// A call arrives, is admitted, routed and sent, and its answer returned.
fn call(
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

/// The level controller and a way in's view of a path 29 deep.
fn levels() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut controller = Controller::new();
    let begun = Instant::now();
    for round in 0..TIMES {
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
    print("level_window", 0, micros(begun, TIMES), "us");

    let mut view = View::new();
    let class: walnutmoor_core::id::Class = "a".parse().expect("legal");
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
    let begun = Instant::now();
    for _ in 0..TIMES {
        black_box(view.strictest_level(Millis(2), &class, &entry));
    }
    print("admission_29_deep", 0, micros(begun, TIMES), "us");
    let reports = (0..29).flat_map(|i| view.reports(Millis(2), &service(i)));
    let reports = reports.collect();
    let trailer = Trailer { reports, ..Trailer::default() };
    let size = trailer.encode().len();
    print("trailer_29_deep", 0, size as f64, "B");
}

/// A configuration of 1,300 services with a class each.
fn configuration() {
    let mut config = Config::default();
    for index in 0..SERVICES {
        let mut class = walnutmoor_core::class::Class::internal();
        class.name = format!("class-{index:04}").parse().expect("legal");
        let author = Author {
            change: format!("{index:032x}").parse().expect("legal"),
            by: "operator".to_string(),
            at: 1_796_000_000_000,
        };
        config.apply(author, Op::Set(class));
    }
    let entry = config.journal[0].clone();
    let keep = config.journal.len() - 64;
    config.journal.drain(..keep);
    let json = serde_json::to_string(&config).expect("plain data");
    print("configuration_object", SERVICES, json.len() as f64, "B");
    let mut gossip = Gossip::new(record(0), Millis(0));
    let size = |gossip: &mut Gossip, body: Body| {
        gossip.build_packet(Revision(1), body).encode().len() as f64
    };
    let change = size(&mut gossip, Body::Entries(vec![entry]));
    print("change_packet", 1, change, "B");
    let whole = size(&mut gossip, Body::Snapshot(Box::new(config.clone())));
    print("whole_configuration_packet", SERVICES, whole, "B");
    let begun = Instant::now();
    for _ in 0..100 {
        black_box(Table::new(&config));
    }
    print("rank_classes", SERVICES, micros(begun, 100), "us");
}

/// A witness's table and an owner's ledger.
fn marks() {
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
    let begun = Instant::now();
    for ticket in &tickets {
        black_box(table.mark(Millis(2), ticket));
    }
    print("mark", 20_000, micros(begun, 20_000), "us");
    let bytes = (rss_kb() - before) * 1024.0 / 20_000.0;
    print("witness_memory_per_mark", 20_000, bytes, "B");
    let mut gossip = Gossip::new(record(0), Millis(0));
    let size = gossip
        .build_packet(Revision(1), Body::MarkRequest(tickets[0]))
        .encode();
    print("mark_packet", 1, size.len() as f64, "B");
}
