/*!
Tokens that one node holds for each account.
*/

use std::collections::VecDeque;

use super::{Config, Fleet, Grant, Request, Response};
use crate::{
    account::Quota,
    digest::Map,
    id::{Account, CallId},
    time::Millis,
};

/// How long an allocator is not asked again after it did not respond.
const SILENT_ALLOCATOR_BACKOFF: Millis = Millis(250);

/// Maximum time in which no request is sent to the allocator after a denial.
/// Requests that arrive meanwhile are refused locally, which bounds the
/// messages that a flood causes.
const MAX_DENIAL_BACKOFF: Millis = Millis(100);

/// Divisor of the time until tokens are available, after which the allocator
/// is asked again.
const DENIAL_BACKOFF_DIVISOR: u64 = 4;

/// Time constant of the exponential decay of expected requests.
const ARRIVAL_DECAY: Millis = Millis(250);

/// Decision on a request of an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is admitted.
    Admit,
    /// It is refused; tokens are likely to be available after this time.
    Refuse(Millis),
    /// It waits for the allocator. If there is a [`Request`], it must be sent;
    /// otherwise one is already pending.
    Wait(Option<Request>),
    /// The allocator is unreachable; see [`Lease::admit_locally`].
    Local,
}

/// Decisions on waiting requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Resolution {
    /// Requests that are admitted.
    pub admitted: Vec<CallId>,
    /// Requests that are refused, each with the time until tokens are likely
    /// to be available.
    pub refused: Vec<(CallId, Millis)>,
    /// Requests without a reachable allocator; see [`Lease::admit_locally`].
    pub local: Vec<CallId>,
    /// The node that responded is not the allocator; see [`Leases::retry`].
    pub not_allocator: bool,
    /// The next request to send to the allocator.
    pub request: Option<Request>,
}

/// State of one account at one node.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    tokens: u32,
    expires: Millis,
    /// Set after a denial: when the allocator may be asked again, and when
    /// tokens are likely to be available.
    denied: Option<(Millis, Millis)>,
    silent_until: Option<Millis>,
    waiting: VecDeque<CallId>,
    /// The request sent to the allocator, and when.
    pending: Option<(Millis, Request)>,
    returned: u32,
    spent: u32,
    expected: f64,
    last_arrival: Millis,
    /// Tokens left of the local share, and when they were computed.
    local: Option<(Millis, f64)>,
}

impl Lease {
    fn acquire(&mut self, now: Millis, id: CallId) -> Decision {
        self.expire(now);
        self.record_arrival(now);
        if self.tokens > 0 && self.waiting.is_empty() {
            self.tokens -= 1;
            return Decision::Admit;
        }
        match self.denied {
            Some((retry_at, available_at)) if now < retry_at => {
                return Decision::Refuse(available_at.since(now));
            }
            _ => self.denied = None,
        }
        if self.silent_until.is_some_and(|until| now < until) {
            return Decision::Local;
        }
        self.silent_until = None;
        self.waiting.push_back(id);
        match self.pending {
            Some(_) => Decision::Wait(None),
            None => Decision::Wait(Some(self.request(now))),
        }
    }

    /// Returns tokens whose lifetime has ended.
    fn expire(&mut self, now: Millis) {
        if now >= self.expires {
            self.returned = self.returned.saturating_add(self.tokens);
            self.tokens = 0;
        }
    }

    /// Counts a request towards the expected ones.
    fn record_arrival(&mut self, now: Millis) {
        let decay = now.since(self.last_arrival).secs() / ARRIVAL_DECAY.secs();
        self.expected = self.expected * (-decay).exp() + 1.0;
        self.last_arrival = now;
    }

    fn request(&mut self, now: Millis) -> Request {
        let needed = self.waiting.len() as u32;
        let request = Request {
            needed,
            // Rounded down: a token held for an account that rarely sends
            // requests to this node would be unused.
            expected: (self.expected as u32).saturating_sub(needed),
            returned: std::mem::take(&mut self.returned),
            spent: std::mem::take(&mut self.spent),
        };
        self.pending = Some((now, request));
        request
    }

    /// Repeats the pending request if any requests still wait.
    fn retry(&mut self, now: Millis) -> Option<Request> {
        let (_, former) = self.pending.filter(|_| !self.waiting.is_empty())?;
        self.returned = self.returned.saturating_add(former.returned);
        self.spent = self.spent.saturating_add(former.spent);
        Some(self.request(now))
    }

    /// Decides waiting requests without the allocator. Whether it handled the
    /// pending request is unknown, so spent tokens are reported again and
    /// returned ones are not.
    fn give_up(&mut self, now: Millis) -> Resolution {
        if let Some((_, request)) = self.pending.take() {
            self.spent = self.spent.saturating_add(request.spent);
        }
        self.silent_until = Some(now + SILENT_ALLOCATOR_BACKOFF);
        let local = self.waiting.drain(..).collect();
        Resolution { local, ..Resolution::default() }
    }

