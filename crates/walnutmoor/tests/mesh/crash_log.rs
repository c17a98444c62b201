//! The log lines about an instance that crashed.

use std::time::Duration;

use serde_json::Value;

use crate::fixture::{World, run, until};

/// The first line with this event in a log.
fn find_event(log: &str, event: &str) -> Option<Value> {
    let lines = log.lines().filter_map(|l| serde_json::from_str(l).ok());
    let mut lines = lines.filter(|l: &Value| l["event"] == event);
    lines.next()
}

#[test]
fn a_crash_is_logged_with_the_fingerprint_that_the_ingress_node_logs() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1];
        desk.instance.crash_on("spoiled", Duration::from_millis(500));

        world.send_body(0, "browse", "fatal", "spoiled").await;

        until("the crash is logged", || async {
            find_event(&desk.node.log(), "crash").is_some()
        })
        .await;
        until("the unknown outcome is logged", || async {
            find_event(&world.pairs[0].node.log(), "unknown").is_some()
        })
        .await;
        let crash = find_event(&desk.node.log(), "crash").unwrap();
        let unknown =
            find_event(&world.pairs[0].node.log(), "unknown").unwrap();
        assert_eq!(crash["instance"], "i-1");
        assert_eq!(crash["ran"], 1);
        assert_eq!(crash["fingerprints"][0], unknown["fingerprint"]);
        assert_eq!(unknown["request"], "fatal");
    });
}

#[test]
fn an_instance_that_leaves_or_loses_answers_is_not_logged_as_crashed() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1];
        let drops_responses =
            walnutmoor_standin::mesh::instance::Behavior::DropsResponses;
        desk.instance.set_behavior(drops_responses);
        world.send(0, "browse", "lost").await;
        desk.instance.drain().await;
        desk.instance.stop();

        world.send(0, "browse", "after").await;

        assert_eq!(find_event(&desk.node.log(), "crash"), None);
    });
}
