//! The bulkhead against an oracle that tracks only ids: nothing is lost,
//! nothing runs twice and no more runs than the limit.

use std::collections::BTreeMap;

use proptest::{prelude::*, test_runner::Config as Runner};
use proptest_state_machine::{
    ReferenceStateMachine, StateMachineTest, prop_state_machine,
};
use walnutmoor_core::{
    bulkhead::{Bulkhead, Next, Offer, Work, urgency},
    id::CallId,
    rate_limit::Rate,
    time::Millis,
};

const SLOTS: u32 = 4;
const LIMIT: usize = 3;
const TARGET: Millis = Millis(400);

/// The rate that passes if an instance names less.
const MIN_RATE: f64 = 0.5;

/// The time over which unused requests of a limit accumulate.
const BURST_SECS: f64 = 0.25;

#[derive(Clone, Debug)]
enum Step {
    Offer { priority: u8, left: u64 },
    Finish(usize),
    Cancel(usize),
    Advance(u64),
    Close,
    Open,
    LimitRate(Option<f64>),
}

/// The time and the number of calls made.
#[derive(Clone, Debug, Default)]
struct Model {
    now: u64,
    next: u64,
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (0..4u8, 1..600u64)
                .prop_map(|(priority, left)| Step::Offer { priority, left }),
            4 => (0..4usize).prop_map(Step::Finish),
            1 => (0..8usize).prop_map(Step::Cancel),
            3 => (0..80u64).prop_map(Step::Advance),
            1 => Just(Step::Close),
            1 => Just(Step::Open),
            1 => proptest::option::of(0.0..100.0f64).prop_map(Step::LimitRate),
        ]
        .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        match step {
            Step::Offer { .. } => state.next += 1,
            Step::Advance(span) => state.now += span,
            _ => {}
        }
        state
    }
}

struct Sut {
    bulkhead: Bulkhead,
    running: Vec<CallId>,
    waiting: BTreeMap<CallId, (u8, Millis)>,
    /// The rate limit and when it was set.
    limit: Option<(f64, Millis)>,
    /// The number of starts since the limit was set.
    starts: u32,
}

impl Sut {
    fn run_pending(&mut self, now: Millis) {
        while let Some(next) = self.bulkhead.next(now) {
            let id = match next {
                Next::Run(id) => id,
                Next::Full(id, _) | Next::Closed(id) => {
                    let gone = self.waiting.remove(&id);
                    assert!(gone.is_some(), "{id} was not queued");
                    continue;
                }
            };
            let work = self.waiting.remove(&id);
            assert!(work.is_some(), "{id} was not queued");
            self.running.push(id);
            self.starts += 1;
        }
    }
}

impl StateMachineTest for Sut {
    type SystemUnderTest = Sut;
    type Reference = Model;

    fn init_test(_: &Model) -> Sut {
        let mut bulkhead = Bulkhead::new();
        bulkhead.open(SLOTS);
        Sut {
            bulkhead,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            limit: None,
            starts: 0,
        }
    }

    fn apply(mut this: Sut, model: &Model, step: Step) -> Sut {
        let now = Millis(model.now);
        match step {
            Step::Offer { priority, left } => {
                let id = CallId(model.next);
                let deadline = now + Millis(left);
                let moved = false;
                let work = Work {
                    id,
                    priority,
                    target: TARGET,
                    deadline,
                    moved,
                    has_alternative: false,
                    root: None,
                };
                let open = this.bulkhead.is_open();
                match this.bulkhead.offer(now, work) {
                    Offer::Run => {
                        this.running.push(id);
                        this.starts += 1;
                    }
                    Offer::Wait => {
                        this.waiting.insert(id, (priority, deadline));
                    }
                    Offer::Full { .. } => assert!(open),
                    Offer::Closed => assert!(!open),
                }
            }
            Step::Finish(at) if at < this.running.len() => {
                let id = this.running.remove(at);
                this.bulkhead.finish(now, id, true);
                this.run_pending(now);
            }
            Step::Finish(_) => {}
            Step::Cancel(at) => {
                let id = this.waiting.keys().nth(at).copied();
                if let Some(id) = id {
                    this.waiting.remove(&id);
                    assert!(this.bulkhead.cancel(id));
                    assert!(!this.bulkhead.cancel(id));
                }
            }
            Step::Advance(_) => this.run_pending(now),
            Step::Close => {
                this.bulkhead.close();
                this.run_pending(now);
                assert!(
                    this.waiting.is_empty(),
                    "work is still queued after close"
                );
            }
            Step::Open => this.bulkhead.open(SLOTS),
            Step::LimitRate(per_second) => {
                let rate = per_second.and_then(Rate::new);
                this.bulkhead.limit_rate(now, rate);
                this.limit = per_second.map(|per_second| (per_second, now));
                this.starts = 0;
            }
        }
        this
    }

