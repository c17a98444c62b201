//! Draining, departing and restarted instances, and terminating nodes.

use std::{sync::Arc, time::Duration};

use walnutmoor_core::lifetime::Report;
use walnutmoor_standin::mesh::instance::Behavior;

use crate::fixture::{World, guarantees_not_run, run, until};

#[test]
fn a_draining_instance_gets_no_new_requests() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        let desk = &world.pairs[1].instance;

        assert_eq!(desk.drain().await, 200);
        let before = desk.total_runs();
        for n in 0..30 {
            let id = format!("drain-{n}");
            let answer = world.send(0, "order", &id).await.unwrap();
            assert_eq!(answer.status, 200);
        }

        assert_eq!(desk.total_runs(), before);
    });
}

#[test]
fn an_instance_that_departs_without_draining_gets_no_new_requests() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        let desk = &world.pairs[1].instance;

        assert_eq!(desk.send_goodbye().await, 200);
        let before = desk.total_runs();
        for n in 0..30 {
            let id = format!("leave-{n}");
            let answer = world.send(0, "order", &id).await.unwrap();
            assert_eq!(answer.status, 200);
        }

        assert_eq!(desk.total_runs(), before);
    });
}

#[test]
fn a_restarted_node_does_not_use_its_draining_instance() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        world.pairs[1].instance.drain().await;
        world.pairs[1].instance.stop_heartbeats();

        world.pairs[1].node.restart();
        until("the node has checked the health", || async {
            world.pairs[1].node.log().contains("health check")
        })
        .await;
        let before = world.pairs[1].instance.total_runs();
        for n in 0..20 {
            world.send(0, "order", &format!("shut-{n}")).await;
        }

        assert_eq!(world.pairs[1].instance.total_runs(), before);
    });
}

#[test]
fn a_restarted_node_does_not_use_its_departed_instance() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        // Its health check still succeeds.
        assert_eq!(world.pairs[1].instance.send_goodbye().await, 200);

        world.pairs[1].node.restart();
        until("the node has checked the health", || async {
            world.pairs[1].node.log().contains("health check")
        })
        .await;
        until("the other node has reconnected", || async {
            let log = world.pairs[0].node.log();
            let peer = world.pairs[1].node.addresses().peers.to_string();
            let events = log.lines().filter(|line| {
                line.contains("\"lost\"") || line.contains("\"regained\"")
            });
            let mut events = events.filter(|line| line.contains(&peer));
            events.next_back().is_some_and(|line| line.contains("regained"))
        })
        .await;
        let before = world.pairs[1].instance.total_runs();
        for n in 0..20 {
            let id = format!("gone-{n}");
            let answer = world.send(0, "order", &id).await.unwrap();
            assert_eq!(answer.status, 200);
        }

        assert_eq!(world.pairs[1].instance.total_runs(), before);
    });
}

/// Sends requests to node 0 until one was answered by the instance that says
/// it leaves, and returns the number of its runs.
async fn run_until_told(world: &World) -> u32 {
    let desk = &world.pairs[1].instance;
    desk.say_leaving();
    let mut sent = 0;
    until("the instance has answered a request", || {
        sent += 1;
        let id = format!("told-{sent}");
        async move {
            world.send(0, "order", &id).await;
            desk.runs(&id) > 0
        }
    })
    .await;
    desk.total_runs()
}

#[test]
fn an_instance_that_says_it_leaves_gets_no_new_requests() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        world.pairs[2].instance.set_run_time(Duration::from_millis(50));

        let before = run_until_told(&world).await;
        for n in 0..30 {
            let id = format!("said-{n}");
            let answer = world.send(0, "order", &id).await.unwrap();
            assert_eq!(answer.status, 200);
        }

        assert_eq!(world.pairs[1].instance.total_runs(), before);
    });
}

#[test]
fn a_restarted_node_does_not_use_an_instance_that_said_it_leaves() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;

        // Its heartbeats and health checks still say that it is ready.
        let before = run_until_told(&world).await;
        world.pairs[1].node.restart();
        until("the node is ready again", || world.is_ready(1)).await;
        for n in 0..60 {
            let id = format!("said-{n}");
            let answer = world.send(0, "order", &id).await.unwrap();
            assert_eq!(answer.status, 200);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }

        assert_eq!(world.pairs[1].instance.total_runs(), before);
    });
}

#[test]
fn a_new_lifetime_is_used_after_one_that_said_it_leaves() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        run_until_told(&world).await;

        world.pairs[1].instance.stop();
        world.restart_instance(1).await;

        world.send_until_ok(0, "order", "again").await;
    });
}

