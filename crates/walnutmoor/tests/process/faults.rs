//! Kills, freezes and drains.

use std::time::Duration;

use walnutmoor_standin::client::Outcome;

use super::fixture::*;

/// Three nodes of one service in two zones.
async fn three() -> World {
    World::start(&[plan("top", "a"), plan("top", "b"), plan("top", "a")]).await
}

#[test]
fn a_killed_node_is_dropped_and_returns_as_another_life() {
    run(async {
        let mut world = three().await;

        world.pairs[2].node.kill();
        until("the others drop it", || async {
            let one = world.status(0).await;
            let two = world.status(1).await;
            one["status"]["members"] == 2 && two["status"]["members"] == 2
        })
        .await;
        for n in 0..20 {
            let came = world.send(n % 2, browse("top", "gone")).await;
            assert!(came.is_success(), "{came:?}");
        }

        world.pairs[2].node.restart();
        world.whole().await;
    });
}

#[test]
fn a_frozen_owner_never_runs_what_was_told_not_run() {
    run(async {
        let world = three().await;
        let ticket = world.ticket(0).await;

        world.pairs[0].node.signal("STOP");
        until("the others drop it", || async {
            world.status(1).await["status"]["members"] == 2
        })
        .await;
        let came = world.send(1, order("top", "frozen", &ticket)).await;
        world.pairs[0].node.signal("CONT");

        let (kind, ran) = refusal(&came);
        assert_eq!((kind.as_str(), ran.as_str()), ("owner_silent", "no"));
        world.whole().await;
        // The owner itself still knows the ticket, asks for its mark, and
        // is refused it.
        let again = world.send(0, order("top", "frozen", &ticket)).await;
        assert_eq!(refusal(&again).1, "no");
        assert_eq!(world.oracle.runs_of("top", "frozen"), 0);
    });
}

#[test]
fn a_killed_owner_leaves_an_honest_unknown() {
    run(async {
        let slow = Plan { time: Duration::from_secs(600), ..plan("top", "b") };
        let mut world =
            World::start(&[plan("gate", "a"), slow, plan("gate", "a")]).await;
        let ticket = world.ticket(0).await;
        let owner = world.pairs[0].node.caller_address();
        let (client, attempt) =
            (world.client.clone(), order("top", "lost", &ticket));
        let first =
            tokio::spawn(async move { client.send(owner, attempt).await });
        let backend = world.pairs[1].backend.clone();
        until("it runs", || async { backend.running() == 1 }).await;

        world.pairs[0].node.kill();
        let came = first.await.unwrap();
        until("the others drop it", || async {
            world.status(1).await["status"]["members"] == 2
        })
        .await;
        let asked = world.send(2, order("top", "lost", &ticket)).await;

        assert!(matches!(came, Outcome::ConnectionFailed), "{came:?}");
        assert_eq!(refusal(&asked).1, "unknown");
        assert_eq!(world.oracle.runs_of("top", "lost"), 1);
    });
}

#[test]
fn a_restarted_owner_does_not_run_tickets_of_its_former_life() {
    run(async {
        let mut world = three().await;
        let ticket = world.ticket(0).await;

        world.pairs[0].node.restart();
        world.whole().await;
        let came = world.send(0, order("top", "former", &ticket)).await;

        assert_eq!(refusal(&came).1, "no");
        assert_eq!(world.oracle.runs_of("top", "former"), 0);
    });
}

#[test]
fn a_restarted_witness_cannot_tell() {
    run(async {
        let mut world = three().await;
        let ticket = world.ticket(0).await;
        let witness = world.witness_of(&ticket);
        assert_ne!(witness, 0);

        world.pairs[witness].node.restart();
        world.whole().await;
        let came = world.send(0, order("top", "stranger", &ticket)).await;

        // Without a mark the owner does not run it, and says so.
        let (kind, ran) = refusal(&came);
        assert_eq!((kind.as_str(), ran.as_str()), ("witness_silent", "no"));
        assert_eq!(world.oracle.runs_of("top", "stranger"), 0);
    });
}

#[test]
fn a_drain_cuts_nothing_and_takes_nothing_new() {
    run(async {
        let slow = Plan { time: Duration::from_secs(2), ..plan("top", "b") };
        let mut world = World::start(&[plan("gate", "a"), slow]).await;
        let backend = world.pairs[1].backend.clone();
        let gate = world.pairs[0].node.caller_address();
        let flights = ["flight1", "flight2"].map(|request| {
            let attempt = browse("top", request);
            let client = world.client.clone();
            tokio::spawn(async move { client.send(gate, attempt).await })
        });
        until("both run", || async { backend.running() == 2 }).await;

        world.pairs[1].node.signal("TERM");
        until("the gate knows", || async {
            let came = world.send(0, browse("top", "probe")).await;
            !came.is_success()
        })
        .await;
        let last = backend.last_call_start();
        let later = world.send(0, browse("top", "later")).await;
        until("the node has left", || {
            let ended = world.pairs[1].node.has_ended();
            async move { ended }
        })
        .await;

        for flight in flights {
            let came = flight.await.unwrap();
            assert!(came.is_success(), "{came:?}");
        }
        assert_eq!(world.pairs[1].node.exit_code(), Some(0));
        assert_eq!(refusal(&later).1, "no");
        assert_eq!(world.oracle.runs_of("top", "later"), 0);
        assert_eq!(backend.last_call_start(), last);
    });
}

#[test]
fn a_drain_needs_no_platform() {
    run(async {
        let mut world = three().await;
        world.platform.set_fault(walnutmoor_standin::platform::Fault::Down);

        world.pairs[1].node.signal("TERM");
        until("the node has left", || {
            let ended = world.pairs[1].node.has_ended();
            async move { ended }
        })
        .await;

        until("the others know", || async {
            world.status(0).await["status"]["members"] == 2
        })
        .await;
        let came = world.send(0, browse("top", "still")).await;
        assert!(came.is_success(), "{came:?}");
    });
}
