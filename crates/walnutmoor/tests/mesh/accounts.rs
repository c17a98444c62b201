//! Client accounts: keys at the entry node, the account header sent to
//! instances, and quotas.

use http::{HeaderName, Method};
use walnutmoor_core::{
    account::{Account, Quota},
    table::Effect,
};
use walnutmoor_platform::{header, standin};
use walnutmoor_standin::{
    mesh::caller::{self, Connection, Response, format_request},
    soak::proxy::Mode,
};

use crate::fixture::{
    World, desired, guarantees_not_run, headers, route, routes, run, until,
};

static KEY_NAME: HeaderName = header::KEY;
static ACCOUNT_NAME: HeaderName = header::ACCOUNT;

const KEY: &str = "kmgjqnirth5mgjy5rcpi";
const OTHER: &str = "hhacruddedev3nax7u27";

fn account(name: &str, keys: &[&str]) -> (Account, Vec<String>) {
    let keys = keys.iter().map(ToString::to_string);
    (Account::new(name.parse().unwrap()), keys.collect())
}

/// A desired state with these accounts and a public route.
fn state(version: u64, accounts: &[(Account, Vec<String>)]) -> String {
    let mut routes = routes();
    let mut public = route("open", Effect::Idempotent, &[("desk", 1)]);
    public.is_public = true;
    routes.push(public);
    standin::with_accounts(&desired(version, &routes), accounts)
}

/// Writes a desired state, and waits until all nodes have adopted it.
async fn adopt(world: &World, version: u64, state: &str) {
    world.store.write_desired(state);
    let field = format!("\"version\":{version},");
    for pair in &world.pairs {
        until("the state is adopted", || async {
            let log = pair.node.log();
            let mut lines = log.lines();
            lines.any(|l| l.contains("\"desired\"") && has(l, &field))
        })
        .await;
    }
}

/// True if a JSON line has the field, which ends in a comma here, in the
/// middle or at the end of an object.
fn has(line: &str, field: &str) -> bool {
    let last = field.replace(',', "}");
    line.contains(field) || line.contains(&last)
}

async fn world() -> World {
    let world = World::start(&["front", "desk"]).await;
    let accounts = [account("acme", &[KEY]), account("bolt", &[OTHER])];
    adopt(&world, 2, &state(2, &accounts)).await;
    world
}

/// Sends a request with additional header lines.
async fn send(
    world: &World,
    index: usize,
    route: &str,
    attempt: &str,
    lines: &[(&str, &str)],
) -> Response {
    let address = world.pairs[index].node.addresses().callers;
    let path = format!("/{route}/x");
    let mut text =
        format_request(Method::POST, &path, &headers(attempt, 5_000), "b");
    let mut added = String::new();
    for (name, value) in lines {
        added.push_str(&format!("{name}: {value}\r\n"));
    }
    let head_start = text.find("\r\n").unwrap() + 2;
    text.insert_str(head_start, &added);
    caller::send_raw(address, &text).await.unwrap()
}

fn key(key: &str) -> [(&'static str, &str); 1] {
    [(KEY_NAME.as_str(), key)]
}

#[test]
fn an_instance_receives_the_account_and_never_the_key() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[1].instance;
        let forged = ACCOUNT_NAME.as_str().to_uppercase();

        for (n, index) in [0, 1].into_iter().enumerate() {
            let lines = [
                (ACCOUNT_NAME.as_str(), "bolt"),
                (forged.as_str(), "bolt"),
                (KEY_NAME.as_str(), KEY),
            ];
            let id = format!("a{n}");
            let answer = send(&world, index, "order", &id, &lines).await;
            assert_eq!(answer.status, 200);
        }

        assert_eq!(desk.accounts(), [["acme"], ["acme"]]);
        assert!(!desk.has_seen_key());
    });
}

