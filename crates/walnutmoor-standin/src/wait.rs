/*!
Runs asynchronous tests and waits for conditions.
*/

use std::{future::Future, time::Duration};

/// The time limit for a condition, long enough for slow machines.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a test on a new runtime.
///
/// # Panics
///
/// If the test panics or the runtime cannot be created.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("create the runtime");
    runtime.block_on(test);
}

/// Waits until a condition holds. `what` describes it in the panic message.
///
/// # Panics
///
/// If the condition does not hold within a minute.
pub async fn until<F: Future<Output = bool>>(
    what: &str,
    mut holds: impl FnMut() -> F,
) {
    let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
