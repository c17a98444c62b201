//! Fair shares of a short instance between client accounts.

use std::time::Duration;

use http::Method;
use serde_json::Value;
use tokio::time::{Instant, interval};
use walnutmoor_core::{
    account::{Account, Quota},
    table::{Effect, Route},
};
use walnutmoor_platform::{header, standin};
use walnutmoor_standin::mesh::{
    caller::{self, Connection, format_request},
    instance::Instance,
};

use crate::fixture::{World, desired, headers, route, run, until};

/// The run time of requests. An instance has seven usable slots, so it serves
/// 70 requests a second.
const RUN_TIME: Duration = Duration::from_millis(100);

/// How long a load lasts. Demand is measured over 0.8 s.
const SPAN: Duration = Duration::from_secs(5);

/// How long the nodes may take to learn run times and demand.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Requests of an account at a constant rate.
struct Load {
    /// The account; its key is its name. `None` for nested calls of `parent`.
    account: Option<&'static str>,
    per_second: u32,
    /// The nodes that they are sent to.
    nodes: &'static [usize],
}

/// What the callers of an account got after [`SETTLE_TIME`].
#[derive(Debug)]
struct Outcome {
    served: usize,
    /// Refused as above the share.
    by_share: usize,
    sent: usize,
}

impl Outcome {
    fn fraction(&self) -> f64 {
        self.served as f64 / self.sent as f64
    }
}

impl Load {
    async fn send(&self, world: &World) -> Outcome {
        let mut timer = interval(Duration::from_secs(1) / self.per_second);
        let start = Instant::now();
        let mut sent = Vec::new();
        while start.elapsed() < SPAN {
            timer.tick().await;
            let number = sent.len();
            let node = self.nodes[number % self.nodes.len()];
            let address = world.pairs[node].node.addresses().callers;
            let id = match self.account {
                Some(account) => format!("{account}-{number}"),
                None => format!("parent.{number}"),
            };
            let mut headers = headers(&id, 5_000);
            if let Some(account) = self.account {
                headers.push((header::KEY, account.to_string()));
            }
            let is_measured = start.elapsed() >= SETTLE_TIME;
            let answer = tokio::spawn(async move {
                let body = "body".to_string();
                caller::send(address, Method::GET, "/stock/x", &headers, body)
                    .await
            });
            sent.push((is_measured, answer));
        }
        let mut outcome = Outcome { served: 0, by_share: 0, sent: 0 };
        for (is_measured, answer) in sent {
            let answer = answer.await.unwrap();
            if !is_measured {
                continue;
            }
            outcome.sent += 1;
            let Some(answer) = answer else {
                continue;
            };
            outcome.served += usize::from(answer.status == 200);
            outcome.by_share += usize::from(answer.body == "share");
        }
        outcome
    }
}

/// Routes of low priority to `parts` and to `desk`.
fn routes() -> Vec<Route> {
    let stock = route("stock", Effect::Idempotent, &[("parts", 1)]);
    let browse = route("browse", Effect::Idempotent, &[("desk", 1)]);
    [stock, browse].map(|route| Route { priority: 2, ..route }).into()
}

/// Nodes of `front`, `desk` and `parts`, where the instance of `parts` is
/// short of capacity if it gets more than 70 requests a second.
async fn world(accounts: &[Account]) -> World {
    let services = ["front", "desk"];
    let mut world = World::start_with(&services, &["fair_shares"]).await;
    world.add("parts").await;
    world.wait_until_connected().await;
    world.pairs[2].instance.set_run_time(RUN_TIME);
    let with_key =
        |account: &Account| (account.clone(), vec![account.name.to_string()]);
    let accounts: Vec<_> = accounts.iter().map(with_key).collect();
    let state = desired(2, &routes());
    let state = standin::with_accounts(&state, &accounts);
    world.store.write_desired(&state);
    for pair in &world.pairs {
        until("the state is adopted", || async {
            pair.node.log().contains("\"version\":2")
        })
        .await;
    }
    world
}

fn account(name: &str) -> Account {
    Account::new(name.parse().unwrap())
}

/// The fractions of an account in the log lines of the short instance's node,
/// after [`SETTLE_TIME`].
fn logged_fractions(world: &World, account: &str) -> Vec<f64> {
    let log = world.pairs[2].node.log();
    let lines = log.lines().map(|line| serde_json::from_str(line).unwrap());
    let lines = lines.filter(|line: &Value| line["event"] == "shares");
    let fractions: Vec<f64> = lines
        .map(|line| line["shares"][account].as_f64().unwrap_or(0.0))
        .collect();
    fractions.into_iter().skip(1).collect()
}

// Without shares, an account that sends three times what an instance can take
// has small accounts rejected as often as itself.
#[test]
fn an_account_that_floods_an_instance_does_not_displace_others() {
    run(async {
        let world = world(&[account("hot"), account("calm")]).await;
        let nodes = &[0, 1];
        let hot = Load { account: Some("hot"), per_second: 210, nodes };
        let calm = Load { account: Some("calm"), per_second: 15, nodes };

        let (hot, calm) = tokio::join!(hot.send(&world), calm.send(&world));

        assert!(calm.fraction() > 0.9, "{calm:?}, hot: {hot:?}");
        assert!(hot.by_share > 0, "{hot:?}");
        // The slots that the other leaves are used.
        let rate = hot.served as f64 / (SPAN - SETTLE_TIME).as_secs_f64();
        assert!(rate > 35.0, "{rate} a second, {hot:?}");
        let fractions = logged_fractions(&world, "hot");
        assert!(fractions.iter().any(|f| *f > 0.8), "{fractions:?}");
        let refused = world.pairs[0].node.log().lines().any(|line| {
            line.contains("\"refused\"") && line.contains("\"share\"")
        });
        assert!(refused, "no log line of a refusal by share");
    });
}

