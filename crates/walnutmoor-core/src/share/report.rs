/*!
The largest accounts at one instance, as its node reports them.
*/

use serde::{Deserialize, Serialize};

use super::Key;
use crate::{digest::Set, time::Millis};

/// The number of accounts that a report lists at most.
pub const MAX_LISTED: usize = 8;

/// Thousandths per unit.
const THOUSANDTHS: f64 = 1_000.0;

/// The largest plausible demand of one instance, in slots: 64 times that of
/// 4,096 slots, where 64 is the largest weight.
const MAX_DEMAND_SLOTS: f64 = 262_144.0;

/// A report that cannot be true.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Implausible {
    /// It lists too many accounts, or more than it counts.
    #[error("it lists {0} accounts")]
    Listed(usize),
    /// It lists an account twice.
    #[error("it lists an account twice")]
    Repeated,
    /// The fractions of the listed accounts exceed the whole.
    #[error("the accounts have {0} thousandths of the demand")]
    Fractions(u32),
    /// The accounts are not listed by their demand.
    #[error("the accounts are not the largest")]
    Order,
    /// The demand is zero or larger than any instance could get.
    #[error("the demand is {0} thousandths of a slot")]
    Demand(u32),
}

/// The demand of the largest accounts at one instance.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// When it was sent, on the clock of the sender. Only the time between
    /// two reports of one sender is used.
    pub sent_at: Millis,
    /// The demand of all accounts, in thousandths of a slot.
    pub demand: u32,
    /// The largest accounts and their fractions of the demand in thousandths,
    /// largest first.
    pub accounts: Vec<(Key, u16)>,
    /// The number of accounts with any demand.
    pub count: u16,
}

impl Report {
    /// Creates a report from the slots that all accounts demand, largest
    /// first. `None` if there is no demand.
    pub fn new(now: Millis, demands: &[(Key, f64)]) -> Option<Report> {
        let total: f64 = demands.iter().map(|(_, demand)| demand).sum();
        if total * THOUSANDTHS < 1.0 {
            return None;
        }
        let listed = demands.iter().take(MAX_LISTED);
        let fraction = |demand: f64| (demand / total * THOUSANDTHS) as u16;
        let accounts = listed.map(|(key, demand)| (*key, fraction(*demand)));
        Some(Report {
            sent_at: now,
            demand: (total.min(MAX_DEMAND_SLOTS) * THOUSANDTHS) as u32,
            accounts: accounts.collect(),
            count: u16::try_from(demands.len()).unwrap_or(u16::MAX),
        })
    }

    /// Returns the demand of all accounts, in slots.
    pub fn slots(&self) -> f64 {
        f64::from(self.demand) / THOUSANDTHS
    }

    /// Returns the listed accounts with their demand in slots, largest first.
    pub fn demands(&self) -> impl Iterator<Item = (Key, f64)> {
        let slots = self.slots();
        self.accounts.iter().map(move |(key, fraction)| {
            (*key, slots * f64::from(*fraction) / THOUSANDTHS)
        })
    }

    /// Checks that the report can be true.
    ///
    /// # Errors
    ///
    /// If it cannot; its values must not be used then.
    pub fn check(&self) -> Result<(), Implausible> {
        let listed = self.accounts.len();
        if listed > MAX_LISTED || listed > usize::from(self.count) {
            return Err(Implausible::Listed(listed));
        }
        let keys: Set<Key> = self.accounts.iter().map(|(k, _)| *k).collect();
        if keys.len() < listed {
            return Err(Implausible::Repeated);
        }
        let max_demand = (MAX_DEMAND_SLOTS * THOUSANDTHS) as u32;
        if self.demand == 0 || self.demand > max_demand {
            return Err(Implausible::Demand(self.demand));
        }
        let fractions = self.accounts.iter().map(|(_, f)| u32::from(*f));
        let sum: u32 = fractions.clone().sum();
        if sum > THOUSANDTHS as u32 {
            return Err(Implausible::Fractions(sum));
        }
        self.check_order(sum)
    }

    /// Checks that no account is larger than one listed before it. `sum` is
    /// that of the listed fractions.
    fn check_order(&self, sum: u32) -> Result<(), Implausible> {
        let sorted = self.accounts.is_sorted_by(|(_, a), (_, b)| a >= b);
        let smallest = self.accounts.last().map_or(0, |(_, f)| *f);
        let listed = self.accounts.len() as u32;
        let unlisted = u32::from(self.count) - listed;
        // Listed fractions are rounded down, by less than one each.
        let most = (u32::from(smallest) + 1) * unlisted + listed;
        match sorted && THOUSANDTHS as u32 - sum <= most {
            true => Ok(()),
            false => Err(Implausible::Order),
        }
    }

    /// Returns true if this report says about the same as an earlier one.
    pub(super) fn is_like(&self, other: &Report) -> bool {
        /// The change of the demand that is worth a report.
        const DEMAND_CHANGE: f64 = 0.05;
        /// The change of a fraction that is worth a report, in thousandths.
        const FRACTION_CHANGE: u16 = 20;
        let change = f64::from(self.demand.abs_diff(other.demand));
        let by_key = |(key, fraction): &(Key, u16)| {
            let former = other.accounts.iter().find(|(other, _)| other == key);
            let former = former.map_or(0, |(_, fraction)| *fraction);
            fraction.abs_diff(former) <= FRACTION_CHANGE
        };
        change <= f64::from(other.demand) * DEMAND_CHANGE
            && self.accounts.iter().all(by_key)
    }
}
