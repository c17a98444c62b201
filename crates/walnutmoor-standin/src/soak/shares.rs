/*!
A hot client account in a soak: its callers ask for more than `parts` can serve
while other callers, of a calm account, send as always.

The check `fair shares` applies to the time after the faults, since faults may
take away capacity or a node's memory of demand at any time.
*/

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use walnutmoor_core::account::Account;

use super::{
    load::{Caller, MAX_THINK_TIME_MS},
    verdict::{Exchange, Violation},
    world::{ROUTES, SERVICES, World},
};

/// The account of all other callers, and its key.
pub const CALM: &str = "calm";

/// The account that asks for too much, and its key.
pub const HOT: &str = "hot";

/// The run time of the instances that the hot account uses. Three of them
/// serve 420 requests a second in seven slots each.
pub const RUN_TIME: Duration = Duration::from_millis(50);

/// Callers of the hot account at each node. With 6, which is 42 in all, the
/// queues of the instances absorbed what their 21 slots did not, and nothing
/// was refused.
const CALLERS_PER_NODE: u64 = 14;

/// The index of the route that the hot account uses.
const ROUTE: usize = 2;

/// How long the nodes may take to learn run times and demand again after the
/// faults.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// How long the check lasts.
const CHECK_TIME: Duration = Duration::from_secs(5);

/// The fraction of the calm account's requests on the route that must be
/// served. It demands less than its share, and the machine may be busy.
const MIN_SERVED: f64 = 0.9;

/// The accounts with their keys, which equal their names.
pub fn accounts() -> Vec<(Account, Vec<String>)> {
    let account = |name: &&str| {
        let account = Account::new(name.parse().expect("an account name"));
        (account, vec![name.to_string()])
    };
    [CALM, HOT].iter().map(account).collect()
}

/// The key for a request, which equals the name of its account.
pub(super) fn key_of(id: &str) -> &'static str {
    if id.starts_with(HOT) { HOT } else { CALM }
}

/// Starts the callers of the hot account.
pub fn spawn_hot(
    load: &mut JoinSet<()>,
    world: &Arc<World>,
    seed: u64,
    stop: &Arc<AtomicBool>,
) {
    for node in 0..SERVICES.len() {
        for index in 0..CALLERS_PER_NODE {
            let caller = Caller {
                node,
                id_prefix: format!("{HOT}{seed}-{node}-{index}"),
                seed: seed * 1_000 + node as u64 * 10 + index,
            };
            load.spawn(run_hot(caller, world.clone(), stop.clone()));
        }
    }
}

async fn run_hot(caller: Caller, world: Arc<World>, stop: Arc<AtomicBool>) {
    let mut rng = ChaCha8Rng::seed_from_u64(!caller.seed);
    let mut connection = None;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{}-{number}", caller.id_prefix);
        caller.send_on(&world, &mut connection, (ROUTE, id)).await;
        sleep(Duration::from_millis(rng.next_u64() % MAX_THINK_TIME_MS)).await;
    }
}

/// Lets the load go on without faults, and returns the time that is checked.
pub async fn observe() -> (Instant, Instant) {
    sleep(SETTLE_TIME).await;
    let from = Instant::now();
    sleep(CHECK_TIME).await;
    (from, Instant::now())
}

/// Checks that the hot account was short of capacity between two times and
/// that the calm one was not.
pub fn check(
    exchanges: &[Exchange],
    (from, to): (Instant, Instant),
) -> Vec<Violation> {
    let service = ROUTES[ROUTE].1;
    let is_checked = |exchange: &&Exchange| {
        exchange.service.as_str() == service
            && exchange.at >= from
            && exchange.ended_at <= to
    };
    let served = |is_hot: bool| {
        let own = exchanges.iter().filter(is_checked);
        let own = own.filter(|e| e.id.starts_with(HOT) == is_hot);
        let served = own
            .clone()
            .filter(|exchange| matches!(exchange.response, Some((200, _))));
        (served.count(), own.count())
    };
    let fraction =
        |(served, sent): (usize, usize)| served as f64 / sent.max(1) as f64;
    let (hot, calm) = (served(true), served(false));
    let violation =
        |detail: String| Violation { invariant: "fair shares", detail };
    let mut violations = Vec::new();
    if fraction(hot) > MIN_SERVED {
        violations.push(violation(format!(
            "nothing was short: {} of {} requests of the hot account were \
             served",
            hot.0, hot.1
        )));
    }
    if fraction(calm) < MIN_SERVED {
        violations.push(violation(format!(
            "{} of {} requests of the calm account were served, and {} of {} \
             of the hot one",
            calm.0, calm.1, hot.0, hot.1
        )));
    }
    violations
}
