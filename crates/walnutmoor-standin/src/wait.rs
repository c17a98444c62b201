/*!
Running a test on a runtime of its own, and waiting for conditions.
*/

use std::{future::Future, time::Duration};

/// How long a condition may take to come true. Generous: a slow machine
/// must reach the same verdict as a fast one.
const PATIENCE: Duration = Duration::from_secs(60);

/// Runs a test.
///
/// # Panics
///
/// If the test does, or no runtime starts.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

/// Waits until a condition holds.
///
/// # Panics
///
/// If it does not for a minute.
pub async fn until<F: Future<Output = bool>>(
    what: &str,
    mut holds: impl FnMut() -> F,
) {
    let deadline = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < deadline, "never: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
