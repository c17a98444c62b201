//! `walnutmoor explain` over logs of two nodes.

use std::process::Command;

use expect_test::{Expect, expect};

fn check(id: &str, want: Expect) {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/testdata/explain");
    let output = Command::new(env!("CARGO_BIN_EXE_walnutmoor"))
        .args(["explain", id, "a.log", "b.log"])
        .current_dir(folder)
        .output()
        .unwrap();
    assert!(output.status.success());
    want.assert_eq(&String::from_utf8(output.stdout).unwrap());
}

#[test]
fn a_refusal_is_told_with_the_belief_that_led_to_it() {
    check(
        "5d53",
        expect![[r#"
            believed at 32402 ms on a: admission; demand 1.17; let_in 0.84; pressed true; route "lookups"
            at 32424 ms on a: it was refused and has not run; demand 1.17; let_in 0.84; revision 21; route "lookups"; why "overloaded"
        "#]],
    );
}

#[test]
fn the_calls_of_a_request_belong_to_its_story() {
    check(
        "71a4",
        expect![[r#"
            believed at 9000 ms on b: lost; calls 2; peer "10.0.0.2:7500"; why "silent"
            at 9300 ms on b: it goes on to another instance; from "10.0.0.2:7500"; reached 1; why "broken"
            believed at 9000 ms on b: lost; calls 2; peer "10.0.0.2:7500"; why "silent"
            at 9500 ms on b: it failed, and may have run; after_ms 420; left_ms 0; revision 14; tried ["10.0.0.2:7500"]; why "timeout"
        "#]],
    );
}

#[test]
fn a_request_without_lines_is_said_to_have_none() {
    check(
        "ffff",
        expect![[r#"
        no line tells of ffff: look at `left_out` for lines that the rate did not allow
    "#]],
    );
}

#[test]
fn what_is_held_against_a_requests_content_is_told_with_its_refusal() {
    check(
        "8e01",
        expect![[r#"
        at 41000 ms on a: it was refused and has not run; crash_age_ms 4100; crashes 3; fingerprint "85c5cb9fcdf4e022cacee57b76748aaf"; refuted 0; revision 21; tried []; why "poisoned"
        of its content at 30310 ms on b: its instance ended without a word; fingerprints ["11f0","85c5cb9fcdf4e022cacee57b76748aaf"]; instance "i-2"; ran 2; source "nothing listens"
        of its content at 36900 ms on b: a request is suspect of ending instances; age_ms 0; crashes 3; fingerprint "85c5cb9fcdf4e022cacee57b76748aaf"; refuted 0; source "own instance"; step "is barred"
    "#]],
    );
}

#[test]
fn the_desired_state_that_a_request_met_is_told_with_what_was_passed_over() {
    check(
        "c0de",
        expect![[r#"
        in force at 47000 ms on a: desired; era 1; revision 7; routes 3; source "store"; version 7
        since then at 49000 ms on a: the store came back from an older copy; from 1; source "store"; to 2
        since then at 49010 ms on a: an older desired state was passed over; era 2; era_in_force 1; passed_over true; revision 4; revision_in_force 7; version 2; version_in_force 7
        at 52000 ms on a: an instance answered it; after_ms 110; revision 7; route "claims"; version 7; why ""
    "#]],
    );
}
