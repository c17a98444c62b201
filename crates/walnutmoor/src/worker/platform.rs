/*!
The worker that sends requests to the platform and returns its replies. Each
request runs in a task of its own, so that a watch does not delay others.
*/

use std::sync::Arc;

use metrics::counter;
use tokio::sync::mpsc;
use walnutmoor_core::{
    node::{Event, OpId},
    platform::{Reply, Request},
};

use super::driver::{Input, InputSender};
use crate::platform::Platform;

/// Runs the worker until the driver ends.
pub async fn run(
    platform: Arc<Platform>,
    inputs: InputSender,
    mut requests: mpsc::Receiver<(OpId, Request)>,
) {
    while let Some((op, request)) = requests.recv().await {
        let (platform, inputs) = (platform.clone(), inputs.clone());
        tokio::spawn(async move {
            let reply = platform.call(request).await;
            if reply == Reply::Unavailable {
                counter!("walnutmoor_platform_failures_total").increment(1);
            }
            let event = Box::new(Event::Platform { op, reply });
            send_event(&inputs, event).await;
        });
    }
}

/// Sends an event to the driver and waits while the channel is full, so that
/// no reply is lost.
async fn send_event(inputs: &InputSender, event: Box<Event>) {
    let mut input = Input::Event(event);
    loop {
        match inputs.try_send(input) {
            Err(crossbeam_channel::TrySendError::Full(returned)) => {
                input = returned;
                let pause = std::time::Duration::from_millis(1);
                tokio::time::sleep(pause).await;
            }
            _ => return,
        }
    }
}