    fn handle_response(
        &mut self,
        now: Millis,
        response: Response,
    ) -> Resolution {
        match (response, self.pending) {
            (Response::Granted(grant), Some((asked, request))) => {
                self.pending = None;
                self.resolve(now, asked, request.needed, grant)
            }
            // Views of the fleet differ for a moment after a change.
            (Response::NotAllocator, Some(_)) => {
                Resolution { not_allocator: true, ..Resolution::default() }
            }
            // The request was abandoned before the response arrived.
            (_, None) => Resolution::default(),
        }
    }

    fn resolve(
        &mut self,
        now: Millis,
        asked: Millis,
        needed: u32,
        grant: Grant,
    ) -> Resolution {
        let mut resolution = Resolution::default();
        let mut left = grant.count;
        while left > 0 {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            resolution.admitted.push(id);
            left -= 1;
        }
        if left > 0 {
            self.expire(now);
            self.tokens += left;
            self.expires = asked + grant.lifetime;
        }
        if grant.count < needed {
            let delay = grant.retry;
            let backoff = Millis(delay.0 / DENIAL_BACKOFF_DIVISOR)
                .min(MAX_DENIAL_BACKOFF);
            self.denied = Some((now + backoff, now + delay));
            let refused = self.waiting.drain(..).map(|id| (id, delay));
            resolution.refused = refused.collect();
        }
        if !self.waiting.is_empty() {
            resolution.request = Some(self.request(now));
        }
        resolution
    }

    /// Returns true if a request is admitted without an allocator. `draw` is a
    /// uniform random number in 0 to 1.
    ///
    /// Each node has an even share of the quota, usually less than one
    /// request. Admission is therefore random, so that the shares of many
    /// nodes add up to the quota, and a node that admits a request early goes
    /// into debt.
    pub fn admit_locally(
        &mut self,
        now: Millis,
        config: Config,
        quota: Quota,
        fleet: Fleet,
        draw: f64,
    ) -> bool {
        let share = fleet.even_share();
        let size = config.bucket_size(quota).scaled(share);
        let left = match self.local {
            Some((at, left)) => {
                let earned = size.rate * now.since(at).secs();
                (left + earned).min(size.depth)
            }
            None => config.initial_tokens() * share,
        };
        let is_admitted = draw < left;
        let used = if is_admitted { 1.0 } else { 0.0 };
        self.spent += u32::from(is_admitted);
        self.local = Some((now, left - used));
        is_admitted
    }

    /// Returns true if the state can be dropped without loss.
    fn is_idle(&self, now: Millis) -> bool {
        let is_asking = self.pending.is_some() || !self.waiting.is_empty();
        !is_asking
            && now >= self.expires
            && now.since(self.last_arrival) > IDLE_TIMEOUT
    }
}

/// How long the state of an unused account is kept.
const IDLE_TIMEOUT: Millis = Millis(60_000);

/// Leases of all accounts at one node.
#[derive(Debug, Default)]
pub struct Leases {
    accounts: Map<Account, Lease>,
}

impl Leases {
    fn lease(&mut self, account: &Account) -> &mut Lease {
        self.accounts.entry(account.clone()).or_default()
    }

    /// Decides on a request of an account.
    pub fn acquire(
        &mut self,
        now: Millis,
        account: &Account,
        id: CallId,
    ) -> Decision {
        self.lease(account).acquire(now, id)
    }

    /// Handles the response of an allocator.
    pub fn handle_response(
        &mut self,
        now: Millis,
        account: &Account,
        response: Response,
    ) -> Resolution {
        self.lease(account).handle_response(now, response)
    }

    /// Returns the request to send again, shortly after a response from a node
    /// that was not the allocator.
    pub fn retry(
        &mut self,
        now: Millis,
        account: &Account,
    ) -> Option<Request> {
        self.lease(account).retry(now)
    }

    /// Decides waiting requests locally because no allocator responds, and
    /// requests that arrive within a short time as well.
    pub fn give_up(&mut self, now: Millis, account: &Account) -> Resolution {
        self.lease(account).give_up(now)
    }

    /// Returns true if a request is admitted without an allocator; see
    /// [`Lease::admit_locally`].
    pub fn admit_locally(
        &mut self,
        now: Millis,
        account: &Account,
        config: Config,
        quota: Quota,
        fleet: Fleet,
        draw: f64,
    ) -> bool {
        self.lease(account).admit_locally(now, config, quota, fleet, draw)
    }

    /// Records that an admitted request ended after `runs` runs. A request
    /// that did not run returns its token, and each retry spends another one.
    pub fn finish(&mut self, now: Millis, account: &Account, runs: u32) {
        let lease = self.lease(account);
        match runs {
            0 if now < lease.expires => lease.tokens += 1,
            0 => lease.returned = lease.returned.saturating_add(1),
            runs => lease.spent = lease.spent.saturating_add(runs - 1),
        }
    }

    /// Applies a changed desired state: drops earlier denials, and the
    /// accounts for which `keep` returns false unless requests of theirs wait.
    pub fn reconfigure(&mut self, mut keep: impl FnMut(&Account) -> bool) {
        self.accounts.retain(|account, lease| {
            lease.denied = None;
            keep(account) || !lease.waiting.is_empty()
        });
    }

    /// Drops accounts that are not used.
    pub fn evict_idle(&mut self, now: Millis) {
        self.accounts.retain(|_, lease| !lease.is_idle(now));
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns true if there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
