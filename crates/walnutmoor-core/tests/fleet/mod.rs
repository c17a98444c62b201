//! A fleet of nodes that ask one another for quotas, replayed without IO:
//! messages take time, nodes are cut off, end, begin again and stand still.
//! An oracle sums what was let in over sliding windows.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use walnutmoor_core::{
    account::Quota,
    id::{Account, CallId, NodeId},
    quota::{
        Allocator, Answer, Ask, Config, Fleet, Leases, Settled, Take, place,
    },
    time::Millis,
};

/// A message's way to another node.
const WAY: Millis = Millis(2);

/// How long a request waits for an allocator.
const PATIENCE: Millis = Millis(150);

/// The pause after an answer from a node that is not the allocator.
const AGAIN: Millis = Millis(40);

/// The pause between looks at the fleet.
const LOOK: Millis = Millis(125);

/// How long it takes to notice that a node is out of reach, or in it again.
const NOTICE: Millis = Millis(300);

/// How the quota is kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Grants out of an allocator's bucket, asked for when a request comes.
    Granted,
    /// Requests are let in at once and told to the allocator, which closes
    /// an account that has used up its bucket.
    ToldAfter,
    /// Each node has its even part and asks nobody.
    Even,
}

/// How often [`Way::ToldAfter`] tells what was used.
const TELL: Millis = Millis(100);

enum Event {
    Arrive(usize),
    Ask { from: usize, to: usize, account: Account, ask: Ask },
    Answer { to: usize, account: Account, answer: Answer },
    Patience { node: usize, life: u32, id: CallId },
    Again { node: usize, account: Account },
    Look(usize),
    Tell(usize),
}

struct Node {
    life: u32,
    allocator: Allocator,
    leases: Leases,
    /// Requests that wait, and of which account.
    waiting: BTreeMap<u64, (Account, u64)>,
    members: Vec<NodeId>,
    fleet: Fleet,
    /// It stands still until then, and what comes waits.
    frozen: Millis,
    /// Time that its steady clock does not count.
    lost: Millis,
    used: BTreeMap<Account, u32>,
    closed: BTreeMap<Account, Millis>,
}

/// One account's callers.
pub struct Source {
    pub account: Account,
    pub quota: Quota,
    /// Requests a second.
    pub rate: f64,
}

/// What became of an account's requests.
#[derive(Clone, Debug, Default)]
pub struct Count {
    pub sent: u64,
    pub refused: u64,
    /// When requests were let in, each with the moment at which it came.
    pub let_in: Vec<(u64, u64)>,
}

pub struct World {
    pub way: Way,
    pub now: Millis,
    pub sources: Vec<Source>,
    pub counts: BTreeMap<Account, Count>,
    pub messages: u64,
    config: Config,
    nodes: Vec<Node>,
    groups: Vec<usize>,
    /// What was reached before, as views lag.
    former: VecDeque<(Millis, Vec<usize>)>,
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

impl World {
    pub fn new(
        way: Way,
        nodes: usize,
        sources: Vec<Source>,
        seed: u64,
    ) -> World {
        let config = Config::default();
        let mut world = World {
            way,
            now: Millis(0),
            counts: BTreeMap::new(),
            messages: 0,
            config,
            nodes: (0..nodes).map(|_| Node::new(config)).collect(),
            groups: vec![0; nodes],
            former: VecDeque::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            last: 0,
            sources,
        };
        for node in 0..nodes {
            let first = Millis(world.rng.random_range(0..LOOK.0));
            world.push(first, Event::Look(node));
            world.push(first, Event::Tell(node));
        }
        for source in 0..world.sources.len() {
            // Callers come once the nodes know each other.
            world.push(Millis(3_000), Event::Arrive(source));
        }
        world
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.events.push(Some(event));
        let serial = self.events.len() - 1;
        self.queue.push(Reverse((at.0, serial as u64, serial)));
    }

    /// Cuts the fleet: nodes of another group are out of reach.
    pub fn cut(&mut self, group: impl Fn(usize) -> usize) {
        let groups = (0..self.nodes.len()).map(group).collect();
        let former = std::mem::replace(&mut self.groups, groups);
        self.former.push_back((self.now, former));
    }

    pub fn heal(&mut self) {
        self.cut(|_| 0);
    }

    /// A node ends and begins again, knowing nothing.
    pub fn restart(&mut self, node: usize) {
        let life = self.nodes[node].life + 1;
        self.nodes[node] = Node { life, ..Node::new(self.config) };
    }

    /// A node stands still.
    pub fn freeze(&mut self, node: usize, span: Millis) {
        self.nodes[node].frozen = self.now + span;
        self.nodes[node].lost += span;
    }

