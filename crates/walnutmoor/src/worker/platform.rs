/*!
Carries requests to the platform and replies back. Each request runs in its
own task, so that a waiting watch holds up nothing.
*/

use std::sync::Arc;

use metrics::counter;
use tokio::sync::mpsc;
use walnutmoor_core::{
    node::{Event, OpId},
    platform::{Reply, Request},
};

use super::driver::{Input, Ring};
use crate::platform::Platform;

/// Runs the duty until the decisions end.
pub async fn run(
    platform: Arc<Platform>,
    ring: Ring,
    mut requests: mpsc::Receiver<(OpId, Request)>,
) {
    while let Some((op, request)) = requests.recv().await {
        let (platform, ring) = (platform.clone(), ring.clone());
        tokio::spawn(async move {
            let reply = platform.call(request).await;
            if reply == Reply::Unavailable {
                counter!("walnutmoor_platform_failures_total").increment(1);
            }
            let event = Box::new(Event::Platform { op, reply });
            hand_back(&ring, event).await;
        });
    }
}

/// A reply must not be lost to a full ring, or its purpose stays open.
async fn hand_back(ring: &Ring, event: Box<Event>) {
    let mut input = Input::Event(event);
    loop {
        match ring.try_send(input) {
            Err(crossbeam_channel::TrySendError::Full(back)) => {
                input = back;
                let pause = std::time::Duration::from_millis(1);
                tokio::time::sleep(pause).await;
            }
            _ => return,
        }
    }
}
