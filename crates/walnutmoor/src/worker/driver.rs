/*!
The decisions: one thread that owns all state and turns the core's actions
into messages for the other duties.

Bodies never enter the core. This thread holds them by call number, from the
moment a call arrives until the core releases it, and holds the kept answers
of tickets.
*/

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use tokio::sync::{mpsc, oneshot};
use walnutmoor_core::{
    call::{self, Arrival, Envelope, Trailer},
    config::{Author, Config, Op},
    gossip::Packet,
    node::{
        Action, Draining, Event, Node, Note, OpId, QueryId, Serving, Stage,
        Starting, Stats, Status,
    },
    once::Outcome,
    platform::{Reply, Request},
    ticket::{Nonce, Ticket},
};

use super::forward;
use crate::{
    prelude::*,
    telemetry,
    wire::{Answer, Head},
};

/// A request as it came, to be passed on.
#[derive(Clone, Debug)]
pub struct Load {
    /// Its head.
    pub head: Head,
    /// Its whole body.
    pub body: Bytes,
}

/// The final answer to a call.
#[derive(Debug)]
pub struct Done {
    /// An answer, or a refusal.
    pub result: Result<Answer, Refusal>,
    /// What travels back to a peer.
    pub trailer: Option<Trailer>,
}

/// What an operator is shown.
#[derive(Debug)]
pub struct View {
    /// The node's state.
    pub status: Status,
    /// Its counters.
    pub stats: Stats,
    /// The configuration that it trusts.
    pub config: Config,
}

/// What the other duties tell this one.
#[derive(Debug)]
pub enum Input {
    /// A call from a caller or the own backend server.
    Call {
        /// What the core is told.
        arrival: Arrival,
        /// The request.
        load: Load,
        /// Who waits.
        reply: oneshot::Sender<Done>,
    },
    /// A call from a peer.
    Hop {
        /// Its number.
        call: CallId,
        /// What came with it.
        envelope: Box<Envelope>,
        /// The request.
        load: Load,
        /// Who waits.
        reply: oneshot::Sender<Done>,
    },
    /// A call came back.
    Returned {
        /// Which.
        call: CallId,
        /// How.
        reply: call::Reply,
        /// The answer, if there is a whole one.
        answer: Option<Answer>,
    },
    /// A caller wants a ticket.
    Issue(oneshot::Sender<Result<Ticket, Refusal>>),
    /// A caller asks about a ticket.
    Inspect(Ticket, oneshot::Sender<Result<Outcome, Refusal>>),
    /// An operator proposes a change.
    Propose {
        /// Who and when.
        author: Author,
        /// What.
        op: Op,
        /// The revision that it is based on.
        base: Option<Revision>,
        /// Who waits.
        reply: oneshot::Sender<Result<Revision, Refusal>>,
    },
    /// An operator wants to see the node.
    Show(oneshot::Sender<Box<View>>),
    /// Anything that only the core needs to know.
    Event(Box<Event>),
    /// The process was told to stop.
    Drain,
}

/// The ring into the decisions.
pub type Ring = Sender<Input>;

/// A ring with room for so many messages.
pub fn ring(room: usize) -> (Ring, Receiver<Input>) {
    bounded(room)
}

/// The rings out of the decisions.
#[derive(Debug)]
pub struct Outlets {
    /// Calls to send.
    pub forward: mpsc::Sender<forward::Command>,
    /// Packets to send.
    pub gossip: mpsc::Sender<(NodeId, Box<Packet>)>,
    /// Requests to the platform.
    pub platform: mpsc::Sender<(OpId, Request)>,
}

/// The longest time without a look at the clock.
const NAP: Duration = Duration::from_millis(250);

/// The most messages taken between two looks at the clock.
const BATCH: usize = 256;

/// The least time between the word that this node leaves and its exit, so
/// that callers hear of it and none finds a closed door.
const FAREWELL: Millis = Millis(1_000);

/// The state of this thread around the core.
struct Desk {
    input: Receiver<Input>,
    outlets: Outlets,
    begun: Instant,
    waiting: HashMap<CallId, oneshot::Sender<Done>>,
    loads: HashMap<CallId, Load>,
    kept: HashMap<Nonce, Answer>,
    tickets: HashMap<QueryId, oneshot::Sender<Result<Ticket, Refusal>>>,
    outcomes: HashMap<QueryId, oneshot::Sender<Result<Outcome, Refusal>>>,
    changes: HashMap<QueryId, oneshot::Sender<Result<Revision, Refusal>>>,
    asks: u64,
    backlog: VecDeque<Event>,
    actions: Vec<Action>,
    drain: bool,
    published: Millis,
}