    fn check_invariants(this: &Sut, model: &Model) {
        assert_eq!(this.bulkhead.running(), this.running.len());
        assert_eq!(this.bulkhead.waiting(), this.waiting.len());
        assert!(this.running.len() <= LIMIT);
        let now = Millis(model.now);
        if this.bulkhead.is_open() {
            let load = this.bulkhead.load(now);
            let limit = usize::from(load.limit);
            match this.limit {
                None => assert_eq!(limit, LIMIT),
                Some(_) => assert!((1..=LIMIT).contains(&limit)),
            }
        }
        if let Some((per_second, since)) = this.limit {
            let per_second = per_second.max(MIN_RATE);
            let elapsed = now.since(since).secs();
            let allowed = per_second * (elapsed + BURST_SECS) + 1.0;
            assert!(f64::from(this.starts) <= allowed);
        }
    }
}

prop_state_machine! {
    #![proptest_config(Runner {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..Runner::default()
    })]

    #[test]
    fn bulkhead_loses_nothing(sequential 1..120 => Sut);
}

#[test]
fn work_beyond_a_rate_limit_is_diverted_if_a_sibling_may_take_it() {
    let mut bulkhead = Bulkhead::new();
    bulkhead.open(4);
    bulkhead.limit_rate(Millis(0), Rate::new(2.0));
    let first = work(1, 0, 5_000);
    let second = Work { has_alternative: true, ..work(2, 0, 5_000) };
    let third = work(3, 0, 5_000);

    assert_eq!(bulkhead.divert(Millis(0), &first), None);
    assert_eq!(bulkhead.offer(Millis(0), first), Offer::Run);
    assert_eq!(bulkhead.divert(Millis(0), &second), Some(Millis(500)));
    assert_eq!(bulkhead.divert(Millis(0), &third), None);
    let retry_after = Millis(500);
    let rejected = Offer::Full { retry_after };
    assert_eq!(bulkhead.offer(Millis(0), third), rejected);
}

#[test]
fn a_limited_instance_without_known_run_times_reports_all_its_slots() {
    let mut bulkhead = Bulkhead::new();
    bulkhead.open(SLOTS);
    bulkhead.limit_rate(Millis(0), Rate::new(10.0));
    bulkhead.offer(Millis(0), work(1, 0, 5_000));

    let load = bulkhead.load(Millis(1));

    assert_eq!(usize::from(load.limit), LIMIT);
}

#[test]
fn queued_work_runs_at_the_rate_of_the_limit() {
    let mut bulkhead = Bulkhead::new();
    bulkhead.open(4);
    bulkhead.limit_rate(Millis(0), Rate::new(10.0));
    bulkhead.offer(Millis(0), work(1, 0, 5_000));
    assert_eq!(bulkhead.offer(Millis(0), work(2, 0, 5_000)), Offer::Wait);

    assert_eq!(bulkhead.next(Millis(99)), None);
    assert_eq!(bulkhead.next(Millis(100)), Some(Next::Run(CallId(2))));
}

fn work(id: u64, priority: u8, left: u64) -> Work {
    let deadline = Millis(left);
    let id = CallId(id);
    Work {
        id,
        priority,
        target: TARGET,
        deadline,
        moved: false,
        has_alternative: false,
        root: None,
    }
}

/// A bulkhead with one slot, which call 0 occupies, and run times of 10 ms.
fn busy() -> Bulkhead {
    let mut bulkhead = Bulkhead::new();
    bulkhead.open(1);
    for priority in 0..4 {
        let id = CallId(100 + u64::from(priority));
        bulkhead.offer(Millis(0), Work { id, ..work(0, priority, 900) });
        bulkhead.finish(Millis(10), id, true);
    }
    assert_eq!(bulkhead.offer(Millis(10), work(0, 0, 900)), Offer::Run);
    bulkhead
}