// If nested calls did not inherit the account, calls made for a hot account
// would belong to nobody.
#[test]
fn nested_calls_are_charged_to_the_account_of_their_root() {
    run(async {
        let world = world(&[account("hot"), account("calm")]).await;
        let desk = &world.pairs[1].instance;
        desk.hold("parent");
        let parent = start_parent(&world, desk, "hot").await;
        let hot = Load { account: None, per_second: 150, nodes: &[1] };
        let calm = Load { account: Some("calm"), per_second: 15, nodes: &[0] };

        let (hot, calm) = tokio::join!(hot.send(&world), calm.send(&world));
        drop(parent);

        let fractions = logged_fractions(&world, "hot");
        assert!(fractions.iter().any(|f| *f > 0.8), "{fractions:?}");
        assert!(hot.served > 0, "{hot:?}, calm: {calm:?}");
        // The header that names the account to the instance is absent.
        let parts = &world.pairs[2].instance;
        let named = parts.accounts();
        assert!(named.iter().any(Vec::is_empty));
        assert!(
            named.iter().all(|names| names.is_empty() || names == &["calm"])
        );
    });
}

/// Starts a request of an account that runs until its instance releases it.
async fn start_parent(
    world: &World,
    desk: &Instance,
    account: &str,
) -> Connection {
    let address = world.pairs[1].node.addresses().callers;
    let mut caller = Connection::open(address).await.unwrap();
    let mut headers = headers("parent", 20_000);
    headers.push((header::KEY, account.to_string()));
    let request = format_request(Method::GET, "/browse/x", &headers, "");
    caller.write(&request).await.unwrap();
    until("it runs", || async { desk.runs("parent") == 1 }).await;
    caller
}

// Requests above a cap are refused before they count as demand. Otherwise the
// account would seem to need much and lose what its cap allows.
#[test]
fn requests_above_a_cap_are_not_demand() {
    run(async {
        let capped = account("hot").quota(Quota { rate: 15.0, burst: 1.0 });
        let world = world(&[capped, account("calm")]).await;
        let hot = Load { account: Some("hot"), per_second: 150, nodes: &[0] };
        let calm = Load { account: Some("calm"), per_second: 90, nodes: &[1] };

        let (hot, calm) = tokio::join!(hot.send(&world), calm.send(&world));

        assert!(calm.served > 0, "{calm:?}");
        // 150 of 240 if they counted, and 15 of 105 if not.
        let fractions = logged_fractions(&world, "hot");
        assert!(!fractions.is_empty(), "{hot:?}, calm: {calm:?}");
        assert!(fractions.iter().all(|f| *f < 0.4), "{fractions:?}");
    });
}

// A deployment without accounts has no reports and no refusals by share.
#[test]
fn without_accounts_there_are_no_shares() {
    run(async {
        let world = world(&[]).await;
        let nodes = &[0, 1];
        let load = Load { account: Some("hot"), per_second: 150, nodes };

        let outcome = load.send(&world).await;

        assert!(outcome.served > 0 && outcome.served < outcome.sent);
        assert_eq!(outcome.by_share, 0);
        for pair in &world.pairs {
            assert!(!pair.node.log().contains("\"shares\""));
        }
    });
}

// Operators see the shares of a short instance.
#[test]
fn metrics_show_the_shares_of_a_short_instance() {
    run(async {
        let world = world(&[account("hot"), account("calm")]).await;
        let load =
            Load { account: Some("hot"), per_second: 150, nodes: &[0, 1] };
        let seen = async {
            let mut texts = Vec::new();
            for _ in 0..20 {
                tokio::time::sleep(SPAN / 20).await;
                texts.push(metrics(&world, 2).await);
            }
            texts
        };

        let (_, texts) = tokio::join!(load.send(&world), seen);

        let line = "walnutmoor_share_fraction{account=\"hot\"} 1";
        assert!(texts.iter().any(|text| text.contains(line)));
        let sent = count(texts.last().unwrap(), "reports_sent");
        assert!(sent > 0);
        // Both other nodes are linked to it.
        for index in 0..2 {
            let text = metrics(&world, index).await;
            let received = count(&text, "reports_received");
            assert!(received > 0 && received < sent, "{received} of {sent}");
            assert_eq!(count(&text, "reports_discarded"), 0);
        }
    });
}

async fn metrics(world: &World, index: usize) -> String {
    let address = world.pairs[index].node.addresses().metrics;
    let answer =
        caller::send(address, Method::GET, "/metrics", &[], String::new());
    answer.await.unwrap().body
}

/// The value of a counter of shares.
fn count(text: &str, name: &str) -> u64 {
    let prefix = format!("walnutmoor_share_{name}_total ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    value.unwrap().parse().unwrap()
}
