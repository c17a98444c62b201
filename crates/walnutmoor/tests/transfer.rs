//! The bodies that callers and peers of `walnutmoor node` send or read at their
//! own pace.

use std::time::Duration;

use tokio::time::{sleep, timeout};
use walnutmoor::{
    memory::Room,
    worker::transfer::{Answers, Requests, Transfers},
};
use walnutmoor_core::memory::{Budget, Limit, Pool};
use walnutmoor_standin::wait::run;

const POOL_BYTES: usize = 1_000;

/// Long enough for the rate of a transfer to be known.
const WINDOW: Duration = Duration::from_millis(600);

const SHORT: Duration = Duration::from_millis(50);

fn pool() -> Pool {
    let limit = Limit { reserved: 0, max: POOL_BYTES };
    let (_, [pool]) = Budget::divide(POOL_BYTES, [limit]);
    pool
}

/// Guards against room for an answer that is sought where there is none: among
/// the bodies of requests.
#[test]
fn requests_do_not_give_way_to_answers() {
    run(async {
        let requests =
            Requests { pool: pool(), transfers: Transfers::default() };
        let answers =
            Answers { pool: pool(), transfers: Transfers::default() };
        let request = requests.transfers.begin();
        sleep(WINDOW).await;
        let held = answers.buffer(POOL_BYTES).unwrap();

        let refused = answers.buffer(1);

        assert!(refused.is_none());
        assert!(timeout(SHORT, request.given_up()).await.is_err());
        drop(held);
    });
}

/// Guards against a body that keeps its room although it hardly arrives.
#[test]
fn the_slowest_request_gives_way() {
    run(async {
        let requests =
            Requests { pool: pool(), transfers: Transfers::default() };
        let slow = requests.transfers.begin();
        let fast = requests.transfers.begin();
        sleep(WINDOW).await;
        fast.record(POOL_BYTES);
        sleep(WINDOW).await;
        let held = requests.buffer(POOL_BYTES).unwrap();

        let refused = requests.buffer(1);

        assert!(refused.is_none(), "its memory is freed later");
        assert!(timeout(SHORT, slow.given_up()).await.is_ok());
        assert!(timeout(SHORT, fast.given_up()).await.is_err());
        drop(held);
    });
}
