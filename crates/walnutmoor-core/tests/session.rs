//! The calls between two nodes while links break and are removed, sessions are
//! forgotten and either process restarts: drawn histories against an oracle.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use walnutmoor_core::{
    id::CallId,
    intake::Intake,
    session::{Ended, Found, Memory, RETENTION, Session},
    time::Millis,
};

/// Identifies a request, unlike the number of its call.
type Attempt = u64;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reply {
    Ran(Attempt),
    NotRun,
    Unknown,
}

/// A frame from the calling node.
#[derive(Clone, Debug)]
enum Frame {
    Resume(Vec<CallId>),
    Call(CallId, Attempt),
    /// The number of replies that were read on this connection.
    Read(u64),
}

/// The rules of the two nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rules {
    Current,
    /// Each link numbers its calls from 1.
    NumbersPerLink,
    /// A new session assumes that no call was received before.
    NothingReceived,
    /// The number of replies that were read goes on over connections.
    CountNotReset,
    /// A session begins with the first handshake that is read, even if the
    /// caller has given it up.
    FirstHandshakeCounts,
}

/// A process that sends calls over one link.
#[derive(Debug, Default)]
struct Caller {
    incarnation: u64,
    last: u64,
    pending: BTreeMap<CallId, Attempt>,
    /// The incarnation of the other process at the last handshake.
    peer: Option<u64>,
    /// The number of replies that were read on the connection.
    read: u64,
}

/// A call at the node that runs it.
#[derive(Clone, Copy, Debug)]
struct Call {
    attempt: Attempt,
    has_started: bool,
}

/// A process that runs calls.
#[derive(Debug, Default)]
struct Runner {
    incarnation: u64,
    sessions: BTreeMap<u64, Session<Call, Reply>>,
    /// When the calls of each session ended.
    ended: BTreeMap<(u64, CallId), Millis>,
}

/// Two nodes, the frames between them, and what really happened.
struct Model {
    rules: Rules,
    rng: ChaCha8Rng,
    now: Millis,
    caller: Caller,
    runner: Runner,
    /// The frames on their way, or `None` while the link is down.
    forward: Option<VecDeque<Frame>>,
    /// Frames of the last connection that broke. The runner may still read
    /// them until the next handshake.
    late: VecDeque<Frame>,
    /// The incarnation and the last call of a handshake that was given up.
    late_handshake: Option<(u64, CallId)>,
    back: VecDeque<(CallId, Reply)>,
    attempts: Attempt,
    ran: BTreeSet<Attempt>,
    promised: BTreeSet<Attempt>,
    lies: usize,
    /// The replies that were dropped before they were read.
    losses: usize,
}

impl Model {
    fn new(rules: Rules, seed: u64) -> Model {
        Model {
            rules,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis(0),
            caller: Caller::default(),
            runner: Runner::default(),
            forward: None,
            late: VecDeque::new(),
            late_handshake: None,
            back: VecDeque::new(),
            attempts: 0,
            ran: BTreeSet::new(),
            promised: BTreeSet::new(),
            lies: 0,
            losses: 0,
        }
    }

    fn step(&mut self) {
        self.now += Millis(self.rng.random_range(0..40));
        match self.rng.random_range(0..108) {
            0..30 => self.send(),
            30..55 => self.deliver(),
            55..70 => self.deliver_back(),
            70..85 => self.progress(),
            85..89 => self.break_link(),
            89..96 => self.connect(),
            96 => self.remove_link(),
            97 => self.forget(),
            98 => self.restart_runner(),
            99 => self.restart_caller(),
            100..104 => self.give_up_handshake(),
            _ => self.read_late_handshake(),
        }
    }

    fn send(&mut self) {
        let Some(forward) = &mut self.forward else {
            return;
        };
        self.attempts += 1;
        self.caller.last += 1;
        let id = CallId(self.caller.last);
        self.caller.pending.insert(id, self.attempts);
        if self.rng.random() {
            forward.push_back(Frame::Read(self.caller.read));
        }
        forward.push_back(Frame::Call(id, self.attempts));
    }

