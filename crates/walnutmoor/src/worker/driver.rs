/*!
The driver of the core: one thread that owns the node state machine, feeds it
events and sends its actions to the other workers.

Message bodies never enter the core. This thread stores the request of each
call until the core releases it, and the cached answers of tickets.
*/

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;
use crossbeam_channel::{
    Receiver, RecvTimeoutError, Sender, TrySendError, bounded,
};
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

/// A request to be forwarded.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The method, the path and the headers.
    pub head: Head,
    /// The complete body.
    pub body: Bytes,
}

/// How a call ended.
#[derive(Debug)]
pub struct Completion {
    /// The answer, or why there is none.
    pub result: Result<Answer, Refusal>,
    /// The metadata to return if a peer forwarded the call.
    pub trailer: Option<Trailer>,
}

/// The state of the node, for operators.
#[derive(Debug)]
pub struct Snapshot {
    /// The status of the node.
    pub status: Status,
    /// The counters of the node.
    pub stats: Stats,
    /// The latest configuration that the node has adopted.
    pub config: Config,
}

/// A message from another worker to the driver.
#[derive(Debug)]
pub enum Input {
    /// A call from a caller or from this node's backend server.
    Call {
        /// The metadata for the core.
        arrival: Arrival,
        /// The request.
        payload: Payload,
        /// Receives the completion.
        reply: oneshot::Sender<Completion>,
    },
    /// A call that a peer forwarded.
    Hop {
        /// The id that this node gives the call.
        call: CallId,
        /// The metadata that the peer sent with the call.
        envelope: Box<Envelope>,
        /// The request.
        payload: Payload,
        /// Receives the completion.
        reply: oneshot::Sender<Completion>,
    },
    /// A call that was forwarded or started has ended.
    Replied {
        /// The call.
        call: CallId,
        /// The result, for the core.
        reply: call::Reply,
        /// The answer, if a complete one arrived.
        answer: Option<Answer>,
    },
    /// A caller requests a ticket.
    Issue(oneshot::Sender<Result<Ticket, Refusal>>),
    /// A caller requests the outcome of a ticket.
    Inspect(Ticket, oneshot::Sender<Result<Outcome, Refusal>>),
    /// An operator proposes a change of configuration.
    Propose {
        /// Who made the change, and when.
        author: Author,
        /// The change.
        op: Op,
        /// The revision that the change is based on, if the operator gave
        /// one.
        base: Option<Revision>,
        /// Receives the new revision.
        reply: oneshot::Sender<Result<Revision, Refusal>>,
    },
    /// An operator requests the state of the node.
    Snapshot(oneshot::Sender<Box<Snapshot>>),
    /// An event to pass to the core unchanged.
    Event(Box<Event>),
    /// The process was asked to stop.
    Drain,
}

/// The sending half of the driver's channel.
pub type InputSender = Sender<Input>;

/// The delay before an input is sent again to the full channel.
const INPUT_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Sends an input to the driver and waits while the channel is full, so that
/// no answer and no cancellation is lost.
pub async fn send(inputs: InputSender, input: Input) {
    let mut input = input;
    loop {
        match inputs.try_send(input) {
            Err(TrySendError::Full(returned)) => {
                input = returned;
                tokio::time::sleep(INPUT_RETRY_DELAY).await;
            }
            // The driver has ended, and all calls with it.
            Ok(()) | Err(TrySendError::Disconnected(_)) => return,
        }
    }
}

/// Creates the driver's channel with the given capacity, in messages.
pub fn channel(capacity: usize) -> (InputSender, Receiver<Input>) {
    bounded(capacity)
}

/// The channels from the driver to the other workers.
#[derive(Debug)]
pub struct Outputs {
    /// Calls to send or abort.
    pub forward: mpsc::Sender<forward::Command>,
    /// Packets to send.
    pub gossip: mpsc::Sender<(NodeId, Box<Packet>)>,
    /// Requests to the platform.
    pub platform: mpsc::Sender<(OpId, Request)>,
}

/// The maximum time to wait for a message before the clock is read again.
const MAX_INPUT_WAIT: Duration = Duration::from_millis(250);

/// The maximum number of further messages handled before timers are checked.
const MAX_INPUTS_PER_STEP: usize = 256;

/// The minimum time to drain, so that peers and callers stop using this node
/// before it stops listening.
const MIN_DRAIN_TIME: Millis = Millis(1_000);

