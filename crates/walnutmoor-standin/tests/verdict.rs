//! Each check of the soak detects a violation of its invariant.

use std::{collections::BTreeSet, time::Duration};

use tokio::time::Instant;
use walnutmoor_core::table::Effect;
use walnutmoor_standin::{
    mesh::instance::{Arrival, planned_run_time},
    soak::{
        gone,
        overload::{self, Attempt, Return},
        shares,
        shutdown::{Termination, check as check_lost},
        speed::{self, Round},
        verdict::{Exchange, Record},
    },
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
        is_signed: false,
        said: None,
        response: response.map(|(status, body)| (status, body.into())),
    }
}

fn ran(id: &str) -> Arrival {
    let service = "desk".parse().unwrap();
    let body = String::new();
    let instance = String::new();
    let at = Instant::now();
    Arrival {
        id: id.into(),
        body,
        instance,
        service,
        at,
        time_left: None,
        ran: true,
        ended_at: None,
    }
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

    // Probes are requests as well. With 95 of them, 105 requests allow 41
    // retries.
    let probe = |n: u64| Arrival { at: later, ..ran(&format!("probe-{n}")) };
    arrivals.extend((0..95).map(probe));
    assert!(violated(&exchanges, &arrivals).is_empty());
    arrivals.extend((0..3).map(probe));
    assert_eq!(violated(&exchanges, &arrivals), ["few repeats"]);
}

/// How many requests reached a slow instance and another one while nodes knew
/// it is slow; 100 more reached the slow one before.
fn reached(slow: usize, other: usize) -> (Vec<Round>, Vec<Arrival>) {
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let instances = vec!["i-1".to_string(), "i-2".to_string()];
    let (from, to) = (after(400), after(800));
    let round = Round { slow: "i-1".into(), instances, from, to };
    let arrival = |instance: &str, ms| Arrival {
        instance: instance.into(),
        at: after(ms),
        ..ran("a")
    };
    let mut arrivals = vec![arrival("i-1", 300); 100];
    arrivals.extend(vec![arrival("i-1", 500); slow]);
    arrivals.extend(vec![arrival("i-2", 500); other]);
    arrivals.extend(vec![arrival("i-9", 500); 100]);
    (vec![round], arrivals)
}

#[test]
fn requests_at_a_machine_that_is_slow_now_are_detected() {
    let is_violated = |slow, other| {
        let (rounds, arrivals) = reached(slow, other);
        speed::check(&rounds, &arrivals).is_some()
    };

    assert!(is_violated(30, 70));
    assert!(!is_violated(7, 93));
    // Too few requests to judge.
    assert!(!is_violated(10, 10));
}

/// Exchanges of `parts` with these numbers of served and of refused requests.
fn shares(prefix: &str, served: usize, refused: usize) -> Vec<Exchange> {
    let statuses = [(200, served), (503, refused)];
    let statuses = statuses
        .into_iter()
        .flat_map(|(status, count)| std::iter::repeat_n(status, count));
    let exchanges = statuses.enumerate().map(|(n, status)| {
        let id = format!("{prefix}-{n}");
        let response = Some((status, ""));
        let service = "parts".parse().unwrap();
        Exchange { service, ..exchange(&id, Effect::Idempotent, response) }
    });
    exchanges.collect()
}

fn unfair(exchanges: &[Exchange]) -> usize {
    let second = Duration::from_secs(1);
    let now = Instant::now();
    let span = (now.checked_sub(second).unwrap(), now + second);
    shares::check(exchanges, span).len()
}

#[test]
fn fair_shares_are_accepted() {
    let exchanges = [shares("calm", 95, 5), shares("hot", 50, 50)].concat();

    assert_eq!(unfair(&exchanges), 0);
}

#[test]
fn a_calm_account_that_is_refused_with_a_hot_one_is_detected() {
    let exchanges = [shares("calm", 60, 40), shares("hot", 60, 40)].concat();

    assert_eq!(unfair(&exchanges), 1);
}

// A check of a load that fits proves nothing.
#[test]
fn a_hot_account_that_is_not_hot_is_detected() {
    let exchanges = [shares("calm", 99, 1), shares("hot", 99, 1)].concat();

    assert_eq!(unfair(&exchanges), 1);
}

