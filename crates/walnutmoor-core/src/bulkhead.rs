/*!
The bulkhead in front of one instance: what runs, what waits, what is turned
away.

The load pattern: more work arrives than the instance has slots. Some
instances never answer what they can't queue, and all of them slow down when
their last slots fill, so no more is handed over than they run well. The rest
waits here, the most urgent first and among equals the one whose time ends
first, which is the one that has been refused before. A caller that
would wait long is told so at once: a late refusal costs it the time
in which it could have come back.

# Example

```
use walnutmoor_core::{bulkhead::*, prelude::*};

let mut bulkhead = Bulkhead::new();
bulkhead.open(1);
let work = |id| Work {
    id: CallId(id),
    priority: 0,
    target: Millis(100),
    deadline: Millis(1_000),
    moved: false,
};
assert_eq!(bulkhead.offer(Millis(0), work(1)), Offer::Run);
assert_eq!(bulkhead.offer(Millis(0), work(2)), Offer::Wait);
bulkhead.finish(Millis(5), CallId(1), true);
assert_eq!(bulkhead.next(Millis(5)), Some(Next::Run(CallId(2))));
```
*/

mod load;

use std::collections::{BTreeMap, VecDeque};

pub use load::Load;

use crate::{demand::Demand, digest::Map, id::CallId, time::Millis};

/// What an instance says of its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Occupancy {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the instance.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
}

/// Ranks that are told apart; [`urgency`] gives them.
pub const RANKS: usize = 4;

/// The rank of work: that of the whole request, so that a call deep in the
/// graph is as urgent as the caller's request that it serves.
///
/// Among the least urgent requests the calls of those that have begun go
/// before new ones: refusing them wastes all that was done above. New ones
/// that take little go beside those calls.
pub fn urgency(priority: u8, preferred: bool) -> u8 {
    match (priority, preferred) {
        (0 | 1, _) => priority,
        (_, true) => 2,
        (_, false) => 3,
    }
}

/// The rank of work of an account that has a priority of its own, where that
/// goes before what its route says: the first accounts' work is never behind
/// that of others, and within an account the order of routes stays.
pub fn account_urgency(account: u8, urgency: u8) -> u8 {
    match account {
        0 => urgency.min(1),
        _ => urgency.max(1),
    }
}

/// The first ranks, which are those of the requests that matter most.
pub(crate) const URGENT: usize = 2;

/// The part of an instance's slots that is used. Instances slow down by a
/// third in their last twentieth, which costs more than the slots bring.
const USED: f64 = 0.95;

/// The part of the slots that each less urgent rank keeps while it has work
/// waiting, so that no class starves behind another.
const RESERVE: f64 = 0.15;

/// The part of an instance that is left beside so many reserves.
pub(crate) fn room(reserves: usize) -> f64 {
    1.0 - RESERVE * reserves as f64
}

/// What part of its target a request may wait, by rank. The least urgent is
/// refused within an eighth, in time to come back; the most urgent are worth a
/// longer wait. Calls of the others wait little more than the least urgent: a
/// request that makes eight of them in a row has no time for eight waits, and
/// one that is turned away here goes on to an instance that stands idle.
const PATIENCE: [f64; RANKS] = [0.5, 0.5, 0.15, 0.125];

/// How long urgent work that was turned away counts as recent.
const PRESSED: Millis = Millis(1_000);

/// Urgent work that is turned away within [`PRESSED`] at the least, for the
/// instance to count as pressed; single refusals happen in calm times.
const PRESSED_MIN: usize = 3;

/// How fast the mean of run times follows: half of it is forgotten after
/// some 14 runs.
const MEAN_STEP: f64 = 0.05;

/// Work that asks for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// Its number.
    pub id: CallId,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// The time within which its answer is worth most.
    pub target: Millis,
    /// When nobody waits for it any more.
    pub deadline: Millis,
    /// True if another instance has turned it away: its demand was counted.
    pub moved: bool,
}

/// What becomes of work that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// Hand it to the instance now.
    Run,
    /// It waits.
    Wait,
    /// Turn it away: it would wait too long.
    Full {
        /// When there may be room.
        retry: Millis,
    },
    /// Turn it away: the instance takes no work.
    Closed,
}

/// What is to be done with waiting work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Hand it to the instance.
    Run(CallId),
    /// Turn it away.
    Full(CallId, Millis),
    /// Turn it away: the instance takes no work any more.
    Closed(CallId),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: CallId,
    since: Millis,
    target: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    rank: usize,
    since: Millis,
}

type Place = (usize, Millis, u64);

/// The state of the bulkhead.
#[derive(Debug)]
pub struct Bulkhead {
    open: bool,
    limit: usize,
    running: Map<CallId, Running>,
    per_rank: [usize; RANKS],
    queue: BTreeMap<Place, Waiting>,
    places: Map<CallId, Place>,
    queued: [usize; RANKS],
    takes: [f64; RANKS],
    arrivals: u64,
    /// When the last few urgent ones were turned away.
    turned_away: VecDeque<Millis>,
    demand: Demand,
    urgent: Demand,
    direct: Demand,
}

