//! Instances that state the current speed of their machines.

use std::{sync::Arc, time::Duration};

use http::Method;
use tokio::time::{Instant, interval, sleep};
use walnutmoor::mesh::{journal::Journal, speed::Speeds};
use walnutmoor_core::{bulkhead::Load, id::NodeId, time::Millis};
use walnutmoor_standin::mesh::{caller, instance::Instance};

use crate::fixture::{World, headers, run, until};

/// How long the same machine is slow.
const INTERVAL: Duration = Duration::from_millis(500);

/// How long after a change the nodes may not know it: one run on a slow
/// machine and a report.
const NOTICE_TIME: Duration = Duration::from_millis(150);

/// The metrics of a node, as text.
async fn metrics(world: &World, index: usize) -> String {
    let address = world.pairs[index].node.addresses().metrics;
    let sent =
        caller::send(address, Method::GET, "/metrics", &[], String::new());
    sent.await.unwrap().body
}

/// The value of a metric of a node.
async fn metric(world: &World, index: usize, name: &str) -> f64 {
    let text = metrics(world, index).await;
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(&format!("{name} ")));
    value.unwrap().parse().unwrap()
}

/// Sends requests at a constant rate for a while and waits for their
/// responses.
async fn send_load(world: &World, per_second: u32, span: Duration) {
    let mut timer = interval(Duration::from_secs(1) / per_second);
    let end = Instant::now() + span;
    let mut sent = Vec::new();
    while Instant::now() < end {
        timer.tick().await;
        let address = world.pairs[0].node.addresses().callers;
        let headers = headers(&format!("load-{}", sent.len()), 5_000);
        sent.push(tokio::spawn(async move {
            let body = "body".to_string();
            let path = "/browse/x";
            caller::send(address, Method::POST, path, &headers, body).await
        }));
    }
    for request in sent {
        assert_eq!(request.await.unwrap().map(|r| r.status), Some(200));
    }
}

/// Guards against placement by run times that machines had before.
#[test]
fn requests_follow_a_speed_that_changes_twice_a_second() {
    run(async {
        let world = World::start(&["front", "desk", "desk"]).await;
        let desks: [&Arc<Instance>; 2] =
            [&world.pairs[1].instance, &world.pairs[2].instance];
        for desk in desks {
            desk.set_run_time(Duration::from_millis(50));
            desk.set_speed(100);
        }
        let mut slow = Vec::new();
        let change = async {
            for round in 0..10 {
                let which = round % 2;
                desks[which].set_speed(400);
                desks[1 - which].set_speed(100);
                slow.push((Instant::now(), which));
                sleep(INTERVAL).await;
            }
        };

        tokio::join!(send_load(&world, 60, INTERVAL * 10), change);

        let (mut at_slow, mut all) = (0, 0);
        for (since, which) in slow {
            let known = since + NOTICE_TIME..since + INTERVAL;
            let count = |desk: &Instance| {
                let arrivals = desk.arrivals();
                arrivals.iter().filter(|a| known.contains(&a.at)).count()
            };
            at_slow += count(desks[which]);
            all += count(desks[0]) + count(desks[1]);
        }
        assert!(all > 100, "{all}");
        assert!(at_slow * 8 < all, "{at_slow} of {all}");
    });
}

/// Guards against a figure that stays in force after an instance has ceased to
/// state it.
#[test]
fn a_speed_that_is_no_longer_stated_fades() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        world.pairs[1].instance.set_speed(250);
        world.send_until_ok(0, "browse", "stated").await;

        let known = metric(&world, 1, "walnutmoor_speed_percent").await;
        assert!((100.0..=250.0).contains(&known) && known > 100.0, "{known}");
        until("the change is logged", || async {
            world.pairs[1].node.log().contains("\"event\":\"speed\"")
        })
        .await;

        world.pairs[1].instance.state_speed(None);
        until("the speed counts as usual", || async {
            metric(&world, 1, "walnutmoor_speed_percent").await == 100.0
        })
        .await;
        world.send_until_ok(0, "browse", "after").await;
        let after = metric(&world, 1, "walnutmoor_speed_percent").await;
        assert_eq!(after, 100.0);
    });
}

/// Guards against an implausible report of another node that is not noticed,
/// or fills the log.
#[test]
fn an_implausible_report_is_counted() {
    let speeds = Speeds::default();
    let journal = Journal::silent();
    let node = NodeId(([127, 0, 0, 1], 1).into());
    let report = |text: &str| Load {
        speed: serde_json::from_str(text).unwrap(),
        ..Load::default()
    };

    for (text, malformed) in [
        ("{\"percent\":100,\"age_ms\":0}", 0),
        ("{\"percent\":0,\"age_ms\":0}", 1),
        ("{\"percent\":65535,\"age_ms\":65535}", 2),
        ("{\"percent\":1000,\"age_ms\":65535}", 2),
    ] {
        let load = report(text);
        speeds.check_report(&journal, Millis(0), node, &load);

        assert_eq!(speeds.observed(1.0).malformed, malformed, "{text}");
    }
}

/// Guards against a malformed figure that disturbs requests, the other three
/// figures or the log.
#[test]
fn a_malformed_speed_is_ignored() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        let malformed =
            ["", "0", "9", "1001", "-100", "NaN", "1e2", "x", "100.5"];
        for (round, figure) in malformed.iter().enumerate() {
            world.pairs[1].instance.state_speed(Some(figure));
            for n in 0..5 {
                let id = format!("malformed-{round}-{n}");
                let answer = world.send(0, "order", &id).await.unwrap();
                assert_eq!(answer.status, 200);
            }
        }

        let name = "walnutmoor_speed_malformed_total";
        assert_eq!(metric(&world, 1, name).await, 45.0);
        assert_eq!(metric(&world, 1, "walnutmoor_speed_percent").await, 100.0);
        let faults = || {
            let log = world.pairs[1].node.log();
            log.matches("speed of an instance").count()
        };
        until("the fault is logged", || async { faults() > 0 }).await;
        assert!(faults() <= 2);

        // The slots in the same header of a health check are still valid.
        let pair = &mut world.pairs[1];
        pair.instance.stop_heartbeats();
        sleep(Duration::from_millis(300)).await;
        pair.node.restart();
        world.send_until_ok(0, "order", "restarted").await;
    });
}
