/*!
Profiles of routes that other nodes have observed, until this node has observed
enough answers itself.

While a route is known from others only, its own answers are collected apart
from what was heard. Once there are enough of them, they replace it. The older
the heard profile, the fewer answers replace it.
*/

use super::{
    Throttle,
    completion::CallProfile,
    route::{Route, observe},
};
use crate::{
    digest::Map,
    footprint::{Footprint, Key},
    profile::{
        LEARNED_ANSWERS, MAX_PROFILES, MAX_USAGES, Profile, Usage, Weight,
    },
    time::Millis,
};

/// The interval at which [`Throttle::step`] is called.
const STEP: Millis = Millis(200);

/// What was heard about a route, and the own answers since.
#[derive(Debug)]
struct Heard {
    weight: Weight,
    /// The sum of the weights of the reports from which it was averaged.
    reports: f64,
    answers: u32,
    own: Means,
}

/// Means over the answers of a route.
#[derive(Debug, Default)]
struct Means {
    slot_ms: Map<Key, f64>,
    own_slot_ms: Map<Key, f64>,
    profile: CallProfile,
    own_profile: CallProfile,
}

/// How often a route was answered, and how long ago.
#[derive(Debug, Default)]
pub(super) struct Record {
    answers: u32,
    steps_since: u32,
    heard: Option<Heard>,
}

impl Record {
    /// Counts an answer. Returns true if the route is learned by it, and not
    /// known from others.
    pub(super) fn count(&mut self) -> bool {
        self.answers = self.answers.saturating_add(1);
        self.steps_since = 0;
        self.answers == LEARNED_ANSWERS && self.heard.is_none()
    }

    /// The time since the last answer, if the route was learned here.
    fn age(&self) -> Option<Millis> {
        let is_own = self.answers >= LEARNED_ANSWERS && self.heard.is_none();
        is_own.then_some(Millis(u64::from(self.steps_since) * STEP.0))
    }
}

impl Route {
    /// Records an answer while the route is known from others. Returns false
    /// if it is not.
    pub(super) fn observe_apart(
        &mut self,
        footprint: &Footprint,
        target: Key,
    ) -> bool {
        let Some(heard) = &mut self.record.heard else {
            return false;
        };
        heard.answers += 1;
        heard.own.observe(footprint, target);
        if heard.answers >= heard.weight.answers() {
            self.forget_heard();
        }
        true
    }

    /// Replaces what was heard by what was observed since.
    fn forget_heard(&mut self) {
        if let Some(heard) = self.record.heard.take() {
            self.slot_ms = heard.own.slot_ms;
            self.own_slot_ms = heard.own.own_slot_ms;
            self.profile = heard.own.profile;
            self.own_profile = heard.own.own_profile;
        }
    }

    /// Ages the route by one step.
    pub(super) fn advance(&mut self) {
        self.record.steps_since = self.record.steps_since.saturating_add(1);
        let Some(heard) = &mut self.record.heard else {
            return;
        };
        heard.weight = heard.weight.after(STEP);
        heard.reports *= Weight::of(STEP).fraction();
        if !heard.weight.is_usable() {
            self.forget_heard();
        }
    }

    /// Averages a profile into what was heard. Returns false if the route was
    /// observed here or the profile is too old.
    fn adopt(&mut self, profile: &Profile) -> bool {
        let weight = profile.weight();
        if self.record.answers > 0 || !weight.is_usable() {
            return false;
        }
        let heard = self.record.heard.get_or_insert_with(|| Heard {
            weight,
            reports: 0.0,
            answers: 0,
            own: Means::default(),
        });
        if weight > heard.weight {
            heard.weight = weight;
        }
        heard.reports += weight.fraction();
        let part = weight.fraction() / heard.reports;
        for usage in &profile.usages {
            self.average(usage, part);
        }
        true
    }

    fn average(&mut self, usage: &Usage, part: f64) {
        let means = match usage.is_direct {
            true => &mut self.own_slot_ms,
            false => &mut self.slot_ms,
        };
        if means.len() >= MAX_USAGES && !means.contains_key(&usage.key) {
            return;
        }
        let slot_ms = f64::from(usage.slot_ms);
        let mean = means.entry(usage.key).or_insert(slot_ms);
        *mean += (slot_ms - *mean) * part;
        let profile = match usage.is_direct {
            true => &mut self.own_profile,
            false => &mut self.profile,
        };
        profile.average(usage.key, f64::from(usage.runs), part);
    }

    /// The profile of the route, if it was learned here and is recent.
    fn export(&self, name: &str) -> Option<Profile> {
        let age = self.record.age()?;
        if !Weight::of(age).is_usable() {
            return None;
        }
        let direct = self.own_slot_ms.iter().map(|(key, slot_ms)| Usage {
            key: *key,
            slot_ms: *slot_ms as f32,
            runs: self.own_profile.runs(*key) as f32,
            is_direct: true,
        });
        let nested = self.slot_ms.iter().map(|(key, slot_ms)| Usage {
            key: *key,
            slot_ms: *slot_ms as f32,
            runs: self.profile.runs(*key) as f32,
            is_direct: false,
        });
        let usages = nested.chain(direct).take(MAX_USAGES).collect();
        Some(Profile { route: name.to_string(), age, usages })
    }
}

impl Means {
    fn observe(&mut self, footprint: &Footprint, target: Key) {
        let called = (&mut self.slot_ms, &mut self.profile);
        let own = (&mut self.own_slot_ms, &mut self.own_profile);
        observe(called, own, footprint, target);
    }
}

impl Throttle {
    /// Records that a route is learned, until [`Throttle::take_learned`].
    pub(super) fn record_learned(&mut self, route: &str) {
        if self.learned.len() < MAX_PROFILES {
            self.learned.push(route.to_string());
        }
    }

    /// Takes the profiles of the routes that were learned since the last call
    /// and were not known from others.
    pub fn take_learned(&mut self) -> Vec<Profile> {
        let learned = std::mem::take(&mut self.learned).into_iter();
        let export = |name: String| self.routes.get(&name)?.export(&name);
        learned.filter_map(export).collect()
    }

    /// The profiles of the routes that were learned here, the most recent
    /// first. Routes are left out unless `is_current`.
    pub fn export(&self, is_current: impl Fn(&str) -> bool) -> Vec<Profile> {
        let current = self.routes.iter().filter(|(name, _)| is_current(name));
        let mut all: Vec<Profile> =
            current.filter_map(|(name, state)| state.export(name)).collect();
        all.sort_by(|a, b| (a.age, &a.route).cmp(&(b.age, &b.route)));
        all.truncate(MAX_PROFILES);
        all
    }

    /// Adopts a profile that another node has observed, for a route of this
    /// priority. Returns false if the route was observed here or the profile
    /// is too old.
    pub fn adopt(&mut self, priority: u8, profile: &Profile) -> bool {
        if !profile.weight().is_usable() {
            return false;
        }
        self.entry(&profile.route, priority).adopt(profile)
    }

    /// True if a route is known only from other nodes.
    pub fn is_heard(&self, route: &str) -> bool {
        let state = self.routes.get(route);
        state.is_some_and(|state| state.record.heard.is_some())
    }
}