    /// The node that deals an account's quota while all are reached.
    pub fn allocator(&self, account: &Account) -> usize {
        let all = (0..self.nodes.len()).map(id);
        let node = place(account, all).unwrap();
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
                self.take(event);
            }
        }
        self.now = until;
    }

    fn take(&mut self, event: Event) {
        let node = match &event {
            Event::Arrive(source) => return self.arrive(*source),
            Event::Ask { to, .. } | Event::Answer { to, .. } => *to,
            Event::Patience { node, .. }
            | Event::Again { node, .. }
            | Event::Look(node)
            | Event::Tell(node) => *node,
        };
        if self.nodes[node].frozen > self.now {
            let at = self.nodes[node].frozen;
            return self.push(at, event);
        }
        match event {
            Event::Arrive(_) => {}
            Event::Ask { from, to, account, ask } => {
                let answer = self.answer(to, &account, ask);
                let event = Event::Answer { to: from, account, answer };
                self.send(to, from, event);
            }
            Event::Answer { to, account, answer } => {
                self.hear(to, &account, answer);
            }
            Event::Patience { node, life, id } => {
                self.lose_patience(node, life, id);
            }
            Event::Again { node, account } => {
                let now = self.clock(node);
                let ask = self.nodes[node].leases.again(now, &account);
                if let Some(ask) = ask {
                    self.ask(node, &account, ask);
                }
            }
            Event::Look(node) => {
                self.look(node);
                let next = self.now + LOOK;
                self.push(next, Event::Look(node));
            }
            Event::Tell(node) => {
                if self.way == Way::ToldAfter {
                    self.tell(node);
                    let next = self.now + TELL;
                    self.push(next, Event::Tell(node));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        self.messages += 1;
        if self.groups[from] == self.groups[to] {
            let at = self.now + WAY;
            self.push(at, event);
        }
    }

    /// A node's own clock.
    fn clock(&self, node: usize) -> Millis {
        self.now - self.nodes[node].lost
    }

    fn look(&mut self, node: usize) {
        while let Some((at, _)) = self.former.front() {
            if *at + NOTICE > self.now {
                break;
            }
            self.former.pop_front();
        }
        let seen = self.former.front().map_or(&self.groups, |(_, g)| g);
        let frozen = |other: usize| {
            let other = &self.nodes[other];
            other.frozen > self.now + NOTICE
        };
        let all = 0..self.nodes.len();
        let reached = all.filter(|other| {
            let out = seen[*other] != seen[node] || frozen(*other);
            *other == node || !out
        });
        let members: Vec<NodeId> = reached.map(id).collect();
        let known = self.nodes.len();
        let fleet = Fleet { reached: members.len(), known };
        let now = self.clock(node);
        let me = id(node);
        let Node { allocator, members: former, fleet: seen, .. } =
            &mut self.nodes[node];
        *seen = fleet;
        allocator.see(now, fleet);
        if *former != members {
            let here = |name: &Account| {
                place(name, members.iter().copied()) == Some(me)
            };
            allocator.retain(here);
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
        if self.nodes[node].frozen > self.now {
            return;
        }
        self.counts.entry(name.clone()).or_default().sent += 1;
        match self.way {
            Way::Granted => self.ask_for(node, &name),
            Way::Even => self.alone(node, &name, self.now.0),
            Way::ToldAfter => self.let_in_first(node, &name),
        }
    }

    fn ask_for(&mut self, node: usize, name: &Account) {
        self.last += 1;
        let id = CallId(self.last);
        let now = self.clock(node);
        let came = self.now.0;
        match self.nodes[node].leases.take(now, name, id) {
            Take::Go => self.let_in(name, came),
            Take::Refuse(_) => self.refuse(name),
            Take::Alone => self.alone(node, name, came),
            Take::Wait(ask) => {
                let waiting = &mut self.nodes[node].waiting;
                waiting.insert(id.0, (name.clone(), came));
                let at = self.now + PATIENCE;
                let life = self.nodes[node].life;
                self.push(at, Event::Patience { node, life, id });
                if let Some(ask) = ask {
                    self.ask(node, name, ask);
                }
            }
        }
    }

    fn ask(&mut self, node: usize, name: &Account, ask: Ask) {
        let members = self.nodes[node].members.iter().copied();
        let Some(allocator) = place(name, members) else {
            return self.give_up(node, name);
        };
        let to = index(allocator);
        if to == node {
            let answer = self.answer(node, name, ask);
            return self.hear(node, name, answer);
        }
        let account = name.clone();
        self.send(node, to, Event::Ask { from: node, to, account, ask });
    }

    fn answer(&mut self, node: usize, name: &Account, ask: Ask) -> Answer {
        let now = self.clock(node);
        let source = self.sources.iter().find(|s| s.account == *name);
        let quota = source.unwrap().quota;
        let at = &mut self.nodes[node];
        let members = at.members.iter().copied();
        if place(name, members) != Some(id(node)) {
            at.allocator.retain(|other| other != name);
            return Answer::Elsewhere;
        }
        Answer::Granted(at.allocator.ask(now, name, quota, ask))
    }

    fn hear(&mut self, node: usize, name: &Account, answer: Answer) {
        if self.way == Way::ToldAfter {
            return self.hear_after(node, name, answer);
        }
        let now = self.clock(node);
        let settled = self.nodes[node].leases.hear(now, name, answer);
        let next = settled.ask;
        if settled.elsewhere {
            let (at, account) = (self.now + AGAIN, name.clone());
            self.push(at, Event::Again { node, account });
        }
        self.settle(node, settled);
        if let Some(ask) = next {
            self.ask(node, name, ask);
        }
    }

    fn settle(&mut self, node: usize, settled: Settled) {
        let mut all = Vec::new();
        for id in settled.go {
            all.extend(self.leave(node, id).map(|at| (0, at)));
        }
        for (id, _) in settled.refused {
            all.extend(self.leave(node, id).map(|at| (1, at)));
        }
        for id in settled.alone {
            all.extend(self.leave(node, id).map(|at| (2, at)));
        }
        for (what, (name, came)) in all {
            match what {
                0 => self.let_in(&name, came),
                1 => self.refuse(&name),
                _ => self.alone(node, &name, came),
            }
        }
    }

    fn leave(&mut self, node: usize, id: CallId) -> Option<(Account, u64)> {
        self.nodes[node].waiting.remove(&id.0)
    }

    fn lose_patience(&mut self, node: usize, life: u32, id: CallId) {
        if self.nodes[node].life != life {
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
        let settled = self.nodes[node].leases.give_up(now, name);
        self.settle(node, settled);
    }

    fn alone(&mut self, node: usize, name: &Account, came: u64) {
        let now = self.clock(node);
        let source = self.sources.iter().find(|s| s.account == *name);
        let quota = source.unwrap().quota;
        let draw = self.rng.random();
        let at = &mut self.nodes[node];
        let fleet = at.fleet;
        let leases = &mut at.leases;
        let goes = leases.alone(now, name, self.config, quota, fleet, draw);
        match goes {
            true => self.let_in(name, came),
            false => self.refuse(name),
        }
    }

    fn let_in_first(&mut self, node: usize, name: &Account) {
        let at = &mut self.nodes[node];
        let closed = at.closed.get(name).copied();
        if closed.is_some_and(|until| self.now < until) {
            return self.refuse(name);
        }
        *at.used.entry(name.clone()).or_default() += 1;
        self.let_in(name, self.now.0);
    }

    fn tell(&mut self, node: usize) {
        let used = std::mem::take(&mut self.nodes[node].used);
        for (name, spent) in used {
            let ask = Ask { needed: 1, spent: spent - 1, ..Ask::default() };
            self.ask(node, &name, ask);
        }
    }

    fn hear_after(&mut self, node: usize, name: &Account, answer: Answer) {
        if let Answer::Granted(grant) = answer
            && grant.count == 0
        {
            let until = self.now + grant.retry;
            self.nodes[node].closed.insert(name.clone(), until);
        }
    }

    fn let_in(&mut self, name: &Account, came: u64) {
        let count = self.counts.entry(name.clone()).or_default();
        count.let_in.push((came, self.now.0));
    }

    fn refuse(&mut self, name: &Account) {
        self.counts.entry(name.clone()).or_default().refused += 1;
    }

    /// What a window may hold of a quota.
    pub fn most(&self, quota: Quota) -> f64 {
        let Config { window, overage, slack } = self.config;
        let whole = quota.rate * window.secs() + quota.burst;
        whole * (1.0 + overage) + slack
    }

    /// The fullest window of an account that begins at a moment or later.
    pub fn fullest(&self, name: &Account, from: Millis) -> usize {
        let window = self.config.window.0;
        let count = self.counts.get(name);
        let let_in = count.map_or(&[][..], |count| &count.let_in);
        // Both ends of a request lie within the windows that count it; its
        // beginning may be earlier by what it waited.
        let mut times: Vec<u64> = let_in.iter().map(|(_, at)| *at).collect();
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

    /// The part of an account's requests that was refused.
    pub fn refused(&self, name: &Account) -> f64 {
        let count = &self.counts[name];
        count.refused as f64 / count.sent as f64
    }
}

fn index(node: NodeId) -> usize {
    let std::net::IpAddr::V4(ip) = node.0.ip() else {
        unreachable!("nodes of the replay have such addresses")
    };
    (u32::from(ip) & 0x00ff_ffff) as usize
}

impl Node {
    fn new(config: Config) -> Node {
        Node {
            life: 0,
            allocator: Allocator::new(config),
            leases: Leases::default(),
            waiting: BTreeMap::new(),
            members: Vec::new(),
            fleet: Fleet::default(),
            frozen: Millis(0),
            lost: Millis(0),
            used: BTreeMap::new(),
            closed: BTreeMap::new(),
        }
    }
}
