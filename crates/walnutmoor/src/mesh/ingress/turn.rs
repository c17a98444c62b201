/*!
Turns of callers' requests while a route is short of capacity.

[`walnutmoor_core::ingress`] makes the decisions. This module holds the
requests that wait, and passes the decisions on to them. A request leaves the
queue when its future is dropped, which happens as soon as its caller
disconnects.
*/

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::{
    sync::{Notify, oneshot},
    time::sleep,
};
use walnutmoor_core::{
    admission_queue::{Id, Limits},
    digest::Map,
    ingress::{Controller, Decision, Options, Request},
    reservation::{Flow, Standing, Told},
    time::Millis,
};

use crate::mesh::{journal::Field, settings::Overload};

/// The pause between decisions on waiting requests. It delays only them, by
/// little compared with the time between two tokens of a route.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A request that was admitted.
#[derive(Clone, Debug)]
pub(super) struct Turn {
    /// The request.
    pub(super) request: Request,
    /// What was known of its caller.
    pub(super) standing: Standing,
    /// When it was admitted first.
    pub(super) admitted_at: Millis,
}

/// The requests that wait at this node, and the reservations of callers.
#[derive(Debug)]
pub(crate) struct Turns {
    options: Options,
    controller: RefCell<Controller>,
    waiting: RefCell<Map<Id, oneshot::Sender<Decision>>>,
    last_id: Cell<u64>,
    has_waiting: Notify,
}

impl Turns {
    /// Creates the state of a node with this much memory, in bytes.
    pub(in crate::mesh) fn new(overload: Overload, memory: usize) -> Turns {
        let options = Options {
            reservations: overload.reservations,
            wait: overload.ingress_wait,
        };
        let controller = Controller::new(options, Limits::of_memory(memory));
        Turns {
            options,
            controller: RefCell::new(controller),
            waiting: RefCell::default(),
            last_id: Cell::new(0),
            has_waiting: Notify::new(),
        }
    }

    /// True if this node decides by rate.
    pub(in crate::mesh) fn is_enabled(&self) -> bool {
        self.options.is_any()
    }

    /// Returns an id for a request.
    pub(super) fn next_id(&self) -> Id {
        let id = Id(self.last_id.get() + 1);
        self.last_id.set(id.0);
        id
    }

    /// Waits until a request is admitted. `fraction` of its flow is admitted
    /// now.
    ///
    /// # Errors
    ///
    /// If it is refused. `None` if reservations are disabled.
    pub(super) async fn take(
        &self,
        clock: impl Fn() -> Millis,
        request: Request,
        fraction: f64,
        draw: f64,
    ) -> Result<Turn, Option<Told>> {
        let kept = request.clone();
        let decision = {
            let mut controller = self.controller.borrow_mut();
            controller.offer(clock(), request, fraction, draw)
        };
        let standing = self.settle(kept.id, decision).await?;
        Ok(Turn { request: kept, standing, admitted_at: clock() })
    }

    /// Waits until a request is admitted again that ran nowhere. `None` if it
    /// does not wait again.
    ///
    /// # Errors
    ///
    /// If it is refused after the wait.
    pub(super) async fn retake(
        &self,
        now: Millis,
        turn: &mut Turn,
    ) -> Option<Result<(), Option<Told>>> {
        let decision = {
            let mut controller = self.controller.borrow_mut();
            controller.offer_again(now, &turn.request, &turn.standing)?
        };
        let settled = self.settle(turn.request.id, decision).await;
        Some(settled.map(|standing| turn.standing = standing))
    }

    /// Refuses a request that ran nowhere; `None` if its retry time does not
    /// come from the backlog.
    pub(super) fn refuse_unserved(
        &self,
        now: Millis,
        turn: &Turn,
        draw: f64,
    ) -> Option<Told> {
        let Turn { request, standing, .. } = turn;
        let mut controller = self.controller.borrow_mut();
        controller.refuse_unserved(now, request, standing, draw)
    }

    /// Refuses a request for another reason than the rate of its flow.
    pub(super) fn refuse_unreserved(
        &self,
        now: Millis,
        request: &Request,
    ) -> Option<Told> {
        self.controller.borrow_mut().refuse_unreserved(now, request)
    }