/// A request without a response to a node that is terminated at `start`, sent
/// and ended this many milliseconds after it.
fn unanswered(start: Instant, sent: u64, ended: u64) -> Exchange {
    Exchange {
        at: start + Duration::from_millis(sent),
        ended_at: start + Duration::from_millis(ended),
        ..exchange("a", Effect::Idempotent, None)
    }
}

/// A run between two times, in milliseconds after `start`.
fn run_between(start: Instant, from: u64, to: Option<u64>) -> Arrival {
    let after = |ms| start + Duration::from_millis(ms);
    Arrival { at: after(from), ended_at: to.map(after), ..ran("a") }
}

fn is_lost(start: Instant, exchange: Exchange, runs: &[Arrival]) -> bool {
    let termination = Termination { node: 0, at: start };
    !check_lost(&[exchange], runs, &[termination]).is_empty()
}

#[test]
fn requests_without_a_whole_answer_are_lost() {
    let start = Instant::now();
    let in_place = |status| Exchange {
        response: Some((status, String::new())),
        ..unanswered(start, 4_000, 5_500)
    };
    let running = run_between(start, 4_010, Some(5_500));

    // Passed on, and cut.
    let cut = unanswered(start, 3_100, 5_600);
    let run = run_between(start, 3_110, Some(5_600));
    assert!(is_lost(start, cut.clone(), &[run]));
    // Not passed on, and cut long after it was sent.
    assert!(is_lost(start, cut, &[]));
    // Read and not passed on, alone or behind another one.
    assert!(is_lost(start, unanswered(start, 1_000, 5_600), &[]));
    // Answered by the node in place of an instance at work.
    assert!(is_lost(start, in_place(504), std::slice::from_ref(&running)));
    assert!(is_lost(start, in_place(502), std::slice::from_ref(&running)));
    // Cut after a run that had ended early, which excuses nothing.
    let ended = run_between(start, 1_010, Some(3_000));
    assert!(is_lost(start, unanswered(start, 1_000, 5_600), &[ended]));
}

#[test]
fn requests_that_the_platform_excuses_are_not_lost() {
    let start = Instant::now();
    let answered = |status, is_signed| Exchange {
        response: Some((status, String::new())),
        is_signed,
        ..unanswered(start, 4_000, 5_500)
    };
    let running = || [run_between(start, 4_010, Some(5_500))];

    // A promise that it has not run, or the answer of the instance.
    assert!(!is_lost(start, answered(503, false), &[]));
    assert!(!is_lost(start, answered(504, true), &running()));
    // A failure when no instance was at work.
    assert!(!is_lost(start, answered(502, false), &[]));
    // It crossed the close of its connection, and was not passed on.
    assert!(!is_lost(start, unanswered(start, 5_500, 5_600), &[]));
    // Its time was up.
    let late = unanswered(start, 1_000, 9_000);
    assert!(!is_lost(start, late, &[run_between(start, 1_010, None)]));
    // Sent soon after the signal, and at work until the end.
    let cut = unanswered(start, 2_900, 5_600);
    assert!(!is_lost(start, cut, &[run_between(start, 2_910, None)]));
}

#[test]
fn a_nested_call_counts_as_asked_for_with_its_parent() {
    let exchanges =
        [exchange("a", Effect::Idempotent, Some((200, "i-1 a body")))];

    assert!(violated(&exchanges, &[ran("a"), ran("a.1")]).is_empty());
    assert_eq!(violated(&exchanges, &[ran("a"), ran("b.1")]), ["asked for"]);
}

/// A caller that was refused, told to return after 500 ms, and returned after
/// this many.
fn returned(start: Instant, id: &str, after: u64, status: u16) -> Return {
    let attempt = |suffix: &str, at: u64, status| Attempt {
        id: format!("{id}{suffix}"),
        at: start + Duration::from_millis(at),
        ended_at: start + Duration::from_millis(at),
        status,
        retry_after: (status == 503).then_some(Duration::from_millis(500)),
    };
    let first = attempt("a", 0, 503);
    Return { node: 0, first, second: attempt("b", after, status) }
}

