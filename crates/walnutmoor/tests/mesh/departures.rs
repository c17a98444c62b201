//! Departures of instances that no running node remembers, because all nodes
//! were killed after the acknowledgement.
//!
//! The departed instance serves on, and its health check succeeds.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use walnutmoor_core::lifetime::{Lifetime, Report, StartTime};
use walnutmoor_standin::{
    mesh::{instance::Instance, store::PendingWatches},
    soak::proxy::Mode,
};

use crate::fixture::{World, run, until};

/// The pair whose instance departs. Another pair has the same service.
const LEAVING: usize = 1;

/// How long requests are sent after a restart. It exceeds the time in which
/// the nodes link to each other and check the health of their instances.
const OBSERVED: Duration = Duration::from_millis(3_000);

/// The pause between two requests to a node.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);

async fn start() -> World {
    World::start(&["front", "desk", "desk"]).await
}

/// Kills all nodes at once and starts them in this order.
fn restart_all(world: &mut World, order: [usize; 3]) {
    world.pairs.iter_mut().for_each(|pair| pair.node.kill());
    order.into_iter().for_each(|at| world.pairs[at].node.restart());
}

/// Sends requests to all nodes for a while.
async fn send_for(world: &World, span: Duration, name: &str) {
    let end = Instant::now() + span;
    let mut sent = 0;
    while Instant::now() < end {
        for index in 0..world.pairs.len() {
            let id = format!("{name}-{sent}-{index}");
            world.send(index, "order", &id).await;
        }
        sent += 1;
        sleep(REQUEST_PAUSE).await;
    }
}

/// The lines of the last start of a node that tell how its instance was found.
fn instance_lines(world: &World, index: usize) -> String {
    let log = world.pairs[index].node.log();
    let start = log.rfind("\"event\":\"start\"").unwrap_or(0);
    let lines = log[start..].lines();
    let lines = lines
        .filter(|l| l.contains("\"source\"") || l.contains("\"departures\""));
    lines.collect::<Vec<_>>().join("\n")
}

/// Asserts that the departed instance gets nothing from now on, while the
/// other instance is used.
async fn assert_not_used(world: &World, name: &str) {
    let before = world.pairs[LEAVING].instance.total_runs();
    send_for(world, OBSERVED, name).await;

    let after = world.pairs[LEAVING].instance.total_runs();
    let lines = instance_lines(world, LEAVING);
    assert_eq!(after, before, "found as follows:\n{lines}");
    world.send_until_ok(0, "order", &format!("{name}-served")).await;
}

// Guards against a health check that is taken for a sign of readiness although
// nobody remembers the departure.
#[test]
fn a_departed_instance_is_not_used_after_all_nodes_were_killed_at_once() {
    run(async {
        let mut world = start().await;
        assert_eq!(world.pairs[LEAVING].instance.send_goodbye().await, 200);

        restart_all(&mut world, [0, 1, 2]);

        assert_not_used(&world, "once").await;
    });
}

// Guards against a record that a restarted node writes without the departures
// that it contained.
#[test]
fn a_departed_instance_is_not_used_after_all_nodes_were_killed_twice() {
    run(async {
        let mut world = start().await;
        assert_eq!(world.pairs[LEAVING].instance.send_goodbye().await, 200);

        restart_all(&mut world, [1, 2, 0]);
        send_for(&world, Duration::from_millis(400), "between").await;
        restart_all(&mut world, [2, 0, 1]);

        assert_not_used(&world, "twice").await;
    });
}

// Guards against peers that were started after the departure and are taken for
// witnesses.
#[test]
fn a_departed_instance_is_not_used_after_the_nodes_were_killed_in_turn() {
    run(async {
        for order in [[0, 1, 2], [1, 0, 2], [2, 1, 0]] {
            let mut world = start().await;
            let status = world.pairs[LEAVING].instance.send_goodbye().await;
            assert_eq!(status, 200);

            for index in order {
                world.pairs[index].node.restart();
                sleep(Duration::from_millis(60)).await;
            }
            world.pairs[LEAVING].node.restart();

            assert_not_used(&world, &format!("turn-{order:?}")).await;
        }
    });
}

