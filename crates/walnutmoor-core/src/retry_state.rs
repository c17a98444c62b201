/*!
Where a request may go next: which instances it has been sent to, and what
they said.

The load pattern: an instance turns away part of what it gets while its
siblings are well, or all instances of a service turn away part of theirs. In
the first case a sibling serves the request; in the second the same instance,
asked again, is as likely to run it as any other, and is nearer. So an instance
that turned a request away may be asked again, but counts as one that does so
often until this node knows better.

Two bounds hold. A request reaches no more instances than its route allows,
however often each is asked. And one that may run only once goes no further
once it may have run.

# Example

```
use walnutmoor_core::{retry_state::*, id::NodeId};

let id = |port| NodeId(([127, 0, 0, 1], port).into());
let mut course = Course::new(1, true);
assert_eq!(course.take(id(1), Word::TurnedAway), Step::Go);
assert_eq!(course.scope().only, Some(&[id(1)][..]));
assert_eq!(course.take(id(1), Word::Served), Step::Stop);
```
*/

use crate::{id::NodeId, time::Millis};

/// How often a request is sent at the most. With half of all requests turned
/// away, one in 4,096 is turned away so often.
const SENDS_MAX: u32 = 12;

/// Gates that may say that repeats are used up before the request ends. All
/// gates of a service run out at about the same time; the second may have
/// had fewer repeats than the first.
const DENIALS_MAX: u32 = 2;

/// The pause before an instance is asked again that has just turned the
/// request away, for each earlier time. It keeps a request from spending its
/// repeats on a moment in which the instance takes nothing.
const PAUSE: Millis = Millis(3);

/// What a node said of a request that was sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Word {
    /// Its instance ran it well, or failed it and no sibling is likely to
    /// fare better.
    Served,
    /// Its instance ran it and failed; a sibling may fare better.
    Failed,
    /// Its instance may have run it.
    Unknown,
    /// Its instance got it and did not run it.
    TurnedAway,
    /// Its instance did not get it.
    Refused,
    /// Its instance did not get it, as its repeats are used up.
    Denied,
}

/// The least status of an answer that tells of a failure.
const FAILURE: u16 = 500;

impl Word {
    /// What an instance's answer says; `starved` tells whether the run lacked
    /// a call that was turned away further down.
    ///
    /// The load pattern: a service deep in the graph turns work away, so runs
    /// above it fail. A sibling would make the same calls to the same
    /// service, and all of its calls count as repeats there: they take the
    /// allowance from the calls that could still be saved by one.
    pub fn of_answer(status: u16, starved: bool) -> Word {
        match status >= FAILURE && !starved {
            true => Word::Failed,
            false => Word::Served,
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Choose an instance again.
    Go,
    /// End the request with what is known.
    Stop,
}

/// The instances among which the next one is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Scope<'a> {
    /// Not these.
    pub shut: &'a [NodeId],
    /// Only these, once the route's bound is reached.
    pub only: Option<&'a [NodeId]>,
    /// These have turned the request away.
    pub wary: &'a [NodeId],
    /// How soon the request is given its final answer, if that is known.
    pub due: Option<Millis>,
}

impl Scope<'_> {
    /// True if this node may be chosen.
    pub fn allows(&self, node: NodeId) -> bool {
        let within = self.only.is_none_or(|only| only.contains(&node));
        within && !self.shut.contains(&node)
    }
}

/// The way of one request.
#[derive(Clone, Debug)]
pub struct Course {
    attempts: usize,
    again: bool,
    tried: Vec<NodeId>,
    shut: Vec<NodeId>,
    reached: Vec<NodeId>,
    wary: Vec<NodeId>,
    arrivals: u32,
    runs: u32,
    denials: u32,
    may_have_run: bool,
}

impl Course {
    /// The way of a request that may reach so many instances; `again` tells
    /// whether it may run more than once.
    pub fn new(attempts: u8, again: bool) -> Course {
        Course {
            attempts: usize::from(attempts),
            again,
            tried: Vec::new(),
            shut: Vec::new(),
            reached: Vec::new(),
            wary: Vec::new(),
            arrivals: 0,
            runs: 0,
            denials: 0,
            may_have_run: false,
        }
    }

    /// The nodes that it was sent to, in order.
    pub fn tried(&self) -> &[NodeId] {
        &self.tried
    }

    /// How often an instance got it, or may have got it.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// How often an instance has run it, or may have.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// True if an instance may have run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Nothing could be sent to this node.
    pub fn skip(&mut self, node: NodeId) {
        self.shut.push(node);
    }

    /// Nothing was heard from this node before the request's time was over.
    pub fn give_up_on(&mut self, node: NodeId) {
        self.tried.push(node);
        self.runs += 1;
        self.may_have_run = true;
    }

    /// Takes a node's word.
    pub fn take(&mut self, node: NodeId, word: Word) -> Step {
        self.tried.push(node);
        match word {
            Word::Served => {
                self.runs += 1;
                return Step::Stop;
            }
            Word::Refused => self.shut.push(node),
            Word::Denied => {
                self.shut.push(node);
                self.denials += 1;
            }
            Word::TurnedAway => {
                self.arrive(node);
                self.wary.push(node);
            }
            Word::Failed | Word::Unknown => {
                self.arrive(node);
                self.shut.push(node);
                self.runs += 1;
                self.may_have_run = true;
            }
        }
        let settled = self.may_have_run && !self.again;
        let full = self.reached.len() >= self.attempts;
        let spent = full && self.reached.iter().all(|n| self.is_shut(*n));
        let over = self.tried.len() >= SENDS_MAX as usize;
        match settled || spent || over || self.denials >= DENIALS_MAX {
            true => Step::Stop,
            false => Step::Go,
        }
    }

    /// Among whom the next instance is chosen.
    pub fn scope(&self) -> Scope<'_> {
        let full = self.reached.len() >= self.attempts;
        Scope {
            shut: &self.shut,
            only: full.then_some(&self.reached[..]),
            wary: &self.wary,
            due: None,
        }
    }

    /// How long to wait before this node is asked.
    pub fn pause(&self, node: NodeId) -> Millis {
        let before = self.wary.iter().filter(|n| **n == node).count();
        Millis(PAUSE.0 * before as u64)
    }

    fn is_shut(&self, node: NodeId) -> bool {
        self.shut.contains(&node)
    }

    fn arrive(&mut self, node: NodeId) {
        self.arrivals += 1;
        if !self.reached.contains(&node) {
            self.reached.push(node);
        }
    }
}
