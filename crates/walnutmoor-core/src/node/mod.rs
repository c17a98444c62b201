/*!
The whole node: every part of this crate composed behind one function.

[`Node::handle`] takes an event and the time and appends actions. The driver
carries bodies, connections and clocks; the node knows calls by number only.
A node begins as [`Starting`], in which it refuses calls because it has heard
no configuration; it becomes [`Serving`], and in the end [`Draining`], each by
consuming the stage before.

# Example

```
use walnutmoor_core::{node::*, platform::{Reply, Request}, prelude::*};

let config = Config::new("127.0.0.1:7402".parse().unwrap())
    .zone("portland".parse().unwrap())
    .seed(7);
let mut node = Node::new(config, Millis(0));
let mut out = Vec::new();
node.handle(Millis(0), Event::Tick, &mut out);
let ops: Vec<_> = out.drain(..).filter_map(|action| match action {
    Action::Platform { op, .. } => Some(op),
    _ => None,
}).collect();
for op in ops {
    let reply = Reply::Absent;
    node.handle(Millis(1), Event::Platform { op, reply }, &mut out);
}
assert!(node.try_serve().is_ok());
```
*/

mod contacts;
mod control;
mod entry;
mod event;
mod issue;
mod options;
mod outcome;
mod serve;
mod stat;
mod tickets;

use std::{collections::BTreeSet, marker::PhantomData};

pub use self::{
    event::{Action, AskId, Event, Note, OpId},
    options::{Config, Mode},
    stat::{Stats, Status},
};
use crate::{
    admit::View,
    call::Reply,
    config::{self, Proposer},
    digest::Map,
    directory::{self, Record},
    error::Refusal,
    gate::Gate,
    gossip::Gossip,
    id::{CallId, Incarnation, Service, Zone},
    once::Ledger,
    picker::Picker,
    retry::Share,
    server::Server,
    ticket::{Nonce, Party},
    time::Millis,
    witness::Table,
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

/// A life stage of a node.
pub trait Stage: sealed::Sealed {}

/// No configuration was heard yet.
#[derive(Debug)]
pub struct Starting;

/// Calls are taken.
#[derive(Debug)]
pub struct Serving;

/// No new work is taken; what is in flight is finished.
#[derive(Debug)]
pub struct Draining;

mod sealed {
    pub trait Sealed {}
    impl Sealed for super::Starting {}
    impl Sealed for super::Serving {}
    impl Sealed for super::Draining {}
}

impl Stage for Starting {}
impl Stage for Serving {}
impl Stage for Draining {}

/// A node in one stage of its life.
#[derive(Debug)]
pub struct Node<S: Stage> {
    core: Box<Core>,
    stage: PhantomData<S>,
}

impl Node<Starting> {
    /// A node that has heard nothing.
    pub fn new(config: Config, now: Millis) -> Node<Starting> {
        Node { core: Box::new(Core::new(config, now)), stage: PhantomData }
    }

    /// Begins to serve, if a configuration is in force.
    ///
    /// # Errors
    ///
    /// The node as it was, if none is.
    pub fn try_serve(self) -> Result<Node<Serving>, Node<Starting>> {
        if !self.core.in_force {
            return Err(self);
        }
        Ok(Node { core: self.core, stage: PhantomData })
    }
}

impl Node<Serving> {
    /// Takes no more work, and says so.
    pub fn drain(
        mut self,
        now: Millis,
        out: &mut Vec<Action>,
    ) -> Node<Draining> {
        self.core.drain(now, out);
        Node { core: self.core, stage: PhantomData }
    }
}

impl Node<Draining> {
    /// True once nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.core.outbound.is_empty() && self.core.inbound.is_empty()
    }

    /// Says good-bye.
    pub fn leave(mut self, now: Millis, out: &mut Vec<Action>) {
        self.core.say_left(now, out);
    }
}

impl<S: Stage> Node<S> {
    /// Takes an event and appends what is to be done.
    pub fn handle(
        &mut self,
        now: Millis,
        event: Event,
        out: &mut Vec<Action>,
    ) {
        self.core.handle(now, event, out);
    }

    /// When an [`Event::Tick`] is due, at the latest.
    pub fn next_wake(&self) -> Millis {
        self.core.next_wake()
    }

    /// Counters since the start.
    pub fn stats(&self) -> &Stats {
        &self.core.stats
    }

    /// What operators see of the node.
    pub fn status(&self, now: Millis) -> Status {
        self.core.status(now)
    }

    /// The configuration that this node trusts.
    pub fn configuration(&self) -> &config::Config {
        &self.core.configuration
    }

    /// The records of all nodes.
    pub fn directory(&self) -> &directory::Directory {
        self.core.gossip.members().directory()
    }
}

