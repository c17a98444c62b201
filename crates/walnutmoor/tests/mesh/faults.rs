//! Misbehaving instances, and nodes that are killed or stopped.

use std::time::Duration;

use walnutmoor_standin::mesh::{caller, instance::Behavior};

use crate::fixture::{World, guarantees_not_run, run, until};

/// Sends requests that may run only once to the first node during a fault.
/// Each must run at most once, and not at all if its response says so.
async fn send_orders(world: &World, name: &str, count: u32) {
    for n in 0..count {
        let id = format!("{name}-{n}");
        let answer = world.send(0, "order", &id).await;
        let runs = world.runs(&id);
        assert!(runs <= 1, "{id} ran {runs} times");
        if answer.as_ref().is_some_and(guarantees_not_run) {
            assert_eq!(runs, 0, "{id} ran, but its response says not");
        }
        if answer.is_some_and(|answer| answer.status == 200) {
            assert_eq!(runs, 1, "{id} got status 200 without a run");
        }
    }
}

#[test]
fn orders_run_at_most_once_whatever_happens_to_their_answers() {
    let behaviors = [
        Behavior::DropsResponses,
        Behavior::TruncatesResponses,
        Behavior::RespondsTwice,
        Behavior::OmitsSignature,
        Behavior::Fails,
        Behavior::Sheds,
    ];
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        for behavior in behaviors {
            world.pairs[1].instance.set_behavior(behavior);
            send_orders(&world, &format!("{behavior:?}"), 10).await;
        }
    });
}

#[test]
fn every_answer_belongs_to_its_request_though_an_instance_answers_twice() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        world.pairs[1].instance.set_behavior(Behavior::RespondsTwice);

        for n in 0..60 {
            let id = format!("twice-{n}");
            let answer = world.send(0, "browse", &id).await.unwrap();
            if answer.status == 200 {
                assert_eq!(answer.body, format!("i-1 {id} body"));
            }
        }
    });
}

#[test]
fn a_truncated_or_unsigned_answer_becomes_an_error() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        for behavior in
            [Behavior::TruncatesResponses, Behavior::OmitsSignature]
        {
            world.pairs[1].instance.set_behavior(behavior);
            for n in 0..5 {
                let id = format!("{behavior:?}-{n}");
                let answer = world.send(0, "browse", &id).await.unwrap();
                assert!(answer.status >= 500, "{}", answer.status);
            }
        }
    });
}

#[test]
fn idempotent_requests_go_to_the_sibling_of_an_instance_that_loses_answers() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        for n in 0..60 {
            world.send_until_ok(0, "browse", &format!("warm-{n}")).await;
        }
        world.pairs[1].instance.set_behavior(Behavior::DropsResponses);

        world.send_until_ok(0, "browse", "again").await;

        send_orders(&world, "sibling", 20).await;
    });
}

#[test]
fn a_killed_node_is_found_again_and_runs_nothing_twice() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        send_orders(&world, "before", 3).await;

        world.pairs[1].node.kill();
        send_orders(&world, "down", 3).await;
        world.pairs[1].node.restart();

        world.send_until_ok(0, "order", "after").await;
        send_orders(&world, "up", 3).await;
    });
}

#[test]
fn a_frozen_node_does_not_hold_up_its_sibling() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        world.pairs[1].node.signal("STOP");

        world.send_until_ok(0, "browse", "frozen").await;
        send_orders(&world, "ice", 5).await;
        world.pairs[1].node.signal("CONT");

        send_orders(&world, "melt", 5).await;
        let desk = &world.pairs[1].instance;
        let mut n = 0;
        until("the thawed node gets work", || {
            n += 1;
            let id = format!("thawed-{n}");
            let world = &world;
            async move {
                world.send(0, "browse", &id).await;
                desk.runs(&id) == 1
            }
        })
        .await;
    });
}

#[test]
fn no_request_is_sent_to_an_unresponsive_node() {
    run(async {
        let world = World::start(&["front", "desk"]).await;

        world.pairs[1].node.signal("STOP");
        until("the silence is noticed", || async {
            world.pairs[0].node.log().contains("\"event\":\"suspect\"")
        })
        .await;
        let answer = world.send(0, "order", "silent").await.unwrap();

        assert!(guarantees_not_run(&answer), "{}", answer.status);
        world.pairs[1].node.signal("CONT");
        world.send_until_ok(0, "order", "again").await;
        assert_eq!(world.runs("silent"), 0);
    });
}

#[test]
fn a_node_restarted_while_the_store_is_down_learns_from_its_peers() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        world.store.set_down(true);

        world.pairs[0].node.restart();

        until("it is ready", || world.is_ready(0)).await;
        world.send_until_ok(0, "order", "away").await;
    });
}

#[test]
fn all_nodes_killed_at_once_serve_again() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;

        for pair in &mut world.pairs {
            pair.node.kill();
        }
        for pair in &mut world.pairs {
            pair.node.restart();
        }

        world.send_until_ok(0, "order", "back").await;
    });
}

