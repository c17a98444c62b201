//! What a way in knows: the levels that servers last reported, and the
//! services that each class was seen to pass.

use serde::{Deserialize, Serialize};

use super::Level;
use crate::{
    class::{Key, STEPS},
    digest::Map,
    id::{self, NodeId, Service},
    time::Millis,
};

/// A level that one server's node reports.
///
/// A report is passed on with its origin and its age, never as a word of
/// whoever passes it on. Views that passed on their own medians were tried:
/// nodes that call each other kept an old level alive between them long
/// after every server had opened.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// The node beside the server.
    pub origin: NodeId,
    /// Of which service.
    pub service: Service,
    /// The level; `None` if the path passes there but nothing was heard.
    pub level: Option<Level>,
    /// How long ago the origin said so.
    pub age: Millis,
}

/// A report older than this is no longer trusted as it stands.
const FRESH: Millis = Millis(1_000);

/// Steps by which a stale report is raised each second: silence reopens a
/// class in about a second, a ramp and not a jump.
const REOPEN: u64 = STEPS as u64;

/// How many reports of one service are passed on.
const PASSED_ON: usize = 3;

/// The most origins kept for a service; the freshest stay.
const ORIGINS_MAX: usize = 8;

/// The most services kept.
const SERVICES_MAX: usize = 2_048;

/// The most services kept on one path. The brief's chains are up to 29 deep.
pub const PATH_MAX: usize = 32;

/// The most paths kept.
const PATHS_MAX: usize = 4_096;

/// A service not seen on a path for so long is off it.
const OFF_PATH: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct Heard {
    origin: NodeId,
    level: Level,
    at: Millis,
}

/// What a class meets that enters at a service, as operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct Way {
    /// The class.
    pub class: id::Class,
    /// Where it enters.
    pub entry: Service,
    /// The strictest level on its path.
    pub level: String,
}

/// A way in's knowledge of levels and paths.
#[derive(Debug, Default)]
pub struct View {
    levels: Map<Service, Vec<Heard>>,
    paths: Map<(id::Class, Service), Vec<(Service, Millis)>>,
}

impl View {
    /// Knows nothing: everything is open.
    pub fn new() -> View {
        View::default()
    }

    /// Takes a report.
    pub fn hear(&mut self, now: Millis, report: &Report) {
        let Some(level) = report.level else { return };
        let known = self.levels.len();
        if known >= SERVICES_MAX && !self.levels.contains_key(&report.service)
        {
            return;
        }
        let list = self.levels.entry(report.service.clone()).or_default();
        let origin = report.origin;
        let at = Millis(now.0.saturating_sub(report.age.0));
        let heard = Heard { origin, level, at };
        if let Some(old) = list.iter_mut().find(|h| h.origin == origin) {
            if old.at <= at {
                *old = heard;
            }
        } else if list.len() < ORIGINS_MAX {
            list.push(heard);
        } else if let Some(old) = list.iter_mut().min_by_key(|h| h.at) {
            *old = heard;
        }
    }

    /// The level of one service: the median of what its servers say, for a
    /// request may reach any of them and one that stands apart must not
    /// decide. Silence reopens it on a ramp.
    pub fn level(&self, now: Millis, service: &Service) -> Level {
        let Some(list) = self.levels.get(service) else {
            return Level::OPEN;
        };
        let fresh = list.iter().filter(|h| now.since(h.at) < FRESH);
        let mut fresh: Vec<Level> = fresh.map(|h| h.level).collect();
        if fresh.is_empty() {
            let last = list.iter().max_by_key(|h| h.at);
            return last.map_or(Level::OPEN, |h| aged(h, now));
        }
        fresh.sort();
        // Of two, the higher: a server that has room takes the call, and the
        // queue of one that has not gives up from the bottom.
        fresh[fresh.len() / 2]
    }

    /// Notes that a class entering at one service also passed another.
    pub fn pass(
        &mut self,
        now: Millis,
        class: &id::Class,
        entry: &Service,
        passed: &Service,
    ) {
        let path = (class.clone(), entry.clone());
        if !self.paths.contains_key(&path) && self.paths.len() >= PATHS_MAX {
            return;
        }
        let list = self.paths.entry(path).or_default();
        if let Some(old) = list.iter_mut().find(|(s, _)| s == passed) {
            old.1 = now;
            return;
        }
        list.retain(|(_, at)| now.since(*at) < OFF_PATH);
        if list.len() < PATH_MAX {
            list.push((passed.clone(), now));
        }
    }

    /// The strictest level for a class that enters at a service.
    pub fn strictest(
        &self,
        now: Millis,
        class: &id::Class,
        entry: &Service,
    ) -> Level {
        let own = self.level(now, entry);
        let path = (class.clone(), entry.clone());
        let Some(list) = self.paths.get(&path) else { return own };
        let recent = |at: &Millis| now.since(*at) < OFF_PATH;
        list.iter()
            .filter(|(_, at)| recent(at))
            .map(|(service, _)| self.level(now, service))
            .fold(own, Level::min)
    }

    /// The freshest reports of a service that this node calls, to be passed
    /// on: enough for a median.
    pub fn reports(&self, now: Millis, service: &Service) -> Vec<Report> {
        let list = self.levels.get(service).map_or(&[][..], |list| list);
        let fresh = list.iter().filter(|h| now.since(h.at) < FRESH);
        let mut fresh: Vec<&Heard> = fresh.collect();
        fresh.sort_by_key(|h| std::cmp::Reverse(h.at));
        fresh.truncate(PASSED_ON);
        let report = |heard: &&Heard| Report {
            origin: heard.origin,
            service: service.clone(),
            level: Some(heard.level),
            age: now.since(heard.at),
        };
        fresh.iter().map(report).collect()
    }

    /// The level of each path that was seen lately, in order.
    pub fn ways(&self, now: Millis) -> Vec<Way> {
        let mut ways: Vec<Way> = self
            .paths
            .keys()
            .map(|(class, entry)| Way {
                class: class.clone(),
                entry: entry.clone(),
                level: self.strictest(now, class, entry).to_string(),
            })
            .collect();
        ways.sort_by(|a, b| (&a.class, &a.entry).cmp(&(&b.class, &b.entry)));
        ways
    }

    /// How long a refused request should stay away: until the level would
    /// reach its key at the pace at which levels reopen.
    pub fn distance(&self, level: Level, key: Key) -> Millis {
        let steps = key.index().saturating_sub(usize::from(level.0)) as u64;
        let steps = steps.min(2 * STEPS as u64);
        Millis(FRESH.0 / 4 + steps * 1_000 / REOPEN)
    }
}

fn aged(heard: &Heard, now: Millis) -> Level {
    let stale = now.since(heard.at).since(FRESH);
    let steps = stale.0 * REOPEN / 1_000;
    heard.level.raised(steps.min(u64::from(u16::MAX)) as u16)
}