#[test]
fn a_request_without_a_valid_key_is_refused_and_does_not_run() {
    run(async {
        let world = world().await;
        let name = KEY_NAME.as_str();
        let wrong_case = KEY.to_uppercase();
        let long = "k".repeat(12_000);
        let invalid: [&[(&str, &str)]; 8] = [
            &[],
            &[(name, "")],
            &[(name, "unknown")],
            &[(name, &wrong_case)],
            &[(name, KEY), (name, KEY)],
            &[(name, KEY), (name, OTHER)],
            &[(name, "\u{fffd}")],
            &[(name, &long)],
        ];

        for (n, lines) in invalid.into_iter().enumerate() {
            let id = format!("odd{n}");
            let answer = send(&world, 0, "order", &id, lines).await;

            assert_eq!(answer.status, 401, "{lines:?}");
            assert!(!answer.headers.contains_key(http::header::RETRY_AFTER));
            assert_eq!(world.runs(&id), 0);
        }
        let huge = "k".repeat(100_000);
        let answer = send(&world, 0, "order", "huge", &key(&huge)).await;
        assert_eq!(answer.status, 431);
        assert_eq!(world.runs("huge"), 0);
    });
}

#[test]
fn a_public_route_needs_no_key() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[1].instance;
        let forged = [(ACCOUNT_NAME.as_str(), "bolt")];

        let answer = send(&world, 0, "open", "p1", &forged).await;

        assert_eq!(answer.status, 200);
        assert_eq!(desk.accounts(), [Vec::<String>::new()]);
    });
}

#[test]
fn nested_calls_need_no_key_and_similar_ids_are_refused() {
    run(async {
        let world = world().await;
        let desk = &world.pairs[1].instance;
        desk.hold("parent");
        let address = world.pairs[1].node.addresses().callers;
        let mut caller = Connection::open(address).await.unwrap();
        let name = header::KEY;
        let mut with_key = headers("parent", 20_000);
        with_key.push((name, KEY.into()));
        let bytes = format_request(Method::GET, "/browse/x", &with_key, "");
        caller.write(&bytes).await.unwrap();
        until("it runs", || async { desk.runs("parent") == 1 }).await;

        let call = send(&world, 1, "browse", "parent.1", &[]).await;
        let elsewhere = send(&world, 0, "browse", "parent.2", &[]).await;
        let forged = send(&world, 1, "browse", "nobody.1", &[]).await;
        desk.release("parent");
        assert_eq!(caller.read().await.unwrap().status, 200);
        let late = send(&world, 1, "browse", "parent.3", &[]).await;

        assert_eq!(call.status, 200);
        assert_eq!(desk.accounts()[1], Vec::<String>::new());
        for (answer, id) in
            [(elsewhere, "parent.2"), (forged, "nobody.1"), (late, "parent.3")]
        {
            assert!(guarantees_not_run(&answer), "{id}: {}", answer.status);
            assert_eq!(world.runs(id), 0);
        }
    });
}

#[test]
fn a_removed_key_is_refused_on_open_connections() {
    run(async {
        let world = world().await;
        let address = world.pairs[0].node.addresses().callers;
        let mut caller = Connection::open(address).await.unwrap();
        let request = |attempt: &str, key: &str| {
            let mut all = headers(attempt, 20_000);
            all.push((header::KEY, key.into()));
            format_request(Method::GET, "/browse/x", &all, "")
        };
        caller.write(&request("before", KEY)).await.unwrap();
        assert_eq!(caller.read().await.unwrap().status, 200);

        let accounts = [account("acme", &["new"]), account("bolt", &[OTHER])];
        adopt(&world, 3, &state(3, &accounts)).await;
        let pipelined = request("gone", KEY) + &request("new", "new");
        caller.write(&pipelined).await.unwrap();

        assert_eq!(caller.read().await.unwrap().status, 401);
        assert_eq!(caller.read().await.unwrap().status, 200);
        assert_eq!((world.runs("gone"), world.runs("new")), (0, 1));
    });
}

#[test]
fn a_node_cut_off_from_the_store_learns_of_a_removed_key_from_its_peers() {
    run(async {
        let world = world().await;
        world.pairs[0].store.set_mode(Mode::StallBoth);

        let accounts = [account("bolt", &[OTHER])];
        adopt(&world, 3, &state(3, &accounts)).await;

        let answer = send(&world, 0, "order", "cut", &key(KEY)).await;
        assert_eq!(answer.status, 401);
        let answer = send(&world, 0, "order", "other", &key(OTHER)).await;
        assert_eq!(answer.status, 200);
    });
}

