//! The output of `walnutmoor explain` for the logs of two nodes.

use std::process::Command;

use expect_test::{Expect, expect};

fn check(id: &str, expected: Expect) {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/testdata/explain");
    let output = Command::new(env!("CARGO_BIN_EXE_walnutmoor"))
        .args(["explain", id, "a.log", "b.log"])
        .current_dir(dir)
        .output()
        .unwrap();
    assert!(output.status.success());
    expected.assert_eq(&String::from_utf8(output.stdout).unwrap());
}

#[test]
fn a_refusal_is_printed_with_preceding_context() {
    check(
        "5d53",
        expect![[r#"
            context at 32402 ms on a: admission; demand 1.17; let_in 0.84; pressed true; route "lookups"
            at 32424 ms on a: it was refused and has not run; demand 1.17; let_in 0.84; revision 21; route "lookups"; why "overloaded"
        "#]],
    );
}

/// Guards against a refusal of a request that cannot complete that reads like
/// one for demand.
#[test]
fn a_refusal_for_lack_of_retries_names_the_rejecting_service() {
    check(
        "7e57",
        expect![[r#"
        in force at 53000 ms on a: desired; era 2; revision 8; routes 3; source "store"; version 9
        at 70000 ms on a: it was refused and has not run, while a service that its route calls rejects; demand 0.91; let_in 1.0; need 4.9; repeats_spent 0.86; revision 8; route "claims"; why "overloaded"
    "#]],
    );
}

#[test]
fn a_refusal_by_share_is_named_with_the_shares_before_it() {
    check(
        "9a31",
        expect![[r#"
        in force at 53000 ms on a: desired; era 2; revision 8; routes 3; source "store"; version 9
        context at 92204 ms on a: the instance is short and its accounts have shares; accounts 34; demand 88.2; nodes 75; service "stock"; shares {"acme":0.61,"bolt":0.07}
        at 92310 ms on a: it was refused, as its account demands more than its share of a short service, and has not run; account "acme"; demand 1.31; let_in 0.62; revision 31; route "r-2"; share 0.31; why "share"
    "#]],
    );
}

#[test]
fn nested_calls_are_part_of_the_timeline() {
    check(
        "71a4",
        expect![[r#"
            context at 9000 ms on b: lost; calls 2; peer "10.0.0.2:7500"; why "silent"
            at 9300 ms on b: it is retried on another instance; from "10.0.0.2:7500"; reached 1; why "broken"
            context at 9000 ms on b: lost; calls 2; peer "10.0.0.2:7500"; why "silent"
            at 9500 ms on b: it failed, and may have run; after_ms 420; left_ms 0; revision 14; tried ["10.0.0.2:7500"]; why "timeout"
        "#]],
    );
}

#[test]
fn a_request_without_log_lines_is_reported() {
    check(
        "ffff",
        expect![[r#"
        no log line mentions ffff: check `left_out` for lines dropped by the rate limit
    "#]],
    );
}

#[test]
fn crashes_and_suspicions_of_the_same_content_are_printed() {
    check(
        "8e01",
        expect![[r#"
        at 41000 ms on a: it was refused and has not run; crash_age_ms 4100; crashes 3; fingerprint "85c5cb9fcdf4e022cacee57b76748aaf"; refuted 0; revision 21; tried []; why "poisoned"
        same content at 30310 ms on b: its instance crashed; fingerprints ["11f0","85c5cb9fcdf4e022cacee57b76748aaf"]; instance "i-2"; ran 2; source "nothing listens"
        same content at 36900 ms on b: a request is suspected of crashing instances; age_ms 0; crashes 3; fingerprint "85c5cb9fcdf4e022cacee57b76748aaf"; refuted 0; source "own instance"; step "is barred"
    "#]],
    );
}

#[test]
fn the_desired_state_in_force_is_printed_with_later_rollbacks() {
    check(
        "c0de",
        expect![[r#"
            in force at 47000 ms on a: desired; era 1; revision 7; routes 3; source "store"; version 7
            since then at 49000 ms on a: the store was restored from an older copy; from 1; source "store"; to 2
            since then at 49010 ms on a: an older desired state was not adopted; era 2; era_in_force 1; passed_over true; revision 4; revision_in_force 7; version 2; version_in_force 7
            context at 51000 ms on a: stop; phase "leaving"; quota 0; reading 0; running 0; sent 1; under_way 1; unsent 0; waiting 0; writing 0
            at 52000 ms on a: an instance answered it; after_ms 110; revision 7; route "claims"; version 7; why ""
        "#]],
    );
}

#[test]
fn a_request_moved_for_a_rate_limit_names_the_limit() {
    check(
        "1a2b",
        expect![[r#"
        in force at 53000 ms on a: desired; era 2; revision 8; routes 3; source "store"; version 9
        at 60010 ms on a: it is retried on another instance; fingerprint "9c02"; from "10.0.0.2:7500"; reached 0; why "limited"
        at 60080 ms on a: an instance answered it; after_ms 72; limit 65.4; limit_age_ms 2300; limited_at "10.0.0.2:7500"; tried ["10.0.0.2:7500","10.0.0.3:7500"]; why ""
    "#]],
    );
}

/// Guards against a slow machine that the timeline does not show.
#[test]
fn a_request_at_a_slow_machine_names_its_speed() {
    check(
        "5bd0",
        expect![[r#"
            context at 70100 ms on b: the run times on its machine changed, in percent of usual; from 100; readings 4012; to 310
            at 70480 ms on b: an instance answered it; after_ms 410; rank 2; speed 295; tried ["10.0.0.2:7500"]; wait_ms 90; why ""
        "#]],
    );
}

#[test]
fn a_request_that_its_node_left_unanswered_is_printed() {
    check(
        "e79e",
        expect![[r#"
        in force at 53000 ms on a: desired; era 2; revision 8; routes 3; source "store"; version 9
        context at 56600 ms on a: stop; phase "ended"; quota 0; reading 0; running 0; sent 1; under_way 1; unsent 0; waiting 0; writing 0
        at 56600 ms on a: its node exited before it was answered; after_ms 2500; at "10.0.0.2:7500"; left_ms 1500; stage "sent"
    "#]],
    );
}

/// Guards against a promise of return that cannot be told from other refusals
/// when it was broken.
#[test]
fn promises_of_return_are_told_from_other_refusals() {
    check(
        "3c07",
        expect![[r#"
        in force at 53000 ms on a: desired; era 2; revision 8; routes 3; source "store"; version 9
        at 70000 ms on a: it was refused with a reservation, and has not run; backlog 31; demand 1.4; let_in 0.61; rate 22.5; reserved true; retry_ms 1777; returned "new"; revision 8; route "lookups"; why "overloaded"
    "#]],
    );
    check(
        "3c08",
        expect![[r#"
        in force at 53000 ms on a: desired; era 2; revision 8; routes 3; source "store"; version 9
        at 74800 ms on a: it was refused although its reservation was due, and has not run; backlog 4; demand 1.6; let_in 0.2; rate 6.5; reserved false; retry_ms 769; returned "due"; revision 8; route "lookups"; why "overloaded"
    "#]],
    );
}

/// Guards against a request that is sent to another zone without a reason in
/// the log.
#[test]
fn a_full_local_zone_is_printed() {
    check(
        "50ed",
        expect![[r#"
        in force at 53000 ms on a: desired; era 2; revision 8; routes 3; source "store"; version 9
        context at 79000 ms on a: requests may leave the local zone, which is full; preference "0.35"; service "parts"; used "0.93"; zone "east"
        context at 79900 ms on a: requests stay in the local zone again; preference "1.00"; service "parts"; used "0.71"; zone "east"
        at 80000 ms on a: an instance answered it; after_ms 90; tried ["10.0.0.3:7500"]; why ""
    "#]],
    );
}

/// Guards against a refusal whose evidence the timeline does not show.
#[test]
fn a_refused_request_names_the_evidence_that_it_has_not_run() {
    check(
        "7e0a",
        expect![[r#"
        in force at 53000 ms on a: desired; era 2; revision 8; routes 3; source "store"; version 9
        context at 79000 ms on a: requests may leave the local zone, which is full; preference "0.35"; service "parts"; used "0.93"; zone "east"
        context at 79900 ms on a: requests stay in the local zone again; preference "1.00"; service "parts"; used "0.71"; zone "east"
        at 80200 ms on a: it was refused and has not run; after_ms 130; evidence ["rejected","declined"]; tried ["10.0.0.2:7500","10.0.0.3:7500"]; why "budget"
        at 80110 ms on b: its call was reported as not run; connection 17; evidence "rejected"; from "10.0.0.1:7500"; has_id true; sends 4; status 503
    "#]],
    );
}
