/*!
Asks for the quotas of client accounts, and deals those that fall to this
node.

[`walnutmoor_core::quota`] decides; here asks and answers travel over links,
and requests wait for them. One that waits has not been let in, so whatever
becomes of the allocator, its caller can be told that it did not run.
*/

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};
use walnutmoor_core::{
    account::{Account, Directory},
    digest::Map,
    error::{Kind, Ran, Refusal},
    id::{self, CallId, NodeId},
    quota::{
        self, Allocator, Config, Decision, Fleet, Leases, Request, Resolution,
        Response,
    },
    time::Millis,
};

use super::{frame::Frame, link::Link, state::State};

/// How long an allocator may take to answer: it is a round trip away and may
/// be busy for some tens of milliseconds. A request that waits longer is
/// decided here.
const ANSWER_WITHIN: Duration = Duration::from_millis(150);

/// The pause after an answer from a node that is not the allocator. Views of
/// the fleet agree again within a look at it.
const ASK_AGAIN: Duration = Duration::from_millis(40);

/// The longest wait for room, as a part of the route's target. A caller that
/// is told to come back loses more than that.
const ROOM_PART: u64 = 8;

/// When a caller may come back that met a node which does not know the fleet
/// yet; reading the directory takes some tens of milliseconds.
const RETRY_STARTING: Millis = Millis(300);

/// When a caller may come back that met a node without an allocator: another
/// one is mostly found within this.
const RETRY_ALONE: Millis = Millis(300);

/// What an allocator's word means for one request.
#[derive(Clone, Copy, Debug)]
enum Verdict {
    Go,
    Refuse(Millis),
    Alone,
}

/// The nodes among which allocators are found.
#[derive(Debug, Default)]
struct Members {
    /// Those that are reached, this one included, in order.
    nodes: Vec<NodeId>,
    /// The allocators of accounts among them, as far as they were asked for.
    places: Map<id::Account, NodeId>,
}

/// The quotas of accounts, as one node asks for them and deals them.
#[derive(Debug)]
pub(crate) struct Quotas {
    config: Config,
    allocator: RefCell<Allocator>,
    leases: RefCell<Leases>,
    waiting: RefCell<Map<CallId, oneshot::Sender<Verdict>>>,
    members: RefCell<Members>,
    /// Nodes that there are by the directory; 0 before it was read.
    listed: Cell<usize>,
    /// Nodes that there are, as others have told.
    told: Cell<usize>,
    fleet: Cell<Fleet>,
    last: Cell<u64>,
    /// Requests that were decided on without an allocator.
    alone: Cell<u64>,
    /// Requests that were refused for their quota.
    denied: Cell<u64>,
}

impl Quotas {
    /// Knows no other node and no account.
    pub(super) fn new(config: Config) -> Quotas {
        Quotas {
            config,
            allocator: RefCell::new(Allocator::new(config)),
            leases: RefCell::default(),
            waiting: RefCell::default(),
            members: RefCell::default(),
            listed: Cell::new(0),
            told: Cell::new(0),
            fleet: Cell::default(),
            last: Cell::new(0),
            alone: Cell::new(0),
            denied: Cell::new(0),
        }
    }

    /// The directory lists so many nodes.
    pub(super) fn count_fleet(&self, nodes: usize) {
        self.listed.set(nodes);
        self.told.set(0);
    }

    /// Another node knows of so many.
    pub(super) fn hear_of(&self, nodes: usize) {
        self.told.set(self.told.get().max(nodes));
    }

    /// Nodes that there are; 0 if neither the directory nor anybody has told.
    pub(super) fn known(&self) -> usize {
        self.listed.get().max(self.told.get())
    }

    /// Requests decided on without an allocator, and those that were
    /// refused, since the start.
    pub(super) fn totals(&self) -> (u64, u64) {
        (self.alone.get(), self.denied.get())
    }