    fn connect(&mut self) {
        if self.forward.is_some() {
            return;
        }
        self.late.clear();
        self.back.clear();
        if self.caller.peer.replace(self.runner.incarnation)
            != Some(self.runner.incarnation)
        {
            self.caller.pending.clear();
        }
        if self.rules != Rules::CountNotReset {
            self.caller.read = 0;
        }
        let last = match self.rules {
            Rules::NothingReceived => CallId(0),
            _ => CallId(self.caller.last),
        };
        let sessions = &mut self.runner.sessions;
        let session = sessions.entry(self.caller.incarnation);
        let session = session.or_insert_with(|| Session::new(last));
        match self.rules {
            Rules::FirstHandshakeCounts => session.link(CallId(0)),
            _ => session.link(last),
        }
        let wanted = self.caller.pending.keys().copied().collect();
        self.forward = Some([Frame::Resume(wanted)].into());
    }

    /// The caller connects, and closes the connection before the runner has
    /// read its handshake.
    fn give_up_handshake(&mut self) {
        if self.forward.is_none() {
            let Caller { incarnation, last, .. } = self.caller;
            self.late_handshake = Some((incarnation, CallId(last)));
        }
    }

    /// The runner reads the handshake of a connection that was given up, which
    /// ends the one in use.
    fn read_late_handshake(&mut self) {
        let Some((incarnation, last)) = self.late_handshake.take() else {
            return;
        };
        if incarnation == self.caller.incarnation {
            self.break_link();
            self.late.clear();
        }
        let session = self.runner.sessions.entry(incarnation);
        let session = session.or_insert_with(|| Session::new(last));
        session.link(last);
        session.unlink(self.now);
    }

    fn break_link(&mut self) {
        let Some(frames) = self.forward.take() else {
            return;
        };
        self.late = frames;
        self.back.clear();
        let sessions = &mut self.runner.sessions;
        if let Some(session) = sessions.get_mut(&self.caller.incarnation) {
            session.unlink(self.now);
        }
    }

    fn remove_link(&mut self) {
        self.break_link();
        self.caller.pending.clear();
        self.caller.peer = None;
        if self.rules == Rules::NumbersPerLink {
            self.caller.last = 0;
        }
    }

    fn forget(&mut self) {
        if self.forward.is_none() {
            self.late.clear();
            let incarnation = self.caller.incarnation;
            self.runner.sessions.remove(&incarnation);
            self.runner.ended.retain(|(other, _), _| *other != incarnation);
        }
    }

    fn restart_runner(&mut self) {
        self.break_link();
        self.late.clear();
        let incarnation = self.runner.incarnation + 1;
        self.runner = Runner { incarnation, ..Runner::default() };
    }

    fn restart_caller(&mut self) {
        self.break_link();
        let incarnation = self.caller.incarnation + 1;
        self.caller = Caller { incarnation, ..Caller::default() };
        self.late.clear();
    }

    /// The runner reads a frame, perhaps of a connection that has broken.
    fn deliver(&mut self) {
        let frames = self.forward.as_mut().unwrap_or(&mut self.late);
        let Some(frame) = frames.pop_front() else {
            return;
        };
        let is_linked = self.forward.is_some();
        let Some(session) =
            self.runner.sessions.get_mut(&self.caller.incarnation)
        else {
            return;
        };
        match frame {
            Frame::Call(id, attempt) => {
                session.receive(id, Call { attempt, has_started: false });
            }
            Frame::Resume(wanted) if is_linked => {
                session.resume(&wanted.iter().copied().collect());
                for id in wanted {
                    let reply = match session.resend(id) {
                        Found::Running => continue,
                        Found::Ended(reply) => reply,
                        Found::NeverReceived => Reply::NotRun,
                        Found::Forgotten => {
                            let key = (self.caller.incarnation, id);
                            let ended_at = self.runner.ended.get(&key);
                            let is_kept =
                                |at: &Millis| self.now.since(*at) <= RETENTION;
                            let is_loss = ended_at.is_some_and(is_kept);
                            self.losses += usize::from(is_loss);
                            Reply::Unknown
                        }
                    };
                    session.record_written(id);
                    self.back.push_back((id, reply));
                }
            }
            Frame::Read(count) if is_linked => session.record_read(count),
            Frame::Resume(_) | Frame::Read(_) => {}
        }
    }

