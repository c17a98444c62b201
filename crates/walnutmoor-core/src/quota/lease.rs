/*!
What one node may still let in of each account.
*/

use std::collections::VecDeque;

use super::{Answer, Ask, Config, Fleet, Grant};
use crate::{
    account::Quota,
    digest::Map,
    id::{Account, CallId},
    time::Millis,
};

/// How long an allocator that did not answer is not asked again.
const SILENT: Millis = Millis(250);

/// The longest span in which nothing is asked after a denial. Requests that
/// come meanwhile are refused without a message, so a flood costs its
/// allocator a few messages a second from each node.
const DENIED_MAX: Millis = Millis(100);

/// The part of the span until there is room after which it is asked again.
const DENIED_PART: u64 = 4;

/// How soon what a node expects of an account is forgotten: half of it after
/// some seven tenths of this span.
const EXPECTED_OVER: Millis = Millis(250);

/// What becomes of a request that asks for its account's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Take {
    /// It is let in.
    Go,
    /// It is refused; when there is likely to be room.
    Refuse(Millis),
    /// It waits for the allocator, which is to be asked this unless it has
    /// been asked before.
    Wait(Option<Ask>),
    /// The allocator is silent: see [`Lease::alone`].
    Alone,
}

/// Requests that waited, and what an answer means for them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Settled {
    /// They are let in.
    pub go: Vec<CallId>,
    /// They are refused, each with the span until there is likely room.
    pub refused: Vec<(CallId, Millis)>,
    /// There is nobody to be asked: see [`Lease::alone`].
    pub alone: Vec<CallId>,
    /// The node that was asked is not the allocator: see [`Leases::again`].
    pub elsewhere: bool,
    /// What is to be asked next.
    pub ask: Option<Ask>,
}

/// What is known of one account.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    count: u32,
    until: Millis,
    /// Nothing is asked until the first; there is room after the second.
    denied: Option<(Millis, Millis)>,
    silent: Option<Millis>,
    waiting: VecDeque<CallId>,
    /// What the allocator was asked, and when.
    asked: Option<(Millis, Ask)>,
    returned: u32,
    spent: u32,
    expected: f64,
    counted: Millis,
    /// What is left of the own part, and when it was reckoned.
    own: Option<(Millis, f64)>,
}

impl Lease {
    fn take(&mut self, now: Millis, id: CallId) -> Take {
        self.lapse(now);
        self.count(now);
        if self.count > 0 && self.waiting.is_empty() {
            self.count -= 1;
            return Take::Go;
        }
        match self.denied {
            Some((until, room)) if now < until => {
                return Take::Refuse(room.since(now));
            }
            _ => self.denied = None,
        }
        if self.silent.is_some_and(|until| now < until) {
            return Take::Alone;
        }
        self.silent = None;
        self.waiting.push_back(id);
        match self.asked {
            Some(_) => Take::Wait(None),
            None => Take::Wait(Some(self.ask(now))),
        }
    }

    /// Grants that nobody used in time go back.
    fn lapse(&mut self, now: Millis) {
        if now >= self.until {
            self.returned = self.returned.saturating_add(self.count);
            self.count = 0;
        }
    }

    /// Counts a request towards what is expected.
    fn count(&mut self, now: Millis) {
        let spans = now.since(self.counted).secs() / EXPECTED_OVER.secs();
        self.expected = self.expected * (-spans).exp() + 1.0;
        self.counted = now;
    }

    fn ask(&mut self, now: Millis) -> Ask {
        let needed = self.waiting.len() as u32;
        let ask = Ask {
            needed,
            // Whole requests only: most accounts send a node one at times,
            // and what it held for the next would lie idle.
            expected: (self.expected as u32).saturating_sub(needed),
            returned: std::mem::take(&mut self.returned),
            spent: std::mem::take(&mut self.spent),
        };
        self.asked = Some((now, ask));
        ask
    }

    /// Asks once more, if somebody still waits.
    fn again(&mut self, now: Millis) -> Option<Ask> {
        let (_, former) = self.asked.filter(|_| !self.waiting.is_empty())?;
        self.returned = self.returned.saturating_add(former.returned);
        self.spent = self.spent.saturating_add(former.spent);
        Some(self.ask(now))
    }

    /// Nobody answers. What was used may not have been heard of; what was
    /// given back may have been.
    fn give_up(&mut self, now: Millis) -> Settled {
        if let Some((_, ask)) = self.asked.take() {
            self.spent = self.spent.saturating_add(ask.spent);
        }
        self.silent = Some(now + SILENT);
        let alone = self.waiting.drain(..).collect();
        Settled { alone, ..Settled::default() }
    }

