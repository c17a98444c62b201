//! Golden files of sessions, with events as input and actions as output.
//! `UPDATE_EXPECT=1 cargo test` updates them.

use std::{fs, path::Path};

use expect_test::expect_file;
use walnutmoor_standin::drive::drive;

fn replay(name: &str) -> String {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("testdata/sessions");
    let input = fs::read(dir.join(name)).unwrap();
    let mut output = Vec::new();
    drive(&input[..], &mut output).unwrap();
    String::from_utf8(output).unwrap()
}

macro_rules! sessions {
    ($($name:ident,)*) => {
        $(#[test]
        fn $name() {
            let name = stringify!($name);
            let output = replay(&format!("{name}.jsonl"));
            let path = format!("../testdata/sessions/{name}.out");
            expect_file![path].assert_eq(&output);
        })*
    };
}

sessions! {
    order_under_a_storm,
    frozen_owner,
    config_race,
    drain,
    outage,
}