// Guards against a store that is expected to remember what it never received.
#[test]
fn a_departure_during_an_outage_of_the_store_is_not_forgotten() {
    run(async {
        for up_before_start in [true, false] {
            let mut world = start().await;
            world.store.set_down(true);
            let status = world.pairs[LEAVING].instance.send_goodbye().await;
            assert_eq!(status, 200);

            world.pairs.iter_mut().for_each(|pair| pair.node.kill());
            world.store.set_down(!up_before_start);
            restart_all(&mut world, [0, 1, 2]);
            sleep(Duration::from_millis(700)).await;
            world.store.set_down(false);

            assert_not_used(&world, &format!("down-{up_before_start}")).await;
        }
    });
}

// Guards against a copy of the store, made before the departure, that is
// trusted to list all departures.
#[test]
fn a_departure_that_a_restored_store_has_lost_is_not_forgotten() {
    run(async {
        let mut world = start().await;
        let copy = world.store.snapshot();
        assert_eq!(world.pairs[LEAVING].instance.send_goodbye().await, 200);

        world.pairs.iter_mut().for_each(|pair| pair.node.kill());
        world.store.restore(&copy, PendingWatches::Disconnect);
        restart_all(&mut world, [0, 1, 2]);

        assert_not_used(&world, "restored").await;
    });
}

// Guards against a node that was cut off from the store at the departure and
// reaches it again after its restart.
#[test]
fn a_departure_of_a_node_without_the_store_is_not_forgotten() {
    run(async {
        for mode in [Mode::StallBoth, Mode::Refuse] {
            let mut world = start().await;
            world.pairs[LEAVING].store.set_mode(mode);
            world.pairs[LEAVING].store.reset();
            let status = world.pairs[LEAVING].instance.send_goodbye().await;
            assert_eq!(status, 200);

            world.pairs.iter_mut().for_each(|pair| pair.node.kill());
            world.pairs[LEAVING].store.set_mode(Mode::Forward);
            world.pairs[LEAVING].store.reset();
            restart_all(&mut world, [0, 1, 2]);

            assert_not_used(&world, &format!("cut-{mode:?}")).await;
        }
    });
}

// Guards against a health check that contradicts an instance's own report.
#[test]
fn a_draining_instance_whose_health_check_lies_is_not_used() {
    run(async {
        let mut world = start().await;
        let leaving = &world.pairs[LEAVING].instance;
        leaving.fake_health(Some(true));
        assert_eq!(leaving.drain().await, 200);
        leaving.stop_heartbeats();

        restart_all(&mut world, [0, 1, 2]);

        assert_not_used(&world, "draining").await;
    });
}

// Guards against an instance whose heartbeats go on although it has said in a
// response that it leaves.
#[test]
fn an_instance_that_said_it_leaves_is_not_used_after_all_nodes_were_killed() {
    run(async {
        let mut world = start().await;
        let leaving = world.pairs[LEAVING].instance.clone();
        leaving.say_leaving();
        until("the node heeds a response", || async {
            send_for(&world, Duration::from_millis(50), "told").await;
            let log = world.pairs[LEAVING].node.log();
            log.contains("\"source\":\"response\"")
        })
        .await;
        until("the store has recorded the departure", || async {
            let log = world.pairs[LEAVING].node.log();
            log.contains("\"departures\":\"recorded\"")
        })
        .await;

        restart_all(&mut world, [0, 1, 2]);

        assert_not_used(&world, "said").await;
    });
}

// Guards against a heartbeat from before the departure that arrives after it.
#[test]
fn a_late_heartbeat_does_not_open_a_departed_instance() {
    run(async {
        let mut world = start().await;
        let leaving = world.pairs[LEAVING].instance.clone();
        assert_eq!(leaving.send_goodbye().await, 200);

        restart_all(&mut world, [1, 0, 2]);
        let late = Report {
            lifetime: leaving.lifetime(),
            slots: 8,
            sequence: 1_000_000,
            ready: true,
        };
        until("the node takes heartbeats", || async {
            leaving.send_report(&late).await == 200
        })
        .await;

        assert_not_used(&world, "late").await;
    });
}

