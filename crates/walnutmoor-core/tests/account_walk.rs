//! Random walk over desired states with client accounts, compared with a model
//! that keeps plain sets. Accounts are added and removed, keys are added,
//! removed and moved, and conflicting states must be refused.
//!
//! `WALNUTMOOR_FUZZ=N` multiplies the number of steps.

use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor_core::{
    account::{Account, Change, Digest, Directory, Key, Sender},
    error::Kind,
    id,
};

const STEPS: u64 = 50_000;
const ACCOUNTS: u64 = 6;
const KEYS: u64 = 12;

/// Keys by account, both as numbers.
type Model = BTreeMap<u64, BTreeSet<u64>>;

fn name(account: u64) -> id::Account {
    format!("account {account}").parse().unwrap()
}

fn key(number: u64) -> String {
    format!("key-{number}")
}

struct Walk {
    rng: ChaCha8Rng,
    digests: Vec<Digest>,
    model: Model,
    directory: Directory,
}

impl Walk {
    fn new(seed: u64) -> Walk {
        let digest = |number| Digest::of(key(number).as_bytes());
        Walk {
            rng: ChaCha8Rng::seed_from_u64(seed),
            digests: (0..KEYS).map(digest).collect(),
            model: Model::new(),
            directory: Directory::default(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    /// Draws the next state, with one to three changes.
    fn draw(&mut self) -> Model {
        let mut next = self.model.clone();
        for _ in 0..1 + self.below(3) {
            let account = self.below(ACCOUNTS);
            let key = self.below(KEYS);
            match self.below(8) {
                0 => {
                    next.remove(&account);
                }
                1 | 2 => {
                    next.entry(account).or_default();
                }
                3 => next.values_mut().for_each(|keys| {
                    keys.remove(&key);
                }),
                // Moves the key. The next case leaves it with its former
                // account as well.
                4 => {
                    next.values_mut().for_each(|keys| {
                        keys.remove(&key);
                    });
                    next.entry(account).or_default().insert(key);
                }
                _ => {
                    next.entry(account).or_default().insert(key);
                }
            }
        }
        next
    }

    fn build(&self, model: &Model) -> Option<Directory> {
        let entry = |(account, keys): (&u64, &BTreeSet<u64>)| {
            let digests = keys.iter().map(|key| self.digests[*key as usize]);
            (Account::new(name(*account)), digests.collect())
        };
        Directory::build(model.iter().map(entry)).ok()
    }

    fn step(&mut self) {
        let next = self.draw();
        let built = self.build(&next);
        assert_eq!(built.is_some(), !is_conflict(&next), "{next:?}");
        if let Some(directory) = built {
            let changes = directory.changes_since(&self.directory);
            assert_eq!(changes, expected_changes(&self.model, &next));
            (self.model, self.directory) = (next, directory);
        }
        self.check();
    }

    fn check(&mut self) {
        let number = self.below(KEYS + 1);
        let is_local_run = self.below(2) == 0;
        let is_public = self.below(2) == 0;
        let sender = Sender { is_local_run, is_public, has_call_id: false };
        let text = key(number);
        let one =
            self.directory.authenticate(Key::One(text.as_bytes()), sender);
        let one = one.map(|account| account.map(|a| a.name.clone()));
        assert_eq!(one, self.expected(number, is_public));
        let missing = self.directory.authenticate(Key::Missing, sender);
        let is_open = self.model.is_empty() || is_local_run || is_public;
        assert_eq!(missing.is_ok(), is_open);
        let several = self.directory.authenticate(Key::Several, sender);
        assert_eq!(several.is_ok(), self.model.is_empty() || is_public);
    }

    fn expected(
        &self,
        number: u64,
        is_public: bool,
    ) -> Result<Option<id::Account>, Kind> {
        if self.model.is_empty() {
            return Ok(None);
        }
        let mut all = self.model.iter();
        match all.find(|(_, keys)| keys.contains(&number)) {
            Some((account, _)) => Ok(Some(name(*account))),
            None if is_public => Ok(None),
            None => Err(Kind::UnknownKey),
        }
    }
}

/// Returns true if two accounts hold the same key.
fn is_conflict(model: &Model) -> bool {
    let mut seen = BTreeSet::new();
    model.values().flatten().any(|key| !seen.insert(key))
}

fn expected_changes(former: &Model, next: &Model) -> Vec<Change> {
    let none = BTreeSet::new();
    let accounts: BTreeSet<&u64> = former.keys().chain(next.keys()).collect();
    let changes = accounts.into_iter().map(|account| {
        let before = former.get(account).unwrap_or(&none);
        let after = next.get(account).unwrap_or(&none);
        Change {
            account: name(*account),
            added: after.difference(before).count(),
            removed: before.difference(after).count(),
        }
    });
    changes.filter(|c| c.added + c.removed > 0).collect()
}

#[test]
fn keys_identify_their_accounts_after_any_change() {
    let times = std::env::var("WALNUTMOOR_FUZZ").ok();
    let times: u64 = times.map_or(1, |text| text.parse().unwrap());
    let mut walk = Walk::new(30);

    for _ in 0..times * STEPS {
        walk.step();
    }
}
