//! Killed, frozen and draining nodes.

use std::time::Duration;

use walnutmoor_standin::client::Outcome;

use super::fixture::*;

/// Three nodes of one service in two zones.
async fn three_nodes() -> Cluster {
    Cluster::start(&[plan("top", "a"), plan("top", "b"), plan("top", "a")])
        .await
}

#[test]
fn a_killed_node_is_removed_and_rejoins_after_a_restart() {
    run(async {
        let mut cluster = three_nodes().await;

        cluster.pairs[2].node.kill();
        until("the others remove it", || async {
            let one = cluster.status(0).await;
            let two = cluster.status(1).await;
            one["status"]["members"] == 2 && two["status"]["members"] == 2
        })
        .await;
        for n in 0..20 {
            let response = cluster.send(n % 2, browse("top", "gone")).await;
            assert!(response.is_success(), "{response:?}");
        }

        cluster.pairs[2].node.restart();
        cluster.wait_until_serving().await;
    });
}

#[test]
fn a_frozen_owner_does_not_run_a_call_reported_as_not_run() {
    run(async {
        let cluster = three_nodes().await;
        let ticket = cluster.ticket(0).await;

        cluster.pairs[0].node.signal("STOP");
        until("the others remove it", || async {
            cluster.status(1).await["status"]["members"] == 2
        })
        .await;
        let response = cluster.send(1, order("top", "frozen", &ticket)).await;
        cluster.pairs[0].node.signal("CONT");

        let (kind, ran) = refusal(&response);
        assert_eq!((kind.as_str(), ran.as_str()), ("owner_silent", "no"));
        cluster.wait_until_serving().await;
        // The owner still has the ticket, but the witness refuses the mark.
        let second = cluster.send(0, order("top", "frozen", &ticket)).await;
        assert_eq!(refusal(&second).1, "no");
        assert_eq!(cluster.oracle.runs_of("top", "frozen"), 0);
    });
}

#[test]
fn the_outcome_after_the_owner_is_killed_is_unknown() {
    run(async {
        let slow = Plan {
            service_time: Duration::from_secs(600),
            ..plan("top", "b")
        };
        let mut cluster =
            Cluster::start(&[plan("gate", "a"), slow, plan("gate", "a")])
                .await;
        let ticket = cluster.ticket(0).await;
        let owner = cluster.pairs[0].node.caller_address();
        let (client, attempt) =
            (cluster.client.clone(), order("top", "lost", &ticket));
        let first =
            tokio::spawn(async move { client.send(owner, attempt).await });
        let backend = cluster.pairs[1].backend.clone();
        until("the call runs", || async { backend.running() == 1 }).await;

        cluster.pairs[0].node.kill();
        let response = first.await.unwrap();
        until("the others remove it", || async {
            cluster.status(1).await["status"]["members"] == 2
        })
        .await;
        let second = cluster.send(2, order("top", "lost", &ticket)).await;

        assert!(matches!(response, Outcome::ConnectionFailed), "{response:?}");
        assert_eq!(refusal(&second).1, "unknown");
        assert_eq!(cluster.oracle.runs_of("top", "lost"), 1);
    });
}

#[test]
fn a_restarted_owner_does_not_run_tickets_of_an_earlier_incarnation() {
    run(async {
        let mut cluster = three_nodes().await;
        let ticket = cluster.ticket(0).await;

        cluster.pairs[0].node.restart();
        cluster.wait_until_serving().await;
        let response = cluster.send(0, order("top", "former", &ticket)).await;

        assert_eq!(refusal(&response).1, "no");
        assert_eq!(cluster.oracle.runs_of("top", "former"), 0);
    });
}

#[test]
fn a_restarted_witness_does_not_grant_a_mark() {
    run(async {
        let mut cluster = three_nodes().await;
        let ticket = cluster.ticket(0).await;
        let witness = cluster.witness_of(&ticket);
        assert_ne!(witness, 0);

        cluster.pairs[witness].node.restart();
        cluster.wait_until_serving().await;
        let response =
            cluster.send(0, order("top", "stranger", &ticket)).await;

        // Without a mark, the owner refuses the call and does not run it.
        let (kind, ran) = refusal(&response);
        assert_eq!((kind.as_str(), ran.as_str()), ("witness_silent", "no"));
        assert_eq!(cluster.oracle.runs_of("top", "stranger"), 0);
    });
}

#[test]
fn a_drain_finishes_calls_in_flight_and_refuses_new_ones() {
    run(async {
        let slow =
            Plan { service_time: Duration::from_secs(2), ..plan("top", "b") };
        let mut cluster = Cluster::start(&[plan("gate", "a"), slow]).await;
        let backend = cluster.pairs[1].backend.clone();
        let gate = cluster.pairs[0].node.caller_address();
        let in_flight = ["flight1", "flight2"].map(|request| {
            let attempt = browse("top", request);
            let client = cluster.client.clone();
            tokio::spawn(async move { client.send(gate, attempt).await })
        });
        until("both calls run", || async { backend.running() == 2 }).await;

        cluster.pairs[1].node.signal("TERM");
        until("the other node stops sending calls", || async {
            let response = cluster.send(0, browse("top", "probe")).await;
            !response.is_success()
        })
        .await;
        let last_start = backend.last_call_start();
        let later = cluster.send(0, browse("top", "later")).await;
        until("the node has left", || {
            let ended = cluster.pairs[1].node.has_ended();
            async move { ended }
        })
        .await;

        for call in in_flight {
            let response = call.await.unwrap();
            assert!(response.is_success(), "{response:?}");
        }
        assert_eq!(cluster.pairs[1].node.exit_code(), Some(0));
        assert_eq!(refusal(&later).1, "no");
        assert_eq!(cluster.oracle.runs_of("top", "later"), 0);
        assert_eq!(backend.last_call_start(), last_start);
    });
}

#[test]
fn a_drain_does_not_need_the_platform() {
    run(async {
        let mut cluster = three_nodes().await;
        cluster.platform.set_fault(walnutmoor_standin::platform::Fault::Down);

        cluster.pairs[1].node.signal("TERM");
        until("the node has left", || {
            let ended = cluster.pairs[1].node.has_ended();
            async move { ended }
        })
        .await;

        until("the others remove it", || async {
            cluster.status(0).await["status"]["members"] == 2
        })
        .await;
        let response = cluster.send(0, browse("top", "still")).await;
        assert!(response.is_success(), "{response:?}");
    });
}