    /// The calls in progress, with the incarnations of their callers.
    fn in_progress(&self) -> Vec<(u64, CallId, Call)> {
        let sessions = self.runner.sessions.iter();
        let calls = sessions.flat_map(|(incarnation, session)| {
            let calls = session.running();
            calls.map(|(id, call)| (*incarnation, id, *call))
        });
        let mut calls: Vec<(u64, CallId, Call)> = calls.collect();
        calls.sort_by_key(|(incarnation, id, _)| (*incarnation, *id));
        calls
    }

    /// A call in progress starts, ends, or is declined before its start.
    fn progress(&mut self) {
        let calls = self.in_progress();
        if calls.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..calls.len());
        let declines = self.rng.random_range(0..3) == 0;
        let (incarnation, id, call) = calls[at];
        match (call.has_started, declines) {
            (true, _) => self.end(incarnation, id, Reply::Ran(call.attempt)),
            (false, true) => self.end(incarnation, id, Reply::NotRun),
            (false, false) => {
                let call = Call { has_started: true, ..call };
                let sessions = &mut self.runner.sessions;
                let session = sessions.get_mut(&incarnation).unwrap();
                session.receive(id, call);
                self.ran.insert(call.attempt);
                let is_promised = self.promised.contains(&call.attempt);
                self.lies += usize::from(is_promised);
            }
        }
    }

    fn end(&mut self, incarnation: u64, id: CallId, reply: Reply) {
        let session = self.runner.sessions.get_mut(&incarnation).unwrap();
        session.end(self.now, id, reply, 1);
        self.runner.ended.insert((incarnation, id), self.now);
        let is_linked = self.forward.is_some();
        if is_linked && incarnation == self.caller.incarnation {
            session.record_written(id);
            self.back.push_back((id, reply));
        }
    }

    /// The caller reads a reply, which must be true of its attempt.
    fn deliver_back(&mut self) {
        let Some((id, reply)) = self.back.pop_front() else {
            return;
        };
        self.caller.read += 1;
        let Some(attempt) = self.caller.pending.remove(&id) else {
            return;
        };
        let is_lie = match reply {
            Reply::Ran(other) => other != attempt,
            Reply::NotRun => {
                self.promised.insert(attempt);
                self.ran.contains(&attempt)
            }
            Reply::Unknown => false,
        };
        self.lies += usize::from(is_lie);
    }
}

/// Plays the history of this seed.
fn play(rules: Rules, seed: u64) -> Model {
    let mut model = Model::new(rules, seed);
    for _ in 0..600 {
        model.step();
    }
    model
}

/// The number of untrue replies in the history of this seed.
fn lies(rules: Rules, seed: u64) -> usize {
    play(rules, seed).lies
}

/// Guards against a call that ran, or runs later, and was reported as not run,
/// and against the reply to another call.
#[test]
fn every_reply_is_true_of_its_call() {
    for seed in 0..3_000 {
        assert_eq!(lies(Rules::Current, seed), 0, "seed {seed}");
    }
}

/// Shows that the histories tell the rules apart.
#[test]
fn other_rules_give_untrue_replies() {
    let others = [
        Rules::NumbersPerLink,
        Rules::NothingReceived,
        Rules::FirstHandshakeCounts,
    ];
    for rules in others {
        let total: usize = (0..3_000).map(|seed| lies(rules, seed)).sum();
        assert!(total > 0, "{rules:?}");
    }
}

/// Guards against a reply that is dropped before the other node has read it.
#[test]
fn a_reply_that_was_not_read_is_found_after_a_break() {
    for seed in 0..3_000 {
        let losses = play(Rules::Current, seed).losses;
        assert_eq!(losses, 0, "seed {seed}");
    }
}

/// Shows that the histories tell a wrong count of replies apart.
#[test]
fn a_count_that_is_not_reset_loses_replies() {
    let losses = |seed| play(Rules::CountNotReset, seed).losses;

    assert!((0..3_000).map(losses).sum::<usize>() > 0);
}

