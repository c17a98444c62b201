//! The retry budget against an oracle that records every event: no admitted
//! retry takes its window over the limit set by ratio and slack.

use proptest::{prelude::*, test_runner::Config as Runner};
use proptest_state_machine::{
    ReferenceStateMachine, StateMachineTest, prop_state_machine,
};
use walnutmoor_core::{
    retry_budget::{Config, Priority, RetryBudget, SampleKey},
    time::Millis,
};

const WINDOW: u64 = 1_000;
const RATIO: f64 = 0.25;
const SLACK: f64 = 2.0;

#[derive(Clone, Debug)]
enum Step {
    Request,
    Retry,
    Advance(u64),
}

#[derive(Clone, Debug, Default)]
struct Model {
    now: u64,
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => Just(Step::Request),
            6 => Just(Step::Retry),
            3 => (1..200u64).prop_map(Step::Advance),
            1 => (900..1_300u64).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        if let Step::Advance(span) = step {
            state.now += span;
        }
        state
    }
}

struct Sut {
    budget: RetryBudget,
    requests: Vec<u64>,
    granted: Vec<u64>,
}

impl StateMachineTest for Sut {
    type SystemUnderTest = Sut;
    type Reference = Model;

    fn init_test(_: &Model) -> Sut {
        let config =
            Config::new().ratio(RATIO).slack(SLACK).window(Millis(WINDOW));
        Sut {
            budget: RetryBudget::new(config),
            requests: Vec::new(),
            granted: Vec::new(),
        }
    }

    fn apply(mut this: Sut, model: &Model, step: Step) -> Sut {
        let now = Millis(model.now);
        match step {
            Step::Request => {
                this.budget.record_request(now);
                this.requests.push(model.now);
            }
            Step::Retry if this.budget.try_retry(now) => {
                this.granted.push(model.now);
                this.check(model.now);
            }
            Step::Retry | Step::Advance(_) => {}
        }
        this
    }
}

impl Sut {
    /// Checks the window that ends now. The limit holds only at the moment of
    /// a grant: requests may leave the window before the retries that they
    /// allowed.
    fn check(&self, now: u64) {
        let within = |times: &[u64]| {
            let from = now.saturating_sub(WINDOW);
            times.iter().filter(|at| **at >= from).count() as f64
        };
        let granted = within(&self.granted);
        let requests = within(&self.requests);
        assert!(granted <= requests * RATIO + SLACK);
    }
}

prop_state_machine! {
    #![proptest_config(Runner {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        failure_persistence: None,
        ..Runner::default()
    })]

    #[test]
    fn retries_stay_within_ratio_and_slack(sequential 1..150 => Sut);
}

#[test]
fn a_new_budget_has_only_its_slack() {
    let config = Config::new().ratio(0.2).total(0.2).slack(3.0);
    let mut budget = RetryBudget::new(config);

    let granted = (0..10).filter(|_| budget.try_retry(Millis(5))).count();

    assert_eq!(granted, 3);
    assert_eq!(budget.remaining(Millis(5)), 0);
}

#[test]
fn calls_of_retried_runs_count_against_the_budget() {
    let config = Config::new().ratio(0.0).total(0.0).slack(3.0);
    let mut budget = RetryBudget::new(config);

    budget.record_nested(Millis(1));
    budget.record_nested(Millis(2));

    assert!(budget.try_retry(Millis(3)));
    assert!(!budget.try_retry(Millis(4)));
}

/// Calls of retried runs that are spread unevenly over instances must not take
/// the whole service over the ratio that the platform allows.
#[test]
fn uneven_calls_of_retried_runs_keep_the_ratio_of_the_service() {
    const ALLOWED: f64 = 0.2;
    let mut requests = 0;
    let mut retries = 0;

    for instance in 0..10 {
        let mut budget = RetryBudget::new(Config::new().slack(0.0));
        // Every other instance gets a quarter of its requests from retried
        // runs; the rest get none.
        for at in 0..1_000 {
            let now = Millis(at);
            budget.record_request(now);
            requests += 1;
            if instance % 2 == 0 && at % 4 == 0 {
                budget.record_nested(now);
                retries += 1;
            }
            retries += u32::from(budget.try_retry(now));
        }
    }

    let share = f64::from(retries) / f64::from(requests);
    assert!(share < ALLOWED * 0.8, "{share}");
}

/// A budget after 1,000 initial requests, which allow 140 retries.
fn warm_budget() -> RetryBudget {
    let config = Config::new().leaf(0.14, 0.17).slack(0.0);
    let mut budget = RetryBudget::new(config);
    for at in 0..1_000 {
        budget.record_request(Millis(at));
    }
    budget
}

/// How many of `count` different requests of a rank get a retry.
fn grants(budget: &mut RetryBudget, rank: u8, count: u32) -> usize {
    let asks = (0..count).filter(|n| {
        let sample_key = SampleKey::of(&format!("request-{n}"));
        budget.try_retry_for(Millis(1_000), Priority { rank, sample_key })
    });
    asks.count()
}

#[test]
fn the_least_urgent_rank_leaves_half_of_the_burst() {
    let mut budget = warm_budget();

    let searches = grants(&mut budget, 3, 1_000);
    let claims = grants(&mut budget, 0, 1_000);

    assert!(searches <= 18, "{searches}");
    assert!(claims >= 10, "{claims}");
}

#[test]
fn a_request_that_got_a_retry_is_preferred_for_the_next() {
    let mut budget = warm_budget();
    grants(&mut budget, 0, 200);
    let mut keys: Vec<SampleKey> =
        (0..100).map(|n| SampleKey::of(&format!("r-{n}"))).collect();
    keys.sort();
    let now = Millis(1_600);
    let mut grant = |sample_key| {
        budget.try_retry_for(now, Priority { rank: 0, sample_key })
    };

    let low: Vec<bool> = (0..5).map(|_| grant(keys[0])).collect();
    let high = grant(keys[99]);

    assert_eq!(low, [true; 5]);
    assert!(!high);
}

#[test]
fn an_instance_whose_runs_make_calls_admits_fewer_retries() {
    let mut budget = warm_budget();
    let before = budget.remaining(Millis(1_000));

    for _ in 0..100 {
        budget.record_call(Millis(1_000));
    }

    assert_eq!(before, 140);
    assert_eq!(budget.remaining(Millis(1_000)), 50);
}

#[test]
fn carry_over_counts_the_previous_window() {
    let config = Config::new().leaf(0.1, 0.1).slack(0.0).carry_over(0.8);
    let mut budget = RetryBudget::new(config);
    for at in 0..1_000 {
        budget.record_request(Millis(at));
    }

    assert_eq!(budget.remaining(Millis(9_000)), 100);
    assert_eq!(budget.remaining(Millis(12_000)), 80);
    assert_eq!(budget.remaining(Millis(25_000)), 0);
}
