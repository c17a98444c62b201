/*!
Fair shares between client accounts: exchanges the reports of
[`walnutmoor_core::share`], and admits callers' requests by them.

Active only if the settings enable it, while the desired state has client
accounts.

# Example

```
use walnutmoor::mesh::shares::{Applicant, Shares};
use walnutmoor_core::{retry_budget::SampleKey, share::Weight, time::Millis};

// Without accounts in the desired state there are no shares.
let shares = Shares::new(true);
let applicant = Applicant {
    account: None,
    fraction: 0.5,
    is_retry: false,
    services: &[],
    sample_key: SampleKey::of("9c41"),
};
assert!(!shares.is_enabled());
assert_eq!(shares.fraction(Millis(0), &applicant), 0.5);
```
*/

use std::cell::{Cell, RefCell};

use serde_json::{Map as Object, Value};
use walnutmoor_core::{
    account::Directory,
    digest::Map,
    error::Kind,
    footprint,
    id::{Account, NodeId, Service},
    retry_budget::SampleKey,
    share::{self, Key, Publisher, Report, Root, View, Weight},
    throttle,
    time::Millis,
};

use super::journal::{Event, Journal};

/// The shortest time between two log lines about the same.
const LOG_INTERVAL: Millis = Millis(1_000);

/// The name of callers without an account in logs and metrics.
const NO_ACCOUNT: &str = "none";

/// A caller's request as far as shares are concerned.
#[derive(Clone, Copy, Debug)]
pub struct Applicant<'a> {
    /// Its account; `None` on public routes.
    pub account: Option<&'a Account>,
    /// The admitted fraction of its route.
    pub fraction: f64,
    /// True if it was probably refused before.
    pub is_retry: bool,
    /// The services that its route uses; empty if they are not known.
    pub services: &'a [footprint::Key],
    /// Its position in the sample of all requests.
    pub sample_key: SampleKey,
}

impl Applicant<'_> {
    fn key(&self) -> Key {
        self.account.map_or(Key::NO_ACCOUNT, Key::of)
    }
}

/// The shares of client accounts, as one node knows them.
#[derive(Debug, Default)]
pub struct Shares {
    is_allowed: bool,
    accounts: RefCell<Map<Key, Account>>,
    view: RefCell<View>,
    publisher: RefCell<Publisher>,
    sent: Cell<u64>,
    received: Cell<u64>,
    discarded: Cell<u64>,
    logged_sent_at: Cell<Option<Millis>>,
    logged_fault_at: Cell<Option<Millis>>,
}

impl Shares {
    /// Creates the shares of a node that has heard no report. `is_allowed`
    /// tells whether its settings enable them.
    pub fn new(is_allowed: bool) -> Shares {
        Shares { is_allowed, ..Shares::default() }
    }

    /// Adopts the accounts of a new desired state.
    pub fn set_accounts(&self, accounts: &Directory) {
        let names = accounts.names().into_iter();
        *self.accounts.borrow_mut() =
            names.map(|name| (Key::of(&name), name)).collect();
    }

    /// True if the settings enable shares and there are client accounts.
    pub fn is_enabled(&self) -> bool {
        self.is_allowed && !self.accounts.borrow().is_empty()
    }

    /// The numbers of reports that were sent, that were received and, of
    /// these, that were discarded.
    pub fn report_counts(&self) -> [u64; 3] {
        [&self.sent, &self.received, &self.discarded].map(Cell::get)
    }

    /// The admitted fraction of a request's account.
    pub fn fraction(&self, now: Millis, applicant: &Applicant<'_>) -> f64 {
        let Applicant { services, fraction, .. } = *applicant;
        let view = self.view.borrow();
        view.fraction(now, services, applicant.key(), fraction)
    }

    /// True if the account of a request demands no more than its share.
    pub fn is_within(&self, now: Millis, applicant: &Applicant<'_>) -> bool {
        let Applicant { services, fraction, .. } = *applicant;
        let view = self.view.borrow();
        view.is_within(now, services, applicant.key(), fraction)
    }

    /// Admits a caller's request, and returns what its calls inherit.
    ///
    /// # Errors
    ///
    /// [`Kind::Share`] if its account is above its share, or
    /// [`Kind::Overloaded`] if all accounts are refused alike.
    pub fn admit(
        &self,
        now: Millis,
        applicant: &Applicant<'_>,
    ) -> Result<Root, Kind> {
        let own = self.fraction(now, applicant);
        let probability = throttle::preferred(own, applicant.is_retry);
        let sample_key = applicant.sample_key;
        match share::admit(probability, sample_key) {
            Some(weight) => {
                Ok(Root { account: applicant.key(), weight, sample_key })
            }
            None if own < applicant.fraction => Err(Kind::Share),
            None => Err(Kind::Overloaded),
        }
    }

