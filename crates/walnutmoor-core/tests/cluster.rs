//! Several nodes under kills, pauses, cuts, outages and races, driven by
//! `proptest-state-machine` against an oracle that counts what really ran.

mod net;

use proptest::{prelude::*, test_runner::Config as Runner};
use proptest_state_machine::{
    ReferenceStateMachine, StateMachineTest, prop_state_machine,
};
use walnutmoor_core::{
    id::Revision, node::AskId, ticket::Ticket, time::Millis,
};

use self::net::{Fault, Net, set};

const NODES: usize = 4;

/// What may happen.
#[derive(Clone, Debug)]
enum Step {
    Issue(usize),
    /// A caller calls at a node with one of the tickets issued so far.
    Use(usize, usize),
    Browse(usize),
    Change(usize, u64),
    Kill(usize),
    Start(usize),
    Pause(usize),
    Wake(usize),
    Cut(usize, usize),
    Lossy,
    Platform(Fault),
    Heal,
    Advance(u64),
}

/// The reference knows only how much was done; the oracle inside the net
/// knows what ran and who was told what.
#[derive(Clone, Debug)]
struct Model {
    seed: u64,
    changes: u64,
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let fault = prop_oneof![
        Just(Fault::None),
        Just(Fault::Down),
        Just(Fault::LoseAnswers),
    ];
    prop_oneof![
        4 => node.clone().prop_map(Step::Issue),
        8 => (node.clone(), any::<usize>()).prop_map(|(n, t)| Step::Use(n, t)),
        1 => node.clone().prop_map(Step::Browse),
        2 => (node.clone(), 1..9_999u64).prop_map(|(n, w)| Step::Change(n, w)),
        1 => node.clone().prop_map(Step::Kill),
        2 => node.clone().prop_map(Step::Start),
        2 => node.clone().prop_map(Step::Pause),
        3 => node.clone().prop_map(Step::Wake),
        1 => (node.clone(), node).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => Just(Step::Lossy),
        1 => fault.prop_map(Step::Platform),
        1 => Just(Step::Heal),
        6 => prop_oneof![1..50u64, 50..1_000u64, 1_000..9_000u64]
            .prop_map(Step::Advance),
    ]
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        any::<u64>().prop_map(|seed| Model { seed, changes: 0 }).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        state.changes += u64::from(matches!(step, Step::Change(..)));
        state
    }
}

struct Cluster {
    net: Net,
    asked: Vec<(usize, AskId)>,
    proposed: Vec<(usize, AskId, String)>,
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Cluster;
    type Reference = Model;

    fn init_test(model: &Model) -> Cluster {
        let mut net = Net::new(NODES, model.seed);
        net.advance(Millis(8_000));
        Cluster { net, asked: Vec::new(), proposed: Vec::new() }
    }

    fn apply(mut this: Cluster, model: &Model, step: Step) -> Cluster {
        let net = &mut this.net;
        match step {
            Step::Issue(node) => {
                let ask = net.issue(node);
                this.asked.push((node, ask));
            }
            Step::Use(node, which) => {
                let issued = this.asked.iter().filter_map(|ask| {
                    net.issued.get(ask)?.as_ref().ok().copied()
                });
                let tickets: Vec<Ticket> = issued.collect();
                if !tickets.is_empty() {
                    let ticket = tickets[which % tickets.len()];
                    net.call(node, Some(ticket));
                }
            }
            Step::Browse(node) => drop(net.call(node, None)),
            Step::Change(node, within) => {
                let change = format!("c{}", model.changes);
                let ask = net.propose(node, &change, set("raced", within));
                this.proposed.push((node, ask, change));
            }
            Step::Kill(node) => net.kill(node),
            Step::Start(node) => net.start(node),
            Step::Pause(node) => net.pause(node),
            Step::Wake(node) => net.wake(node),
            Step::Cut(a, b) => net.cut(a, b),
            Step::Lossy => (net.loss, net.double) = (0.2, 0.2),
            Step::Platform(fault) => net.fault = fault,
            Step::Heal => net.heal(),
            Step::Advance(span) => net.advance(Millis(span)),
        }
        this
    }

    fn check_invariants(this: &Cluster, _: &Model) {
        this.net.assert_sound();
    }

    /// After all faults end, everything settles: every caller has its
    /// answer, every node the newest configuration and the whole directory.
    fn teardown(mut this: Cluster, _: Model) {
        let net = &mut this.net;
        net.heal();
        (0..NODES).for_each(|node| net.start(node));
        net.advance(Millis(90_000));
        net.assert_sound();
        let stored = net.stored();
        for node in 0..NODES {
            assert_eq!(net.revision(node), Some(stored.revision));
            assert_eq!(net.gossip_len(node), NODES);
        }
        for (node, ask, change) in &this.proposed {
            let Some(Ok(revision)) = net.decided.get(&(*node, *ask)) else {
                continue;
            };
            let found = stored.find(&change.parse().unwrap());
            let found = found.map(|entry| entry.revision);
            let old = *revision < first(&stored);
            assert!(old || found == Some(*revision), "{change} is lost");
        }
    }
}

fn first(config: &walnutmoor_core::config::Config) -> Revision {
    config.journal.first().map_or(Revision(0), |e| e.revision)
}

/// Cases and steps; a longer run is asked for with `WALNUTMOOR_FUZZ=N`,
/// which multiplies the cases.
fn runner() -> Runner {
    let times = std::env::var("WALNUTMOOR_FUZZ").ok();
    let times: u32 = times.and_then(|t| t.parse().ok()).unwrap_or(1);
    Runner {
        cases: 24 * times,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Runner::default()
    }
}

prop_state_machine! {
    #![proptest_config(runner())]

    #[test]
    fn nothing_promised_is_broken(sequential 1..160 => Cluster);
}
