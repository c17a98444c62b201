//! Compares the queue with a sorted list as reference model.

use proptest::{prelude::*, test_runner::Config as Runner};
use proptest_state_machine::{
    ReferenceStateMachine, StateMachineTest, prop_state_machine,
};
use walnutmoor_core::{
    class::Key,
    id::CallId,
    queue::{Entry, Queue},
    time::Millis,
};

const CAPACITY: usize = 6;
const MAX_WAIT: Millis = Millis(100);
const MIN_RESPONSE_TIME: Millis = Millis(10);

#[derive(Clone, Debug)]
enum Step {
    Push(u16, u64),
    Pop,
    Remove(usize),
    Expire(u64),
}

/// The reference model: entries in the order of service.
#[derive(Clone, Debug, Default)]
struct Model {
    now: u64,
    next: u64,
    entries: Vec<Entry>,
    // The calls that the last step removes.
    removed: Vec<CallId>,
}

fn order(entry: &Entry) -> (Key, Millis, CallId) {
    (entry.key, entry.deadline, entry.call)
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (0..8u16, 0..300u64).prop_map(|(k, d)| Step::Push(k, d)),
            2 => Just(Step::Pop),
            1 => (0..8usize).prop_map(Step::Remove),
            2 => (0..60u64).prop_map(Step::Expire),
        ]
        .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        state.removed.clear();
        match step {
            Step::Push(key, left) => {
                state.next += 1;
                let entry = Entry {
                    call: CallId(state.next),
                    key: Key(*key),
                    deadline: Millis(state.now + left),
                    queued_at: Millis(state.now),
                };
                state.entries.push(entry);
                state.entries.sort_by_key(order);
                if state.entries.len() > CAPACITY {
                    let lowest = state.entries.pop().unwrap();
                    state.removed.push(lowest.call);
                }
            }
            Step::Pop if state.entries.is_empty() => {}
            Step::Pop => state.removed.push(state.entries.remove(0).call),
            Step::Remove(at) if *at < state.entries.len() => {
                state.removed.push(state.entries.remove(*at).call);
            }
            Step::Remove(_) => {}
            Step::Expire(span) => {
                state.now += span;
                let now = Millis(state.now);
                let is_expired = |e: &Entry| {
                    e.queued_at + MAX_WAIT <= now
                        || e.deadline <= now + MIN_RESPONSE_TIME
                };
                let expired = state.entries.iter().filter(|e| is_expired(e));
                state.removed = expired.map(|e| e.call).collect();
                state.entries.retain(|e| !is_expired(e));
            }
        }
        state
    }
}

struct Harness {
    queue: Queue,
    before: Vec<Entry>,
}

impl StateMachineTest for Harness {
    type SystemUnderTest = Harness;
    type Reference = Model;

    fn init_test(_: &Model) -> Harness {
        Harness { queue: Queue::new(CAPACITY), before: Vec::new() }
    }

    fn apply(mut this: Harness, model: &Model, step: Step) -> Harness {
        let queue = &mut this.queue;
        let mut removed: Vec<CallId> = Vec::new();
        match step {
            Step::Push(key, left) => {
                let entry = Entry {
                    call: CallId(model.next),
                    key: Key(key),
                    deadline: Millis(model.now + left),
                    queued_at: Millis(model.now),
                };
                match queue.push(entry) {
                    Ok(evicted) => removed.extend(evicted.map(|e| e.call)),
                    Err(newcomer) => removed.push(newcomer.call),
                }
            }
            Step::Pop => removed.extend(queue.pop().map(|e| e.call)),
            Step::Remove(at) => {
                if let Some(entry) = this.before.get(at) {
                    removed.extend(queue.remove(entry.call).map(|e| e.call));
                }
            }
            Step::Expire(_) => {
                let now = Millis(model.now);
                while let Some(e) =
                    queue.expire(now, MAX_WAIT, MIN_RESPONSE_TIME)
                {
                    removed.push(e.call);
                }
            }
        }
        let mut expected = model.removed.clone();
        expected.sort();
        removed.sort();
        assert_eq!(removed, expected);
        this.before = model.entries.clone();
        this
    }

    fn check_invariants(this: &Harness, model: &Model) {
        assert_eq!(this.queue.len(), model.entries.len());
    }
}

prop_state_machine! {
    #![proptest_config(Runner {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..Runner::default()
    })]

    #[test]
    fn queue_matches_the_reference_model(sequential 1..80 => Harness);
}