/// Memory with this limit of either kind.
fn memory(limit: usize) -> Memory {
    let [queued, kept] = [limit, limit].map(Intake::new);
    Memory { queued, kept }
}

/// Ends calls of a session, each with a reply of this size.
fn end_calls(session: &mut Session<(), u64>, ids: [u64; 3], size: usize) {
    for id in ids {
        session.receive(CallId(id), ());
        session.end(Millis(0), CallId(id), id, size);
        session.record_written(CallId(id));
    }
}

/// Guards against memory that grows with the replies of a process that lives.
#[test]
fn replies_that_were_read_are_not_retained() {
    let memory = memory(1_000);
    let mut session = Session::new(CallId(0)).share(&memory);
    session.link(CallId(0));
    end_calls(&mut session, [1, 2, 3], 100);

    session.record_read(2);

    assert_eq!(session.find(CallId(2)), Found::Forgotten);
    assert_eq!(session.find(CallId(3)), Found::Ended(3));
    assert_eq!((session.retained(), memory.kept.bytes()), (1, 100));
    session.record_read(3);
    assert_eq!((session.retained(), memory.kept.bytes()), (0, 0));
}

/// Guards against a resumed link that counts the replies of the former one.
#[test]
fn a_reply_that_is_sent_again_takes_its_position_on_the_new_connection() {
    let mut session = Session::new(CallId(0));
    session.link(CallId(0));
    end_calls(&mut session, [1, 2, 3], 1);
    session.unlink(Millis(0));
    session.link(CallId(0));
    let wanted = [CallId(2), CallId(3)];
    session.resume(&wanted.into_iter().collect());

    assert_eq!(session.find(CallId(1)), Found::Forgotten, "it is unwanted");
    assert_eq!(session.resend(CallId(3)), Found::Ended(3));
    assert_eq!(session.resend(CallId(2)), Found::Ended(2));
    session.record_read(1);
    assert_eq!(session.find(CallId(3)), Found::Forgotten);
    assert_eq!(session.find(CallId(2)), Found::Ended(2));
}

/// Guards against a reply that can never be sent as it is longer than the
/// memory of those that wait, and against several of them.
#[test]
fn one_reply_longer_than_the_memory_waits_to_be_written() {
    let memory = memory(300);
    let mut session = Session::new(CallId(0)).share(&memory);
    session.link(CallId(0));
    for id in 1..=3 {
        session.receive(CallId(id), ());
    }

    let ended = [1, 2].map(|id| session.end(Millis(0), CallId(id), id, 400));

    assert_eq!(ended, [Ended::Retained, Ended::NoRoom]);
    session.record_written(CallId(1));
    assert_eq!(memory.queued.bytes(), 0);
    assert_eq!(memory.kept.bytes(), 0, "it is too long to be retained");
    let third = session.end(Millis(0), CallId(3), 3, 400);
    assert_eq!(third, Ended::Retained);
}

/// Guards against replies of many sessions that exceed the memory together,
/// and against one session that leaves no room for the others.
#[test]
fn retained_replies_share_a_limit_of_bytes() {
    let memory = memory(300);
    let mut first = Session::new(CallId(0)).share(&memory);
    let mut second = Session::new(CallId(0)).share(&memory);
    end_calls(&mut first, [1, 2, 3], 100);

    end_calls(&mut second, [1, 2, 3], 100);

    assert_eq!(first.find(CallId(1)), Found::Ended(1));
    assert_eq!(second.find(CallId(2)), Found::Forgotten, "it was evicted");
    assert_eq!(second.find(CallId(3)), Found::Ended(3));
    assert_eq!(memory.kept.bytes(), 400);
    drop((first, second));
    assert_eq!((memory.queued.bytes(), memory.kept.bytes()), (0, 0));
}

