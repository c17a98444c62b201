//! Entries that another writer left in the store, among those of the nodes.

use walnutmoor_platform::store::Kind;

use crate::fixture::{World, desired, routes, run, until};

/// About the size of the largest value that the store takes.
const MAX_DEPTH: usize = 500_000;

const KINDS: [Kind; 3] = [Kind::Node, Kind::Suspect, Kind::Desired];

fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

fn nested_objects(depth: usize) -> String {
    "{\"a\":".repeat(depth) + "1" + &"}".repeat(depth)
}

/// A record of a node with this address, and more fields.
fn record(node: &str, more: &str) -> String {
    format!("{{\"node\":{node},\"zone\":\"a\",\"service\":\"desk\"{more}}}")
}

/// Evidence about a request, with this age.
fn evidence(crashes: &str, age: &str) -> String {
    let fingerprint = "[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16]";
    format!(
        "{{\"fingerprint\":{fingerprint},\"crashes\":{crashes},\
         \"refuted\":[],\"age\":{age}}}"
    )
}

/// The bodies of entries that are nested to this depth.
fn deep_specs(depth: usize) -> Vec<String> {
    let mut specs = vec![nested(depth), nested_objects(depth / 5)];
    for field in ["departed", "extra", "zone"] {
        let more = format!(",\"{field}\":{}", nested(depth));
        specs.push(record("\"127.0.0.1:9\"", &more));
    }
    specs.push(evidence(&nested(depth), "1"));
    specs
}

/// The bodies of odd entries.
fn odd_specs() -> Vec<String> {
    let mut specs: Vec<String> =
        ["null", "7", "\"text\"", "[]", "{}", "true", "1e400", "-0.0"]
            .map(String::from)
            .to_vec();
    for depth in [100, 300, 10_000] {
        specs.extend(deep_specs(depth));
    }
    let digits = "9".repeat(400);
    for number in ["18446744073709551616", "1e999", "-1", &digits] {
        specs.push(record(number, ""));
        let born =
            format!(",\"departed\":[{{\"id\":\"i\",\"born\":{number}}}]");
        specs.push(record("\"127.0.0.1:9\"", &born));
        specs.push(evidence("[1,2,3]", number));
        specs.push(evidence(&format!("[{number}]"), "1"));
        specs.push(format!("{{\"version\":{number},\"resources\":[]}}"));
    }
    for age in ["0", "18446744073709551615"] {
        specs.push(evidence("[1,2,3]", age));
        specs.push(evidence(&format!("[{}7]", "7,".repeat(100_000)), age));
    }
    for address in [
        "127.0.0.1:65536",
        "127.0.0.1:99999999999",
        "127.0.0.1:-1",
        "127.0.0.1:0",
        "127.0.0.1",
        "0.0.0.0:0",
        "255.255.255.255:1",
        "[::1]:9",
        "[::]:0",
        "host.example:80",
        "",
    ] {
        specs.push(record(&format!("\"{address}\""), ""));
    }
    specs
}

/// Writes odd entries of all kinds, with names that sort before and behind
/// those of the nodes.
fn write_odd_entries(world: &World) {
    for (number, spec) in odd_specs().iter().enumerate() {
        for kind in KINDS {
            for prefix in ["", "zz"] {
                let name = format!("{prefix}{number}-odd");
                world.store.write(kind, &name, spec);
            }
        }
    }
}

/// Asserts that all nodes run and follow changes.
async fn assert_followed(world: &mut World, version: u64) {
    world.store.write_desired(&desired(version, &routes()));
    for index in 0..world.pairs.len() {
        until("the change is in force", || async {
            let in_force = world.metric(index, "walnutmoor_version").await;
            in_force == Some(version as f64)
        })
        .await;
        world.send_until_ok(index, "order", &format!("v{version}")).await;
    }
    for pair in &mut world.pairs {
        assert!(!pair.node.has_exited());
        let log = pair.node.log();
        assert!(!log.contains("panicked"), "{log}");
    }
}

async fn restart_all(world: &mut World) {
    world.pairs.iter_mut().for_each(|pair| pair.node.kill());
    world.pairs.iter_mut().for_each(|pair| pair.node.restart());
    for index in 0..world.pairs.len() {
        until("the node is ready again", || world.is_ready(index)).await;
    }
}

// Guards against nodes that end, or follow the store no longer, as an entry of
// another writer can't be read.
#[test]
fn nodes_live_and_follow_changes_beside_odd_entries() {
    run(async {
        let mut world = World::start(&["front", "desk", "desk"]).await;
        write_odd_entries(&world);

        assert_followed(&mut world, 2).await;
        restart_all(&mut world).await;
        assert_followed(&mut world, 3).await;
        world.add("desk").await;
        world.wait_until_connected().await;
        assert_followed(&mut world, 4).await;
    });
}

#[test]
fn nodes_live_and_follow_changes_beside_the_deepest_entry() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        let mut version = 1;
        for spec in deep_specs(MAX_DEPTH) {
            for kind in KINDS {
                world.store.write(kind, "odd", &spec);
            }
            version += 1;
            assert_followed(&mut world, version).await;
            restart_all(&mut world).await;
            version += 1;
            assert_followed(&mut world, version).await;
        }
    });
}

// Guards against a list that is not read to its end, as the name of the last
// entry of a page is odd.
#[test]
fn lists_are_read_beyond_odd_names() {
    run(async {
        let mut world = World::start(&["front", "desk"]).await;
        // They sort before the nodes' own names, and fill more than a page.
        let names =
            ["!", " ", "\"", "#", "%", "%zz", "&", "&after=0", "+", "."];
        for name in names {
            for number in 0..60 {
                let name = format!("{name} ü/{number}?a=b&c#d");
                for kind in KINDS {
                    world.store.write(kind, &name, "[]");
                }
            }
        }

        restart_all(&mut world).await;
        world.add("desk").await;
        world.wait_until_connected().await;
        assert_followed(&mut world, 2).await;
    });
}
