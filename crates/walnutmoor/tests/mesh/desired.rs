//! The desired state and the directory.

use walnutmoor_core::table::Effect;
use walnutmoor_standin::soak::proxy::Mode;

use crate::fixture::{World, desired, route, routes, run, until};

#[test]
fn a_new_route_comes_into_force_everywhere_and_a_dropped_one_goes() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let mut next = routes();
        next[0] = route("search", Effect::Idempotent, &[("desk", 1)]);

        world.store.write_desired(&desired(2, &next));

        for index in 0..2 {
            world.served(index, "search", &format!("new-{index}")).await;
            let gone = world.send(index, "browse", "old").await.unwrap();
            assert_eq!(gone.status, 404);
        }
    });
}

#[test]
fn a_change_is_seen_after_the_store_forgets_its_history() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let mut next = routes();
        next.push(route("search", Effect::Idempotent, &[("desk", 1)]));

        world.store.compact();
        world.store.write_desired(&desired(2, &next));

        world.served(0, "search", "new").await;
    });
}

#[test]
fn a_state_that_can_not_be_read_leaves_the_former_one_in_force() {
    run(async {
        let world = World::start(&["desk"]).await;

        world.store.write_desired("{\"version\":2,\"resources\":[{}]}");
        until("it is reported", || async {
            world.pairs[0].node.log().contains("\"event\":\"fault\"")
        })
        .await;

        let answer = world.send(0, "browse", "still").await.unwrap();
        assert_eq!(answer.status, 200);
    });
}

#[test]
fn a_node_that_joins_gets_work_from_the_others() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;

        world.add("desk").await;
        world.whole().await;
        world.pairs[1].instance.drain().await;

        world.served(0, "order", "joined").await;
        assert!(world.pairs[2].instance.total_runs() > 0);
        assert_eq!(world.store.nodes().len(), 3);
    });
}

#[test]
fn a_node_cut_off_from_the_store_learns_a_change_from_its_peers() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let mut next = routes();
        next.push(route("search", Effect::Idempotent, &[("desk", 1)]));

        // Neither side sees the connection end.
        world.pairs[0].store.set_mode(Mode::StallBoth);
        world.store.write_desired(&desired(2, &next));

        world.served(0, "search", "cut-off").await;
        // A thread writes the log, some milliseconds after the answer.
        let adopted = || {
            let log = world.pairs[0].node.log();
            let line = log.lines().find(|l| l.contains("\"version\":2"));
            line.map(str::to_string)
        };
        until("the log tells of it", || async { adopted().is_some() }).await;
        assert!(adopted().unwrap().contains("\"source\":\"peer\""));
    });
}

#[test]
fn a_node_that_has_left_for_good_is_forgotten() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        let gone = world.pairs[2].node.addresses().peers;

        assert_eq!(world.pairs[2].instance.send_goodbye().await, 200);
        world.pairs[2].node.signal("TERM");

        until("its record is removed", || async {
            world.store.nodes().len() == 2
        })
        .await;
        until("the others close their links to it", || async {
            let log = world.pairs[0].node.log();
            log.contains(&format!("\"gone\":\"{gone}\""))
        })
        .await;
    });
}

#[test]
fn a_split_is_kept_to_its_shares() {
    run(async {
        let world = World::start(&["front", "desk", "board"]).await;
        let parts = [("desk", 75), ("board", 25)];
        let next = vec![route("browse", Effect::Idempotent, &parts)];
        world.store.write_desired(&desired(2, &next));
        until("the split is in force", || async {
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
fn watching_costs_the_store_a_call_for_each_change_only() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        for n in 0..50 {
            world.served(0, "order", &format!("quiet-{n}")).await;
        }

        // Two lists, two watches and a registration for each of two nodes,
        // and a watch that ends for each of the two records.
        assert!(world.store.calls() <= 16, "{}", world.store.calls());
    });
}
