//! Changes of configuration under outages and races.

use http::Method;
use walnutmoor_core::platform::Key;
use walnutmoor_standin::{
    client::{Attempt, Outcome},
    platform::Fault,
};

use super::fixture::*;

async fn three() -> World {
    World::start(&[plan("top", "a"), plan("top", "b"), plan("top", "a")]).await
}

fn change(within: u64) -> Attempt {
    let body = format!(
        "{{\"kind\":\"browse\",\"target\":{{\"share\":\"90%\",\
         \"within\":\"{within}ms\"}}}}"
    );
    Attempt {
        method: Method::PUT,
        ..Attempt::get("/v1/classes/changed").body(body)
    }
}

async fn operate(world: &World, index: usize, attempt: Attempt) -> Outcome {
    let node = world.pairs[index].node.operator_address();
    world.client.send(node, attempt).await
}

async fn everywhere(world: &World, revision: u64) {
    for index in 0..world.pairs.len() {
        until("in force everywhere", || async {
            world.revision(index).await >= revision
        })
        .await;
    }
}

#[test]
fn an_accepted_change_comes_into_force_everywhere() {
    run(async {
        let world = three().await;

        let came = operate(&world, 1, change(1_000)).await;

        assert!(came.is_success(), "{came:?}");
        everywhere(&world, 3).await;
        let node = world.pairs[2].node.operator_address();
        let audit = world.get_json(node, "/v1/audit").await;
        let entries = audit.as_array().unwrap();
        assert_eq!(entries.len(), 3);
        assert_eq!(entries[2]["revision"], 3);
    });
}

#[test]
fn of_operators_who_race_on_one_base_one_wins() {
    run(async {
        let world = three().await;
        let based = |n| change(n).header("if-match", "\"2\"");

        let (a, b, c) = tokio::join!(
            operate(&world, 0, based(1)),
            operate(&world, 1, based(2)),
            operate(&world, 2, based(3)),
        );

        let came = [a, b, c];
        let won = came.iter().filter(|c| c.is_success()).count();
        assert_eq!(won, 1, "{came:?}");
        for lost in came.iter().filter(|c| !c.is_success()) {
            let told = ("conflict".to_string(), "no".to_string());
            assert_eq!(refusal(lost), told);
        }
        everywhere(&world, 3).await;
    });
}

#[test]
fn an_answer_lost_after_effect_is_settled_by_reading_back() {
    run(async {
        let world = three().await;
        world.platform.set_fault(Fault::LoseResponses);

        let came = operate(&world, 0, change(1_000)).await;

        // The write took effect once, and the operator is told so.
        assert!(came.is_success(), "{came:?}");
        let stored = world.platform.read(&Key::config()).unwrap();
        assert!(stored.value.contains("\"changed\""));
        assert!(stored.value.starts_with("{\"revision\":3"));
        everywhere(&world, 3).await;
    });
}

#[test]
fn an_outage_refuses_changes_and_stops_no_call() {
    run(async {
        let world = three().await;
        world.platform.set_fault(Fault::Down);

        let came = operate(&world, 0, change(1_000)).await;
        let call = world.send(1, browse("top", "outage")).await;
        world.platform.set_fault(Fault::None);

        assert_eq!(refusal(&came).0, "platform_down");
        assert!(call.is_success(), "{call:?}");
        until("changes are accepted again", || async {
            operate(&world, 0, change(2_000)).await.is_success()
        })
        .await;
    });
}

#[test]
fn a_store_that_comes_back_older_is_not_believed() {
    run(async {
        let world = three().await;
        let old = world.platform.read(&Key::config()).unwrap();
        assert!(operate(&world, 0, change(1_000)).await.is_success());
        everywhere(&world, 3).await;

        world.platform.restore(Key::config(), old);

        // The newer configuration is written back, and no node reverts.
        until("the store is mended", || async {
            let stored = world.platform.read(&Key::config()).unwrap();
            stored.value.starts_with("{\"revision\":3")
        })
        .await;
        for index in 0..3 {
            assert_eq!(world.revision(index).await, 3);
        }
    });
}

#[test]
fn a_fresh_node_in_an_outage_learns_from_peers_of_two_zones() {
    run(async {
        let mut world = three().await;
        assert!(operate(&world, 0, change(1_000)).await.is_success());
        everywhere(&world, 3).await;
        world.platform.set_fault(Fault::Down);

        world.pairs[2].node.restart();

        // It cannot read its contacts either; its peers find it.
        until("it serves the newest", || async {
            world.revision(2).await == 3
                && world.status(2).await["status"]["stage"] == "serving"
        })
        .await;
    });
}