// Guards against a departed lifetime that is used until the next one at its
// address registers, and against a next one that is not used.
#[test]
fn the_next_lifetime_at_the_address_is_used_and_the_departed_one_is_not() {
    run(async {
        let mut world = start().await;
        let former = world.pairs[LEAVING].instance.clone();
        assert_eq!(former.send_goodbye().await, 200);
        let before = former.total_runs();

        restart_all(&mut world, [0, 1, 2]);
        send_for(&world, Duration::from_millis(1_500), "former").await;
        assert_eq!(former.total_runs(), before);
        former.stop();
        world.restart_instance(LEAVING).await;

        until("the next lifetime is used", || async {
            send_for(&world, Duration::from_millis(50), "next").await;
            world.pairs[LEAVING].instance.total_runs() > 0
        })
        .await;
    });
}

// Guards against a goodbye that is acknowledged and told to nobody, as the node
// takes another lifetime for the current one.
#[test]
fn a_goodbye_of_a_lifetime_that_is_not_current_is_not_forgotten() {
    run(async {
        let mut world = start().await;
        let leaving = world.pairs[LEAVING].instance.clone();
        leaving.stop_heartbeats();
        assert_eq!(leaving.send_report(&next_report()).await, 200);
        assert_eq!(leaving.send_goodbye().await, 200);

        // Its peers know the node and testify that its instance served.
        world.pairs[LEAVING].node.restart();
        deliver_late(&leaving).await;

        assert_not_used(&world, "not-current").await;
    });
}

#[test]
fn a_draining_lifetime_that_is_not_current_is_not_forgotten() {
    run(async {
        let mut world = start().await;
        let leaving = world.pairs[LEAVING].instance.clone();
        leaving.stop_heartbeats();
        assert_eq!(leaving.send_report(&next_report()).await, 200);
        assert_eq!(leaving.drain().await, 200);

        world.pairs[LEAVING].node.restart();
        deliver_late(&leaving).await;

        assert_not_used(&world, "draining-not-current").await;
    });
}

/// A report of a lifetime that started later, and so becomes the current one.
fn next_report() -> Report {
    let lifetime = Lifetime::new("i-next", Some(StartTime(u64::MAX / 2)));
    Report { lifetime, slots: 8, sequence: 1, ready: true }
}

/// Delivers a late report of an instance, from before its departure.
async fn deliver_late(instance: &Instance) {
    let lifetime = instance.lifetime();
    let late = Report { lifetime, slots: 8, sequence: 1_000_000, ready: true };
    until("the node takes heartbeats", || async {
        instance.send_report(&late).await == 200
    })
    .await;
}

// Guards against an acknowledgement that comes before anybody but the node
// itself knows of the departure.
#[test]
fn an_acknowledged_departure_is_not_forgotten_whenever_the_nodes_are_killed() {
    run(async {
        for delay_ms in [0, 1, 2, 4, 8, 16, 40] {
            let mut world = start().await;
            let leaving = world.pairs[LEAVING].instance.clone();
            let goodbye =
                tokio::spawn(async move { leaving.send_goodbye().await });
            sleep(Duration::from_millis(delay_ms)).await;

            restart_all(&mut world, [0, 1, 2]);

            if goodbye.await.unwrap_or(0) == 200 {
                assert_not_used(&world, &format!("after-{delay_ms}")).await;
            }
        }
    });
}

// Guards against instances that stay unused because the nodes wait for a
// witness.
#[test]
fn instances_that_stay_are_used_again_after_all_nodes_were_killed() {
    run(async {
        let mut world = start().await;
        let before: Vec<u32> = runs(&world);

        restart_all(&mut world, [0, 1, 2]);

        until("both instances are used again", || async {
            send_for(&world, Duration::from_millis(50), "again").await;
            let now = runs(&world);
            [1, 2].into_iter().all(|at| now[at] > before[at])
        })
        .await;
    });
}

/// The number of runs at each instance.
fn runs(world: &World) -> Vec<u32> {
    let pairs = world.pairs.iter();
    pairs.map(|pair| pair.instance.total_runs()).collect()
}
