/*!
The node state machine, which composes the other modules of this crate.

[`Node::handle`] takes an event and the current time and appends actions. The
driver handles message bodies, connections and clocks; the node identifies
calls by [`CallId`] only. A node begins as [`Starting`], in which it refuses
calls because no configuration is in force. It then becomes [`Serving`] and
finally [`Draining`]; each transition consumes the previous stage.

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

mod completion;
mod contacts;
mod control;
mod event;
mod inbound;
mod issue;
mod options;
mod outbound;
mod stats;
mod tickets;

use std::{collections::BTreeSet, marker::PhantomData};

pub use self::{
    event::{Action, Event, Note, OpId, QueryId},
    options::{Config, Mode},
    stats::{Stats, Status},
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
    retry::Limiter,
    server::Server,
    ticket::{Nonce, Party},
    time::Millis,
    witness::Table,
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

/// A stage of a node's life cycle.
pub trait Stage: sealed::Sealed {}

/// No configuration is in force yet; calls are refused.
#[derive(Debug)]
pub struct Starting;

/// Calls are accepted.
#[derive(Debug)]
pub struct Serving;

/// New requests are refused; calls in flight are finished.
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

/// A node in one stage of its life cycle.
#[derive(Debug)]
pub struct Node<S: Stage> {
    core: Box<Core>,
    stage: PhantomData<S>,
}

impl Node<Starting> {
    /// Creates a node that has not contacted the platform or a peer yet.
    pub fn new(config: Config, now: Millis) -> Node<Starting> {
        Node { core: Box::new(Core::new(config, now)), stage: PhantomData }
    }

    /// Starts to serve, if a configuration is in force.
    ///
    /// # Errors
    ///
    /// Returns the node unchanged if no configuration is in force.
    pub fn try_serve(self) -> Result<Node<Serving>, Node<Starting>> {
        if !self.core.in_force {
            return Err(self);
        }
        Ok(Node { core: self.core, stage: PhantomData })
    }
}

impl Node<Serving> {
    /// Starts to drain: refuses new requests and tells the peers.
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
    /// Returns true once no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.core.outbound.is_empty() && self.core.inbound.is_empty()
    }

    /// Tells the peers that this node has left the cluster.
    pub fn leave(mut self, now: Millis, out: &mut Vec<Action>) {
        self.core.announce_left(now, out);
    }
}

impl<S: Stage> Node<S> {
    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(
        &mut self,
        now: Millis,
        event: Event,
        out: &mut Vec<Action>,
    ) {
        self.core.handle(now, event, out);
    }

    /// The time by which the driver must send an [`Event::Tick`].
    pub fn next_wake(&self) -> Millis {
        self.core.next_wake()
    }

    /// The counters since the start of the node.
    pub fn stats(&self) -> &Stats {
        &self.core.stats
    }

    /// A snapshot of the node's state, for operators.
    pub fn status(&self, now: Millis) -> Status {
        self.core.status(now)
    }

    /// The latest configuration that this node has adopted.
    pub fn configuration(&self) -> &config::Config {
        &self.core.configuration
    }

    /// The membership records of all known nodes.
    pub fn directory(&self) -> &directory::Directory {
        self.core.gossip.members().directory()
    }
}

/// The state of a node, which all stages share.
#[derive(Debug)]
struct Core {
    config: Config,
    me: Party,
    rng: ChaCha8Rng,
    stats: Stats,
    // Calls and admission.
    outbound: Map<CallId, outbound::Outbound>,
    inbound: Map<CallId, inbound::Inbound>,
    timers: BTreeSet<(Millis, CallId)>,
    view: View,
    picker: Picker,
    retry_limiter: Limiter,
    server: Server,
    gate: Option<Gate>,
    shedding: bool,
    draining: bool,
    // At-most-once calls.
    ledger: Ledger,
    witness: Table,
    pending_marks: Map<Nonce, tickets::PendingMark>,
    witness_queries: Map<CallId, tickets::WitnessQuery>,
    inspections: Map<QueryId, tickets::Inspection>,
    dedup: tickets::Dedup,
    stamps: issue::Stamps,
    // Membership and configuration.
    gossip: Gossip,
    configuration: config::Config,
    table: config::Table,
    in_force: bool,
    confirmed_zones: BTreeSet<Zone>,
    proposer: Proposer<QueryId>,
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
            picker: Picker::new(),
            retry_limiter: Limiter::new(),
            server: Server::new(),
            gate: None,
            shedding: false,
            draining: false,
            ledger: Ledger::new(me, secret, config.tickets_max),
            witness: Table::new(me, config.marks_max),
            pending_marks: Map::default(),
            witness_queries: Map::default(),
            inspections: Map::default(),
            dedup: tickets::Dedup::new(config.tickets_max),
            stamps: issue::Stamps::default(),
            gossip: Gossip::new(record, now),
            configuration: config::Config::default(),
            table: config::Table::default(),
            in_force: false,
            confirmed_zones: BTreeSet::new(),
            proposer: Proposer::new(MAX_PROPOSALS),
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
                self.call_replied(now, call, reply, out)
            }
            Event::Cancel { call } => self.cancel(now, call, out),
            Event::Issue { query } => self.issue(now, query, out),
            Event::Inspect { query, ticket } => {
                self.inspect(now, query, ticket, out)
            }
            Event::Announce(what) => self.announce(now, what, out),
            Event::Leave => self.drain_server(now, out),
            Event::Packet(packet) => self.packet_received(now, *packet, out),
            Event::Platform { op, reply } => {
                self.platform_replied(now, op, reply, out)
            }
            Event::Propose { query, author, op, base } => {
                self.propose(now, query, author, op, base, out)
            }
        }
    }

    fn call_replied(
        &mut self,
        now: Millis,
        call: CallId,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        if self.outbound.contains_key(&call) {
            self.outbound_replied(now, call, reply, out);
        } else if self.inbound.contains_key(&call) {
            self.inbound_replied(now, call, reply, out);
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
        self.advance_gate(now, out);
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
                self.outbound_expired(now, call, out);
            } else if self.inbound.contains_key(&call) {
                self.inbound_expired(now, call, out);
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

    fn call_count(&self) -> usize {
        self.outbound.len() + self.inbound.len()
    }

    fn refuse(
        &mut self,
        call: CallId,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        self.stats.count_refusal(refusal.kind);
        out.push(Action::Refuse { call, refusal, trailer: None });
    }

    /// Returns a random time from 50% to 150% of `span`, which keeps clients
    /// from retrying in sync.
    fn jitter(&mut self, span: Millis) -> Millis {
        let half = span.0 / 2;
        let draw = self.rng.next_u64() % (span.0.max(1));
        Millis(half + draw)
    }

    fn own_service(&self) -> Option<&Service> {
        self.server.announced().map(|a| &a.service)
    }
}

/// The maximum number of pending configuration proposals.
const MAX_PROPOSALS: usize = 1_024;
