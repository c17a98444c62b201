/*!
What is known of one route, and how much of it is let in.
*/

use std::collections::VecDeque;

use super::cover::Cover;
use crate::{
    balance::{Pressure, Pressures},
    bulkhead,
    digest::Map,
    footprint::{Footprint, Key},
};

/// What admission aims at: all that can be done. A lower aim refuses at the way
/// in what fails further down otherwise.
pub(super) const AIM: f64 = 1.0;

/// The least part of a service that the less urgent get: their reserve there.
const KEPT: f64 = 0.15;

/// Steps over which what was let in is averaged to be compared with the
/// demand that followed from it. A request makes its calls in the second after
/// it was let in, and demand is counted over half a second. Without this a
/// cut was repeated before its effect was seen, and what was let in went up
/// and down between 0.1 and 0.6 on a day with a lasting burst.
const PAST: usize = 5;

/// The part of the way to what fits that is gone up in a step. Down it is
/// gone at once: work that can't be finished harms what can.
const UP: f64 = 0.3;

/// Reserves that are taken off what the most urgent can have.
const URGENT_RESERVES: usize = 2;

/// Demand of the less urgent at the least, so that none divides by nothing.
const LEAST: f64 = 0.01;

/// How fast what a route takes is learned: half is forgotten after some 14
/// answers.
const LEARN: f64 = 0.05;

/// What counts as everything let in.
const ALL: f64 = 0.995;

/// The least count that says anything.
const COUNT_MIN: f64 = 4.0;

/// The part that is let in at the least, so that no class starves and the
/// way back is found.
pub(super) const FLOOR: f64 = 0.08;

/// The last priority of those that matter most.
pub(super) const URGENT: u8 = 1;

/// One route at one way in.
#[derive(Debug)]
pub(super) struct Gauge {
    pub(super) priority: u8,
    /// Requests that ended well of late, and those that lacked a call.
    pub(super) served: f64,
    pub(super) starved: f64,
    /// The part that is let in.
    pub(super) open: f64,
    /// What was let in over the last steps, the newest at the back.
    past: VecDeque<f64>,
    /// Steps for which the route is still taken to share in the trouble.
    pub(super) shares: u8,
    /// Milliseconds of a slot that a request takes of services below the one
    /// that it goes to, as far as any was answered.
    pub(super) takes: Map<Key, f64>,
    /// The same of the service that it goes to; there may be several in turn.
    pub(super) own: Map<Key, f64>,
    /// Whether the repeats that are left bring its requests to their end.
    pub(super) cover: Cover,
}

impl Gauge {
    pub(super) fn new(priority: u8) -> Gauge {
        Gauge {
            priority,
            served: 0.0,
            starved: 0.0,
            open: 1.0,
            past: VecDeque::new(),
            shares: 0,
            takes: Map::default(),
            own: Map::default(),
            cover: Cover::default(),
        }
    }

    pub(super) fn failing(&self) -> f64 {
        let count = self.served + self.starved;
        match count < COUNT_MIN {
            true => 0.0,
            false => self.starved / count,
        }
    }

    pub(super) fn is_urgent(&self) -> bool {
        self.priority <= URGENT
    }

    /// What was let in when the demand of now began.
    pub(super) fn past(&self) -> f64 {
        match self.past.is_empty() {
            true => self.open,
            false => self.past.iter().sum::<f64>() / self.past.len() as f64,
        }
    }

    pub(super) fn remember(&mut self) {
        if self.past.len() == PAST {
            self.past.pop_front();
        }
        self.past.push_back(self.open);
    }

    /// Goes towards letting in so many times what led to the demand of now.
    pub(super) fn fit(&mut self, factor: f64) {
        let aim = (self.past() * factor).clamp(FLOOR, 1.0);
        match aim < self.open {
            true => self.open = aim,
            false => self.open += (aim - self.open) * UP,
        }
        if self.open > ALL {
            self.open = 1.0;
        }
    }

    pub(super) fn learn(&mut self, footprint: &Footprint, own: Key) {
        for key in footprint.keys() {
            let span = footprint.span(key).0 as f64;
            let takes = match key == own {
                true => &mut self.own,
                false => {
                    self.cover.learn(key, footprint.runs(key), LEARN);
                    &mut self.takes
                }
            };
            let known = takes.entry(key).or_insert(span);
            *known += (span - *known) * LEARN;
        }
    }

    /// How many times what it lets in now fits: that of the service that is
    /// shortest among those that it leads to, or of the worst one while it
    /// is not known where it leads.
    pub(super) fn factor(&self, pressures: &Pressures, hidden: f64) -> f64 {
        let of = |p: &Pressure| factor(p, p.demand.max(hidden));
        if self.takes.is_empty() {
            return of(&pressures.worst);
        }
        let met = self.takes.keys();
        let met = met.filter_map(|key| pressures.by_service.get(key));
        met.map(of).fold(f64::INFINITY, f64::min)
    }

    /// True if the demand of the least urgent is to be fitted here.
    pub(super) fn is_fitted(&self) -> bool {
        let known = !self.takes.is_empty();
        !self.is_urgent() && (known || self.shares > 0)
    }

    pub(super) fn can_be_cut(&self) -> bool {
        self.shares > 0 && self.open > FLOOR
    }
}

/// How many times the demand of calls for the less urgent fits.
///
/// What is asked for directly is counted up to its reserve. Otherwise the whole
/// reserve would be kept free, where few ask directly as well.
fn factor(pressure: &Pressure, demand: f64) -> f64 {
    let all = demand * bulkhead::unreserved_share(1);
    let urgent = pressure.urgent * bulkhead::unreserved_share(URGENT_RESERVES);
    let room = 1.0 - pressure.least_urgent.min(KEPT);
    let supply = (AIM * room - urgent).max(KEPT);
    supply / (all - urgent).max(LEAST)
}
