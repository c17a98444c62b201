//! Instances that live and report, after messages of former lifetimes at their
//! addresses have arrived late. Each instance's own work is checked, since its
//! siblings serve what it does not.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};
use walnutmoor_core::lifetime::Report;
use walnutmoor_standin::mesh::instance::{Instance, Startup};

use crate::fixture::{World, run, until};

/// The runs after which an instance counts as used.
const RUNS: u32 = 5;

/// The time between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(600);

/// Instances that don't state their start time.
const ANONYMOUS: Startup = Startup {
    omits_start_time: true,
    silence: Duration::ZERO,
    rejection_delay: Duration::ZERO,
};

/// The same; they listen for a while before their first heartbeat and reject
/// requests for others slowly.
const SLOW: Startup = Startup {
    silence: Duration::from_millis(400),
    rejection_delay: Duration::from_millis(300),
    ..ANONYMOUS
};

/// Three nodes and instances of one service.
async fn start(startup: Startup) -> World {
    let world = World::start(&[]).await;
    let mut world = World { startup, ..world };
    for _ in 0..3 {
        world.add("desk").await;
    }
    world.wait_until_connected().await;
    set_heartbeats(&world);
    world
}

fn set_heartbeats(world: &World) {
    for pair in &world.pairs {
        pair.instance.set_heartbeat_interval(HEARTBEAT);
    }
}

/// Ends all nodes and instances at once, and starts them again.
async fn lose_power(world: &mut World, generation: u32) {
    for pair in &mut world.pairs {
        pair.node.kill();
        pair.instance.stop();
    }
    for index in 0..world.pairs.len() {
        world.pairs[index].node.restart();
        let id = format!("i-{index}-{generation}");
        world.replace_instance(index, &id).await;
    }
    set_heartbeats(world);
    world.wait_until_connected().await;
    for (index, pair) in world.pairs.iter().enumerate() {
        let id = format!("\"instance\":\"i-{index}-{generation}\"");
        until("the node knows the new instance", || async {
            pair.node.log().contains(&id)
        })
        .await;
    }
}

/// Delivers a late report of an instance that has ended.
async fn deliver_late(former: &Instance, sequence: u64, ready: bool) {
    let lifetime = former.lifetime();
    let report = Report { lifetime, slots: 8, sequence, ready };
    assert_eq!(former.send_report(&report).await, 200);
}

/// Sends requests to all nodes for a while.
async fn send_for(world: &World, span: Duration, name: &str) {
    let end = Instant::now() + span;
    let mut sent = 0;
    while Instant::now() < end {
        for index in 0..world.pairs.len() {
            world
                .send(index, "browse", &format!("{name}-{sent}-{index}"))
                .await;
        }
        sent += 1;
        sleep(Duration::from_millis(10)).await;
    }
}

fn runs(world: &World) -> Vec<u32> {
    let pairs = world.pairs.iter();
    pairs.map(|pair| pair.instance.total_runs()).collect()
}

/// Waits until each instance has run requests from now on.
async fn until_each_is_used(world: &World, name: &str) {
    let before = runs(world);
    let mut round = 0;
    until("each instance is used", || {
        round += 1;
        let name = format!("{name}-{round}");
        let before = &before;
        async move {
            send_for(world, Duration::from_millis(100), &name).await;
            let now = runs(world);
            before.iter().zip(now).all(|(before, now)| before + RUNS <= now)
        }
    })
    .await;
}

fn instances(world: &World) -> Vec<Arc<Instance>> {
    world.pairs.iter().map(|pair| pair.instance.clone()).collect()
}

// Guards against a late report that makes the living instance a former one.
#[test]
fn instances_are_used_after_late_reports_of_former_ones() {
    run(async {
        for ready in [true, false] {
            let mut world = start(ANONYMOUS).await;
            let former = instances(&world);
            lose_power(&mut world, 2).await;
            send_for(&world, Duration::from_millis(300), "before").await;

            for instance in &former {
                deliver_late(instance, 1_000, ready).await;
            }
            send_for(&world, Duration::from_millis(500), "late").await;

            until_each_is_used(&world, &format!("after-{ready}")).await;
        }
    });
}

