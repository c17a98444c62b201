//! What may be under way at once on a caller's connection.

use walnutmoor_core::pipeline::Pipeline;

fn pipeline(begun: &[bool]) -> Pipeline {
    let mut pipeline = Pipeline::new(3);
    begun.iter().for_each(|again| pipeline.begin(*again));
    pipeline
}

#[test]
fn repeatable_requests_run_beside_each_other_up_to_the_bound() {
    assert!(pipeline(&[]).may_begin(true));
    assert!(pipeline(&[true, true]).may_begin(true));
    assert!(!pipeline(&[true, true, true]).may_begin(true));
}

#[test]
fn one_that_may_run_only_once_waits_and_is_waited_for() {
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
fn only_the_last_answer_says_that_the_connection_closes() {
    let mut pipeline = pipeline(&[true, true, true]);
    assert!(!pipeline.end());

    pipeline.stop();

    assert!(!pipeline.may_begin(true));
    assert!(!pipeline.end());
    assert!(pipeline.end());
    assert!(pipeline.is_over());
}
