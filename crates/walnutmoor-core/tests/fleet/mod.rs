//! Discrete-event simulation of a fleet that enforces quotas, without IO.
//! Messages take time, and nodes are partitioned, restarted and paused.
//! Admitted requests are counted over sliding windows.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use walnutmoor_core::{
    account::Quota,
    id::{Account, CallId, NodeId},
    quota::{
        Allocator, Config, Decision, Fleet, Leases, Request, Resolution,
        Response, allocator_for,
    },
    time::Millis,
};

/// One-way delay of a message.
const MESSAGE_DELAY: Millis = Millis(2);

/// How long a request waits for an allocator.
const ALLOCATOR_TIMEOUT: Millis = Millis(150);

/// Pause after a response from a node that is not the allocator.
const REDIRECT_BACKOFF: Millis = Millis(40);

/// Interval at which a node refreshes its view of the fleet.
const VIEW_INTERVAL: Millis = Millis(125);

/// Delay until a change of reachability is detected.
const DETECTION_DELAY: Millis = Millis(300);

/// How quotas are enforced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// An allocator grants tokens when a request arrives.
    Granted,
    /// Requests are admitted at once and reported to the allocator, which
    /// closes an account whose bucket is empty.
    ToldAfter,
    /// Each node enforces its even share without messages.
    Even,
}

/// Interval of reports with [`Strategy::ToldAfter`].
const REPORT_INTERVAL: Millis = Millis(100);

enum Event {
    Arrive(usize),
    Request { from: usize, to: usize, account: Account, request: Request },
    Response { to: usize, account: Account, response: Response },
    Timeout { node: usize, incarnation: u32, id: CallId },
    Retry { node: usize, account: Account },
    Refresh(usize),
    Report(usize),
}

struct Node {
    incarnation: u32,
    allocator: Allocator,
    leases: Leases,
    /// Account and arrival time of waiting requests, by id.
    waiting: BTreeMap<u64, (Account, u64)>,
    members: Vec<NodeId>,
    fleet: Fleet,
    /// The node is paused until then, and events for it wait.
    paused_until: Millis,
    /// Time spent paused, which the node's monotonic clock does not count.
    paused_time: Millis,
    unreported: BTreeMap<Account, u32>,
    closed_until: BTreeMap<Account, Millis>,
}

/// Callers of one account.
pub struct Source {
    pub account: Account,
    pub quota: Quota,
    /// Requests per second.
    pub rate: f64,
}

/// Outcomes of the requests of an account.
#[derive(Clone, Debug, Default)]
pub struct Count {
    pub sent: u64,
    pub refused: u64,
    /// Arrival and admission times of admitted requests, in milliseconds.
    pub admitted: Vec<(u64, u64)>,
}

pub struct Simulation {
    pub strategy: Strategy,
    pub now: Millis,
    pub sources: Vec<Source>,
    pub counts: BTreeMap<Account, Count>,
    pub messages: u64,
    config: Config,
    nodes: Vec<Node>,
    groups: Vec<usize>,
    /// Former groups, because nodes detect changes late.
    past_groups: VecDeque<(Millis, Vec<usize>)>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    rng: SmallRng,
    last: u64,
}

pub fn account(name: &str) -> Account {
    name.parse().unwrap()
}

pub fn source(name: &str, quota: f64, rate: f64) -> Source {
    let quota = Quota { rate: quota, burst: quota };
    Source { account: account(name), quota, rate }
}

fn id(node: usize) -> NodeId {
    let [_, a, b, c] = (node as u32).to_be_bytes();
    NodeId(([10, a, b, c], 80).into())
}

impl Simulation {
    pub fn new(
        strategy: Strategy,
        nodes: usize,
        sources: Vec<Source>,
        seed: u64,
    ) -> Simulation {
        let config = Config::default();
        let mut simulation = Simulation {
            strategy,
            now: Millis(0),
            counts: BTreeMap::new(),
            messages: 0,
            config,
            nodes: (0..nodes).map(|_| Node::new(config)).collect(),
            groups: vec![0; nodes],
            past_groups: VecDeque::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            last: 0,
            sources,
        };
        for node in 0..nodes {
            let first =
                Millis(simulation.rng.random_range(0..VIEW_INTERVAL.0));
            simulation.push(first, Event::Refresh(node));
            simulation.push(first, Event::Report(node));
        }
        for source in 0..simulation.sources.len() {
            // Callers start once the nodes know each other.
            simulation.push(Millis(3_000), Event::Arrive(source));
        }
        simulation
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.events.push(Some(event));
        let serial = self.events.len() - 1;
        self.queue.push(Reverse((at.0, serial as u64, serial)));
    }

