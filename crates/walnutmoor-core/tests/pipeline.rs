//! Requests in flight on a pipelined connection.

use walnutmoor_core::pipeline::Pipeline;

fn pipeline(started: &[bool]) -> Pipeline {
    let mut pipeline = Pipeline::new(3);
    started.iter().for_each(|idempotent| pipeline.begin(*idempotent));
    pipeline
}

#[test]
fn idempotent_requests_run_concurrently_up_to_the_limit() {
    assert!(pipeline(&[]).may_begin(true));
    assert!(pipeline(&[true, true]).may_begin(true));
    assert!(!pipeline(&[true, true, true]).may_begin(true));
}

#[test]
fn a_request_that_is_not_idempotent_runs_alone() {
    let mut pipeline = pipeline(&[true]);

    assert!(!pipeline.may_begin(false));
    pipeline.end();
    assert!(pipeline.may_begin(false));
    pipeline.begin(false);

    assert!(!pipeline.may_begin(true));
    pipeline.end();
    assert!(pipeline.may_begin(true));
}

#[test]
fn only_the_last_response_says_that_the_connection_closes() {
    let mut pipeline = pipeline(&[true, true, true]);
    assert!(!pipeline.end());

    pipeline.drain();

    assert!(!pipeline.may_begin(true));
    assert!(!pipeline.end());
    assert!(pipeline.end());
    assert!(pipeline.is_drained());
}
