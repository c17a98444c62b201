//! State machine test of a cluster under crashes, pauses, partitions, platform
//! outages and concurrent changes. Guards against calls that run twice,
//! refusals that deny a run, configuration that reverts or is lost, and
//! clusters that do not converge.

mod net;

use proptest::{prelude::*, test_runner::Config as Runner};
use proptest_state_machine::{
    ReferenceStateMachine, StateMachineTest, prop_state_machine,
};
use walnutmoor_core::{
    id::Revision, node::QueryId, ticket::Ticket, time::Millis,
};

use self::net::{Fault, Net, set};

const NODES: usize = 4;

/// A transition of the state machine.
#[derive(Clone, Debug)]
enum Step {
    Issue(usize),
    /// Calls a node with one of the tickets issued so far.
    Call(usize, usize),
    Browse(usize),
    Propose(usize, u64),
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Block(usize, usize),
    DegradeNetwork,
    Platform(Fault),
    Heal,
    Advance(u64),
}

/// The reference state: only a seed and a count of proposals. The invariants
/// are checked by [`Net`].
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
        8 => (node.clone(), any::<usize>())
            .prop_map(|(n, t)| Step::Call(n, t)),
        1 => node.clone().prop_map(Step::Browse),
        2 => (node.clone(), 1..9_999u64)
            .prop_map(|(n, w)| Step::Propose(n, w)),
        1 => node.clone().prop_map(Step::Kill),
        2 => node.clone().prop_map(Step::Start),
        2 => node.clone().prop_map(Step::Pause),
        3 => node.clone().prop_map(Step::Resume),
        1 => (node.clone(), node).prop_map(|(a, b)| Step::Block(a, b)),
        1 => Just(Step::DegradeNetwork),
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
        state.changes += u64::from(matches!(step, Step::Propose(..)));
        state
    }
}

struct Cluster {
    net: Net,
    issued: Vec<(usize, QueryId)>,
    proposed: Vec<(usize, QueryId, String)>,
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Cluster;
    type Reference = Model;

    fn init_test(model: &Model) -> Cluster {
        let mut net = Net::new(NODES, model.seed);
        net.advance(Millis(8_000));
        Cluster { net, issued: Vec::new(), proposed: Vec::new() }
    }

    fn apply(mut cluster: Cluster, model: &Model, step: Step) -> Cluster {
        let net = &mut cluster.net;
        match step {
            Step::Issue(node) => {
                let query = net.issue(node);
                cluster.issued.push((node, query));
            }
            Step::Call(node, which) => {
                let results = cluster.issued.iter().filter_map(|query| {
                    net.issued.get(query)?.as_ref().ok().copied()
                });
                let tickets: Vec<Ticket> = results.collect();
                if !tickets.is_empty() {
                    let ticket = tickets[which % tickets.len()];
                    net.call(node, Some(ticket));
                }
            }
            Step::Browse(node) => drop(net.call(node, None)),
            Step::Propose(node, within) => {
                let change = format!("c{}", model.changes);
                let query = net.propose(node, &change, set("raced", within));
                cluster.proposed.push((node, query, change));
            }
            Step::Kill(node) => net.kill(node),
            Step::Start(node) => net.start(node),
            Step::Pause(node) => net.pause(node),
            Step::Resume(node) => net.resume(node),
            Step::Block(a, b) => net.block(a, b),
            Step::DegradeNetwork => (net.loss, net.duplication) = (0.2, 0.2),
            Step::Platform(fault) => net.fault = fault,
            Step::Heal => net.heal(),
            Step::Advance(span) => net.advance(Millis(span)),
        }
        cluster
    }

    fn check_invariants(cluster: &Cluster, _: &Model) {
        cluster.net.assert_no_violations();
    }

    /// After all faults end, the nodes converge: each has the stored
    /// configuration and the whole directory, and no accepted change is lost.
    fn teardown(mut cluster: Cluster, _: Model) {
        let net = &mut cluster.net;
        net.heal();
        (0..NODES).for_each(|node| net.start(node));
        net.advance(Millis(90_000));
        net.assert_no_violations();
        let stored = net.stored();
        for node in 0..NODES {
            assert_eq!(net.revision(node), Some(stored.revision));
            assert_eq!(net.live_nodes(node), NODES);
        }
        for (node, query, change) in &cluster.proposed {
            let Some(Ok(revision)) = net.decided.get(&(*node, *query)) else {
                continue;
            };
            let found = stored.find(&change.parse().unwrap());
            let found = found.map(|entry| entry.revision);
            let compacted = *revision < first_revision(&stored);
            assert!(compacted || found == Some(*revision), "{change} is lost");
        }
    }
}

fn first_revision(config: &walnutmoor_core::config::Config) -> Revision {
    config.journal.first().map_or(Revision(0), |e| e.revision)
}

/// The test configuration. `WALNUTMOOR_FUZZ=N` multiplies the cases by N.
fn runner() -> Runner {
    let factor = std::env::var("WALNUTMOOR_FUZZ").ok();
    let factor: u32 = factor.and_then(|t| t.parse().ok()).unwrap_or(1);
    Runner {
        cases: 24 * factor,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Runner::default()
    }
}

prop_state_machine! {
    #![proptest_config(runner())]

    #[test]
    fn invariants_hold_under_faults(sequential 1..160 => Cluster);
}
