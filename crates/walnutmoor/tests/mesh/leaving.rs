//! Instances and nodes that leave.

use std::{sync::Arc, time::Duration};

use walnutmoor_core::lifetime::Report;
use walnutmoor_standin::mesh::instance::Behavior;

use crate::fixture::{World, is_promise, run, until};

#[test]
fn an_instance_that_drains_gets_nothing_new_and_finishes_what_it_has() {
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
fn an_instance_that_leaves_without_notice_gets_nothing_new() {
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
fn a_node_restarted_beside_a_leaving_instance_does_not_open_it_again() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        world.pairs[1].instance.drain().await;
        world.pairs[1].instance.stop_heartbeats();

        world.pairs[1].node.restart();
        until("it has asked for the health", || async {
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
fn a_node_restarted_beside_an_instance_that_said_goodbye_does_not_open_it() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        // Its health still says that it is well.
        assert_eq!(world.pairs[1].instance.send_goodbye().await, 200);

        world.pairs[1].node.restart();
        until("it has asked for the health", || async {
            world.pairs[1].node.log().contains("health check")
        })
        .await;
        until("the others reach it", || async {
            let log = world.pairs[0].node.log();
            let peer = world.pairs[1].node.addresses().peers.to_string();
            let links = log.lines().filter(|line| {
                line.contains("\"lost\"") || line.contains("\"regained\"")
            });
            let mut links = links.filter(|line| line.contains(&peer));
            links.next_back().is_some_and(|line| line.contains("regained"))
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

#[test]
fn a_node_that_is_told_to_end_cuts_no_request() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        world.pairs[1].instance.set_run_time(Duration::from_millis(1_500));
        let world_ref = Arc::new(world.pairs[0].node.addresses().callers);
        let at = *world_ref;
        let sent = tokio::spawn(async move {
            let headers = crate::fixture::headers("slow", 5_000);
            walnutmoor_standin::mesh::caller::send(
                at,
                http::Method::POST,
                "/order/x",
                &headers,
                String::new(),
            )
            .await
        });
        until("it runs", || async { world.runs("slow") == 1 }).await;

        world.pairs[0].node.signal("TERM");
        until("it is not ready", || async { !world.is_ready(0).await }).await;

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
fn a_node_that_has_ended_refuses_with_a_promise_or_not_at_all() {
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
                assert!(answer.status == 200 || is_promise(&answer));
                assert_eq!(ran, u32::from(answer.status == 200));
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    });
}

#[test]
fn an_instance_started_again_under_its_id_is_used_and_its_past_is_not_held() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        let former = world.pairs[1].instance.clone();
        assert_eq!(former.drain().await, 200);
        former.stop();
        let past = former.lifetime();

        world.start_again(1).await;
        world.served(0, "order", "again").await;
        let late = Report {
            lifetime: past,
            slots: 8,
            sequence: 1_000_000,
            ready: false,
        };
        world.pairs[1].instance.send_report(&late).await;

        for n in 0..10 {
            let id = format!("after-{n}");
            let answer = world.send(0, "order", &id).await.unwrap();
            assert_eq!(answer.status, 200);
        }
        assert!(world.pairs[1].instance.runs("after-0") == 1);
    });
}

#[test]
fn a_node_and_its_instance_started_again_are_used_though_the_id_had_left() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        let former = world.pairs[1].instance.clone();
        assert_eq!(former.send_goodbye().await, 200);
        former.stop();

        world.pairs[1].node.restart();
        world.start_again(1).await;

        world.served(0, "order", "again").await;
    });
}