/// The state of the driver thread other than the core's.
struct Driver {
    inputs: Receiver<Input>,
    outputs: Outputs,
    started: Instant,
    waiters: HashMap<CallId, oneshot::Sender<Completion>>,
    payloads: HashMap<CallId, Payload>,
    cached_answers: HashMap<Nonce, Answer>,
    ticket_queries: HashMap<QueryId, oneshot::Sender<Result<Ticket, Refusal>>>,
    outcome_queries:
        HashMap<QueryId, oneshot::Sender<Result<Outcome, Refusal>>>,
    proposals: HashMap<QueryId, oneshot::Sender<Result<Revision, Refusal>>>,
    last_query: u64,
    backlog: VecDeque<Event>,
    actions: Vec<Action>,
    drain: bool,
    last_published: Millis,
}

/// Runs the driver until the node has drained.
pub fn run(
    node: Node<Starting>,
    inputs: Receiver<Input>,
    outputs: Outputs,
    started: Instant,
) {
    let mut driver = Driver {
        inputs,
        outputs,
        started,
        waiters: HashMap::new(),
        payloads: HashMap::new(),
        cached_answers: HashMap::new(),
        ticket_queries: HashMap::new(),
        outcome_queries: HashMap::new(),
        proposals: HashMap::new(),
        last_query: 0,
        backlog: VecDeque::new(),
        actions: Vec::new(),
        drain: false,
        last_published: Millis(0),
    };
    let Some(node) = driver.start(node) else { return };
    let node = driver.serve(node);
    driver.drain(node);
}

