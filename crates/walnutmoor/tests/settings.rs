//! Settings files under `testdata/settings`, run by one harness: the first
//! line of each says what the check must find.

use std::{fs, path::Path};

use walnutmoor::{prelude::*, settings::Settings};

#[test]
fn settings_files_are_judged_as_they_say() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("testdata/settings");
    let mut count = 0;
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let first = text.lines().next().unwrap();
        let want = first.strip_prefix("# ").expect("a first line");

        let result = Settings::read(&path);

        let name = path.display();
        match (want, result) {
            ("good", Ok(_)) => {}
            ("good", Err(error)) => panic!("{name}: {error}"),
            (want, Ok(_)) => panic!("{name}: wants `{want}`"),
            (want, Err(error)) => {
                let text = error.to_string();
                assert!(text.contains(want), "{name}: {text}");
                assert_eq!(error.exit_code(), 3);
            }
        }
        count += 1;
    }
    assert!(count >= 10, "only {count} files");
}

#[test]
fn the_example_is_good() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Settings::read(&root.join("examples/try.yaml")).unwrap();
}

#[test]
fn the_settings_of_the_mesh_are_read_with_their_bounds() {
    let path = Path::new("testdata/mesh/node.yaml");

    let settings = walnutmoor::mesh::settings::Settings::read(path).unwrap();

    assert_eq!(settings.grace(), Millis(6_000));
    assert_eq!(settings.bounds().repeat_ratio, Some(0.2));
    assert_eq!(settings.descriptors, 4_100);
}

#[test]
fn an_unknown_key_of_the_mesh_is_named_with_its_line() {
    let text = std::fs::read_to_string("testdata/mesh/node.yaml").unwrap();
    let wrong = format!("{text}frobnicate: 1\n");

    let error = walnutmoor::mesh::settings::Settings::parse(&wrong);

    let error = error.unwrap_err().to_string();
    assert!(error.contains("frobnicate"), "{error}");
}
