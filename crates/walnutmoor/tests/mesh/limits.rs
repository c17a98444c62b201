//! Instances that name a rate limit in their responses.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, interval, sleep};
use walnutmoor_platform::header;
use walnutmoor_standin::mesh::{
    caller,
    instance::Instance,
    window::{self, WINDOW},
};

use crate::fixture::{World, headers, run, until};

/// How long after its first response with a limit an instance must get no
/// more than it.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// How long a node that has passed on a limit may exceed it.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Requests at a constant rate, spread over some nodes.
struct Load<'a> {
    nodes: &'a [usize],
    per_second: u32,
    span: Duration,
}

impl Load<'_> {
    /// Sends the requests and returns the statuses of their responses; 0 if
    /// there was none.
    async fn send(&self, world: &World, name: &str) -> Vec<u16> {
        let mut timer = interval(Duration::from_secs(1) / self.per_second);
        let until = Instant::now() + self.span;
        let mut sent = Vec::new();
        while Instant::now() < until {
            timer.tick().await;
            let node = self.nodes[sent.len() % self.nodes.len()];
            let address = world.pairs[node].node.addresses().callers;
            let headers = headers(&format!("{name}-{}", sent.len()), 5_000);
            sent.push(tokio::spawn(async move {
                let body = "body".to_string();
                let method = http::Method::POST;
                caller::send(address, method, "/order/x", &headers, body).await
            }));
        }
        let mut statuses = Vec::new();
        for request in sent {
            let answer = request.await.unwrap();
            statuses.push(answer.map_or(0, |answer| answer.status));
        }
        statuses
    }
}

/// The most requests that reached an instance within a window, from `since`.
fn peak(instance: &Instance, since: Instant) -> usize {
    let arrivals = instance.arrivals();
    let times = arrivals.iter().map(|arrival| arrival.at);
    window::peak(times.filter(|at| *at >= since))
}

#[test]
fn a_limited_instance_gets_no_more_than_it_takes() {
    run(async {
        let world = World::start(&["front", "desk", "desk", "desk"]).await;
        let limited: [&Arc<Instance>; 2] =
            [&world.pairs[1].instance, &world.pairs[2].instance];
        limited.iter().for_each(|desk| desk.name_limit(Some("12.5")));
        let since = Instant::now() + NOTICE_TIME;
        let span = SETTLE_TIME + WINDOW;

        let load = Load { nodes: &[0, 1, 2, 3], per_second: 150, span };
        let statuses = load.send(&world, "limited").await;

        assert!(statuses.iter().all(|status| *status == 200));
        for desk in limited {
            let (peak, allowed) = (peak(desk, since), window::allowed(12.5));
            assert!(peak <= allowed, "{peak} of {allowed}");
        }
    });
}

#[test]
fn a_restarted_node_keeps_to_the_limit_of_its_instance() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        world.pairs[1].instance.name_limit(Some("0.5"));
        for pair in &world.pairs {
            pair.instance.set_run_time(Duration::from_millis(250));
        }
        let since = Instant::now() + NOTICE_TIME;

        let load = |span| Load { nodes: &[0, 2], per_second: 60, span };
        load(SETTLE_TIME).send(&world, "before").await;
        world.pairs[1].node.restart();
        until("the node is ready again", || world.is_ready(1)).await;
        load(WINDOW).send(&world, "after").await;

        let desk = &world.pairs[1].instance;
        let (peak, allowed) = (peak(desk, since), window::allowed(0.5));
        assert!(peak <= allowed, "{peak} of {allowed}");
    });
}

#[test]
fn a_frozen_node_keeps_to_the_limit_of_its_instance() {
    run(async {
        // No sibling takes what exceeds the limit.
        let world = World::start(&["front", "desk"]).await;
        world.pairs[1].instance.name_limit(Some("5"));
        let since = Instant::now() + NOTICE_TIME;
        let span = SETTLE_TIME + WINDOW;

        let load = Load { nodes: &[0], per_second: 60, span };
        let freeze = async {
            sleep(SETTLE_TIME).await;
            world.pairs[1].node.signal("STOP");
            sleep(Duration::from_millis(1_500)).await;
            world.pairs[1].node.signal("CONT");
        };
        tokio::join!(load.send(&world, "frozen"), freeze);

        let desk = &world.pairs[1].instance;
        let (peak, allowed) = (peak(desk, since), window::allowed(5.0));
        assert!(peak <= allowed, "{peak} of {allowed}");
    });
}

#[test]
fn a_limit_that_is_no_longer_named_ends() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;
        desk.name_limit(Some("0"));
        world.send_until_ok(0, "order", "limited").await;
        desk.name_limit(None);

        world.send_until_ok(0, "order", "probe").await;
        until("the limit has ended", || async {
            world.send(0, "browse", "end").await;
            world.pairs[1].node.log().contains("\"change\":\"ended\"")
        })
        .await;

        for n in 0..50 {
            let id = format!("after-{n}");
            let answer = world.send(0, "order", &id).await.unwrap();
            assert_eq!(answer.status, 200);
        }
    });
}

#[test]
fn a_malformed_limit_is_ignored() {
    run(async {
        let world = World::start(&["front", "desk"]).await;
        let desk = &world.pairs[1].instance;

        let twice = format!("5\r\n{}: 6", header::NAMED_LIMIT);
        for limit in ["", "-1", "NaN", "inf", "many", "1e999", &twice] {
            desk.name_limit(Some(limit));
            for n in 0..10 {
                let id = format!("malformed-{limit}-{n}");
                let answer = world.send(0, "order", &id).await.unwrap();
                assert_eq!(answer.status, 200);
            }
        }

        let log = world.pairs[1].node.log();
        let faults =
            log.lines().filter(|line| line.contains("limit of an instance"));
        assert_eq!(faults.count(), 1);
    });
}
