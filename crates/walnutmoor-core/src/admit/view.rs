//! Admission state of an entry node: the levels that servers last reported,
//! and the services on the path of each class.

use serde::{Deserialize, Serialize};

use super::Level;
use crate::{
    class::{Key, STEPS_PER_RANK},
    digest::Map,
    id::{self, NodeId, Service},
    time::Millis,
};

/// An admission level reported by the node of one server.
///
/// A report is forwarded with its origin and age, never as the level of the
/// forwarding node. Otherwise nodes that call each other could keep an
/// outdated level alive.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// The node that reported the level.
    pub origin: NodeId,
    /// The service of its backend server.
    pub service: Service,
    /// The level; `None` if the service is on the path but its level is not
    /// known.
    pub level: Option<Level>,
    /// The time since the origin reported it.
    pub age: Millis,
}

/// The age at which a report becomes stale.
const STALE_AFTER: Millis = Millis(1_000);

/// Steps per second by which a stale level is raised. Without new reports a
/// class reopens gradually within about a second.
const REOPEN_STEPS_PER_SEC: u64 = STEPS_PER_RANK as u64;

/// The maximum number of reports forwarded for one service.
const MAX_FORWARDED_REPORTS: usize = 3;

/// The maximum number of origins kept for a service. The most recent are kept.
const MAX_ORIGINS: usize = 8;

/// The maximum number of services kept.
const MAX_SERVICES: usize = 2_048;

/// The maximum number of services kept on one path. Call chains are up to 29
/// deep.
pub const MAX_PATH_SERVICES: usize = 32;

/// The maximum number of paths kept.
const MAX_PATHS: usize = 4_096;

/// The time after which a service that was not called is removed from a path.
const PATH_ENTRY_TTL: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct ReportedLevel {
    origin: NodeId,
    level: Level,
    at: Millis,
}

/// The admission level of a class that enters at a service, for display.
#[derive(Clone, Debug, Serialize)]
pub struct PathLevel {
    /// The class.
    pub class: id::Class,
    /// The service at which it enters.
    pub entry: Service,
    /// The strictest level on its path, formatted.
    pub level: String,
}

/// The levels and paths that an entry node knows.
#[derive(Debug, Default)]
pub struct View {
    levels: Map<Service, Vec<ReportedLevel>>,
    paths: Map<(id::Class, Service), Vec<(Service, Millis)>>,
}

impl View {
    /// Creates an empty view, in which every level is open.
    pub fn new() -> View {
        View::default()
    }

    /// Records a level reported by a server's node.
    pub fn record_report(&mut self, now: Millis, report: &Report) {
        let Some(level) = report.level else { return };
        let known = self.levels.len();
        if known >= MAX_SERVICES && !self.levels.contains_key(&report.service)
        {
            return;
        }
        let list = self.levels.entry(report.service.clone()).or_default();
        let origin = report.origin;
        let at = Millis(now.0.saturating_sub(report.age.0));
        let reported = ReportedLevel { origin, level, at };
        if let Some(old) = list.iter_mut().find(|r| r.origin == origin) {
            if old.at <= at {
                *old = reported;
            }
        } else if list.len() < MAX_ORIGINS {
            list.push(reported);
        } else if let Some(old) = list.iter_mut().min_by_key(|r| r.at) {
            *old = reported;
        }
    }

    /// Returns the level of a service: the median of the levels that its
    /// servers reported recently, so that a single outlier has no effect. If
    /// all reports are stale, the latest one is raised gradually.
    pub fn level(&self, now: Millis, service: &Service) -> Level {
        let Some(list) = self.levels.get(service) else {
            return Level::OPEN;
        };
        let fresh = list.iter().filter(|r| now.since(r.at) < STALE_AFTER);
        let mut fresh: Vec<Level> = fresh.map(|r| r.level).collect();
        if fresh.is_empty() {
            let last = list.iter().max_by_key(|r| r.at);
            return last.map_or(Level::OPEN, |r| reopened(r, now));
        }
        fresh.sort();
        // Of an even number the higher median is taken: the load balancer can
        // use the server with room, and the queue of the other evicts its
        // lowest-ranked calls.
        fresh[fresh.len() / 2]
    }

    /// Records that a class entering at `entry` also calls `passed`.
    pub fn record_path(
        &mut self,
        now: Millis,
        class: &id::Class,
        entry: &Service,
        passed: &Service,
    ) {
        let path = (class.clone(), entry.clone());
        if !self.paths.contains_key(&path) && self.paths.len() >= MAX_PATHS {
            return;
        }
        let list = self.paths.entry(path).or_default();
        if let Some(old) = list.iter_mut().find(|(s, _)| s == passed) {
            old.1 = now;
            return;
        }
        list.retain(|(_, at)| now.since(*at) < PATH_ENTRY_TTL);
        if list.len() < MAX_PATH_SERVICES {
            list.push((passed.clone(), now));
        }
    }

    /// Returns the strictest level on the path of a class that enters at a
    /// service.
    pub fn strictest_level(
        &self,
        now: Millis,
        class: &id::Class,
        entry: &Service,
    ) -> Level {
        let own_level = self.level(now, entry);
        let path = (class.clone(), entry.clone());
        let Some(list) = self.paths.get(&path) else { return own_level };
        let recent = |at: &Millis| now.since(*at) < PATH_ENTRY_TTL;
        list.iter()
            .filter(|(_, at)| recent(at))
            .map(|(service, _)| self.level(now, service))
            .fold(own_level, Level::min)
    }

    /// Returns the most recent reports of a service that this node calls, to
    /// be forwarded to its own callers.
    pub fn reports(&self, now: Millis, service: &Service) -> Vec<Report> {
        let list = self.levels.get(service).map_or(&[][..], |list| list);
        let fresh = list.iter().filter(|r| now.since(r.at) < STALE_AFTER);
        let mut fresh: Vec<&ReportedLevel> = fresh.collect();
        fresh.sort_by_key(|r| std::cmp::Reverse(r.at));
        fresh.truncate(MAX_FORWARDED_REPORTS);
        let report = |reported: &&ReportedLevel| Report {
            origin: reported.origin,
            service: service.clone(),
            level: Some(reported.level),
            age: now.since(reported.at),
        };
        fresh.iter().map(report).collect()
    }

    /// Returns the level of each known path, sorted by class and entry.
    pub fn path_levels(&self, now: Millis) -> Vec<PathLevel> {
        let mut levels: Vec<PathLevel> = self
            .paths
            .keys()
            .map(|(class, entry)| PathLevel {
                class: class.clone(),
                entry: entry.clone(),
                level: self.strictest_level(now, class, entry).to_string(),
            })
            .collect();
        levels.sort_by(|a, b| (&a.class, &a.entry).cmp(&(&b.class, &b.entry)));
        levels
    }

    /// Returns the retry delay for a refused request: the time until the level
    /// would reach its key at the rate at which stale levels reopen.
    pub fn retry_delay(&self, level: Level, key: Key) -> Millis {
        let steps = key.index().saturating_sub(usize::from(level.0)) as u64;
        let steps = steps.min(2 * STEPS_PER_RANK as u64);
        Millis(STALE_AFTER.0 / 4 + steps * 1_000 / REOPEN_STEPS_PER_SEC)
    }
}

fn reopened(reported: &ReportedLevel, now: Millis) -> Level {
    let stale = now.since(reported.at).since(STALE_AFTER);
    let steps = stale.0 * REOPEN_STEPS_PER_SEC / 1_000;
    reported.level.raised(steps.min(u64::from(u16::MAX)) as u16)
}