    fn hear(&mut self, now: Millis, answer: Answer) -> Settled {
        match (answer, self.asked) {
            (Answer::Granted(grant), Some((asked, ask))) => {
                self.asked = None;
                self.settle(now, asked, ask.needed, grant)
            }
            // Views of the fleet differ for a moment when it changes.
            (Answer::Elsewhere, Some(_)) => {
                Settled { elsewhere: true, ..Settled::default() }
            }
            // It was given up before.
            (_, None) => Settled::default(),
        }
    }

    fn settle(
        &mut self,
        now: Millis,
        asked: Millis,
        needed: u32,
        grant: Grant,
    ) -> Settled {
        let mut settled = Settled::default();
        let mut left = grant.count;
        while left > 0 {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            settled.go.push(id);
            left -= 1;
        }
        if left > 0 {
            self.lapse(now);
            self.count += left;
            self.until = asked + grant.lifetime;
        }
        if grant.count < needed {
            let room = grant.retry;
            let pause = Millis(room.0 / DENIED_PART).min(DENIED_MAX);
            self.denied = Some((now + pause, now + room));
            let refused = self.waiting.drain(..).map(|id| (id, room));
            settled.refused = refused.collect();
        }
        if !self.waiting.is_empty() {
            settled.ask = Some(self.ask(now));
        }
        settled
    }

    /// Whether a request is let in by a node that has nobody to ask; `draw`
    /// is a random number in 0 to 1.
    ///
    /// Each node has its even part of the quota. It is mostly less than one
    /// request, so whether that one is let in is drawn: over many nodes the
    /// parts add up, and on one the part that was drawn too early is owed.
    pub fn alone(
        &mut self,
        now: Millis,
        config: Config,
        quota: Quota,
        fleet: Fleet,
        draw: f64,
    ) -> bool {
        let even = fleet.even();
        let size = config.size(quota).part(even);
        let left = match self.own {
            Some((at, left)) => {
                let earned = size.rate * now.since(at).secs();
                (left + earned).min(size.depth)
            }
            None => config.start() * even,
        };
        let goes = draw < left;
        let used = if goes { 1.0 } else { 0.0 };
        self.spent += u32::from(goes);
        self.own = Some((now, left - used));
        goes
    }

    /// True if nothing would be lost by forgetting it.
    fn is_idle(&self, now: Millis) -> bool {
        let asks = self.asked.is_some() || !self.waiting.is_empty();
        !asks && now >= self.until && now.since(self.counted) > IDLE
    }
}

/// How long an account is remembered that nobody uses.
const IDLE: Millis = Millis(60_000);

/// What one node may let in of all accounts.
#[derive(Debug, Default)]
pub struct Leases {
    accounts: Map<Account, Lease>,
}

impl Leases {
    fn lease(&mut self, account: &Account) -> &mut Lease {
        self.accounts.entry(account.clone()).or_default()
    }

    /// A request of an account comes.
    pub fn take(
        &mut self,
        now: Millis,
        account: &Account,
        id: CallId,
    ) -> Take {
        self.lease(account).take(now, id)
    }

    /// The allocator has answered.
    pub fn hear(
        &mut self,
        now: Millis,
        account: &Account,
        answer: Answer,
    ) -> Settled {
        self.lease(account).hear(now, answer)
    }

    /// What is to be asked a moment after the answer came from a node that
    /// was not the allocator.
    pub fn again(&mut self, now: Millis, account: &Account) -> Option<Ask> {
        self.lease(account).again(now)
    }

    /// Nobody can be asked, or nobody answers: those that wait decide alone,
    /// as do those that come within a moment.
    pub fn give_up(&mut self, now: Millis, account: &Account) -> Settled {
        self.lease(account).give_up(now)
    }

    /// Whether a request is let in without an allocator.
    pub fn alone(
        &mut self,
        now: Millis,
        account: &Account,
        config: Config,
        quota: Quota,
        fleet: Fleet,
        draw: f64,
    ) -> bool {
        self.lease(account).alone(now, config, quota, fleet, draw)
    }

    /// A request that was let in has ended, after so many runs. What did not
    /// run is given back; a repeat uses the quota once more.
    pub fn end(&mut self, now: Millis, account: &Account, runs: u32) {
        let lease = self.lease(account);
        match runs {
            0 if now < lease.until => lease.count += 1,
            0 => lease.returned = lease.returned.saturating_add(1),
            runs => lease.spent = lease.spent.saturating_add(runs - 1),
        }
    }

    /// The desired state has changed: what was denied under the former one
    /// is asked for again, and accounts that are gone are forgotten.
    pub fn renew(&mut self, mut keep: impl FnMut(&Account) -> bool) {
        self.accounts.retain(|account, lease| {
            lease.denied = None;
            keep(account) || !lease.waiting.is_empty()
        });
    }

    /// Forgets accounts that nobody uses.
    pub fn sweep(&mut self, now: Millis) {
        self.accounts.retain(|_, lease| !lease.is_idle(now));
    }

    /// Accounts that are remembered.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