    /// Records that an admitted request was answered.
    pub(super) fn record_answer(&self, now: Millis, turn: &Turn) {
        let span = now.since(turn.admitted_at);
        let mut controller = self.controller.borrow_mut();
        controller.observe_response(&turn.request.flow, span);
    }

    /// Decides waiting requests until the process ends.
    pub(in crate::mesh) async fn run(
        &self,
        clock: impl Fn() -> Millis,
        fraction: impl Fn(&Flow) -> f64,
        draw: impl Fn() -> f64,
    ) {
        loop {
            if self.controller.borrow().waiting() == 0 {
                self.has_waiting.notified().await;
            }
            sleep(POLL_INTERVAL).await;
            let mut controller = self.controller.borrow_mut();
            let decided = controller.poll(clock(), &fraction, &draw);
            drop(controller);
            for (id, decision) in decided {
                let sender = self.waiting.borrow_mut().remove(&id);
                // The receiver is gone if the caller has just disconnected.
                sender.map(|sender| sender.send(decision));
            }
        }
    }

    /// The counters for the log.
    pub(in crate::mesh) fn fields(&self) -> [Field<'static>; 6] {
        let controller = self.controller.borrow();
        let (stats, waits) = (controller.stats(), controller.waits());
        [
            ("held", controller.waiting().into()),
            ("waited", (waits.admitted + waits.refused).into()),
            ("reserved", stats.made.into()),
            ("kept", stats.kept.into()),
            ("unkept", stats.broken.into()),
            ("refused_again", stats.refused_again.into()),
        ]
    }

    /// Waits for the decision on a request.
    async fn settle(
        &self,
        id: Id,
        decision: Decision,
    ) -> Result<Standing, Option<Told>> {
        let decision = match decision {
            Decision::Wait => self.wait(id).await,
            decision => decision,
        };
        match decision {
            Decision::Admit(standing) => Ok(standing),
            Decision::Refuse(told) => Err(told),
            // The sender is dropped only when the process ends.
            Decision::Wait => Err(None),
        }
    }

    async fn wait(&self, id: Id) -> Decision {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        self.has_waiting.notify_one();
        let _place = Place { turns: self, id };
        receiver.await.unwrap_or(Decision::Wait)
    }

    /// Updates the metrics.
    pub(crate) fn publish(&self) {
        let controller = self.controller.borrow();
        let (stats, waits) = (controller.stats(), controller.waits());
        metrics::gauge!("walnutmoor_ingress_waiting")
            .set(controller.waiting() as f64);
        metrics::gauge!("walnutmoor_refused_callers")
            .set(controller.remembered() as f64);
        let outcomes = [
            ("made", stats.made),
            ("kept", stats.kept),
            ("broken", stats.broken),
            ("refused_again", stats.refused_again),
            ("unclaimed", stats.unclaimed),
        ];
        for (outcome, count) in outcomes {
            let labels = [("outcome", outcome)];
            metrics::counter!("walnutmoor_reservations_total", &labels)
                .absolute(count);
        }
        let outcomes = [
            ("admitted", waits.admitted),
            ("refused", waits.refused),
            ("canceled", waits.canceled),
        ];
        for (outcome, count) in outcomes {
            let labels = [("outcome", outcome)];
            metrics::counter!("walnutmoor_ingress_waits_total", &labels)
                .absolute(count);
        }
    }
}

/// The place of a waiting request. If it is dropped before the decision, the
/// request leaves the queue.
struct Place<'a> {
    turns: &'a Turns,
    id: Id,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.turns.waiting.borrow_mut().remove(&self.id);
        self.turns.controller.borrow_mut().cancel(self.id);
    }
}

/// What a refused caller was told, for the log.
pub(super) fn fields(told: &Told) -> [Field<'static>; 5] {
    [
        ("returned", name(&told.standing).into()),
        ("retry_ms", told.retry_after.0.into()),
        ("reserved", told.is_reserved.into()),
        ("backlog", told.backlog.into()),
        ("rate", told.rate.map(|rate| rate.per_second()).into()),
    ]
}

/// What was known of a caller, for the log.
fn name(standing: &Standing) -> &'static str {
    match standing {
        Standing::New => "new",
        Standing::LikelyRetry => "likely",
        Standing::Returning => "again",
        Standing::Early(_) => "early",
        Standing::Due(_) => "due",
        Standing::Late(_) => "late",
    }
}
