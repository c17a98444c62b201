/*!
Enforces the quotas of client accounts, as a client and as an allocator.

[`walnutmoor_core::quota`] makes the decisions; this module sends requests for
leases to allocators, and holds callers' requests until they are answered. A
held request has not been admitted, so if the allocator fails, its caller can
be told that it did not run.
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

/// The timeout for an allocator's response, after which a request is decided
/// locally.
const ALLOCATOR_TIMEOUT: Duration = Duration::from_millis(150);

/// The backoff after a response from a node that is not the allocator. The
/// nodes' views of the fleet converge in the meantime.
const NOT_ALLOCATOR_BACKOFF: Duration = Duration::from_millis(40);

/// The divisor of the route's target that gives the longest wait for quota.
const MAX_WAIT_DIVISOR: u64 = 8;

/// The retry delay sent by a node that does not know the size of the fleet
/// yet.
const STARTING_RETRY_AFTER: Millis = Millis(300);

/// The retry delay sent by a node that reaches no allocator.
const LOCAL_RETRY_AFTER: Millis = Millis(300);

/// The decision on one request.
#[derive(Clone, Copy, Debug)]
enum Verdict {
    Admit,
    /// Over quota, with the time until there is some again.
    Refuse(Millis),
    /// To be decided without the allocator.
    Local,
}

/// The nodes among which allocators are chosen.
#[derive(Debug, Default)]
struct Members {
    /// The reachable nodes including this one, sorted.
    nodes: Vec<NodeId>,
    /// A cache of the allocators of accounts.
    allocators: Map<id::Account, NodeId>,
}

/// The leases that this node holds, and those that it grants as an allocator.
#[derive(Debug)]
pub(crate) struct Quotas {
    config: Config,
    allocator: RefCell<Allocator>,
    leases: RefCell<Leases>,
    waiting: RefCell<Map<CallId, oneshot::Sender<Verdict>>>,
    members: RefCell<Members>,
    /// The number of nodes in the directory; 0 before it was read.
    directory_size: Cell<usize>,
    /// The number of nodes reported by peers.
    reported_size: Cell<usize>,
    fleet: Cell<Fleet>,
    last_request: Cell<u64>,
    /// Requests that were decided without an allocator.
    local_decisions: Cell<u64>,
    /// Requests that were refused as over quota.
    refusals: Cell<u64>,
}

impl Quotas {
    /// Creates the state of a node that knows no other node and no account.
    pub(super) fn new(config: Config) -> Quotas {
        Quotas {
            config,
            allocator: RefCell::new(Allocator::new(config)),
            leases: RefCell::default(),
            waiting: RefCell::default(),
            members: RefCell::default(),
            directory_size: Cell::new(0),
            reported_size: Cell::new(0),
            fleet: Cell::default(),
            last_request: Cell::new(0),
            local_decisions: Cell::new(0),
            refusals: Cell::new(0),
        }
    }

    /// Records the number of nodes in the directory.
    pub(super) fn set_directory_size(&self, nodes: usize) {
        self.directory_size.set(nodes);
        self.reported_size.set(0);
    }

    /// Records the number of nodes that a peer knows.
    pub(super) fn record_reported_size(&self, nodes: usize) {
        self.reported_size.set(self.reported_size.get().max(nodes));
    }

    /// The number of nodes in the fleet; 0 if it is not known.
    pub(super) fn fleet_size(&self) -> usize {
        self.directory_size.get().max(self.reported_size.get())
    }

    /// The numbers of requests decided without an allocator and of those
    /// refused, since the start.
    pub(super) fn decision_counts(&self) -> (u64, u64) {
        (self.local_decisions.get(), self.refusals.get())
    }

    /// The numbers of accounts for which this node grants and holds leases.
    pub(crate) fn account_counts(&self) -> (usize, usize) {
        (self.allocator.borrow().len(), self.leases.borrow().len())
    }

    /// The node that allocates the account's quota.
    fn find_allocator(&self, account: &id::Account) -> Option<NodeId> {
        let mut members = self.members.borrow_mut();
        let Members { nodes, allocators } = &mut *members;
        if let Some(node) = allocators.get(account) {
            return Some(*node);
        }
        let node = quota::allocator_for(account, nodes.iter().copied())?;
        allocators.insert(account.clone(), node);
        Some(node)
    }

    /// Passes the decisions to the requests that wait for them.
    fn resolve(
        &self,
        now: Millis,
        account: &id::Account,
        resolution: &Resolution,
    ) {
        for id in &resolution.admitted {
            if !self.deliver(*id, Verdict::Admit) {
                // The caller has disconnected, and nothing ran.
                self.leases.borrow_mut().finish(now, account, 0);
            }
        }
        for (id, wait) in &resolution.refused {
            self.deliver(*id, Verdict::Refuse(*wait));
        }
        for id in &resolution.local {
            self.deliver(*id, Verdict::Local);
        }
    }

    fn deliver(&self, id: CallId, verdict: Verdict) -> bool {
        let sender = self.waiting.borrow_mut().remove(&id);
        sender.is_some_and(|sender| sender.send(verdict).is_ok())
    }
}

/// A request that was admitted under its account's quota. Unused quota is
/// returned when it ends.
#[derive(Debug)]
pub(super) struct Permit {
    state: Rc<State>,
    account: id::Account,
    runs: Option<u32>,
}

impl Permit {
    /// Ends the request after this many runs.
    pub(super) fn end(mut self, runs: u32) {
        self.runs = Some(runs);
    }
}

impl Drop for Permit {
    /// A request whose caller disconnects early may have run, and counts as
    /// one run.
    fn drop(&mut self) {
        let runs = self.runs.unwrap_or(1);
        let mut leases = self.state.quotas.leases.borrow_mut();
        leases.finish(self.state.now(), &self.account, runs);
    }
}

impl State {
    /// Admits a request under its account's quota; `None` if the account has
    /// none. Waits for quota if the route's target allows.
    pub(super) async fn acquire(
        self: &Rc<State>,
        account: Option<&Account>,
        target: Millis,
    ) -> Result<Option<Permit>, Refusal> {
        let Some(account) = account.filter(|a| a.quota.is_some()) else {
            return Ok(None);
        };
        let mut verdict = self.decide(account).await;
        if let Verdict::Refuse(wait) = verdict
            && wait.0 <= target.0 / MAX_WAIT_DIVISOR
        {
            sleep(Duration::from_millis(wait.0)).await;
            verdict = self.decide(account).await;
        }
        let quotas = &self.quotas;
        if matches!(verdict, Verdict::Local) {
            quotas.local_decisions.set(quotas.local_decisions.get() + 1);
            verdict = self.decide_locally(account)?;
        }
        match verdict {
            Verdict::Refuse(wait) => {
                quotas.refusals.set(quotas.refusals.get() + 1);
                Err(over_quota(wait))
            }
            Verdict::Admit | Verdict::Local => Ok(Some(Permit {
                state: self.clone(),
                account: account.name.clone(),
                runs: None,
            })),
        }
    }

    async fn decide(self: &Rc<State>, account: &Account) -> Verdict {
        let quotas = &self.quotas;
        let id = CallId(quotas.last_request.get() + 1);
        quotas.last_request.set(id.0);
        let name = &account.name;
        let decision =
            quotas.leases.borrow_mut().acquire(self.now(), name, id);
        let request = match decision {
            Decision::Admit => return Verdict::Admit,
            Decision::Refuse(wait) => return Verdict::Refuse(wait),
            Decision::Local => return Verdict::Local,
            Decision::Wait(request) => request,
        };
        let (sender, receiver) = oneshot::channel();
        quotas.waiting.borrow_mut().insert(id, sender);
        if let Some(request) = request {
            self.request_lease(name, request);
        }
        match timeout(ALLOCATOR_TIMEOUT, receiver).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) => Verdict::Local,
            Err(_) => {
                quotas.waiting.borrow_mut().remove(&id);
                self.give_up_on_allocator(name);
                Verdict::Local
            }
        }
    }

    /// Decides a request without the allocator of its account.
    fn decide_locally(&self, account: &Account) -> Result<Verdict, Refusal> {
        let quotas = &self.quotas;
        let fleet = quotas.fleet.get();
        let Some(quota) = account.quota else {
            return Ok(Verdict::Admit);
        };
        if fleet.known == 0 {
            let refusal = Refusal::new(Kind::Starting, Ran::No);
            return Err(refusal.retry_after(STARTING_RETRY_AFTER));
        }
        let mut leases = quotas.leases.borrow_mut();
        let admitted = leases.admit_locally(
            self.now(),
            &account.name,
            quotas.config,
            quota,
            fleet,
            self.random_fraction(),
        );
        match admitted {
            true => Ok(Verdict::Admit),
            false => Ok(Verdict::Refuse(LOCAL_RETRY_AFTER)),
        }
    }

    fn request_lease(
        self: &Rc<State>,
        account: &id::Account,
        request: Request,
    ) {
        match self.quotas.find_allocator(account) {
            Some(node) if node == self.me => {
                let response = self.handle_lease_request(account, request);
                self.handle_lease_response(account, response);
            }
            Some(node) => match self.link(node).filter(|l| l.is_healthy()) {
                Some(link) => {
                    link.send(Frame::QuotaRequest(account.clone(), request))
                }
                None => self.give_up_on_allocator(account),
            },
            None => self.give_up_on_allocator(account),
        }
    }

    /// Decides the requests that wait for the allocator without it.
    fn give_up_on_allocator(&self, account: &id::Account) {
        let quotas = &self.quotas;
        let mut leases = quotas.leases.borrow_mut();
        let now = self.now();
        let resolution = leases.give_up(now, account);
        drop(leases);
        quotas.resolve(now, account, &resolution);
    }

    /// Handles a request for a lease, if this node is the account's allocator.
    pub(super) fn handle_lease_request(
        &self,
        account: &id::Account,
        request: Request,
    ) -> Response {
        let table = self.table().unwrap_or_default();
        let quota = table.accounts.get(account).and_then(|a| a.quota);
        let is_allocator =
            self.quotas.find_allocator(account) == Some(self.me);
        match quota.filter(|_| is_allocator) {
            Some(quota) => {
                let mut allocator = self.quotas.allocator.borrow_mut();
                let now = self.now();
                Response::Granted(
                    allocator.grant(now, account, quota, request),
                )
            }
            None => Response::NotAllocator,
        }
    }

    /// Handles the response of an account's allocator.
    pub(super) fn handle_lease_response(
        self: &Rc<State>,
        account: &id::Account,
        response: Response,
    ) {
        let quotas = &self.quotas;
        let mut leases = quotas.leases.borrow_mut();
        let now = self.now();
        let resolution = leases.handle_response(now, account, response);
        drop(leases);
        quotas.resolve(now, account, &resolution);
        if let Some(request) = resolution.request {
            self.request_lease(account, request);
        }
        if resolution.not_allocator {
            let (state, account) = (self.clone(), account.clone());
            tokio::task::spawn_local(async move {
                sleep(NOT_ALLOCATOR_BACKOFF).await;
                let now = state.now();
                let mut leases = state.quotas.leases.borrow_mut();
                let request = leases.retry(now, &account);
                drop(leases);
                if let Some(request) = request {
                    state.request_lease(&account, request);
                }
            });
        }
    }

    /// Updates the view of the fleet from the links. `paused` is true if this
    /// process was suspended since the last update.
    pub(super) fn update_fleet(&self, paused: bool) {
        let now = self.now();
        let quotas = &self.quotas;
        let links = self.links();
        let known = match quotas.fleet_size() {
            0 => 0,
            known => known.max(links.len() + 1),
        };
        let reachable =
            |link: Rc<Link>| link.is_healthy().then_some(link.node);
        let mut nodes: Vec<NodeId> =
            links.into_iter().filter_map(reachable).collect();
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
        *members = Members { nodes, allocators: Map::default() };
        drop(members);
        let mut allocator = quotas.allocator.borrow_mut();
        allocator.retain(|name| quotas.find_allocator(name) == Some(self.me));
    }

    /// Drops the accounts that a new desired state no longer has.
    pub(super) fn reconfigure_quotas(&self, accounts: &Directory) {
        let quotas = &self.quotas;
        let keep = |name: &id::Account| accounts.get(name).is_some();
        quotas.leases.borrow_mut().reconfigure(keep);
        quotas.allocator.borrow_mut().retain(keep);
    }
}

fn over_quota(wait: Millis) -> Refusal {
    Refusal::new(Kind::OverQuota, Ran::No).retry_after(wait)
}