    /// Partitions the fleet. Nodes of different groups can't reach each other.
    pub fn partition(&mut self, group: impl Fn(usize) -> usize) {
        let groups = (0..self.nodes.len()).map(group).collect();
        let former = std::mem::replace(&mut self.groups, groups);
        self.past_groups.push_back((self.now, former));
    }

    pub fn heal(&mut self) {
        self.partition(|_| 0);
    }

    /// Restarts a node, which loses its state.
    pub fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = Node { incarnation, ..Node::new(self.config) };
    }

    /// Pauses a node.
    pub fn pause(&mut self, node: usize, span: Millis) {
        self.nodes[node].paused_until = self.now + span;
        self.nodes[node].paused_time += span;
    }

    /// Returns the allocator of an account if all nodes are reachable.
    pub fn allocator(&self, account: &Account) -> usize {
        let all = (0..self.nodes.len()).map(id);
        let node = allocator_for(account, all).unwrap();
        (0..self.nodes.len()).find(|n| id(*n) == node).unwrap()
    }

    pub fn run(&mut self, until: Millis) {
        while let Some(Reverse((at, _, serial))) = self.queue.peek() {
            let (at, serial) = (Millis(*at), *serial);
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events[serial].take() {
                self.dispatch(event);
            }
        }
        self.now = until;
    }

    fn dispatch(&mut self, event: Event) {
        let node = match &event {
            Event::Arrive(source) => return self.arrive(*source),
            Event::Request { to, .. } | Event::Response { to, .. } => *to,
            Event::Timeout { node, .. }
            | Event::Retry { node, .. }
            | Event::Refresh(node)
            | Event::Report(node) => *node,
        };
        if self.nodes[node].paused_until > self.now {
            let at = self.nodes[node].paused_until;
            return self.push(at, event);
        }
        match event {
            Event::Arrive(_) => {}
            Event::Request { from, to, account, request } => {
                let response = self.respond(to, &account, request);
                let event = Event::Response { to: from, account, response };
                self.send(to, from, event);
            }
            Event::Response { to, account, response } => {
                self.handle_response(to, &account, response);
            }
            Event::Timeout { node, incarnation, id } => {
                self.time_out(node, incarnation, id);
            }
            Event::Retry { node, account } => {
                let now = self.clock(node);
                let request = self.nodes[node].leases.retry(now, &account);
                if let Some(request) = request {
                    self.send_request(node, &account, request);
                }
            }
            Event::Refresh(node) => {
                self.refresh_view(node);
                let next = self.now + VIEW_INTERVAL;
                self.push(next, Event::Refresh(node));
            }
            Event::Report(node) => {
                if self.strategy == Strategy::ToldAfter {
                    self.report(node);
                    let next = self.now + REPORT_INTERVAL;
                    self.push(next, Event::Report(node));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        self.messages += 1;
        if self.groups[from] == self.groups[to] {
            let at = self.now + MESSAGE_DELAY;
            self.push(at, event);
        }
    }

    /// Returns the time by a node's own clock.
    fn clock(&self, node: usize) -> Millis {
        self.now - self.nodes[node].paused_time
    }

    fn refresh_view(&mut self, node: usize) {
        while let Some((at, _)) = self.past_groups.front() {
            if *at + DETECTION_DELAY > self.now {
                break;
            }
            self.past_groups.pop_front();
        }
        let seen = self.past_groups.front().map_or(&self.groups, |(_, g)| g);
        let is_paused = |other: usize| {
            let other = &self.nodes[other];
            other.paused_until > self.now + DETECTION_DELAY
        };
        let all = 0..self.nodes.len();
        let reachable = all.filter(|other| {
            let is_cut_off = seen[*other] != seen[node] || is_paused(*other);
            *other == node || !is_cut_off
        });
        let members: Vec<NodeId> = reachable.map(id).collect();
        let known = self.nodes.len();
        let fleet = Fleet { reachable: members.len(), known };
        let now = self.clock(node);
        let me = id(node);
        let Node { allocator, members: former, fleet: seen, .. } =
            &mut self.nodes[node];
        *seen = fleet;
        allocator.set_fleet(now, fleet);
        if *former != members {
            let is_local = |name: &Account| {
                allocator_for(name, members.iter().copied()) == Some(me)
            };
            allocator.retain(is_local);
            *former = members;
        }
    }

    fn arrive(&mut self, at: usize) {
        let source = &self.sources[at];
        let (name, rate) = (source.account.clone(), source.rate);
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / rate;
        let next = self.now + Millis((gap * 1_000.0) as u64 + 1);
        self.push(next, Event::Arrive(at));
        let node = self.rng.random_range(0..self.nodes.len());
        if self.nodes[node].paused_until > self.now {
            return;
        }
        self.counts.entry(name.clone()).or_default().sent += 1;
        match self.strategy {
            Strategy::Granted => self.acquire(node, &name),
            Strategy::Even => self.admit_locally(node, &name, self.now.0),
            Strategy::ToldAfter => self.admit_and_report(node, &name),
        }
    }

    fn acquire(&mut self, node: usize, name: &Account) {
        self.last += 1;
        let id = CallId(self.last);
        let now = self.clock(node);
        let arrived = self.now.0;
        match self.nodes[node].leases.acquire(now, name, id) {
            Decision::Admit => self.admit(name, arrived),
            Decision::Refuse(_) => self.refuse(name),
            Decision::Local => self.admit_locally(node, name, arrived),
            Decision::Wait(request) => {
                let waiting = &mut self.nodes[node].waiting;
                waiting.insert(id.0, (name.clone(), arrived));
                let at = self.now + ALLOCATOR_TIMEOUT;
                let incarnation = self.nodes[node].incarnation;
                self.push(at, Event::Timeout { node, incarnation, id });
                if let Some(request) = request {
                    self.send_request(node, name, request);
                }
            }
        }
    }

    fn send_request(&mut self, node: usize, name: &Account, request: Request) {
        let members = self.nodes[node].members.iter().copied();
        let Some(allocator) = allocator_for(name, members) else {
            return self.give_up(node, name);
        };
        let to = index(allocator);
        if to == node {
            let response = self.respond(node, name, request);
            return self.handle_response(node, name, response);
        }
        let account = name.clone();
        self.send(
            node,
            to,
            Event::Request { from: node, to, account, request },
        );
    }

    fn respond(
        &mut self,
        node: usize,
        name: &Account,
        request: Request,
    ) -> Response {
        let now = self.clock(node);
        let source = self.sources.iter().find(|s| s.account == *name);
        let quota = source.unwrap().quota;
        let at = &mut self.nodes[node];
        let members = at.members.iter().copied();
        if allocator_for(name, members) != Some(id(node)) {
            at.allocator.retain(|other| other != name);
            return Response::NotAllocator;
        }
        Response::Granted(at.allocator.grant(now, name, quota, request))
    }

    fn handle_response(
        &mut self,
        node: usize,
        name: &Account,
        response: Response,
    ) {
        if self.strategy == Strategy::ToldAfter {
            return self.handle_report_response(node, name, response);
        }
        let now = self.clock(node);
        let resolution =
            self.nodes[node].leases.handle_response(now, name, response);
        let next = resolution.request;
        if resolution.not_allocator {
            let (at, account) = (self.now + REDIRECT_BACKOFF, name.clone());
            self.push(at, Event::Retry { node, account });
        }
        self.apply(node, resolution);
        if let Some(request) = next {
            self.send_request(node, name, request);
        }
    }

    fn apply(&mut self, node: usize, resolution: Resolution) {
        let mut decided = Vec::new();
        for id in resolution.admitted {
            decided.extend(self.take_waiting(node, id).map(|at| (0, at)));
        }
        for (id, _) in resolution.refused {
            decided.extend(self.take_waiting(node, id).map(|at| (1, at)));
        }
        for id in resolution.local {
            decided.extend(self.take_waiting(node, id).map(|at| (2, at)));
        }
        for (outcome, (name, arrived)) in decided {
            match outcome {
                0 => self.admit(&name, arrived),
                1 => self.refuse(&name),
                _ => self.admit_locally(node, &name, arrived),
            }
        }
    }

    fn take_waiting(
        &mut self,
        node: usize,
        id: CallId,
    ) -> Option<(Account, u64)> {
        self.nodes[node].waiting.remove(&id.0)
    }

    fn time_out(&mut self, node: usize, incarnation: u32, id: CallId) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        let Some((name, _)) = self.nodes[node].waiting.get(&id.0).cloned()
        else {
            return;
        };
        self.give_up(node, &name);
    }

    fn give_up(&mut self, node: usize, name: &Account) {
        let now = self.clock(node);
        let resolution = self.nodes[node].leases.give_up(now, name);
        self.apply(node, resolution);
    }

    fn admit_locally(&mut self, node: usize, name: &Account, arrived: u64) {
        let now = self.clock(node);
        let source = self.sources.iter().find(|s| s.account == *name);
        let quota = source.unwrap().quota;
        let draw = self.rng.random();
        let at = &mut self.nodes[node];
        let fleet = at.fleet;
        let leases = &mut at.leases;
        let is_admitted =
            leases.admit_locally(now, name, self.config, quota, fleet, draw);
        match is_admitted {
            true => self.admit(name, arrived),
            false => self.refuse(name),
        }
    }

    fn admit_and_report(&mut self, node: usize, name: &Account) {
        let at = &mut self.nodes[node];
        let closed_until = at.closed_until.get(name).copied();
        if closed_until.is_some_and(|until| self.now < until) {
            return self.refuse(name);
        }
        *at.unreported.entry(name.clone()).or_default() += 1;
        self.admit(name, self.now.0);
    }

    fn report(&mut self, node: usize) {
        let unreported = std::mem::take(&mut self.nodes[node].unreported);
        for (name, spent) in unreported {
            let request =
                Request { needed: 1, spent: spent - 1, ..Request::default() };
            self.send_request(node, &name, request);
        }
    }

    fn handle_report_response(
        &mut self,
        node: usize,
        name: &Account,
        response: Response,
    ) {
        if let Response::Granted(grant) = response
            && grant.count == 0
        {
            let until = self.now + grant.retry;
            self.nodes[node].closed_until.insert(name.clone(), until);
        }
    }

    fn admit(&mut self, name: &Account, arrived: u64) {
        let count = self.counts.entry(name.clone()).or_default();
        count.admitted.push((arrived, self.now.0));
    }

    fn refuse(&mut self, name: &Account) {
        self.counts.entry(name.clone()).or_default().refused += 1;
    }

    /// Returns how many requests a window may hold under a quota.
    pub fn window_limit(&self, quota: Quota) -> f64 {
        let Config { window, overage, slack } = self.config;
        let limit = quota.rate * window.secs() + quota.burst;
        limit * (1.0 + overage) + slack
    }

    /// Returns the maximum number of requests in a window that starts at
    /// `from` or later.
    pub fn max_in_window(&self, name: &Account, from: Millis) -> usize {
        let window = self.config.window.0;
        let count = self.counts.get(name);
        let admitted = count.map_or(&[][..], |count| &count.admitted);
        // A request counts when it is admitted. It arrived earlier by the time
        // that it waited.
        let mut times: Vec<u64> = admitted.iter().map(|(_, at)| *at).collect();
        times.retain(|at| *at >= from.0);
        times.sort_unstable();
        let (mut most, mut first) = (0, 0);
        for (last, at) in times.iter().enumerate() {
            while at - times[first] > window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Returns the fraction of an account's requests that was refused.
    pub fn refused_fraction(&self, name: &Account) -> f64 {
        let count = &self.counts[name];
        count.refused as f64 / count.sent as f64
    }
}

fn index(node: NodeId) -> usize {
    let std::net::IpAddr::V4(ip) = node.0.ip() else {
        unreachable!("simulated nodes have IPv4 addresses")
    };
    (u32::from(ip) & 0x00ff_ffff) as usize
}

impl Node {
    fn new(config: Config) -> Node {
        Node {
            incarnation: 0,
            allocator: Allocator::new(config),
            leases: Leases::default(),
            waiting: BTreeMap::new(),
            members: Vec::new(),
            fleet: Fleet::default(),
            paused_until: Millis(0),
            paused_time: Millis(0),
            unreported: BTreeMap::new(),
            closed_until: BTreeMap::new(),
        }
    }
}
