//! The bounded wait at the ingress.

use walnutmoor_core::{
    admission_queue::{Id, Limits, Order, Queue, Waiter},
    ingress::{Controller, Decision, Options, Request},
    reservation::{Caller, Flow, Number, Standing},
    time::Millis,
};

fn flow() -> Flow {
    Flow::of("lookups")
}

fn waiter(id: u64, order: Order) -> Waiter {
    Waiter { id: Id(id), flow: flow(), order, until: Millis(500), bytes: 10 }
}

fn ranked(rank: u8, is_over_share: bool, deadline: u64) -> Order {
    Order::by_rank(rank, is_over_share, Millis(deadline))
}

fn queue(requests: usize, bytes: usize) -> Queue {
    Queue::new(Limits { requests, bytes })
}

fn drain(queue: &mut Queue) -> Vec<u64> {
    let mut ids = Vec::new();
    while let Some(id) = queue.first(&flow()).map(|waiter| waiter.id) {
        queue.remove(id);
        ids.push(id.0);
    }
    ids
}

#[test]
fn order_is_reservations_then_rank_then_share_then_deadline() {
    let mut queue = queue(10, 1_000);
    let orders = [
        (1, ranked(2, false, 900)),
        (2, ranked(2, false, 800)),
        (3, ranked(2, true, 100)),
        (4, ranked(0, true, 950)),
        (5, Order::Reserved(Number(8))),
        (6, Order::Reserved(Number(7))),
    ];
    for (id, order) in orders {
        queue.push(waiter(id, order)).unwrap();
    }

    assert_eq!(drain(&mut queue), [6, 5, 4, 2, 1, 3]);
}

/// Guards against a flood of requests that exhausts the memory of a node.
#[test]
fn number_and_bytes_are_bounded() {
    let limits = Limits::of_memory(100_000);
    let mut queue = Queue::new(limits);

    for id in 0..1_000 {
        let order = ranked(2, false, id);
        let _ = queue.push(Waiter { bytes: 1, ..waiter(id, order) });
    }
    assert_eq!(queue.len(), 256);

    let mut queue = Queue::new(limits);
    for id in 0..1_000 {
        let order = ranked(2, false, id);
        let _ = queue.push(Waiter { bytes: 4_000, ..waiter(id, order) });
    }
    assert_eq!(queue.len(), 2);
}

#[test]
fn full_queue_displaces_its_last_request_for_a_better_one() {
    let mut queue = queue(2, 1_000);
    queue.push(waiter(1, ranked(2, false, 100))).unwrap();
    queue.push(waiter(2, ranked(3, false, 100))).unwrap();

    let worse = queue.push(waiter(3, ranked(3, true, 100)));
    let better = queue.push(waiter(4, ranked(0, false, 100)));

    assert_eq!(worse.unwrap_err().id, Id(3));
    assert_eq!(better.unwrap().unwrap().id, Id(2));
    assert_eq!(drain(&mut queue), [4, 1]);
}

const BOTH: Options = Options { reservations: true, wait: true };

/// The target of all requests; a request may wait for an eighth of it.
const TARGET: Millis = Millis(1_600);

fn request(id: u64, now: Millis) -> Request {
    let fingerprint = format!("{id:032x}").parse().unwrap();
    Request {
        id: Id(id),
        flow: flow(),
        caller: Caller { fingerprint, account: None },
        is_likely_retry: false,
        rank: 2,
        is_over_share: false,
        received_at: now,
        deadline: now + Millis(6_000),
        response_deadline: now + Millis(3_000),
        target: TARGET,
        bytes: 10,
    }
}

/// A controller of a flow with 50 requests per second of 100, at a time when
/// its rate is used up. Returns it with that time.
fn controller(options: Options) -> (Controller, Millis) {
    let limits = Limits { requests: 256, bytes: 100_000 };
    let mut controller = Controller::new(options, limits);
    for n in 0..400 {
        let fraction = if n < 200 { 1.0 } else { 0.5 };
        let now = Millis(n * 10);
        let mut request = request(1_000_000 + n, now);
        request.target = Millis(8);
        controller.offer(now, request, fraction, 0.5);
        controller.poll(now, |_| fraction, || 0.5);
    }
    let now = Millis(4_000);
    for n in 0..100 {
        let mut request = request(2_000_000 + n, now);
        request.target = Millis(8);
        controller.offer(now, request, 0.5, 0.5);
    }
    (controller, now)
}

