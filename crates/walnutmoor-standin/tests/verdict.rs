//! Each check of the soak detects a violation of its invariant.

use std::time::Duration;

use tokio::time::Instant;
use walnutmoor_core::table::Effect;
use walnutmoor_standin::{
    mesh::instance::Arrival,
    soak::verdict::{Exchange, Record},
};

fn exchange(
    id: &str,
    effect: Effect,
    response: Option<(u16, &str)>,
) -> Exchange {
    Exchange {
        id: id.into(),
        service: "desk".parse().unwrap(),
        effect,
        node: 0,
        at: Instant::now(),
        ended_at: Instant::now(),
        said: None,
        response: response.map(|(status, body)| (status, body.into())),
    }
}

fn ran(id: &str) -> Arrival {
    let service = "desk".parse().unwrap();
    let body = String::new();
    let instance = String::new();
    let at = Instant::now();
    Arrival { id: id.into(), body, instance, service, at, ran: true }
}

fn violated(
    exchanges: &[Exchange],
    arrivals: &[Arrival],
) -> Vec<&'static str> {
    let record = Record::default();
    for exchange in exchanges {
        record.record_exchange(exchange.clone());
    }
    let violations = record.check(arrivals);
    violations.iter().map(|violation| violation.invariant).collect()
}

#[test]
fn valid_exchanges_are_accepted() {
    let exchanges = [
        exchange("a", Effect::Once, Some((200, "i-1 a body"))),
        exchange("b", Effect::Once, Some((503, ""))),
        exchange("c", Effect::Idempotent, Some((200, "i-1 c body"))),
        exchange("d", Effect::Once, None),
    ];

    assert!(violated(&exchanges, &[ran("a"), ran("c"), ran("c")]).is_empty());
}

#[test]
fn a_second_run_of_a_once_request_is_detected() {
    let exchanges = [exchange("a", Effect::Once, Some((200, "i-1 a body")))];

    assert_eq!(violated(&exchanges, &[ran("a"), ran("a")]), ["once"]);
}

#[test]
fn a_run_of_a_rejected_request_is_detected() {
    let exchanges = [exchange("a", Effect::Idempotent, Some((429, "")))];

    assert_eq!(violated(&exchanges, &[ran("a")]), ["not run"]);
}

#[test]
fn the_response_of_another_request_is_detected() {
    let exchanges = [exchange("a", Effect::Once, Some((200, "i-1 b body")))];

    assert_eq!(violated(&exchanges, &[ran("a")]), ["own answer"]);
}

#[test]
fn a_response_without_a_run_is_detected() {
    let exchanges = [exchange("a", Effect::Once, Some((200, "i-1 a body")))];

    assert_eq!(violated(&exchanges, &[]), ["own answer"]);
}

#[test]
fn a_run_without_a_request_is_detected() {
    assert_eq!(violated(&[], &[ran("a")]), ["asked for"]);
}

#[test]
fn a_404_for_an_existing_route_is_detected() {
    let exchanges = [exchange("a", Effect::Once, Some((404, "")))];

    assert_eq!(violated(&exchanges, &[]), ["allowed"]);
}

#[test]
fn retries_above_the_budget_are_detected() {
    let exchanges: Vec<Exchange> = (0..10)
        .map(|n| exchange(&format!("r{n}"), Effect::Idempotent, None))
        .collect();
    let later = Instant::now() + Duration::from_secs(1);
    let mut arrivals = Vec::new();
    for n in 0..40 {
        let at = later + Duration::from_millis(n);
        arrivals.push(Arrival { at, ..ran("r0") });
    }

    assert_eq!(violated(&exchanges, &arrivals), ["few repeats"]);
}
