/*!
The demand up to which every account is served.
*/

use super::Key;

/// The water level of max-min fairness.
///
/// With the demands d of all accounts and the admitted fraction f of their
/// sum, it is the level L for which the sum of min(d, L) is f times the sum of
/// d.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level(f64);

impl Level {
    /// The level that serves every account in full.
    pub const UNLIMITED: Level = Level(f64::INFINITY);

    /// Computes the level for demands, largest first, and the admitted
    /// fraction of their sum.
    pub fn new(demands: &[(Key, f64)], fraction: f64) -> Level {
        let groups = demands.iter().rev().map(|(_, demand)| (*demand, 1.0));
        Level::of_groups(groups, fraction)
    }

    /// Computes the level for groups of accounts with equal demand, smallest
    /// demand first: the demand of one account, and the number of accounts.
    pub(super) fn of_groups(
        groups: impl Iterator<Item = (f64, f64)> + Clone,
        fraction: f64,
    ) -> Level {
        let sums = groups.clone().map(|(demand, count)| demand * count);
        let mut supply = sums.sum::<f64>() * fraction;
        let mut left: f64 = groups.clone().map(|(_, count)| count).sum();
        if fraction >= 1.0 {
            return Level::UNLIMITED;
        }
        for (demand, count) in groups {
            if demand * left > supply {
                return Level(supply / left);
            }
            supply -= demand * count;
            left -= count;
        }
        Level::UNLIMITED
    }

    /// Returns the level in slots; infinite if every account is served in
    /// full.
    pub fn slots(self) -> f64 {
        self.0
    }

    /// Returns the fraction of an account's demand that is served.
    pub fn admitted(self, demand: f64) -> f64 {
        match demand <= self.0 {
            true => 1.0,
            false => self.0 / demand,
        }
    }
}