fn is_admitted(decision: &Decision) -> bool {
    matches!(decision, Decision::Admit(_))
}

/// Polls every 10 ms and returns the decisions with their times.
fn poll(
    controller: &mut Controller,
    from: Millis,
    span: u64,
    fraction: f64,
) -> Vec<(Id, Millis, Decision)> {
    let mut all = Vec::new();
    for step in 0..=span / 10 {
        let now = from + Millis(step * 10);
        let decided = controller.poll(now, |_| fraction, || 0.5);
        all.extend(decided.into_iter().map(|(id, d)| (id, now, d)));
    }
    all
}

#[test]
fn request_waits_for_an_eighth_of_its_target_at_most() {
    let (mut controller, now) = controller(BOTH);
    let decision = controller.offer(now, request(1, now), 0.5, 0.5);
    assert_eq!(decision, Decision::Wait);

    // Capacity vanishes after the decision.
    let decided = poll(&mut controller, now, 1_000, 0.0001);

    let (id, at, decision) = decided[0];
    assert_eq!(id, Id(1));
    assert!(matches!(decision, Decision::Refuse(Some(_))), "{decision:?}");
    assert_eq!(at.since(now), Millis(TARGET.0 / 8));
    assert_eq!(controller.waits().refused, 1);
}

#[test]
fn request_that_would_wait_longer_is_refused_at_once() {
    let (mut controller, now) = controller(BOTH);

    let decisions: Vec<Decision> = (0..40)
        .map(|n| controller.offer(now, request(n, now), 0.5, 0.5))
        .collect();

    // 50 per second admit ten in 200 ms.
    let waiting = decisions.iter().filter(|d| **d == Decision::Wait).count();
    assert!((7..=12).contains(&waiting), "{waiting}");
    let is_refused = |d: &&Decision| matches!(d, Decision::Refuse(Some(_)));
    assert_eq!(decisions.iter().filter(is_refused).count(), 40 - waiting);
}

#[test]
fn waiting_requests_are_admitted_as_the_rate_allows() {
    let (mut controller, now) = controller(BOTH);
    for n in 0..5 {
        controller.offer(now, request(n, now), 0.5, 0.5);
    }

    let decided = poll(&mut controller, now, 200, 0.5);

    assert_eq!(decided.len(), 5);
    assert!(decided.iter().all(|(_, _, decision)| is_admitted(decision)));
    let last = decided[4].1.since(now).0;
    assert!((60..=140).contains(&last), "{last}");
}

/// Guards against a place that is kept for a caller which has disconnected.
#[test]
fn canceled_request_leaves_the_queue_at_once() {
    let (mut controller, now) = controller(BOTH);
    for n in 0..3 {
        controller.offer(now, request(n, now), 0.5, 0.5);
    }

    controller.cancel(Id(0));
    controller.cancel(Id(1));

    assert_eq!(controller.waiting(), 1);
    let decided = poll(&mut controller, now, 200, 0.5);
    let ids: Vec<Id> = decided.iter().map(|(id, _, _)| *id).collect();
    assert_eq!(ids, [Id(2)]);
    assert!(decided[0].1.since(now) <= Millis(60));
    assert_eq!(controller.waits().canceled, 2);
}

/// Guards against a wait that ends too late for a response.
#[test]
fn request_without_time_for_a_response_does_not_wait() {
    let (mut controller, now) = controller(BOTH);
    let response_deadline = now + Millis(300);
    let request = Request { response_deadline, ..request(1, now) };

    let decision = controller.offer(now, request, 0.5, 0.5);

    assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
}

#[test]
fn nothing_waits_and_nothing_is_reserved_without_shortage() {
    let (mut controller, now) = controller(BOTH);
    for n in 0..5 {
        controller.offer(now, request(n, now), 0.5, 0.5);
    }
    let made = controller.stats().made;

    let decided = controller.poll(now, |_| 1.0, || 0.5);
    let next = controller.offer(now, request(10, now), 1.0, 0.5);

    assert_eq!(decided.len(), 5);
    assert!(decided.iter().all(|(_, decision)| is_admitted(decision)));
    assert!(is_admitted(&next));
    assert_eq!(controller.stats().made, made);
    let unserved = controller.refuse_unserved(
        now,
        &request(11, now),
        &Standing::New,
        0.5,
    );
    assert_eq!(unserved, None);
}