/// Runs the decisions until the node has drained.
pub fn run(
    node: Node<Starting>,
    input: Receiver<Input>,
    outlets: Outlets,
    begun: Instant,
) {
    let mut desk = Desk {
        input,
        outlets,
        begun,
        waiting: HashMap::new(),
        loads: HashMap::new(),
        kept: HashMap::new(),
        tickets: HashMap::new(),
        outcomes: HashMap::new(),
        changes: HashMap::new(),
        asks: 0,
        backlog: VecDeque::new(),
        actions: Vec::new(),
        drain: false,
        published: Millis(0),
    };
    let Some(node) = desk.start(node) else { return };
    let node = desk.serve(node);
    desk.drain(node);
}

impl Desk {
    fn now(&self) -> Millis {
        Millis(self.begun.elapsed().as_millis() as u64)
    }

    /// Runs until a configuration is in force; `None` if told to stop first.
    fn start(&mut self, node: Node<Starting>) -> Option<Node<Serving>> {
        let mut node = node;
        loop {
            match node.try_serve() {
                Ok(serving) => return Some(serving),
                Err(starting) => node = starting,
            }
            if self.drain {
                return None;
            }
            self.turn(&mut node);
        }
    }

    fn serve(&mut self, mut node: Node<Serving>) -> Node<Draining> {
        while !self.drain {
            self.turn(&mut node);
        }
        let now = self.now();
        let mut actions = std::mem::take(&mut self.actions);
        let node = node.drain(now, &mut actions);
        self.actions = actions;
        self.act(None);
        node
    }

    fn drain(&mut self, mut node: Node<Draining>) {
        let until = self.now() + FAREWELL;
        while !node.is_idle() || self.now() < until {
            self.turn(&mut node);
        }
        let now = self.now();
        let mut actions = std::mem::take(&mut self.actions);
        node.leave(now, &mut actions);
        self.actions = actions;
        self.act(None);
        log::info!("left: nothing was in flight");
    }

    /// Waits for messages or for the core's next wake, and handles them.
    fn turn<S: Stage>(&mut self, node: &mut Node<S>) {
        let wake = node.next_wake().since(self.now());
        let nap = Duration::from_millis(wake.0).min(NAP);
        match self.input.recv_timeout(nap) {
            Ok(input) => self.take(node, input),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => self.drain = true,
        }
        for _ in 0..BATCH {
            let Ok(input) = self.input.try_recv() else { break };
            self.take(node, input);
        }
        let now = self.now();
        if node.next_wake() <= now {
            self.handle(node, Event::Tick, None);
        }
        self.publish(node, now);
    }

    fn publish<S: Stage>(&mut self, node: &Node<S>, now: Millis) {
        if now.since(self.published) >= Millis(500) {
            self.published = now;
            telemetry::publish(&node.status(now), node.stats());
        }
    }

    fn handle<S: Stage>(
        &mut self,
        node: &mut Node<S>,
        event: Event,
        answer: Option<Answer>,
    ) {
        let now = self.now();
        node.handle(now, event, &mut self.actions);
        self.act(answer);
        while let Some(event) = self.backlog.pop_front() {
            node.handle(now, event, &mut self.actions);
            self.act(None);
        }
    }

    fn next_ask(&mut self) -> QueryId {
        self.asks += 1;
        QueryId(self.asks)
    }

    fn take<S: Stage>(&mut self, node: &mut Node<S>, input: Input) {
        match input {
            Input::Call { arrival, load, reply } => {
                self.hold(arrival.call, load, reply);
                self.handle(node, Event::Arrive(arrival), None);
            }
            Input::Hop { call, envelope, load, reply } => {
                self.hold(call, load, reply);
                let envelope = *envelope;
                self.handle(node, Event::Hop { call, envelope }, None);
            }
            Input::Returned { call, reply, answer } => {
                self.handle(node, Event::Replied { call, reply }, answer);
            }
            Input::Issue(reply) => {
                let query = self.next_ask();
                self.tickets.insert(query, reply);
                self.handle(node, Event::Issue { query }, None);
            }
            Input::Inspect(ticket, reply) => {
                let query = self.next_ask();
                self.outcomes.insert(query, reply);
                self.handle(node, Event::Inspect { query, ticket }, None);
            }
            Input::Propose { author, op, base, reply } => {
                let query = self.next_ask();
                self.changes.insert(query, reply);
                let event = Event::Propose { query, author, op, base };
                self.handle(node, event, None);
            }
            Input::Show(reply) => {
                let view = View {
                    status: node.status(self.now()),
                    stats: node.stats().clone(),
                    config: node.configuration().clone(),
                };
                let _ = reply.send(Box::new(view));
            }
            Input::Event(event) => self.handle(node, *event, None),
            Input::Drain => self.drain = true,
        }
    }

