/*!
The reports that a node has received, and what they mean for accounts.

Several short services may lie on the path of a route. The service that admits
least of an account decides.
*/

use super::{Implausible, Key, Level, Report};
use crate::{digest::Map, footprint, id::NodeId, time::Millis};

/// How long a report is valid.
const EXPIRY: Millis = Millis(2_000);

/// The number of nodes whose reports are kept at most.
const MAX_REPORTERS: usize = 4_096;

/// The smallest admitted fraction of an account, so that it is noticed when
/// the account demands less. It is the inverse of the largest weight.
const MIN_FRACTION: f64 = 1.0 / 64.0;

/// Why a report was discarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Discarded {
    /// It cannot be true.
    #[error("implausible: {0}")]
    Implausible(#[from] Implausible),
    /// It was under way for this long.
    #[error("late by {0}")]
    Late(Millis),
    /// It is older than the last one of its sender.
    #[error("older than the last one")]
    Outdated,
    /// Reports of too many nodes are kept.
    #[error("too many nodes report")]
    Full,
}

/// The outcome of a valid report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Recorded {
    /// The number of listed accounts that this node does not know. Their
    /// demand is left out.
    pub unknown: usize,
}

/// The demand of one account for a short service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: footprint::Key,
    /// The account.
    pub account: Key,
    /// Its demand before requests are refused at the ingress, in slots.
    pub demand: f64,
    /// Its fraction of the demand of all accounts.
    pub fraction: f64,
}

#[derive(Clone, Debug)]
struct Received {
    /// When it would have arrived without delay.
    at: Millis,
    report: Report,
}

/// What is known of a reporting node.
#[derive(Clone, Copy, Debug)]
struct Reporter {
    service: footprint::Key,
    /// The time here less the time there at the arrival of the fastest report,
    /// in milliseconds.
    offset: f64,
    last_sent_at: Millis,
}

/// How far two clocks may drift apart, as a fraction. Without this allowance
/// all reports of a node with a slow clock would seem late after some hours.
const MAX_DRIFT: f64 = 0.000_2;

impl Reporter {
    /// How long a report was under way, compared with the fastest one. A
    /// report that waited out a partition is recognized by this.
    fn delay(&mut self, now: Millis, sent_at: Millis) -> Millis {
        let span = sent_at.since(self.last_sent_at).0 as f64;
        let offset = now.0 as f64 - sent_at.0 as f64;
        self.offset = (self.offset + span * MAX_DRIFT).min(offset);
        self.last_sent_at = sent_at;
        Millis((offset - self.offset).round() as u64)
    }
}

/// The demand for one service, from the reports of all of its instances.
#[derive(Clone, Debug, Default)]
struct Merged {
    /// The listed accounts and their demand, largest first.
    listed: Vec<(Key, f64)>,
    /// The demand of one account that is not listed, and the number of them.
    unlisted: (f64, f64),
    /// When the last report expires.
    expires_at: Millis,
}

impl Merged {
    fn of<'a>(
        reports: impl Iterator<Item = &'a Received> + Clone,
    ) -> Option<Merged> {
        let last = reports.clone().map(|received| received.at).max()?;
        let mut listed: Map<Key, f64> = Map::default();
        for received in reports.clone() {
            for (key, demand) in received.report.demands() {
                *listed.entry(key).or_default() += demand;
            }
        }
        let unlisted = reports.map(|Received { report, .. }| {
            let listed: f64 = report.demands().map(|(_, slots)| slots).sum();
            let count = usize::from(report.count) - report.accounts.len();
            (report.slots() - listed, count)
        });
        let (rest, count) = unlisted
            .fold((0.0, 0), |(rest, most), (demand, count)| {
                (rest + demand, most.max(count))
            });
        let count = count as f64;
        let mean = if count > 0.0 { rest / count } else { 0.0 };
        let mut listed: Vec<(Key, f64)> = listed.into_iter().collect();
        listed.sort_by(|(a, x), (b, y)| y.total_cmp(x).then(a.cmp(b)));
        let expires_at = last + EXPIRY;
        Some(Merged { listed, unlisted: (mean, count), expires_at })
    }

    /// The admitted fraction of an account if this fraction of the demand is
    /// admitted.
    fn fraction(&self, account: Key, fraction: f64) -> f64 {
        let level = self.level(fraction);
        let known = self.listed.iter().find(|(key, _)| *key == account);
        let demand = known.map_or(self.unlisted.0, |(_, demand)| *demand);
        level.admitted(demand)
    }

    fn level(&self, fraction: f64) -> Level {
        let (mean, count) = self.unlisted;
        let is_smaller = |(_, demand): &&(Key, f64)| *demand < mean;
        let smaller = self.listed.iter().rev().take_while(is_smaller).count();
        let single = |(_, demand): &(Key, f64)| (*demand, 1.0);
        let below = self.listed.iter().rev().take(smaller).map(single);
        let above = self.listed.iter().rev().skip(smaller).map(single);
        let groups = below.chain([(mean, count)]).chain(above);
        Level::of_groups(groups, fraction)
    }
}

/// The reports of all instances of a service.
#[derive(Clone, Debug, Default)]
struct Instances {
    reports: Map<NodeId, Received>,
    merged: Merged,
}

impl Instances {
    fn merge(&mut self) {
        self.merged = Merged::of(self.reports.values()).unwrap_or_default();
    }
}

/// The reports of other nodes that are valid.
#[derive(Clone, Debug, Default)]
pub struct View {
    reporters: Map<NodeId, Reporter>,
    services: Map<footprint::Key, Instances>,
}

