//! What the logs tell of an instance that crashed.

use std::time::Duration;

use serde_json::Value;

use crate::fixture::{World, run, until};

/// The first line of an event in a log.
fn line(log: &str, event: &str) -> Option<Value> {
    let lines = log.lines().filter_map(|l| serde_json::from_str(l).ok());
    let mut lines = lines.filter(|l: &Value| l["event"] == event);
    lines.next()
}

#[test]
fn the_log_of_a_crash_names_what_ran_as_its_callers_node_does() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1];
        desk.instance.crash_on("spoiled", Duration::from_millis(500));

        world.send_body(0, "browse", "fatal", "spoiled").await;

        until("the crash is logged", || async {
            line(&desk.node.log(), "crash").is_some()
        })
        .await;
        until("the end is logged", || async {
            line(&world.pairs[0].node.log(), "unknown").is_some()
        })
        .await;
        let crash = line(&desk.node.log(), "crash").unwrap();
        let unknown = line(&world.pairs[0].node.log(), "unknown").unwrap();
        assert_eq!(crash["instance"], "i-1");
        assert_eq!(crash["ran"], 1);
        assert_eq!(crash["fingerprints"][0], unknown["fingerprint"]);
        assert_eq!(unknown["request"], "fatal");
    });
}

#[test]
fn an_instance_that_leaves_or_cuts_answers_is_not_said_to_have_crashed() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1];
        let cuts =
            walnutmoor_standin::mesh::instance::Behavior::DropsResponses;
        desk.instance.set_behavior(cuts);
        world.send(0, "browse", "lost").await;
        desk.instance.drain().await;
        desk.instance.stop();

        world.send(0, "browse", "after").await;

        assert_eq!(line(&desk.node.log(), "crash"), None);
    });
}
