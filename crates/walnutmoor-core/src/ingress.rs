/*!
Admission of callers' requests by rate: combines [`crate::reservation`] and
[`crate::admission_queue`].

While the whole of a flow is admitted, so is each of its requests. Otherwise a
request is admitted if the rate allows, and waits or is refused if not.

# Example

```
use walnutmoor_core::{
    admission_queue::{Id, Limits},
    ingress::*,
    reservation::{Caller, Flow, Standing},
    time::Millis,
};

let options = Options { reservations: true, wait: true };
let limits = Limits { requests: 256, bytes: 1 << 20 };
let mut controller = Controller::new(options, limits);
let request = |id| Request {
    id: Id(id),
    flow: Flow::of("tiles"),
    caller: Caller { fingerprint: Default::default(), account: None },
    is_likely_retry: false,
    rank: 2,
    is_over_share: false,
    received_at: Millis(0),
    deadline: Millis(5_000),
    response_deadline: Millis(5_000),
    target: Millis(1_600),
    bytes: 10,
};
let none_short = controller.offer(Millis(0), request(1), 1.0, 0.5);
assert_eq!(none_short, Decision::Admit(Standing::New));
let within_rate = controller.offer(Millis(0), request(2), 0.5, 0.5);
assert_eq!(within_rate, Decision::Admit(Standing::New));
let above_rate = controller.offer(Millis(0), request(3), 0.5, 0.5);
assert_eq!(above_rate, Decision::Wait);
```
*/

use crate::{
    admission_queue::{Id, Limits, Order, Queue, Waiter},
    digest::Map,
    reservation::{Book, Budget, Caller, Flow, Standing, Stats, Told},
    time::Millis,
};

/// The divisor of the target that gives the longest wait.
const MAX_WAIT_DIVISOR: u64 = 8;

/// Which decisions are enabled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Options {
    /// Refused callers get a reservation.
    pub reservations: bool,
    /// Requests above the rate wait for a bounded time.
    pub wait: bool,
}

impl Options {
    /// True if any decision is enabled.
    pub fn is_any(self) -> bool {
        self.reservations || self.wait
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request.
    pub id: Id,
    /// The flow whose rate admits it.
    pub flow: Flow,
    /// Its sender.
    pub caller: Caller,
    /// True if its caller was probably refused before.
    pub is_likely_retry: bool,
    /// The rank, as computed by `bulkhead::urgency`.
    pub rank: u8,
    /// True if its account exceeds its share.
    pub is_over_share: bool,
    /// When it was received.
    pub received_at: Millis,
    /// When its caller stops waiting.
    pub deadline: Millis,
    /// When its response is due: after the timeout of the route or at the
    /// deadline of its caller, whichever is earlier.
    pub response_deadline: Millis,
    /// The target latency of its route.
    pub target: Millis,
    /// The length of its body.
    pub bytes: usize,
}

impl Request {
    fn budget(&self, now: Millis) -> Budget {
        let left = self.deadline.since(now);
        let target_left = (self.received_at + self.target).since(now);
        Budget { left, target_left }
    }

    fn max_wait(&self) -> Millis {
        Millis(self.target.0 / MAX_WAIT_DIVISOR)
    }
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is dispatched.
    Admit(Standing),
    /// It waits; [`Controller::poll`] decides later.
    Wait,
    /// It is refused. `None` if reservations are disabled.
    Refuse(Option<Told>),
}

/// How many requests waited, since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Waits {
    /// Admitted after a wait.
    pub admitted: u64,
    /// Refused after a wait.
    pub refused: u64,
    /// Canceled by the caller during the wait.
    pub canceled: u64,
}

/// Admission of one ingress.
#[derive(Debug)]
pub struct Controller {
    options: Options,
    book: Book,
    queue: Queue,
    waiting: Map<Id, (Request, Standing)>,
    /// Requests that left the full queue, to be refused by the next poll.
    displaced: Vec<Id>,
    waits: Waits,
}

impl Controller {
    /// Creates a controller without requests.
    pub fn new(options: Options, limits: Limits) -> Controller {
        Controller {
            options,
            book: Book::new(),
            queue: Queue::new(limits),
            waiting: Map::default(),
            displaced: Vec::new(),
            waits: Waits::default(),
        }
    }

    /// Decides a request of a flow of which this fraction is admitted.
    ///
    /// `draw` is a uniform random number in 0 to 1.
    pub fn offer(
        &mut self,
        now: Millis,
        request: Request,
        fraction: f64,
        draw: f64,
    ) -> Decision {
        self.book.observe(now, &request.flow, fraction);
        let standing = self.standing(now, &request);
        if self.take(now, &request, &standing) {
            return Decision::Admit(standing);
        }
        match standing {
            Standing::Early(due) => self.turn_away_early(now, &request, due),
            _ => self.wait_or_refuse(now, request, standing, draw),
        }
    }