    /// Accounts that this node deals, and that it has asked for.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.allocator.borrow().len(), self.leases.borrow().len())
    }

    fn place(&self, account: &id::Account) -> Option<NodeId> {
        let mut members = self.members.borrow_mut();
        let Members { nodes, places } = &mut *members;
        if let Some(node) = places.get(account) {
            return Some(*node);
        }
        let node = quota::allocator_for(account, nodes.iter().copied())?;
        places.insert(account.clone(), node);
        Some(node)
    }

    fn settle(
        &self,
        now: Millis,
        account: &id::Account,
        settled: &Resolution,
    ) {
        for id in &settled.admitted {
            if !self.tell(*id, Verdict::Go) {
                // Its caller has left, and nothing ran.
                self.leases.borrow_mut().finish(now, account, 0);
            }
        }
        for (id, room) in &settled.refused {
            self.tell(*id, Verdict::Refuse(*room));
        }
        for id in &settled.local {
            self.tell(*id, Verdict::Alone);
        }
    }

    fn tell(&self, id: CallId, verdict: Verdict) -> bool {
        let sender = self.waiting.borrow_mut().remove(&id);
        sender.is_some_and(|sender| sender.send(verdict).is_ok())
    }
}

/// A request that was let in under its account's quota. What it did not use
/// goes back when it ends.
#[derive(Debug)]
pub(super) struct Permit {
    state: Rc<State>,
    account: id::Account,
    runs: Option<u32>,
}

impl Permit {
    /// The request has ended after so many runs.
    pub(super) fn end(mut self, runs: u32) {
        self.runs = Some(runs);
    }
}

impl Drop for Permit {
    /// One that is dropped early, as its caller has left, may have run.
    fn drop(&mut self) {
        let runs = self.runs.unwrap_or(1);
        let mut leases = self.state.quotas.leases.borrow_mut();
        leases.finish(self.state.now(), &self.account, runs);
    }
}

impl State {
    /// Lets a request in under its account's quota; `None` if there is none.
    /// One that finds room soon waits for it, as its target allows.
    pub(super) async fn acquire(
        self: &Rc<State>,
        account: Option<&Account>,
        target: Millis,
    ) -> Result<Option<Permit>, Refusal> {
        let Some(account) = account.filter(|a| a.quota.is_some()) else {
            return Ok(None);
        };
        let mut verdict = self.decide(account).await;
        if let Verdict::Refuse(room) = verdict
            && room.0 <= target.0 / ROOM_PART
        {
            sleep(Duration::from_millis(room.0)).await;
            verdict = self.decide(account).await;
        }
        let quotas = &self.quotas;
        if matches!(verdict, Verdict::Alone) {
            quotas.alone.set(quotas.alone.get() + 1);
            verdict = self.decide_alone(account)?;
        }
        match verdict {
            Verdict::Refuse(room) => {
                quotas.denied.set(quotas.denied.get() + 1);
                Err(over_quota(room))
            }
            Verdict::Go | Verdict::Alone => Ok(Some(Permit {
                state: self.clone(),
                account: account.name.clone(),
                runs: None,
            })),
        }
    }