// Guards against a failed health check that is taken for a departure, which
// would keep the instance unused for the rest of its life.
#[test]
fn an_instance_whose_health_check_failed_is_used_after_its_next_heartbeat() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        let desk = world.pairs[1].instance.clone();
        desk.stop_heartbeats();
        desk.fake_health(Some(false));
        world.pairs[1].node.restart();
        until("the node has checked the health", || async {
            world.pairs[1].node.log().contains("health check")
        })
        .await;
        let before = desk.total_runs();

        let heartbeat = Report {
            lifetime: desk.lifetime(),
            slots: 8,
            sequence: 1_000_000,
            ready: true,
        };
        assert_eq!(desk.send_report(&heartbeat).await, 200);

        let mut sent = 0;
        until("the instance is used", || {
            sent += 1;
            let id = format!("again-{sent}");
            let (world, desk) = (&world, &desk);
            async move {
                world.send(0, "order", &id).await;
                desk.total_runs() > before
            }
        })
        .await;
    });
}

#[test]
fn a_departed_instance_is_not_used_after_its_node_and_a_peer_restarted() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        // Its health check still succeeds.
        assert_eq!(world.pairs[1].instance.send_goodbye().await, 200);
        let before = world.pairs[1].instance.total_runs();

        world.pairs[1].node.kill();
        // The peer that remembers the departure tries to reconnect less and
        // less often.
        tokio::time::sleep(Duration::from_secs(2)).await;
        world.pairs[0].node.restart();
        world.pairs[1].node.restart();
        until("the node is ready again", || world.is_ready(0)).await;
        for n in 0..60 {
            world.send(0, "order", &format!("both-{n}")).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }

        assert_eq!(world.pairs[1].instance.total_runs(), before);
    });
}

#[test]
fn a_terminating_node_finishes_requests_in_flight() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        world.pairs[1].instance.set_run_time(Duration::from_millis(1_500));
        let shared = Arc::new(world.pairs[0].node.addresses().callers);
        let address = *shared;
        let sent = tokio::spawn(async move {
            let headers = crate::fixture::headers("slow", 5_000);
            walnutmoor_standin::mesh::caller::send(
                address,
                http::Method::POST,
                "/order/x",
                &headers,
                String::new(),
            )
            .await
        });
        until("the request runs", || async { world.runs("slow") == 1 }).await;

        world.pairs[0].node.signal("TERM");
        until("the node is not ready", || async { !world.is_ready(0).await })
            .await;

        let answer = sent.await.unwrap().unwrap();
        assert_eq!(answer.status, 200);
        let node = &mut world.pairs[0].node;
        loop {
            if node.has_succeeded() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(node.log().contains("\"phase\":\"ended\""));
    });
}

#[test]
fn a_terminating_node_refuses_only_requests_that_did_not_run() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        world.pairs[1].instance.set_behavior(Behavior::Healthy);
        world.pairs[0].node.signal("TERM");

        let mut n = 0;
        while !world.pairs[0].node.has_succeeded() {
            n += 1;
            let id = format!("end-{n}");
            let answer = world.send(0, "order", &id).await;
            let ran = world.runs(&id);
            if let Some(answer) = answer {
                assert!(answer.status == 200 || guarantees_not_run(&answer));
                assert_eq!(ran, u32::from(answer.status == 200));
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    });
}

#[test]
fn a_restarted_instance_is_used_despite_a_late_report() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        let former = world.pairs[1].instance.clone();
        assert_eq!(former.drain().await, 200);
        former.stop();
        let former_lifetime = former.lifetime();

        world.restart_instance(1).await;
        world.send_until_ok(0, "order", "again").await;
        let late_report = Report {
            lifetime: former_lifetime,
            slots: 8,
            sequence: 1_000_000,
            ready: false,
        };
        world.pairs[1].instance.send_report(&late_report).await;

        for n in 0..10 {
            let id = format!("after-{n}");
            let answer = world.send(0, "order", &id).await.unwrap();
            assert_eq!(answer.status, 200);
        }
        assert!(world.pairs[1].instance.runs("after-0") == 1);
    });
}

#[test]
fn a_node_and_instance_restarted_after_a_departure_are_used() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        let former = world.pairs[1].instance.clone();
        assert_eq!(former.send_goodbye().await, 200);
        former.stop();

        world.pairs[1].node.restart();
        world.restart_instance(1).await;

        world.send_until_ok(0, "order", "again").await;
    });
}