impl Default for Bulkhead {
    fn default() -> Bulkhead {
        Bulkhead::new()
    }
}

impl Bulkhead {
    /// A bulkhead that takes nothing yet.
    pub fn new() -> Bulkhead {
        Bulkhead {
            open: false,
            limit: 0,
            running: Map::default(),
            per_rank: [0; RANKS],
            queue: BTreeMap::new(),
            places: Map::default(),
            queued: [0; RANKS],
            takes: [0.0; RANKS],
            arrivals: 0,
            turned_away: VecDeque::new(),
            demand: Demand::new(),
            urgent: Demand::new(),
            direct: Demand::new(),
        }
    }

    /// The instance takes work, in this many slots.
    pub fn open(&mut self, slots: u32) {
        self.open = true;
        self.limit = ((f64::from(slots) * USED) as usize).max(1);
    }

    /// The instance takes no new work; what runs is finished.
    pub fn close(&mut self) {
        self.open = false;
    }

    /// True if the instance takes work.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Work that runs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Work that waits.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes work, lets it wait or turns it away.
    pub fn offer(&mut self, now: Millis, work: Work) -> Offer {
        if !self.open {
            return Offer::Closed;
        }
        let rank = rank(work.priority);
        if !work.moved {
            self.count(now, rank);
        }
        if self.queue.is_empty() && self.running.len() < self.limit {
            self.start(now, work.id, rank);
            return Offer::Run;
        }
        self.arrivals += 1;
        let place = (rank, work.deadline, self.arrivals);
        let wait = self.wait_at(place);
        let patience = patience(rank, work.target);
        let left = work.deadline.since(now);
        let takes = Millis(self.takes[rank] as u64);
        if wait > patience || wait + takes > left {
            self.turned_away(now, work.priority);
            return Offer::Full { retry: wait };
        }
        let waiting = Waiting { id: work.id, since: now, target: work.target };
        self.queue.insert(place, waiting);
        self.places.insert(work.id, place);
        self.queued[rank] += 1;
        Offer::Wait
    }