impl View {
    /// Creates a view without reports.
    pub fn new() -> View {
        View::default()
    }

    /// Records the report of a node about its instance of a service. Demand of
    /// accounts that this node does not know is left out.
    ///
    /// # Errors
    ///
    /// If the report is discarded, which has no effect on other reports.
    pub fn record(
        &mut self,
        now: Millis,
        node: NodeId,
        service: footprint::Key,
        mut report: Report,
        is_known: impl Fn(Key) -> bool,
    ) -> Result<Recorded, Discarded> {
        report.check()?;
        let delay = self.delay(now, node, service, &report)?;
        if delay >= EXPIRY {
            return Err(Discarded::Late(delay));
        }
        let unknown = leave_out_unknown(&mut report, is_known);
        let received = Received { at: now - delay, report };
        let instances = self.services.entry(service).or_default();
        instances.reports.insert(node, received);
        instances.merge();
        Ok(Recorded { unknown })
    }

    fn delay(
        &mut self,
        now: Millis,
        node: NodeId,
        service: footprint::Key,
        report: &Report,
    ) -> Result<Millis, Discarded> {
        let known = self.reporters.get(&node);
        if known.is_some_and(|known| known.service != service) {
            self.forget(node);
        }
        let is_full = self.reporters.len() >= MAX_REPORTERS;
        if is_full && !self.reporters.contains_key(&node) {
            return Err(Discarded::Full);
        }
        let sent_at = report.sent_at;
        let offset = now.0 as f64 - sent_at.0 as f64;
        let first = Reporter { service, offset, last_sent_at: sent_at };
        let reporter = self.reporters.entry(node).or_insert(first);
        match sent_at < reporter.last_sent_at {
            true => Err(Discarded::Outdated),
            false => Ok(reporter.delay(now, sent_at)),
        }
    }

    /// Removes the report of a node and what is known of its clock. Called
    /// when the link to it is opened, as it may have restarted.
    pub fn forget(&mut self, node: NodeId) {
        let Some(reporter) = self.reporters.remove(&node) else {
            return;
        };
        if let Some(instances) = self.services.get_mut(&reporter.service) {
            instances.reports.remove(&node);
            instances.merge();
        }
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now: Millis) {
        self.services.retain(|_, instances| {
            let count = instances.reports.len();
            instances.reports.retain(|_, report| now < report.at + EXPIRY);
            if instances.reports.len() < count {
                instances.merge();
            }
            !instances.reports.is_empty()
        });
    }

    /// Returns the fraction of an account's requests that is admitted if
    /// `fraction` is that of all requests to these services. No services
    /// means that the path is not known; all short ones count then.
    ///
    /// It is `fraction` if no valid report is known.
    pub fn fraction(
        &self,
        now: Millis,
        services: &[footprint::Key],
        account: Key,
        fraction: f64,
    ) -> f64 {
        let own = self.own_fraction(now, services, account, fraction);
        own.map_or(fraction, |own| own.max(MIN_FRACTION))
    }

    /// The admitted fraction of an account, if any valid report is known.
    fn own_fraction(
        &self,
        now: Millis,
        services: &[footprint::Key],
        account: Key,
        fraction: f64,
    ) -> Option<f64> {
        let valid = self.services.iter().filter(|(service, instances)| {
            let is_relevant =
                services.is_empty() || services.contains(service);
            is_relevant && now < instances.merged.expires_at
        });
        let fractions = valid.map(|(_, instances)| {
            instances.merged.fraction(account, fraction)
        });
        fractions.reduce(f64::min)
    }

    /// Returns true if an account demands no more than its share of these
    /// services. Without a valid report every account does.
    pub fn is_within(
        &self,
        now: Millis,
        services: &[footprint::Key],
        account: Key,
        fraction: f64,
    ) -> bool {
        let own = self.own_fraction(now, services, account, fraction);
        own.is_none_or(|own| own >= 1.0)
    }

    /// Returns the largest accounts of all short services, for metrics and
    /// logs.
    pub fn shares(&self, now: Millis) -> Vec<Share> {
        let merged = self.services.iter().map(|(s, i)| (s, &i.merged));
        let valid = merged.filter(|(_, merged)| now < merged.expires_at);
        let shares = valid.flat_map(|(service, merged)| {
            let listed: f64 = merged.listed.iter().map(|(_, d)| d).sum();
            let total = listed + merged.unlisted.0 * merged.unlisted.1;
            merged.listed.iter().map(move |(account, demand)| Share {
                service: *service,
                account: *account,
                demand: *demand,
                fraction: demand / total,
            })
        });
        shares.collect()
    }
}

/// Removes accounts that this node does not know from a report, with their
/// demand: a false account with a large demand would otherwise admit all
/// others in full. Returns their number.
fn leave_out_unknown(
    report: &mut Report,
    is_known: impl Fn(Key) -> bool,
) -> usize {
    let total = report.demand;
    let listed = report.accounts.len();
    let demands: Vec<(Key, f64)> = report.demands().collect();
    let (known, unknown): (Vec<_>, Vec<_>) =
        demands.into_iter().partition(|(key, _)| is_known(*key));
    if unknown.is_empty() {
        return 0;
    }
    let lost: f64 = unknown.iter().map(|(_, demand)| demand * 1_000.0).sum();
    report.demand = total.saturating_sub(lost as u32);
    report.count -= unknown.len() as u16;
    let left = f64::from(report.demand) / 1_000.0;
    let fraction = |slots: f64| (slots / left.max(0.001) * 1_000.0) as u16;
    report.accounts =
        known.into_iter().map(|(k, slots)| (k, fraction(slots))).collect();
    listed - report.accounts.len()
}