/// All state of a node.
#[derive(Debug)]
struct Core {
    config: Config,
    me: Party,
    rng: ChaCha8Rng,
    stats: Stats,
    // Calls.
    outbound: Map<CallId, entry::Outbound>,
    inbound: Map<CallId, serve::Inbound>,
    timers: BTreeSet<(Millis, CallId)>,
    view: View,
    router: Picker,
    share: Share,
    server: Server,
    gate: Option<Gate>,
    shedding: bool,
    draining: bool,
    // At most once.
    ledger: Ledger,
    witness: Table,
    marks: Map<Nonce, tickets::Marking>,
    asks: Map<CallId, tickets::Asking>,
    inspections: Map<AskId, tickets::Inspecting>,
    ran: tickets::Ran,
    stamps: issue::Stamps,
    // Agreement.
    gossip: Gossip,
    configuration: config::Config,
    table: config::Table,
    in_force: bool,
    heard_zones: BTreeSet<Zone>,
    proposer: Proposer<AskId>,
    control: control::Control,
}

impl Core {
    fn new(config: Config, now: Millis) -> Core {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let incarnation = Incarnation(rng.next_u64());
        let secret = rng.next_u64();
        let me = Party { node: config.node, incarnation };
        let record = Record {
            node: me.node,
            incarnation,
            version: config.version,
            status: directory::Status::Alive,
            zone: config.zone.clone(),
            offer: None,
        };
        Core {
            me,
            rng,
            stats: Stats::default(),
            outbound: Map::default(),
            inbound: Map::default(),
            timers: BTreeSet::new(),
            view: View::new(),
            router: Picker::new(),
            share: Share::new(),
            server: Server::new(),
            gate: None,
            shedding: false,
            draining: false,
            ledger: Ledger::new(me, secret, config.tickets_max),
            witness: Table::new(me, config.marks_max),
            marks: Map::default(),
            asks: Map::default(),
            inspections: Map::default(),
            ran: tickets::Ran::new(config.tickets_max),
            stamps: issue::Stamps::default(),
            gossip: Gossip::new(record, now),
            configuration: config::Config::default(),
            table: config::Table::default(),
            in_force: false,
            heard_zones: BTreeSet::new(),
            proposer: Proposer::new(PROPOSALS_MAX),
            control: control::Control::new(),
            config,
        }
    }

    fn observes(&self) -> bool {
        self.config.mode == Mode::Observe
    }

    fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Hop { call, envelope } => {
                self.hop(now, call, envelope, out)
            }
            Event::Replied { call, reply } => {
                self.replied(now, call, reply, out)
            }
            Event::Cancel { call } => self.cancel(now, call, out),
            Event::Issue { ask } => self.issue(now, ask, out),
            Event::Inspect { ask, ticket } => {
                self.inspect(now, ask, ticket, out)
            }
            Event::Announce(what) => self.announce(now, what, out),
            Event::Leave => self.server_leaves(now, out),
            Event::Packet(packet) => self.packet(now, *packet, out),
            Event::Platform { op, reply } => {
                self.platform(now, op, reply, out)
            }
            Event::Propose { ask, author, op, base } => {
                self.propose(now, ask, author, op, base, out)
            }
        }
    }

    fn replied(
        &mut self,
        now: Millis,
        call: CallId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        if self.outbound.contains_key(&call) {
            self.returned(now, call, reply, out);
        } else if self.inbound.contains_key(&call) {
            self.served(now, call, reply, out);
        }
    }

    fn cancel(&mut self, now: Millis, call: CallId, out: &mut Vec<Action>) {
        if self.outbound.contains_key(&call) {
            self.cancel_outbound(now, call, out);
        } else if self.inbound.contains_key(&call) {
            self.cancel_inbound(now, call, out);
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.expire_calls(now, out);
        self.advance(now, out);
        self.tick_tickets(now, out);
        self.tick_control(now, out);
    }

    fn expire_calls(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some((at, call)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            if self.outbound.contains_key(&call) {
                self.outbound_late(now, call, out);
            } else if self.inbound.contains_key(&call) {
                self.inbound_late(now, call, out);
            }
        }
    }

    fn next_wake(&self) -> Millis {
        let timer = self.timers.first().map(|(at, _)| *at);
        let gate = self.gate.as_ref().map(Gate::next_wake);
        let tickets = self.next_ticket_wake();
        let control = self.next_control_wake();
        let all = [timer, gate, tickets, Some(control)];
        all.into_iter().flatten().fold(Millis::NEVER, Millis::min)
    }

    fn calls(&self) -> usize {
        self.outbound.len() + self.inbound.len()
    }

    fn refuse(
        &mut self,
        call: CallId,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        self.stats.refused(refusal.kind);
        out.push(Action::Refuse { call, refusal, trailer: None });
    }

    /// The span, spread by half either way, so that those who are told to
    /// come back do not come back together.
    fn spread(&mut self, span: Millis) -> Millis {
        let half = span.0 / 2;
        let draw = self.rng.next_u64() % (span.0.max(1));
        Millis(half + draw)
    }

    fn own_service(&self) -> Option<&Service> {
        self.server.announced().map(|a| &a.service)
    }
}

/// The most changes of configuration under way at one node.
const PROPOSALS_MAX: usize = 1_024;