// Guards against one instance without work whose siblings serve its requests.
#[test]
fn an_instance_is_used_after_reports_and_a_goodbye_of_the_former_one() {
    run(async {
        let mut world = start(ANONYMOUS).await;
        let former = instances(&world);
        lose_power(&mut world, 2).await;
        send_for(&world, Duration::from_millis(300), "before").await;

        for sequence in [1_000, 1_001, 1_001] {
            deliver_late(&former[1], sequence, true).await;
            send_for(&world, Duration::from_millis(100), "late").await;
        }
        assert_eq!(former[1].send_goodbye().await, 200);

        until_each_is_used(&world, "after").await;
    });
}

#[test]
fn instances_are_used_after_late_reports_of_two_former_lifetimes() {
    run(async {
        let mut world = start(ANONYMOUS).await;
        let mut former = instances(&world);
        lose_power(&mut world, 2).await;
        former.extend(instances(&world));
        lose_power(&mut world, 3).await;
        send_for(&world, Duration::from_millis(300), "before").await;

        for instance in former.iter().rev() {
            deliver_late(instance, 1_000, true).await;
            send_for(&world, Duration::from_millis(100), "late").await;
        }

        until_each_is_used(&world, "after").await;
    });
}

// Guards against a rejection for a former lifetime that ends the current one.
#[test]
fn instances_are_used_after_slow_rejections_for_former_lifetimes() {
    run(async {
        let world = start(SLOW).await;
        let mut world = Arc::new(world);
        for generation in 2..6 {
            for index in 0..3 {
                let load: Vec<_> = (0..3)
                    .map(|at| {
                        tokio::spawn(load(
                            world.clone(),
                            generation,
                            index,
                            at,
                        ))
                    })
                    .collect();
                world.pairs[index].instance.stop();
                sleep(Duration::from_millis(200)).await;
                let at = world.pairs[index].node.addresses();
                let id = format!("i-{index}-{generation}");
                let next = Instance::start_as(
                    &id, "desk", at.server, at.control, SLOW,
                )
                .await;
                for load in load {
                    load.await.unwrap();
                }
                let world = Arc::get_mut(&mut world).unwrap();
                world.pairs[index].instance = next;
            }
            until_each_is_used(&world, &format!("after-{generation}")).await;
        }
    });
}

/// Sends requests to a node from several callers at once.
async fn load(world: Arc<World>, generation: u32, index: usize, at: usize) {
    let end = Instant::now() + Duration::from_millis(1_500);
    let callers = (0..6).map(|caller| {
        let world = world.clone();
        tokio::spawn(async move {
            let mut sent = 0;
            while Instant::now() < end {
                let id = format!("{generation}-{index}-{at}-{caller}-{sent}");
                world.send(at, "browse", &id).await;
                sent += 1;
                sleep(Duration::from_millis(15)).await;
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
}

// Guards against a health check by which a node adopts an instance of another
// service, after it was restarted once beside its own.
#[test]
fn an_instance_of_another_service_at_the_address_gets_no_requests() {
    run(async {
        let mut world = start(ANONYMOUS).await;
        world.pairs[0].node.restart();
        until_each_is_used(&world, "restarted").await;

        world.pairs[0].instance.stop();
        let at = world.pairs[0].node.addresses();
        let other =
            Instance::start("i-other", "parts", at.server, at.control).await;
        send_for(&world, Duration::from_secs(6), "reused").await;

        assert_eq!(other.total_runs(), 0);
    });
}

// Guards against testimony that a node does not get, so that it waits for a
// heartbeat beside an instance that serves.
#[test]
fn a_node_restarted_beside_a_serving_instance_does_not_wait_for_a_heartbeat() {
    run(async {
        let mut world = start(ANONYMOUS).await;
        until_each_is_used(&world, "before").await;

        world.pairs[0].instance.stop_heartbeats();
        world.pairs[0].node.restart();

        until_each_is_used(&world, "after").await;
    });
}