    async fn decide(self: &Rc<State>, account: &Account) -> Verdict {
        let quotas = &self.quotas;
        let id = CallId(quotas.last.get() + 1);
        quotas.last.set(id.0);
        let name = &account.name;
        let take = quotas.leases.borrow_mut().acquire(self.now(), name, id);
        let ask = match take {
            Decision::Admit => return Verdict::Go,
            Decision::Refuse(room) => return Verdict::Refuse(room),
            Decision::Local => return Verdict::Alone,
            Decision::Wait(ask) => ask,
        };
        let (sender, receiver) = oneshot::channel();
        quotas.waiting.borrow_mut().insert(id, sender);
        if let Some(ask) = ask {
            self.ask_allocator(name, ask);
        }
        match timeout(ANSWER_WITHIN, receiver).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) => Verdict::Alone,
            Err(_) => {
                quotas.waiting.borrow_mut().remove(&id);
                self.give_up_on_allocator(name);
                Verdict::Alone
            }
        }
    }

    /// Decides on a request without the allocator of its account.
    fn decide_alone(&self, account: &Account) -> Result<Verdict, Refusal> {
        let quotas = &self.quotas;
        let fleet = quotas.fleet.get();
        let Some(quota) = account.quota else {
            return Ok(Verdict::Go);
        };
        if fleet.known == 0 {
            let refusal = Refusal::new(Kind::Starting, Ran::No);
            return Err(refusal.retry_after(RETRY_STARTING));
        }
        let mut leases = quotas.leases.borrow_mut();
        let goes = leases.admit_locally(
            self.now(),
            &account.name,
            quotas.config,
            quota,
            fleet,
            self.draw(),
        );
        match goes {
            true => Ok(Verdict::Go),
            false => Ok(Verdict::Refuse(RETRY_ALONE)),
        }
    }

    fn ask_allocator(self: &Rc<State>, account: &id::Account, ask: Request) {
        match self.quotas.place(account) {
            Some(node) if node == self.me => {
                let answer = self.allot(account, ask);
                self.granted(account, answer);
            }
            Some(node) => match self.link(node).filter(|l| l.is_healthy()) {
                Some(link) => {
                    link.send(Frame::QuotaRequest(account.clone(), ask))
                }
                None => self.give_up_on_allocator(account),
            },
            None => self.give_up_on_allocator(account),
        }
    }

    fn give_up_on_allocator(&self, account: &id::Account) {
        let quotas = &self.quotas;
        let mut leases = quotas.leases.borrow_mut();
        let now = self.now();
        let settled = leases.give_up(now, account);
        drop(leases);
        quotas.settle(now, account, &settled);
    }

    /// Deals an account's quota, if this node is its allocator.
    pub(super) fn allot(
        &self,
        account: &id::Account,
        ask: Request,
    ) -> Response {
        let table = self.table().unwrap_or_default();
        let quota = table.accounts.get(account).and_then(|a| a.quota);
        let is_here = self.quotas.place(account) == Some(self.me);
        match quota.filter(|_| is_here) {
            Some(quota) => {
                let mut allocator = self.quotas.allocator.borrow_mut();
                let now = self.now();
                Response::Granted(allocator.grant(now, account, quota, ask))
            }
            None => Response::NotAllocator,
        }
    }

    /// The allocator of an account has answered.
    pub(super) fn granted(
        self: &Rc<State>,
        account: &id::Account,
        answer: Response,
    ) {
        let quotas = &self.quotas;
        let mut leases = quotas.leases.borrow_mut();
        let now = self.now();
        let settled = leases.handle_response(now, account, answer);
        drop(leases);
        quotas.settle(now, account, &settled);
        if let Some(ask) = settled.request {
            self.ask_allocator(account, ask);
        }
        if settled.not_allocator {
            let (state, account) = (self.clone(), account.clone());
            tokio::task::spawn_local(async move {
                sleep(ASK_AGAIN).await;
                let now = state.now();
                let mut leases = state.quotas.leases.borrow_mut();
                let ask = leases.retry(now, &account);
                drop(leases);
                if let Some(ask) = ask {
                    state.ask_allocator(&account, ask);
                }
            });
        }
    }

    /// Follows the nodes that are reached. `paused` tells that this process
    /// has stood still.
    pub(super) fn look_at_fleet(&self, paused: bool) {
        let now = self.now();
        let quotas = &self.quotas;
        let links = self.links();
        let known = match quotas.known() {
            0 => 0,
            known => known.max(links.len() + 1),
        };
        let sound = |link: Rc<Link>| link.is_healthy().then_some(link.node);
        let mut nodes: Vec<NodeId> =
            links.into_iter().filter_map(sound).collect();
        nodes.push(self.me);
        nodes.sort_unstable();
        let fleet = Fleet { reachable: nodes.len(), known };
        quotas.fleet.set(fleet);
        if paused {
            quotas.allocator.borrow_mut().reset(now);
        }
        quotas.allocator.borrow_mut().set_fleet(now, fleet);
        quotas.leases.borrow_mut().evict_idle(now);
        let mut members = quotas.members.borrow_mut();
        if members.nodes == nodes {
            return;
        }
        *members = Members { nodes, places: Map::default() };
        drop(members);
        let mut allocator = quotas.allocator.borrow_mut();
        allocator.retain(|name| quotas.place(name) == Some(self.me));
    }

    /// Another desired state is in force.
    pub(super) fn renew_quotas(&self, accounts: &Directory) {
        let quotas = &self.quotas;
        let keep = |name: &id::Account| accounts.get(name).is_some();
        quotas.leases.borrow_mut().reconfigure(keep);
        quotas.allocator.borrow_mut().retain(keep);
    }
}

fn over_quota(room: Millis) -> Refusal {
    Refusal::new(Kind::OverQuota, Ran::No).retry_after(room)
}