    fn hold(
        &mut self,
        call: CallId,
        load: Load,
        reply: oneshot::Sender<Done>,
    ) {
        self.waiting.insert(call, reply);
        self.loads.insert(call, load);
    }

    /// Carries out the core's actions; `answer` is the one that just came.
    fn act(&mut self, answer: Option<Answer>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(action, answer.as_ref());
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action, answer: Option<&Answer>) {
        match action {
            Action::Refuse { call, refusal, trailer } => {
                self.finish(call, Err(refusal), trailer)
            }
            Action::Answer { call, trailer } => {
                if let Some(answer) = answer {
                    self.finish(call, Ok(answer.clone()), trailer);
                }
            }
            Action::Replay { call, nonce } => {
                if let Some(answer) = self.kept.get(&nonce).cloned() {
                    self.finish(call, Ok(answer), None);
                }
            }
            Action::CacheAnswer { nonce } => {
                if let Some(answer) = answer {
                    self.kept.insert(nonce, answer.clone());
                }
            }
            Action::EvictAnswer { nonce } => drop(self.kept.remove(&nonce)),
            Action::Forward { call, to, envelope } => {
                self.dispatch(call, Some(to), envelope)
            }
            Action::Start { call, envelope } => {
                self.dispatch(call, None, envelope)
            }
            Action::Abort { call } => {
                let abort = forward::Command::Abort { call };
                let _ = self.outlets.forward.try_send(abort);
            }
            Action::Release { call } => drop(self.loads.remove(&call)),
            Action::Send { to, packet } => {
                let _ = self.outlets.gossip.try_send((to, packet));
            }
            Action::Platform { op, request } => {
                if self.outlets.platform.try_send((op, request)).is_err() {
                    let reply = Reply::Unavailable;
                    self.backlog.push_back(Event::Platform { op, reply });
                }
            }
            Action::Issued { query, result } => {
                tell(self.tickets.remove(&query), result)
            }
            Action::Inspected { query, result } => {
                tell(self.outcomes.remove(&query), result)
            }
            Action::Decided { query, result } => {
                tell(self.changes.remove(&query), result)
            }
            Action::Note(note) => write_note(&note),
        }
    }

    fn finish(
        &mut self,
        call: CallId,
        result: Result<Answer, Refusal>,
        trailer: Option<Trailer>,
    ) {
        if let Some(reply) = self.waiting.remove(&call) {
            let _ = reply.send(Done { result, trailer });
        }
    }

    fn dispatch(
        &mut self,
        call: CallId,
        to: Option<NodeId>,
        envelope: Envelope,
    ) {
        let Some(load) = self.loads.get(&call).cloned() else { return };
        let (envelope, load) = (Box::new(envelope), Box::new(load));
        let command = forward::Command::Send { call, to, envelope, load };
        if self.outlets.forward.try_send(command).is_err() {
            // The ring is full: nothing was sent, and that is certain.
            let reply = call::Reply::Unreachable;
            self.backlog.push_back(Event::Replied { call, reply });
        }
    }
}

fn tell<T>(reply: Option<oneshot::Sender<T>>, result: T) {
    if let Some(reply) = reply {
        let _ = reply.send(result);
    }
}

fn write_note(note: &Note) {
    match note {
        Note::InForce(revision) => {
            log::info!("configuration {revision} is in force")
        }
        Note::StoreBehind(revision) => log::warn!(
            "the store offers older configuration {revision}: not adopted"
        ),
        Note::Server(state) => log::info!("backend server: {state}"),
        Note::Shedding(true) => log::warn!("shedding load"),
        Note::Shedding(false) => log::info!("no longer shedding load"),
        Note::Up(node) => log::info!("node {node} is up"),
        Note::Down(node) => log::warn!("node {node} is down"),
        Note::Platform(true) => log::info!("the platform answers again"),
        Note::Platform(false) => log::warn!("the platform does not answer"),
    }
}