#[test]
fn work_is_served_by_rank_and_then_by_deadline() {
    let mut bulkhead = busy();

    for (id, priority, left) in [(1, 3, 500), (2, 0, 800), (3, 0, 700)] {
        let offer = bulkhead.offer(Millis(10), work(id, priority, left));
        assert_eq!(offer, Offer::Wait, "{id}");
    }

    let mut order = Vec::new();
    let mut last = CallId(0);
    for at in 2..5 {
        bulkhead.finish(Millis(at * 10), last, true);
        if let Some(Next::Run(id)) = bulkhead.next(Millis(at * 10)) {
            order.push(id.0);
            last = id;
        }
    }
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn work_that_would_wait_long_is_rejected_on_arrival() {
    let mut bulkhead = busy();

    let mut full = 0;
    for id in 1..40 {
        let offer = bulkhead.offer(Millis(10), work(id, 3, 900));
        full += usize::from(matches!(offer, Offer::Full { .. }));
    }

    // An eighth of 400 ms allows five runs of 10 ms.
    assert_eq!(bulkhead.waiting(), 5);
    assert_eq!(full, 34);
}

#[test]
fn work_with_an_early_deadline_displaces_work_with_a_late_one() {
    let mut bulkhead = busy();
    // Work that waits longer than 0.15 of its target of 300 ms is rejected.
    let late = Work { target: Millis(300), ..work(50, 2, 700) };
    let mut waiting = Vec::new();
    for id in 20..40 {
        let id = CallId(id);
        if bulkhead.offer(Millis(100), Work { id, ..late }) == Offer::Wait {
            waiting.push(id);
        }
    }
    assert!(waiting.len() < 20, "all wait");

    let urgent = Work { target: Millis(300), ..work(99, 2, 200) };
    let offer = bulkhead.offer(Millis(100), urgent);

    assert_eq!(offer, Offer::Wait);
    let next = bulkhead.next(Millis(100));
    let last = *waiting.last().unwrap();
    assert!(matches!(next, Some(Next::Full(id, _)) if id == last));
    assert_eq!(bulkhead.next(Millis(100)), None);
}

#[test]
fn a_starved_rank_keeps_its_reserve() {
    let mut bulkhead = Bulkhead::new();
    bulkhead.open(20);
    for id in 0..19 {
        assert_eq!(bulkhead.offer(Millis(0), work(id, 1, 900)), Offer::Run);
    }
    bulkhead.offer(Millis(0), work(50, 2, 900));
    bulkhead.offer(Millis(0), work(51, 1, 900));

    bulkhead.finish(Millis(5), CallId(0), true);

    // Rank 2 uses none of its reserved slots, so it is served before rank 1.
    let next = bulkhead.next(Millis(5));
    assert_eq!(next, Some(Next::Run(CallId(50))));
}

#[test]
fn a_call_is_as_urgent_as_the_request_that_it_serves() {
    let claims_call = urgency(0, true);
    let lookups_call = urgency(2, true);
    let search = urgency(2, false);

    assert!(claims_call < lookups_call);
    assert!(lookups_call < search);
}

#[test]
fn rejections_of_urgent_work_are_reported_as_shedding_for_a_while() {
    let mut bulkhead = busy();

    for id in 1..60 {
        bulkhead.offer(Millis(10), work(id, 1, 900));
    }

    assert!(bulkhead.load(Millis(20)).shedding);
    assert!(!bulkhead.load(Millis(1_500)).shedding);
}

#[test]
fn queued_work_that_would_miss_its_deadline_is_rejected() {
    let mut bulkhead = Bulkhead::new();
    bulkhead.open(1);
    let work = |id, deadline| Work {
        id: CallId(id),
        priority: 0,
        target: Millis(2_000),
        deadline: Millis(deadline),
        moved: false,
        has_alternative: false,
        root: None,
    };
    // Sets the run time to 400 ms.
    assert_eq!(bulkhead.offer(Millis(0), work(1, 9_000)), Offer::Run);
    bulkhead.finish(Millis(400), CallId(1), true);
    assert_eq!(bulkhead.offer(Millis(500), work(2, 9_000)), Offer::Run);
    assert_eq!(bulkhead.offer(Millis(510), work(3, 1_400)), Offer::Wait);

    assert_eq!(bulkhead.next(Millis(900)), None);
    let next = bulkhead.next(Millis(1_001));

    assert!(matches!(next, Some(Next::Full(CallId(3), _))), "{next:?}");
}