#[test]
fn without_the_wait_requests_are_refused_at_once() {
    let reservations = Options { reservations: true, wait: false };
    let (mut controller, now) = controller(reservations);

    let decision = controller.offer(now, request(1, now), 0.5, 0.5);

    assert!(matches!(decision, Decision::Refuse(Some(_))), "{decision:?}");
}

#[test]
fn without_reservations_nothing_is_told() {
    let (mut controller, now) =
        controller(Options { reservations: false, wait: true });

    let decisions: Vec<Decision> = (0..40)
        .map(|n| controller.offer(now, request(n, now), 0.5, 0.5))
        .collect();

    assert_eq!(decisions.last(), Some(&Decision::Refuse(None)));
    assert_eq!(controller.remembered(), 0);
}

/// Refuses callers 1 to 6 and lets them return when all are due, the last one
/// first. Returns the time.
fn return_in_reverse(controller: &mut Controller, now: Millis) -> Millis {
    for n in 1..=6 {
        let decision = controller.offer(now, request(n, now), 0.5, 0.5);
        assert!(matches!(decision, Decision::Refuse(Some(_))));
    }
    let later = now + Millis(1_900);
    // Their place is taken by others, down to the last overdraft.
    for n in 0..200 {
        let content = 3_000_000 + n;
        let request = request(content, later);
        controller.offer(later, request, 0.05, 0.5);
    }
    for n in [6, 5, 4, 3, 2, 1] {
        let response_deadline = now + Millis(6_000);
        let request = Request { response_deadline, ..request(n, now) };
        controller.offer(later, request, 0.05, 0.5);
    }
    later
}

/// Guards against a late reservation that is refused, or overtaken by a later
/// one.
#[test]
fn late_reservations_keep_their_order_and_are_admitted_late() {
    let reservations = Options { reservations: true, wait: false };
    let (mut controller, now) = controller(reservations);
    let later = return_in_reverse(&mut controller, now);
    let held = controller.waiting();

    let decided = poll(&mut controller, later, 2_000, 0.05);
    let ids: Vec<u64> = decided.iter().map(|(id, _, _)| id.0).collect();

    assert!(decided.iter().all(|(_, _, decision)| is_admitted(decision)));
    assert!(held >= 2, "{held}");
    assert_eq!(held, ids.len());
    assert!(ids.is_sorted(), "{ids:?}");
    assert!(decided[0].1 > later + Millis(50));
    assert_eq!(controller.stats().broken, 0);
}

/// Guards against a promise that is broken because all instances happen to be
/// full when its caller returns.
#[test]
fn due_caller_that_ran_nowhere_waits_again_before_others() {
    let (mut controller, now) = controller(BOTH);
    let due = Standing::Due(Number(1));
    controller.offer(now, request(1, now), 0.5, 0.5);
    controller.offer(now, request(2, now), 0.5, 0.5);

    let decision = controller.offer_again(now, &request(9, now), &due);
    let other = controller.offer_again(now, &request(3, now), &Standing::New);

    assert_eq!(decision, Some(Decision::Wait));
    assert_eq!(other, None);
    let decided = poll(&mut controller, now, 300, 0.5);
    let ids: Vec<u64> = decided.iter().map(|(id, _, _)| id.0).collect();
    assert_eq!(ids, [9, 1, 2]);
}

/// Guards against a broken promise that is not counted.
#[test]
fn due_caller_whose_time_is_up_is_refused_and_counted() {
    let (mut controller, now) = controller(BOTH);
    let due = Standing::Due(Number(1));
    // No time is left for a response.
    let request = Request { response_deadline: now, ..request(9, now) };

    let decision = controller.offer_again(now, &request, &due);
    let told = controller.refuse_unserved(now, &request, &due, 0.5);

    assert_eq!(decision, None);
    assert!(told.is_some_and(|told| !told.is_reserved), "{told:?}");
    assert_eq!(controller.stats().broken, 1);
}
