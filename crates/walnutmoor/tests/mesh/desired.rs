//! Changes of the desired state and of the directory of nodes.

use walnutmoor_core::table::Effect;
use walnutmoor_standin::soak::proxy::Mode;

use crate::fixture::{World, desired, route, routes, run, until};

#[test]
fn a_change_adds_and_removes_routes_at_all_nodes() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let mut next = routes();
        next[0] = route("search", Effect::Idempotent, &[("desk", 1)]);

        world.store.write_desired(&desired(2, &next));

        for index in 0..2 {
            world
                .send_until_ok(index, "search", &format!("new-{index}"))
                .await;
            let answer = world.send(index, "browse", "old").await.unwrap();
            assert_eq!(answer.status, 404);
        }
    });
}

#[test]
fn a_change_is_adopted_after_the_store_compacts_its_history() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let mut next = routes();
        next.push(route("search", Effect::Idempotent, &[("desk", 1)]));

        world.store.compact();
        world.store.write_desired(&desired(2, &next));

        world.send_until_ok(0, "search", "new").await;
    });
}

#[test]
fn an_undecodable_state_leaves_the_active_one_unchanged() {
    run(async {
        let world = World::start(&["desk"]).await;

        world.store.write_desired("{\"version\":2,\"resources\":[{}]}");
        until("the fault is logged", || async {
            world.pairs[0].node.log().contains("\"event\":\"fault\"")
        })
        .await;

        let answer = world.send(0, "browse", "still").await.unwrap();
        assert_eq!(answer.status, 200);
    });
}

#[test]
fn a_joining_node_receives_calls_from_the_others() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;

        world.add("desk").await;
        world.wait_until_connected().await;
        world.pairs[1].instance.drain().await;

        world.send_until_ok(0, "order", "joined").await;
        assert!(world.pairs[2].instance.total_runs() > 0);
        assert_eq!(world.store.nodes().len(), 3);
    });
}

#[test]
fn a_node_that_cannot_reach_the_store_fetches_a_change_from_a_peer() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let mut next = routes();
        next.push(route("search", Effect::Idempotent, &[("desk", 1)]));

        // Silent: neither side sees the connection close.
        world.pairs[0].store.set_mode(Mode::StallBoth);
        world.store.write_desired(&desired(2, &next));

        world.send_until_ok(0, "search", "cut-off").await;
        // The log is written by a separate thread, after the response.
        let adopted = || {
            let log = world.pairs[0].node.log();
            let line = log.lines().find(|l| l.contains("\"version\":2"));
            line.map(str::to_string)
        };
        until("the adoption is logged", || async { adopted().is_some() })
            .await;
        assert!(adopted().unwrap().contains("\"source\":\"peer\""));
    });
}

#[test]
fn a_node_that_has_left_is_removed_from_the_directory() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        let departed = world.pairs[2].node.addresses().peers;

        assert_eq!(world.pairs[2].instance.send_goodbye().await, 200);
        world.pairs[2].node.signal("TERM");

        until("its record is removed", || async {
            world.store.nodes().len() == 2
        })
        .await;
        until("the others close their links to it", || async {
            let log = world.pairs[0].node.log();
            log.contains(&format!("\"gone\":\"{departed}\""))
        })
        .await;
    });
}

#[test]
fn a_split_follows_its_weights_exactly() {
    run(async {
        let world = World::start(&["front", "desk", "board"]).await;
        let weights = [("desk", 75), ("board", 25)];
        let next = vec![route("browse", Effect::Idempotent, &weights)];
        world.store.write_desired(&desired(2, &next));
        until("the split is active", || async {
            world.pairs[0].node.log().contains("\"version\":2")
        })
        .await;

        let before = world.pairs[2].instance.total_runs();
        for n in 0..40 {
            world.send(0, "browse", &format!("part-{n}")).await;
        }

        assert_eq!(world.pairs[2].instance.total_runs() - before, 10);
    });
}

#[test]
fn watching_costs_the_store_one_call_per_change() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        for n in 0..50 {
            world.send_until_ok(0, "order", &format!("quiet-{n}")).await;
        }

        // Per node: two lists, two watches and a registration. Each of the two
        // node records also completes a watch.
        assert!(world.store.calls() <= 16, "{}", world.store.calls());
    });
}

/// Guards against a node that reads a response of the store until it has no
/// memory left.
#[test]
fn a_response_of_the_store_without_end_does_not_take_the_memory() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let before = world.store.calls();
        world.store.set_body(Some(vec![b' '; 128 << 20].into()));
        // Wakes the watches.
        world.store.write_desired(&desired(2, &routes()));

        until("the nodes have read such responses", || async {
            world.store.calls() > before + 10
        })
        .await;
        world.store.set_body(None);
        world.store.write_desired(&desired(3, &routes()));

        world.send_until_ok(0, "order", "after").await;
        for pair in &world.pairs {
            let peak = pair.node.peak_memory_mb().unwrap();
            assert!(peak < 64, "a node has held {peak} MiB");
        }
    });
}