#[test]
fn orders_do_not_go_over_connections_that_the_instance_may_have_forgotten() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        for n in 0..5 {
            world.send_until_ok(0, "order", &format!("warm-{n}")).await;
        }
        world.pairs[1].instance.set_behavior(Behavior::ResetsIdle);

        for n in 0..4 {
            // Longer than the instance keeps an idle connection.
            tokio::time::sleep(Duration::from_millis(700)).await;
            let id = format!("idle-{n}");
            let answer = world.send(0, "order", &id).await.unwrap();
            assert_eq!(answer.status, 200);
        }
    });
}

/// Guards against a status that promises that a request has not run, passed on
/// from an instance that ran it and did not say otherwise.
#[test]
fn a_status_that_promises_not_run_is_passed_on_only_if_marked_so() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        for route in ["order", "browse"] {
            for status in [408, 421, 429, 503] {
                let desk = &world.pairs[1].instance;
                desk.set_behavior(Behavior::FailsWith(status));
                let id = format!("{route}-{status}");

                let answer = world.send(0, route, &id).await.unwrap();

                assert_eq!(answer.status, 502, "{id}");
                assert!(world.runs(&id) > 0, "{id} has run");
            }
        }
    });
}

/// Guards against a slot that is taken until the node restarts by a request
/// whose response never comes.
#[test]
fn a_run_without_a_response_frees_its_slot_after_its_deadline() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1];
        desk.instance.set_behavior(Behavior::NeverResponds);

        let answer = world.send(0, "order", "never").await.unwrap();

        assert_eq!(answer.status, 504);
        assert_eq!(world.runs("never"), 1);
        let metrics = desk.node.addresses().metrics;
        until("the slot is free", || async move {
            let (method, path) = (http::Method::GET, "/metrics");
            let sent = caller::send(metrics, method, path, &[], String::new());
            let line = "walnutmoor_running 0\n";
            sent.await.is_some_and(|answer| answer.body.contains(line))
        })
        .await;
    });
}

/// Guards against a refusal whose reason cannot be read from the logs.
#[test]
fn a_rejection_by_an_instance_is_logged_with_its_connection() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        world.pairs[1].instance.set_behavior(Behavior::Sheds);

        let answer = world.send(0, "order", "shed-1").await.unwrap();

        assert!(guarantees_not_run(&answer), "{}", answer.status);
        until("both nodes have logged it", || async {
            let [front, desk] = &world.pairs[..] else { panic!() };
            let has_line = |log: String, event: &str, field: &str| {
                log.lines().any(|line| {
                    line.contains(event)
                        && line.contains("\"request\":\"shed-1\"")
                        && line.contains(field)
                })
            };
            has_line(
                front.node.log(),
                "\"event\":\"refused\"",
                "\"evidence\":[\"rejected\"",
            ) && has_line(
                desk.node.log(),
                "\"event\":\"not_run\"",
                "\"sends\":1",
            )
        })
        .await;
    });
}

// Guards against a status that is no final one of HTTP and is passed on as an
// answer.
#[test]
fn a_response_without_a_final_status_is_not_passed_on() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = world.pairs[1].instance.clone();
        for status in [0, 99, 101, 199, 600, 999, 1_000] {
            desk.set_behavior(Behavior::FailsWith(status));
            for route in ["order", "browse"] {
                let id = format!("final-{status}-{route}");
                let answer = world.send(0, route, &id).await.unwrap();
                assert_eq!(answer.status, 502, "{status}");
            }
            assert_eq!(desk.runs(&format!("final-{status}-order")), 1);

            desk.set_behavior(Behavior::Healthy);
            world.send_until_ok(0, "order", &format!("next-{status}")).await;
        }
    });
}

// Guards against a sibling that is passed over for an instance that fails all
// requests at once.
#[test]
fn requests_go_to_the_sibling_of_an_instance_without_final_statuses() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        for (faulty, sibling) in [(1, 2), (2, 1)] {
            let faulty = &world.pairs[faulty].instance;
            let sibling = &world.pairs[sibling].instance;
            faulty.set_behavior(Behavior::FailsWith(101));
            let before = sibling.total_runs();

            for number in 0..20 {
                let id = format!("sibling-{}-{number}", faulty.lifetime().id);
                let answer = world.send(0, "browse", &id).await.unwrap();
                // Not all retries are within the budget.
                assert!([200, 502].contains(&answer.status), "{id}");
            }

            let served = sibling.total_runs() - before;
            assert!(served >= 15, "{served} were served");
            faulty.set_behavior(Behavior::Healthy);
        }
    });
}

#[test]
fn the_answer_behind_an_interim_response_is_passed_on() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        for status in [100, 102, 103] {
            desk.set_behavior(Behavior::SendsInterim(status));

            let id = format!("interim-{status}");
            let answer = world.send(0, "order", &id).await.unwrap();

            assert_eq!(answer.status, 200, "{status}");
            assert_eq!(desk.runs(&id), 1);
        }
    });
}
