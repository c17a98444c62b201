//! Validation of settings. The first line of each file in `testdata/settings`
//! is a comment: `good`, or a part of the expected error message.

use std::{fs, path::Path, process::Command};

use walnutmoor::{
    failure::Failure, mesh::settings::Overload, prelude::*, settings::Settings,
};

#[test]
fn settings_files_give_the_expected_result() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("testdata/settings");
    let mut count = 0;
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let first = text.lines().next().unwrap();
        let expected = first.strip_prefix("# ").expect("a first line");

        let result = Settings::read(&path);

        let name = path.display();
        match (expected, result) {
            ("good", Ok(_)) => {}
            ("good", Err(error)) => panic!("{name}: {error}"),
            (expected, Ok(_)) => panic!("{name}: expected error `{expected}`"),
            (expected, Err(error)) => {
                let text = error.to_string();
                assert!(text.contains(expected), "{name}: {text}");
                assert_eq!(error.exit_code(), 3);
            }
        }
        count += 1;
    }
    assert!(count >= 10, "only {count} files");
}

#[test]
fn the_example_is_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Settings::read(&root.join("examples/try.yaml")).unwrap();
}

#[test]
fn mesh_settings_include_the_platforms_bounds() {
    let path = Path::new("testdata/mesh/node.yaml");

    let settings = walnutmoor::mesh::settings::Settings::read(path).unwrap();

    assert_eq!(settings.grace(), Millis(6_000));
    assert_eq!(settings.bounds().retry_ratio, Some(0.2));
    assert_eq!(settings.descriptors, 4_100);
}

/// Guards against a part of overload control that is enabled without being
/// named, and against a misspelled key that has no effect.
#[test]
fn parts_of_overload_control_are_off_unless_enabled() {
    let text = std::fs::read_to_string("testdata/mesh/node.yaml").unwrap();
    let parse = |overload: &str| {
        walnutmoor::mesh::settings::Settings::parse(&format!(
            "{text}{overload}"
        ))
    };

    let default = parse("").unwrap().overload;
    assert!(!default.keep_connections && !default.handover);
    let some = parse("overload: { keep_connections: true }\n").unwrap();
    assert!(some.overload.keep_connections && !some.overload.handover);
    let unknown = parse("overload: { keep_connection: true }\n");
    let error = unknown.unwrap_err().to_string();
    assert!(error.contains("keep_connection"), "{error}");
    let malformed = parse("overload: { keep_connections: often }\n");
    let Err(Failure::Settings { span: Some(at), .. }) = malformed else {
        panic!("the position of the value is not known: {malformed:?}");
    };
    let value = text.len() + "overload: { keep_connections: ".len();
    assert_eq!(at.offset(), value);
}

#[test]
fn an_unknown_key_in_mesh_settings_is_named_in_the_error() {
    let text = std::fs::read_to_string("testdata/mesh/node.yaml").unwrap();
    let wrong = format!("{text}frobnicate: 1\n");

    let error = walnutmoor::mesh::settings::Settings::parse(&wrong);

    let error = error.unwrap_err().to_string();
    assert!(error.contains("frobnicate"), "{error}");
}

#[test]
fn overload_decisions_are_off_unless_enabled() {
    let text = std::fs::read_to_string("testdata/mesh/node.yaml").unwrap();
    let enabled = format!("{text}overload:\n  reservations: true\n");
    let parse = |text: &str| {
        walnutmoor::mesh::settings::Settings::parse(text).unwrap().overload
    };

    let before = parse(&text);
    let after = parse(&enabled);

    assert_eq!(before, Overload::default());
    assert_eq!(after, Overload { reservations: true, ..before });
}

/// Guards against a misspelled key that leaves a decision disabled without a
/// message.
#[test]
fn an_unknown_or_malformed_overload_key_is_named_with_its_line() {
    let text = std::fs::read_to_string("testdata/mesh/node.yaml").unwrap();
    let line = text.lines().count() + 2;
    for wrong in ["reservation: true", "ingress_wait: 7"] {
        let path = std::env::temp_dir()
            .join(format!("walnutmoor-{}.yaml", std::process::id()));
        let text = format!("{text}overload:\n  {wrong}\n");
        std::fs::write(&path, text).unwrap();

        let error = walnutmoor::mesh::settings::Settings::read(&path);

        std::fs::remove_file(&path).unwrap();
        let report = miette::Report::new(error.unwrap_err());
        let report = format!("{report:?}");
        let key = wrong.split(':').next().unwrap();
        let at = format!("{}:{line}:", path.display());
        assert!(report.contains(key), "{report}");
        assert!(report.contains(&at), "{report}");
    }
}

/// Guards against a switch that is on unless the settings say so, and against
/// a misspelled one that is ignored.
#[test]
fn overload_switches_are_off_by_default_and_checked() {
    let text = std::fs::read_to_string("testdata/mesh/node.yaml").unwrap();
    let parse = |extra: &str| {
        let text = format!("{text}{extra}\n");
        walnutmoor::mesh::settings::Settings::parse(&text)
    };

    let absent = parse("").unwrap().overload;
    let given = parse("overload: {feasibility: true}").unwrap().overload;
    let unknown = parse("overload: {feasable: true}").unwrap_err();

    assert!(!absent.feasibility && !absent.zone_spill);
    assert!(given.feasibility && !given.zone_spill);
    assert!(unknown.to_string().contains("feasable"), "{unknown}");
}

/// Guards against an error for a malformed switch that does not name file,
/// line and key.
#[test]
fn a_malformed_overload_switch_is_named() {
    let text = fs::read_to_string("testdata/mesh/node.yaml").unwrap();
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("malformed.yaml");
    fs::write(&path, format!("{text}overload: {{feasibility: 3}}\n")).unwrap();

    let output = Command::new(env!("CARGO_BIN_EXE_walnutmoor"))
        .args(["check", "--settings"])
        .arg(&path)
        .output()
        .unwrap();

    let error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success(), "{error}");
    for part in ["malformed.yaml:13", "feasibility"] {
        assert!(error.contains(part), "{part}: {error}");
    }
}
