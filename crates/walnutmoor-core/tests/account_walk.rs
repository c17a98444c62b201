//! A random walk over desired states with client accounts, beside an oracle
//! that keeps plain sets: accounts come and go, keys are added, taken away and
//! moved, and states that contradict themselves are refused whole.
//!
//! `WALNUTMOOR_FUZZ=N` makes the walk as many times longer.

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

/// Accounts by number, with the numbers of their keys.
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

    /// What the operator writes next: one change, or several at once.
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
                // Somebody else's key moves with it, or stays with both.
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
        assert_eq!(built.is_some(), !is_contradiction(&next), "{next:?}");
        if let Some(directory) = built {
            let changes = directory.changes_since(&self.directory);
            assert_eq!(changes, expected_changes(&self.model, &next));
            (self.model, self.directory) = (next, directory);
        }
        self.check();
    }

    fn check(&mut self) {
        let number = self.below(KEYS + 1);
        let is_run = self.below(2) == 0;
        let is_public = self.below(2) == 0;
        let sender = Sender { is_run, is_public, is_like_call: false };
        let text = key(number);
        let one = self.directory.judge(Key::One(text.as_bytes()), sender);
        let one = one.map(|account| account.map(|a| a.name.clone()));
        assert_eq!(one, self.expected(number, is_public));
        let missing = self.directory.judge(Key::Missing, sender);
        let is_open = self.model.is_empty() || is_run || is_public;
        assert_eq!(missing.is_ok(), is_open);
        let several = self.directory.judge(Key::Several, sender);
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

/// True if a key stands for two accounts.
fn is_contradiction(model: &Model) -> bool {
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
fn keys_stand_for_their_accounts_whatever_changes() {
    let times = std::env::var("WALNUTMOOR_FUZZ").ok();
    let times: u64 = times.map_or(1, |text| text.parse().unwrap());
    let mut walk = Walk::new(30);

    for _ in 0..times * STEPS {
        walk.step();
    }
}