#[test]
fn a_state_with_one_key_for_two_accounts_is_refused_whole_and_reported() {
    run(async {
        let world = world().await;

        let shared = [account("acme", &[OTHER]), account("bolt", &[OTHER])];
        world.store.write_desired(&state(3, &shared));
        until("it is reported", || async {
            world.pairs.iter().all(|pair| {
                let log = pair.node.log();
                let mut faults =
                    log.lines().filter(|l| l.contains("\"fault\""));
                faults.any(|l| l.contains("acme") && l.contains("bolt"))
            })
        })
        .await;

        let answer = send(&world, 0, "order", "still", &key(KEY)).await;
        assert_eq!(answer.status, 200);
        let address = world.pairs[0].node.addresses().metrics;
        let metrics =
            caller::send(address, Method::GET, "/metrics", &[], String::new());
        let metrics = metrics.await.unwrap().body;
        assert!(metrics.contains("walnutmoor_desired_refused_total"));
    });
}

#[test]
fn no_key_is_in_a_log_a_metric_or_an_answer() {
    run(async {
        let world = world().await;
        let mut texts = Vec::new();
        for wanted in [KEY, OTHER, "unknown-key-of-somebody"] {
            let answer = send(&world, 0, "order", wanted, &[]).await;
            texts.push(answer.body);
            let answer = send(&world, 0, "order", "id", &key(wanted)).await;
            texts.push(format!("{:?} {}", answer.headers, answer.body));
        }
        let accounts = [account("acme", &["added-key"])];
        adopt(&world, 3, &state(3, &accounts)).await;
        let malformed =
            state(4, &accounts).replace("[\"added-key\"]", "\"added-key\"");
        world.store.write_desired(&malformed);
        until("it is reported", || async {
            world.pairs[0].node.log().contains("\"fault\"")
        })
        .await;

        for pair in &world.pairs {
            let address = pair.node.addresses().metrics;
            let metrics = caller::send(
                address,
                Method::GET,
                "/metrics",
                &[],
                String::new(),
            );
            texts.push(metrics.await.unwrap().body);
            // Request lines show ids, which are chosen by callers.
            let log = pair.node.log();
            let lines = log.lines().filter(|l| !l.contains("\"request\""));
            texts.extend(lines.map(str::to_string));
        }
        for secret in [KEY, OTHER, "unknown-key-of-somebody", "added-key"] {
            assert!(texts.iter().all(|text| !text.contains(secret)));
        }
        assert!(texts.iter().any(|t| t.contains("\"keys_added\":1")));
    });
}

#[test]
fn an_account_is_limited_to_its_quota_over_all_nodes_and_no_other_is() {
    run(async {
        let world = World::start(&["front", "desk", "front"]).await;
        let (acme, keys) = account("acme", &[KEY]);
        let acme = acme.quota(Quota { rate: 1.0, burst: 10.0 });
        let accounts = [(acme, keys), account("bolt", &[OTHER])];
        adopt(&world, 2, &state(2, &accounts)).await;

        let mut refused = 0;
        for n in 0..90 {
            let id = format!("q{n}");
            let answer = send(&world, n % 3, "order", &id, &key(KEY)).await;
            match answer.status {
                200 => assert_eq!(world.runs(&id), 1),
                429 => {
                    refused += 1;
                    let retry_after =
                        answer.headers.get(http::header::RETRY_AFTER);
                    assert!(retry_after.is_some());
                    assert_eq!(world.runs(&id), 0);
                }
                other => panic!("{other}"),
            }
            let id = format!("o{n}");
            let answer = send(&world, n % 3, "order", &id, &key(OTHER)).await;
            assert_eq!(answer.status, 200);
        }

        // The default bounds: the quota of a window of 5 s, plus 10 % and 20
        // requests.
        let max = (5.0 * 1.0 + 10.0) * 1.1 + 20.0;
        assert!(f64::from(90 - refused) <= max, "{refused}");
        assert!(refused < 90);
    });
}