    /// What the calls of a request inherit that was admitted in another way, at
    /// the fraction of its account.
    pub fn root(&self, now: Millis, applicant: &Applicant<'_>) -> Root {
        let fraction = self.fraction(now, applicant);
        Root {
            account: applicant.key(),
            weight: Weight::of_probability(fraction),
            // Lies within the sample that instances serve first.
            sample_key: applicant.sample_key.scaled(fraction),
        }
    }

    /// Removes expired reports.
    pub fn expire(&self, now: Millis) {
        self.view.borrow_mut().expire(now);
    }

    /// Forgets the reports of a node to which a link is opened.
    pub fn forget(&self, node: NodeId) {
        self.view.borrow_mut().forget(node);
    }

    /// Records a report about the instance of a node. One that is not usable
    /// is logged and has no other effect.
    pub fn receive(
        &self,
        now: Millis,
        journal: &Journal,
        (node, service): (NodeId, &Service),
        report: Report,
    ) {
        if !self.is_enabled() {
            return;
        }
        self.received.set(self.received.get() + 1);
        let accounts = self.accounts.borrow();
        let is_known =
            |key| key == Key::NO_ACCOUNT || accounts.contains_key(&key);
        let service = footprint::Key::of(service);
        let mut view = self.view.borrow_mut();
        let why = match view.record(now, node, service, report, is_known) {
            Ok(recorded) if recorded.unknown == 0 => return,
            Ok(recorded) => format!("{} unknown accounts", recorded.unknown),
            Err(discarded) => {
                self.discarded.set(self.discarded.get() + 1);
                discarded.to_string()
            }
        };
        self.log_unusable(now, journal, node, &why);
    }

    /// Records the report of the local instance. True if it is to be sent to
    /// the linked nodes.
    pub fn publish(
        &self,
        now: Millis,
        journal: &Journal,
        (me, service): (NodeId, &Service),
        report: &Report,
        nodes: usize,
    ) -> bool {
        if !self.is_enabled()
            || !self.publisher.borrow_mut().publish(report, nodes)
        {
            return false;
        }
        self.receive(now, journal, (me, service), report.clone());
        self.sent.set(self.sent.get() + nodes as u64);
        if is_due(&self.logged_sent_at, now) {
            let fields = [
                ("service", service.as_str().into()),
                ("demand", report.slots().into()),
                ("accounts", report.count.into()),
                ("shares", self.describe_shares(report)),
                ("nodes", nodes.into()),
            ];
            journal.log_event(now, Event::Shares, &fields);
        }
        true
    }

    /// The accounts of a report by name, with their fraction of the demand.
    pub fn fractions(&self, report: &Report) -> Vec<(String, f64)> {
        let total = report.slots();
        let named = report
            .demands()
            .map(|(key, demand)| (self.name(key), demand / total));
        named.collect()
    }

    fn describe_shares(&self, report: &Report) -> Value {
        let fractions = self.fractions(report).into_iter();
        let rounded = |f: f64| (f * 1_000.0).round() / 1_000.0;
        let fields = fractions.map(|(name, f)| (name, rounded(f).into()));
        Value::Object(fields.collect::<Object<_, _>>())
    }

    fn name(&self, key: Key) -> String {
        let accounts = self.accounts.borrow();
        let name = accounts.get(&key).map(Account::as_str);
        name.unwrap_or(NO_ACCOUNT).to_string()
    }

    fn log_unusable(
        &self,
        now: Millis,
        journal: &Journal,
        node: NodeId,
        why: &str,
    ) {
        if is_due(&self.logged_fault_at, now) {
            let why = format!("report of shares: {why}");
            let fields =
                [("why", why.into()), ("peer", node.to_string().into())];
            journal.log_event(now, Event::Fault, &fields);
        }
    }
}

/// True if the last line is old enough; records the time then.
fn is_due(logged_at: &Cell<Option<Millis>>, now: Millis) -> bool {
    let last = logged_at.get();
    let is_due = last.is_none_or(|last| now.since(last) >= LOG_INTERVAL);
    if is_due {
        logged_at.set(Some(now));
    }
    is_due
}