fn judge(returns: &[Return], stopped: bool) -> (usize, Vec<&'static str>) {
    let line = |one: &Return| {
        format!("{{\"request\":\"{}\",\"reserved\":true}}\n", one.first.id)
    };
    let log: String = returns.iter().map(line).collect();
    let reserved: BTreeSet<String> = overload::reserved(&log);
    let held = overload::held(returns, &reserved, |_, _, _| stopped);
    let violations = overload::check(&held);
    let names = violations.iter().map(|violation| violation.invariant);
    (held.len(), names.collect())
}

#[test]
fn broken_promises_are_detected() {
    let start = Instant::now();
    let kept = returned(start, "k", 500, 200);
    let broken = returned(start, "b", 510, 503);

    assert_eq!(judge(std::slice::from_ref(&kept), false), (1, vec![]));
    assert_eq!(judge(&[kept, broken], false), (2, vec!["kept promises"]));
}

#[test]
fn promises_that_do_not_count_are_left_out() {
    let start = Instant::now();
    // It returned early.
    assert_eq!(judge(&[returned(start, "e", 400, 503)], false), (0, vec![]));
    // Its node was stopped.
    assert_eq!(judge(&[returned(start, "s", 500, 503)], true), (0, vec![]));
    // It holds no reservation.
    let without = [returned(start, "w", 500, 503)];
    let none = BTreeSet::new();
    assert!(overload::held(&without, &none, |_, _, _| false).is_empty());
}

/// An idempotent request to node 0 that would run for at least a second and
/// whose caller left 700 ms ago, with its run at an instance.
fn left(ended_ago: Option<u64>) -> (gone::Record, Arrival) {
    let now = Instant::now();
    let ago = |ms| now - Duration::from_millis(ms);
    let ids = (0..).map(|n| format!("left-{n}"));
    let is_long = |id: &String| planned_run_time(id) > Duration::from_secs(2);
    let id = ids.into_iter().find(is_long).unwrap();
    let record = gone::Record::default();
    record.record_left(&id, 0, ago(700));
    let ended_at = ended_ago.map(ago);
    (record, Arrival { at: ago(800), ended_at, ..ran(&id) })
}

fn judge_left(record: &gone::Record, arrival: Arrival) -> gone::Summary {
    gone::judge(record, &[(1, arrival)], |_, _, _| false)
}

#[test]
fn work_that_goes_on_for_a_caller_that_left_is_detected() {
    for ended_ago in [None, Some(10)] {
        let (record, arrival) = left(ended_ago);
        let summary = judge_left(&record, arrival);
        assert_eq!((summary.lasting, summary.late), (1, 1), "{summary}");
    }

    let (record, arrival) = left(Some(500));
    let summary = judge_left(&record, arrival);
    assert_eq!((summary.lasting, summary.late), (1, 0), "{summary}");
}

#[test]
fn work_at_disturbed_nodes_is_not_judged() {
    for disturbed in [0, 1] {
        let (record, arrival) = left(None);
        let is_disturbed = |node, _, _| node == disturbed;
        let summary = gone::judge(&record, &[(1, arrival)], is_disturbed);
        assert_eq!(summary.lasting, 0, "{summary}");
    }
}

#[test]
fn requests_that_reach_an_instance_after_their_caller_left_are_detected() {
    let (record, arrival) = left(None);
    let late = Instant::now() - Duration::from_millis(100);
    for id in [
        arrival.id.clone(),
        format!("{}.1", arrival.id),
        format!("probe-{}-7", arrival.id),
    ] {
        let arrival = Arrival { at: late, id, ..arrival.clone() };
        let summary = judge_left(&record, arrival);
        assert_eq!(summary.reached_late, 1, "{summary}");
    }
}

#[test]
fn the_verdict_on_callers_that_left_follows_the_rule() {
    let summary = |lasting, late, reached_late| gone::Summary {
        lasting,
        late,
        reached_late,
        ..gone::Summary::default()
    };
    assert_eq!(gone::check(&summary(40, 10, 3)), []);
    assert_eq!(gone::check(&summary(7, 7, 0)), []);
    assert_eq!(gone::check(&summary(40, 11, 0)).len(), 1);
    assert_eq!(gone::check(&summary(0, 0, 4)).len(), 1);
}