/// Guards against a reply that is dropped while it waits to be written, and
/// against such replies that take memory without a limit.
#[test]
fn a_reply_that_waits_to_be_written_is_not_dropped() {
    let memory = memory(200);
    let mut session = Session::new(CallId(0)).share(&memory);
    session.link(CallId(0));
    for id in [1, 2, 3] {
        session.receive(CallId(id), ());
    }
    let late = RETENTION + Millis(1);

    assert_eq!(session.end(Millis(0), CallId(1), 1, 100), Ended::Retained);
    assert_eq!(session.end(late, CallId(2), 2, 100), Ended::Retained);
    assert_eq!(session.end(late, CallId(3), 3, 100), Ended::NoRoom);
    assert_eq!(session.end(late, CallId(3), 3, 100), Ended::Unexpected);

    assert_eq!(session.get_reply(CallId(1)), Some(&1));
    assert_eq!(session.get_reply(CallId(3)), None);
    assert_eq!(session.find(CallId(3)), Found::Forgotten);
    session.record_written(CallId(1));
    session.receive(CallId(4), ());
    assert_eq!(session.end(late, CallId(4), 4, 100), Ended::Retained);
    assert_eq!(session.find(CallId(1)), Found::Forgotten, "it was evicted");
    assert_eq!(memory.queued.bytes(), 200);
}

/// Guards against replies that were written and leave no room for those of
/// other sessions.
#[test]
fn replies_that_were_written_leave_the_queue_to_others() {
    let memory = memory(300);
    let mut written: Session<(), u64> = Session::new(CallId(0)).share(&memory);
    written.link(CallId(0));
    end_calls(&mut written, [1, 2, 3], 100);
    let mut sessions = Vec::new();
    for _ in 0..3 {
        let mut session: Session<(), u64> =
            Session::new(CallId(0)).share(&memory);
        session.link(CallId(0));
        session.receive(CallId(1), ());
        let ended = session.end(Millis(0), CallId(1), 1, 100);
        assert_eq!(ended, Ended::Retained);
        sessions.push(session);
    }

    assert_eq!((memory.queued.bytes(), memory.kept.bytes()), (300, 300));
    for session in &mut sessions {
        session.record_written(CallId(1));
    }
    let retained: Vec<usize> =
        sessions.iter().map(Session::retained).collect();
    assert_eq!(retained, [1, 1, 0], "the last one exceeds its even part");
    assert_eq!((memory.queued.bytes(), memory.kept.bytes()), (0, 500));
}

/// Guards against memory of a queue that ended with its connection.
#[test]
fn a_reply_that_was_not_written_is_kept_when_the_connection_breaks() {
    let memory = memory(300);
    let mut session: Session<(), u64> = Session::new(CallId(0)).share(&memory);
    session.link(CallId(0));
    session.receive(CallId(1), ());
    session.end(Millis(0), CallId(1), 1, 100);

    session.unlink(Millis(0));

    assert_eq!((memory.queued.bytes(), memory.kept.bytes()), (0, 100));
    session.link(CallId(1));
    session.resume(&[CallId(1)].into_iter().collect());
    assert_eq!(session.resend(CallId(1)), Found::Ended(1));
    session.record_written(CallId(1));
    assert_eq!(memory.kept.bytes(), 100);
    session.record_read(1);
    assert_eq!((memory.queued.bytes(), memory.kept.bytes()), (0, 0));
}

#[test]
fn a_call_that_a_forgotten_session_may_have_received_is_not_denied() {
    let successor: Session<(), ()> = Session::new(CallId(7));

    assert_eq!(successor.find(CallId(7)), Found::Forgotten);
    assert_eq!(successor.find(CallId(8)), Found::NeverReceived);
}

/// Guards against memory that grows with each process that ever connected.
#[test]
fn a_session_without_calls_expires_after_its_connection_broke() {
    let mut session: Session<(), ()> = Session::new(CallId(0));
    session.receive(CallId(1), ());
    session.unlink(Millis(100));
    let late = Millis(100) + RETENTION + Millis(1);

    assert!(!session.is_expired(late), "a call is in progress");
    session.end(late, CallId(1), (), 0);
    assert!(!session.is_expired(Millis(100) + RETENTION));
    assert!(session.is_expired(late));
    session.link(CallId(0));
    assert!(!session.is_expired(late));
}