    /// Work has left the instance. Its run time counts only if the instance
    /// answered.
    pub fn finish(&mut self, now: Millis, id: CallId, answered: bool) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        self.per_rank[run.rank] -= 1;
        if !answered {
            return;
        }
        let took = now.since(run.since).0 as f64;
        let mean = &mut self.takes[run.rank];
        *mean = match *mean == 0.0 {
            true => took,
            false => *mean + (took - *mean) * MEAN_STEP,
        };
    }

    /// Work that waits is no longer wanted. False if it does not wait.
    pub fn cancel(&mut self, id: CallId) -> bool {
        let Some(place) = self.places.remove(&id) else {
            return false;
        };
        self.queue.remove(&place);
        self.queued[place.0] -= 1;
        true
    }

    /// The next thing to do with waiting work, until there is none.
    pub fn next(&mut self, now: Millis) -> Option<Next> {
        if !self.open {
            let (_, waiting) = self.queue.pop_first()?;
            self.forget(waiting.id);
            return Some(Next::Closed(waiting.id));
        }
        if let Some(next) = self.overdue(now) {
            return Some(next);
        }
        if let Some(next) = self.displaced(now) {
            return Some(next);
        }
        if self.running.len() >= self.limit {
            return None;
        }
        let rank = self.turn()?;
        let from = (rank, Millis(0), 0);
        let (_, waiting) = self.queue.range(from..).next()?;
        let id = waiting.id;
        self.cancel(id);
        self.start(now, id, rank);
        Some(Next::Run(id))
    }

    /// Work was turned away.
    fn turned_away(&mut self, now: Millis, priority: u8) {
        // The least urgent is turned away first and tells nothing of the
        // calls that other work depends on.
        if rank(priority) == RANKS - 1 {
            return;
        }
        if self.turned_away.len() == PRESSED_MIN {
            self.turned_away.pop_front();
        }
        self.turned_away.push_back(now);
    }

    /// Counts the demand of work that is offered for the first time.
    fn count(&mut self, now: Millis, rank: usize) {
        let takes = self.takes[rank];
        match rank < RANKS - 1 {
            true => self.demand.add(now, takes),
            false => self.direct.add(now, takes),
        }
        if rank < URGENT {
            self.urgent.add(now, takes);
        }
    }

    /// Work that is asked for, as a part of what can be done beside so many
    /// reserves.
    fn part(&self, now: Millis, demand: &Demand, reserves: usize) -> f64 {
        let room = self.limit as f64 * room(reserves);
        demand.slots(now) / room.max(1.0)
    }

    fn is_pressed(&self, now: Millis) -> bool {
        let oldest = self.turned_away.front();
        self.turned_away.len() == PRESSED_MIN
            && oldest.is_some_and(|at| now.since(*at) <= PRESSED)
    }

    /// What other nodes are to know.
    pub fn load(&self, now: Millis) -> Load {
        let short = |value: f64| value.min(f64::from(u16::MAX)) as u16;
        let mut load = Load {
            accepting: self.open,
            limit: short(self.limit as f64),
            held: short((self.running.len() + self.queue.len()) as f64),
            pressed: self.is_pressed(now),
            demand: short(self.part(now, &self.demand, 1) * 1_000.0),
            urgent: short(self.part(now, &self.urgent, 2) * 1_000.0),
            direct: short(self.part(now, &self.direct, 0) * 1_000.0),
            ..Load::default()
        };
        for rank in 0..RANKS {
            load.waits[rank] = short(self.wait(rank).0 as f64);
            load.takes[rank] = short(self.takes[rank]);
        }
        load
    }

    fn forget(&mut self, id: CallId) {
        if let Some(place) = self.places.remove(&id) {
            self.queued[place.0] -= 1;
        }
    }

    fn start(&mut self, now: Millis, id: CallId, rank: usize) {
        self.running.insert(id, Running { rank, since: now });
        self.per_rank[rank] += 1;
    }

    /// The first entry of a rank that has waited longer than it may. Only
    /// the first of each rank is looked at: it is the one with least time.
    fn overdue(&mut self, now: Millis) -> Option<Next> {
        for rank in 0..RANKS {
            let from = (rank, Millis(0), 0);
            let to = (rank + 1, Millis(0), 0);
            let first = self.queue.range(from..to).next();
            let Some((place, waiting)) = first else {
                continue;
            };
            let waited = now.since(waiting.since);
            let over = waited > patience(rank, waiting.target);
            // Its answer would come too late, and whoever waits for it is
            // better told now than at its timeout.
            let takes = Millis(self.takes[rank] as u64);
            if over || place.1 <= now + takes {
                let id = waiting.id;
                self.cancel(id);
                self.turned_away(now, rank as u8);
                return Some(Next::Full(id, self.wait(rank)));
            }
        }
        None
    }

    /// The last entry of a rank, if those that came before it since make it
    /// wait longer than it may.
    ///
    /// It is the one with most time left: that of a request which has made
    /// the fewest calls so far, so the least is lost with it.
    fn displaced(&mut self, now: Millis) -> Option<Next> {
        for rank in 0..RANKS {
            let from = (rank, Millis(0), 0);
            let to = (rank + 1, Millis(0), 0);
            let last = self.queue.range(from..to).next_back();
            let Some((&place, &waiting)) = last else {
                continue;
            };
            let wait = self.wait_at(place);
            if wait > patience(rank, waiting.target) {
                self.cancel(waiting.id);
                self.turned_away(now, rank as u8);
                return Some(Next::Full(waiting.id, wait));
            }
        }
        None
    }

    /// The rank that is served next: the most urgent one, unless a less
    /// urgent one that waits holds less than its reserve.
    fn turn(&self) -> Option<usize> {
        let reserve = self.reserve();
        let urgent = self.queued.iter().position(|count| *count > 0)?;
        let starved = (urgent + 1..RANKS)
            .rev()
            .find(|r| self.queued[*r] > 0 && self.per_rank[*r] < reserve);
        Some(starved.unwrap_or(urgent))
    }

    /// How long new work of a rank would wait: behind all that is at least
    /// as urgent.
    fn wait(&self, rank: usize) -> Millis {
        self.wait_behind(rank, self.queued[rank])
    }

    /// How long work waits at a place in the queue.
    fn wait_at(&self, place: Place) -> Millis {
        let from = (place.0, Millis(0), 0);
        let ahead = self.queue.range(from..place).count();
        self.wait_behind(place.0, ahead)
    }

    /// How long work of a rank waits behind so many of its own rank and all
    /// more urgent, in the slots that more urgent work leaves.
    ///
    /// The reserve is not reckoned with: work that counts on it would be let
    /// in to the queue and take slots from the calls of more urgent work.
    fn wait_behind(&self, rank: usize, own: usize) -> Millis {
        let free = self.limit.saturating_sub(self.running.len());
        let above = &self.queued[..rank];
        if above.iter().sum::<usize>() + own < free {
            return Millis(0);
        }
        let mut work = self.takes[rank] * (own as f64 + 1.0);
        for (count, takes) in above.iter().zip(&self.takes) {
            work += *count as f64 * takes;
        }
        let taken: usize = self.per_rank[..rank].iter().sum();
        let left = self.limit.saturating_sub(taken);
        let slots = left.max(self.reserve()).max(1);
        Millis((work / slots as f64) as u64)
    }

    fn reserve(&self) -> usize {
        (self.limit as f64 * RESERVE) as usize
    }
}

fn rank(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}

fn patience(rank: usize, target: Millis) -> Millis {
    Millis((target.0 as f64 * PATIENCE[rank]) as u64)
}
