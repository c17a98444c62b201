//! Configuration changes during outages and races.

use http::Method;
use walnutmoor_core::platform::Key;
use walnutmoor_standin::{
    client::{Attempt, Outcome},
    platform::Fault,
};

use super::fixture::*;

async fn three_nodes() -> Cluster {
    Cluster::start(&[plan("top", "a"), plan("top", "b"), plan("top", "a")])
        .await
}

fn put_class(within_ms: u64) -> Attempt {
    let body = format!(
        "{{\"kind\":\"browse\",\"target\":{{\"share\":\"90%\",\
         \"within\":\"{within_ms}ms\"}}}}"
    );
    Attempt {
        method: Method::PUT,
        ..Attempt::get("/v1/classes/changed").body(body)
    }
}

async fn send_to_operator(
    cluster: &Cluster,
    index: usize,
    attempt: Attempt,
) -> Outcome {
    let node = cluster.pairs[index].node.operator_address();
    cluster.client.send(node, attempt).await
}

async fn wait_for_revision(cluster: &Cluster, revision: u64) {
    for index in 0..cluster.pairs.len() {
        until("in force everywhere", || async {
            cluster.revision(index).await >= revision
        })
        .await;
    }
}

#[test]
fn an_accepted_change_comes_into_force_everywhere() {
    run(async {
        let cluster = three_nodes().await;

        let response = send_to_operator(&cluster, 1, put_class(1_000)).await;

        assert!(response.is_success(), "{response:?}");
        wait_for_revision(&cluster, 3).await;
        let node = cluster.pairs[2].node.operator_address();
        let audit = cluster.get_json(node, "/v1/audit").await;
        let entries = audit.as_array().unwrap();
        assert_eq!(entries.len(), 3);
        assert_eq!(entries[2]["revision"], 3);
    });
}

#[test]
fn only_one_of_concurrent_changes_with_one_base_succeeds() {
    run(async {
        let cluster = three_nodes().await;
        let with_base = |n| put_class(n).header("if-match", "\"2\"");

        let (a, b, c) = tokio::join!(
            send_to_operator(&cluster, 0, with_base(1)),
            send_to_operator(&cluster, 1, with_base(2)),
            send_to_operator(&cluster, 2, with_base(3)),
        );

        let responses = [a, b, c];
        let succeeded = responses.iter().filter(|c| c.is_success()).count();
        assert_eq!(succeeded, 1, "{responses:?}");
        for conflict in responses.iter().filter(|c| !c.is_success()) {
            let expected = ("conflict".to_string(), "no".to_string());
            assert_eq!(refusal(conflict), expected);
        }
        wait_for_revision(&cluster, 3).await;
    });
}

#[test]
fn a_lost_answer_to_a_write_is_resolved_by_reading() {
    run(async {
        let cluster = three_nodes().await;
        cluster.platform.set_fault(Fault::LoseResponses);

        let response = send_to_operator(&cluster, 0, put_class(1_000)).await;

        // The write took effect once, and the operator gets a success.
        assert!(response.is_success(), "{response:?}");
        let stored = cluster.platform.read(&Key::config()).unwrap();
        assert!(stored.value.contains("\"changed\""));
        assert!(stored.value.starts_with("{\"revision\":3"));
        wait_for_revision(&cluster, 3).await;
    });
}

#[test]
fn during_an_outage_changes_fail_and_calls_succeed() {
    run(async {
        let cluster = three_nodes().await;
        cluster.platform.set_fault(Fault::Down);

        let response = send_to_operator(&cluster, 0, put_class(1_000)).await;
        let call = cluster.send(1, browse("top", "outage")).await;
        cluster.platform.set_fault(Fault::None);

        assert_eq!(refusal(&response).0, "platform_down");
        assert!(call.is_success(), "{call:?}");
        until("changes are accepted again", || async {
            send_to_operator(&cluster, 0, put_class(2_000)).await.is_success()
        })
        .await;
    });
}

#[test]
fn an_older_configuration_in_the_store_is_not_adopted() {
    run(async {
        let cluster = three_nodes().await;
        let old = cluster.platform.read(&Key::config()).unwrap();
        assert!(
            send_to_operator(&cluster, 0, put_class(1_000)).await.is_success()
        );
        wait_for_revision(&cluster, 3).await;

        cluster.platform.restore(Key::config(), old);

        // The nodes write the newer configuration back and do not revert.
        until("the store has the newer configuration", || async {
            let stored = cluster.platform.read(&Key::config()).unwrap();
            stored.value.starts_with("{\"revision\":3")
        })
        .await;
        for index in 0..3 {
            assert_eq!(cluster.revision(index).await, 3);
        }
    });
}

#[test]
fn a_restarted_node_gets_the_configuration_from_peers_in_an_outage() {
    run(async {
        let mut cluster = three_nodes().await;
        assert!(
            send_to_operator(&cluster, 0, put_class(1_000)).await.is_success()
        );
        wait_for_revision(&cluster, 3).await;
        cluster.platform.set_fault(Fault::Down);

        cluster.pairs[2].node.restart();

        // It cannot read its contacts from the platform; its peers contact it.
        until("it serves the newest configuration", || async {
            cluster.revision(2).await == 3
                && cluster.status(2).await["status"]["stage"] == "serving"
        })
        .await;
    });
}