impl Driver {
    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Runs until a configuration is in force. Returns `None` if the process
    /// is asked to stop before that.
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
            self.step(&mut node);
        }
    }

    fn serve(&mut self, mut node: Node<Serving>) -> Node<Draining> {
        while !self.drain {
            self.step(&mut node);
        }
        let now = self.now();
        let mut actions = std::mem::take(&mut self.actions);
        let node = node.drain(now, &mut actions);
        self.actions = actions;
        self.run_actions(None);
        node
    }

    fn drain(&mut self, mut node: Node<Draining>) {
        let until = self.now() + MIN_DRAIN_TIME;
        while !node.is_idle() || self.now() < until {
            self.step(&mut node);
        }
        let now = self.now();
        let mut actions = std::mem::take(&mut self.actions);
        node.leave(now, &mut actions);
        self.actions = actions;
        self.run_actions(None);
        log::info!("drained: left the cluster with no call in flight");
    }

    /// Waits for messages or for the core's next timer, and handles them.
    fn step<S: Stage>(&mut self, node: &mut Node<S>) {
        let until_wake = node.next_wake().since(self.now());
        let wait = Duration::from_millis(until_wake.0).min(MAX_INPUT_WAIT);
        match self.inputs.recv_timeout(wait) {
            Ok(input) => self.handle_input(node, input),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => self.drain = true,
        }
        for _ in 0..MAX_INPUTS_PER_STEP {
            let Ok(input) = self.inputs.try_recv() else { break };
            self.handle_input(node, input);
        }
        let now = self.now();
        if node.next_wake() <= now {
            self.handle_event(node, Event::Tick, None);
        }
        self.publish(node, now);
    }

    fn publish<S: Stage>(&mut self, node: &Node<S>, now: Millis) {
        if now.since(self.last_published) >= Millis(500) {
            self.last_published = now;
            telemetry::publish(&node.status(now), node.stats());
        }
    }

    fn handle_event<S: Stage>(
        &mut self,
        node: &mut Node<S>,
        event: Event,
        answer: Option<Answer>,
    ) {
        let now = self.now();
        node.handle(now, event, &mut self.actions);
        self.run_actions(answer);
        while let Some(event) = self.backlog.pop_front() {
            node.handle(now, event, &mut self.actions);
            self.run_actions(None);
        }
    }

    fn next_query(&mut self) -> QueryId {
        self.last_query += 1;
        QueryId(self.last_query)
    }

    fn handle_input<S: Stage>(&mut self, node: &mut Node<S>, input: Input) {
        match input {
            Input::Call { arrival, payload, reply } => {
                self.register(arrival.call, payload, reply);
                self.handle_event(node, Event::Arrive(arrival), None);
            }
            Input::Hop { call, envelope, payload, reply } => {
                self.register(call, payload, reply);
                let envelope = *envelope;
                self.handle_event(node, Event::Hop { call, envelope }, None);
            }
            Input::Replied { call, reply, answer } => {
                self.handle_event(
                    node,
                    Event::Replied { call, reply },
                    answer,
                );
            }
            Input::Issue(reply) => {
                let query = self.next_query();
                self.ticket_queries.insert(query, reply);
                self.handle_event(node, Event::Issue { query }, None);
            }
            Input::Inspect(ticket, reply) => {
                let query = self.next_query();
                self.outcome_queries.insert(query, reply);
                self.handle_event(
                    node,
                    Event::Inspect { query, ticket },
                    None,
                );
            }
            Input::Propose { author, op, base, reply } => {
                let query = self.next_query();
                self.proposals.insert(query, reply);
                let event = Event::Propose { query, author, op, base };
                self.handle_event(node, event, None);
            }
            Input::Snapshot(reply) => {
                let snapshot = Snapshot {
                    status: node.status(self.now()),
                    stats: node.stats().clone(),
                    config: node.configuration().clone(),
                };
                let _ = reply.send(Box::new(snapshot));
            }
            Input::Event(event) => self.handle_event(node, *event, None),
            Input::Drain => self.drain = true,
        }
    }

    fn register(
        &mut self,
        call: CallId,
        payload: Payload,
        reply: oneshot::Sender<Completion>,
    ) {
        self.waiters.insert(call, reply);
        self.payloads.insert(call, payload);
    }

    /// Executes the pending actions of the core. `answer` is the answer of
    /// the event that caused them, if any.
    fn run_actions(&mut self, answer: Option<Answer>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.run_action(action, answer.as_ref());
        }
        self.actions = actions;
    }

    fn run_action(&mut self, action: Action, answer: Option<&Answer>) {
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
                if let Some(answer) = self.cached_answers.get(&nonce).cloned()
                {
                    self.finish(call, Ok(answer), None);
                }
            }
            Action::CacheAnswer { nonce } => {
                if let Some(answer) = answer {
                    self.cached_answers.insert(nonce, answer.detached());
                }
            }
            Action::EvictAnswer { nonce } => {
                drop(self.cached_answers.remove(&nonce))
            }
            Action::Forward { call, to, envelope } => {
                self.dispatch(call, Some(to), envelope)
            }
            Action::Start { call, envelope } => {
                self.dispatch(call, None, envelope)
            }
            Action::Abort { call } => {
                let abort = forward::Command::Abort { call };
                let _ = self.outputs.forward.try_send(abort);
            }
            Action::Release { call } => drop(self.payloads.remove(&call)),
            Action::Send { to, packet } => {
                let _ = self.outputs.gossip.try_send((to, packet));
            }
            Action::Platform { op, request } => {
                if self.outputs.platform.try_send((op, request)).is_err() {
                    let reply = Reply::Unavailable;
                    self.backlog.push_back(Event::Platform { op, reply });
                }
            }
            Action::Issued { query, result } => {
                respond(self.ticket_queries.remove(&query), result)
            }
            Action::Inspected { query, result } => {
                respond(self.outcome_queries.remove(&query), result)
            }
            Action::Decided { query, result } => {
                respond(self.proposals.remove(&query), result)
            }
            Action::Note(note) => log_note(&note),
        }
    }

    fn finish(
        &mut self,
        call: CallId,
        result: Result<Answer, Refusal>,
        trailer: Option<Trailer>,
    ) {
        if let Some(reply) = self.waiters.remove(&call) {
            let _ = reply.send(Completion { result, trailer });
        }
    }

    fn dispatch(
        &mut self,
        call: CallId,
        to: Option<NodeId>,
        envelope: Envelope,
    ) {
        let Some(payload) = self.payloads.get(&call).cloned() else { return };
        let (envelope, payload) = (Box::new(envelope), Box::new(payload));
        let command = forward::Command::Send { call, to, envelope, payload };
        if self.outputs.forward.try_send(command).is_err() {
            // The channel is full or closed, so the call was not sent.
            let reply = call::Reply::Unreachable;
            self.backlog.push_back(Event::Replied { call, reply });
        }
    }
}

fn respond<T>(reply: Option<oneshot::Sender<T>>, result: T) {
    if let Some(reply) = reply {
        let _ = reply.send(result);
    }
}

fn log_note(note: &Note) {
    match note {
        Note::InForce(revision) => {
            log::info!("configuration {revision} is in force")
        }
        Note::StoreBehind(revision) => log::warn!(
            "ignored older configuration {revision} from the platform's store"
        ),
        Note::Server(state) => log::info!("backend server state: {state}"),
        Note::Shedding(true) => {
            log::warn!("started to shed load for the backend server")
        }
        Note::Shedding(false) => {
            log::info!("stopped shedding load for the backend server")
        }
        Note::Up(node) => log::info!("node {node} is up"),
        Note::Down(node) => log::warn!("node {node} is down"),
        Note::Platform(true) => log::info!("the platform is reachable again"),
        Note::Platform(false) => log::warn!("the platform is unreachable"),
    }
}