    /// Decides waiting requests. `fraction` is the fraction of each flow that
    /// is admitted now, and `draw` a source of uniform random numbers in 0 to
    /// 1.
    pub fn poll(
        &mut self,
        now: Millis,
        fraction: impl Fn(&Flow) -> f64,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<(Id, Decision)> {
        let mut decided = Vec::new();
        for flow in self.queue.flows() {
            self.book.set_fraction(now, &flow, fraction(&flow));
            while let Some((id, standing)) = self.admit_next(now, &flow) {
                decided.push((id, Decision::Admit(standing)));
            }
        }
        let mut refused = std::mem::take(&mut self.displaced);
        while let Some(id) = self.queue.overdue(now) {
            self.queue.remove(id);
            refused.push(id);
        }
        for id in refused {
            let refusal = self.refuse_waiting(now, id, draw());
            decided.extend(refusal.map(|refusal| (id, refusal)));
        }
        decided
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, id: Id) {
        self.queue.remove(id);
        if self.waiting.remove(&id).is_some() {
            self.waits.canceled += 1;
        }
    }

    /// Decides a request that was admitted for its due reservation, but ran
    /// nowhere. It waits again, before all later reservations, until the rate
    /// allows a new request. `None` for any other request.
    pub fn offer_again(
        &mut self,
        now: Millis,
        request: &Request,
        standing: &Standing,
    ) -> Option<Decision> {
        let number = match standing {
            Standing::Due(number) | Standing::Late(number) => *number,
            _ => return None,
        };
        let standing = Standing::Late(number);
        let until = self.wait_end(now, request, &standing)?;
        self.enqueue(request, standing, until)
    }

    /// Refuses a request that was admitted but ran nowhere, and does not wait
    /// again. `None` if nothing is reserved for it, since its flow is not
    /// short of capacity.
    pub fn refuse_unserved(
        &mut self,
        now: Millis,
        request: &Request,
        standing: &Standing,
        draw: f64,
    ) -> Option<Told> {
        self.book.record_refused_again(standing);
        let is_short = self.book.rate(now, &request.flow).is_some();
        match is_short {
            true => self.tell(now, request, standing, draw),
            false => None,
        }
    }

    /// Refuses a request for another reason than the rate of its flow, so
    /// that a reservation would not help.
    pub fn refuse_unreserved(
        &mut self,
        now: Millis,
        request: &Request,
    ) -> Option<Told> {
        let flow = &request.flow;
        let is_short = self.book.rate(now, flow).is_some();
        if !self.options.reservations || !is_short {
            return None;
        }
        let standing = self.standing(now, request);
        self.book.record_refused_again(&standing);
        let waiting = self.queue.count(flow);
        let told = self.book.turn_away(now, flow, waiting);
        Some(Told { standing, ..told })
    }

    /// Records how long an admitted request took to be answered.
    pub fn observe_response(&mut self, flow: &Flow, span: Millis) {
        self.book.observe_response(flow, span);
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The number of callers that are remembered as refused.
    pub fn remembered(&self) -> usize {
        self.book.len()
    }

    /// What became of reservations.
    pub fn stats(&self) -> Stats {
        self.book.stats()
    }

    /// What became of requests that waited.
    pub fn waits(&self) -> Waits {
        self.waits
    }

    fn standing(&mut self, now: Millis, request: &Request) -> Standing {
        if !self.options.reservations {
            return likely(request);
        }
        let left = request.deadline.since(now);
        match self.book.claim(now, &request.caller, left) {
            Standing::New => likely(request),
            standing => standing,
        }
    }

    /// Admits a request that nothing waits before, if the rate allows.
    fn take(
        &mut self,
        now: Millis,
        request: &Request,
        standing: &Standing,
    ) -> bool {
        let order = order(request, standing);
        if self.book.rate(now, &request.flow).is_some()
            && self.queue.count_ahead(&request.flow, order) > 0
        {
            return false;
        }
        let is_admitted = self.book.take(now, &request.flow, standing);
        if is_admitted && matches!(standing, Standing::Early(_)) {
            let left = request.deadline.since(now);
            self.book.settle_early(now, &request.caller, left);
        }
        is_admitted
    }

    fn wait_or_refuse(
        &mut self,
        now: Millis,
        request: Request,
        standing: Standing,
        draw: f64,
    ) -> Decision {
        let Some(until) = self.wait_end(now, &request, &standing) else {
            return self.refuse(now, &request, &standing, draw);
        };
        match self.enqueue(&request, standing, until) {
            Some(decision) => decision,
            None => self.refuse(now, &request, &standing, draw),
        }
    }

    /// Adds a request to the queue; `None` if the queue is full.
    fn enqueue(
        &mut self,
        request: &Request,
        standing: Standing,
        until: Millis,
    ) -> Option<Decision> {
        let waiter = Waiter {
            id: request.id,
            flow: request.flow.clone(),
            order: order(request, &standing),
            until,
            bytes: request.bytes,
        };
        let displaced = self.queue.push(waiter).ok()?;
        self.displaced.extend(displaced.map(|waiter| waiter.id));
        self.waiting.insert(request.id, (request.clone(), standing));
        Some(Decision::Wait)
    }

    /// Until when a request may wait; `None` if it may not.
    fn wait_end(
        &mut self,
        now: Millis,
        request: &Request,
        standing: &Standing,
    ) -> Option<Millis> {
        let response = self.book.response_time(&request.flow, request.target);
        let latest = request.response_deadline.since(response);
        if latest <= now {
            return None;
        }
        if matches!(standing, Standing::Due(_) | Standing::Late(_)) {
            return Some(latest);
        }
        let expected = self.expected_wait(now, request, standing)?;
        let fits = expected <= request.max_wait() && now + expected <= latest;
        let until = latest.min(now + request.max_wait());
        (self.options.wait && fits).then_some(until)
    }

    /// The time until a request without a reservation is admitted.
    fn expected_wait(
        &mut self,
        now: Millis,
        request: &Request,
        standing: &Standing,
    ) -> Option<Millis> {
        let flow = &request.flow;
        let order = order(request, standing);
        let waiting = self.queue.count_ahead(flow, order) as f64;
        let within = request.max_wait();
        let ahead = waiting + 1.0 + self.book.ahead(now, flow, within);
        let rate = self.book.rate(now, flow)?.per_second();
        Some(Millis((ahead.max(0.0) / rate * 1_000.0) as u64))
    }

    /// Admits the next waiting request of a flow, if the rate allows.
    fn admit_next(
        &mut self,
        now: Millis,
        flow: &Flow,
    ) -> Option<(Id, Standing)> {
        let id = self.queue.first(flow)?.id;
        let (_, standing) = *self.waiting.get(&id)?;
        if !self.book.take(now, flow, &standing) {
            return None;
        }
        self.queue.remove(id);
        self.waiting.remove(&id);
        self.waits.admitted += 1;
        Some((id, standing))
    }

    fn refuse_waiting(
        &mut self,
        now: Millis,
        id: Id,
        draw: f64,
    ) -> Option<Decision> {
        let (request, standing) = self.waiting.remove(&id)?;
        self.waits.refused += 1;
        Some(self.refuse(now, &request, &standing, draw))
    }

    fn refuse(
        &mut self,
        now: Millis,
        request: &Request,
        standing: &Standing,
        draw: f64,
    ) -> Decision {
        self.book.record_refused_again(standing);
        Decision::Refuse(self.tell(now, request, standing, draw))
    }

    /// Makes a reservation, unless the caller was refused before: it has been
    /// seen to retry once and may not do so again.
    fn tell(
        &mut self,
        now: Millis,
        request: &Request,
        standing: &Standing,
        draw: f64,
    ) -> Option<Told> {
        if !self.options.reservations {
            return None;
        }
        let flow = &request.flow;
        let waiting = self.queue.count(flow);
        let standing = *standing;
        let told = match standing {
            Standing::New | Standing::LikelyRetry => {
                let budget = request.budget(now);
                let caller = &request.caller;
                let book = &mut self.book;
                book.refuse_behind(now, flow, caller, budget, waiting, draw)
            }
            _ => self.book.turn_away(now, flow, waiting),
        };
        Some(Told { standing, ..told })
    }

    /// Refuses a caller that returned before its reservation was due, and
    /// keeps the reservation.
    fn turn_away_early(
        &mut self,
        now: Millis,
        request: &Request,
        due: Millis,
    ) -> Decision {
        let told = self.book.turn_away(now, &request.flow, 0);
        let standing = Standing::Early(due);
        Decision::Refuse(Some(Told {
            retry_after: due,
            is_reserved: true,
            standing,
            ..told
        }))
    }
}

/// What is assumed of a caller that is not remembered.
fn likely(request: &Request) -> Standing {
    match request.is_likely_retry {
        true => Standing::LikelyRetry,
        false => Standing::New,
    }
}

fn order(request: &Request, standing: &Standing) -> Order {
    match standing {
        Standing::Due(number) | Standing::Late(number) => {
            Order::Reserved(*number)
        }
        _ => {
            let Request { rank, is_over_share, deadline, .. } = *request;
            Order::by_rank(rank, is_over_share, deadline)
        }
    }
}
