/*!
Client accounts and the keys that callers prove them with.

A directory is built once with each table and swapped whole with it, so a key
that is added or removed comes into force with everything else of its revision.
Keys are kept as digests: what a node holds, sends to other nodes or writes
down is of no use to somebody who wants to call.

[`Directory::judge`] decides who a request is from. An instance's own calls
carry no key; what tells them from callers is that the run which made them is
under way at this very node, since any caller can write an id like theirs.

# Example

```
use walnutmoor_core::account::{Account, Digest, Directory, Key, Sender};

let acme = Account::new("acme".parse().unwrap());
let directory =
    Directory::build([(acme, vec![Digest::of(b"k-7f3a")])]).unwrap();
let sender = directory.judge(Key::One(b"k-7f3a"), Sender::default()).unwrap();
assert_eq!(sender.unwrap().name.as_str(), "acme");
assert!(directory.judge(Key::One(b"k-0000"), Sender::default()).is_err());
```
*/

use std::{fmt, str::FromStr, sync::Arc};

use crate::{
    bulkhead,
    digest::{Map, Set},
    error::Kind,
    id::{self, ParseError},
};

/// Bytes of a digest. With 128 bits nobody finds a second key with the digest
/// of somebody else's, and a desired state grows little by digests in the
/// place of keys.
const DIGEST: usize = 16;

/// What is kept of a key. The key can't be found from it.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; DIGEST]);

impl Digest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Digest {
        let mut bytes = [0; DIGEST];
        let mut hasher = blake3::Hasher::new();
        hasher.update(key).finalize_xof().fill(&mut bytes);
        Digest(bytes)
    }
}

impl fmt::Debug for Digest {
    /// Tells nothing, so that no log line or panic gives a digest away.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

impl fmt::Display for Digest {
    /// The form in which nodes tell each other of it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Digest, ParseError> {
        // What was meant for a digest may be a key: it is not repeated.
        let error = || ParseError::new("digest of a key", "..");
        if text.len() != 2 * DIGEST || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; DIGEST];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Digest(bytes))
    }
}

/// How much an account may ask for, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate: f64,
    /// Requests on top of that at once.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name, which instances are told.
    pub name: id::Account,
    /// The rank of its requests, where it goes before that of their route.
    pub priority: Option<u8>,
    /// Its quota; `None` if it has no limit.
    pub quota: Option<Quota>,
}

impl Account {
    /// An account without a rank of its own and without a limit.
    pub fn new(name: id::Account) -> Account {
        Account { name, priority: None, quota: None }
    }

    /// Gives it a rank of its own.
    pub fn priority(mut self, priority: u8) -> Account {
        self.priority = Some(priority);
        self
    }

    /// Limits it. A rate of zero is no limit.
    pub fn quota(mut self, quota: Quota) -> Account {
        self.quota = (quota.rate > 0.0).then_some(quota);
        self
    }

    /// The rank of its work, where the route alone would give it this one.
    pub fn urgency(&self, route: u8) -> u8 {
        match self.priority {
            Some(priority) => bulkhead::account_urgency(priority, route),
            None => route,
        }
    }
}

/// Accounts that can't be put in force together.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A caller with this key would be both.
    #[error("accounts `{0}` and `{1}` hold the same key")]
    Shared(id::Account, id::Account),
    /// Nobody could tell which entry holds.
    #[error("account `{0}` is there twice")]
    Twice(id::Account),
    /// A quota is a number that is not below zero.
    #[error("the quota of account `{0}` is no amount")]
    Amount(id::Account),
}

/// The key that a request bears.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Key<'a> {
    /// None.
    Missing,
    /// One, as it was sent.
    One(&'a [u8]),
    /// Several; nobody can tell which one is meant.
    Several,
}

/// What is known of a request's sender beside its key.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sender {
    /// The route is open to those without a key.
    pub is_public: bool,
    /// A run that is under way at this node made the request.
    pub is_run: bool,
    /// The request is named like a call of an instance.
    pub is_like_call: bool,
}

/// A change of an account's keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The account.
    pub account: id::Account,
    /// Keys that it holds now and did not before.
    pub added: usize,
    /// Keys that it holds no more.
    pub removed: usize,
}

/// All accounts of one desired state.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    accounts: Map<id::Account, Arc<Account>>,
    keys: Map<Digest, Arc<Account>>,
}

impl Directory {
    /// Puts accounts and the digests of their keys together.
    ///
    /// # Errors
    ///
    /// If a key or a name stands for two accounts, or a quota is no amount.
    pub fn build(
        accounts: impl IntoIterator<Item = (Account, Vec<Digest>)>,
    ) -> Result<Directory, Error> {
        let mut directory = Directory::default();
        for (account, digests) in accounts {
            directory.add(Arc::new(account), digests)?;
        }
        Ok(directory)
    }

    fn add(
        &mut self,
        account: Arc<Account>,
        digests: Vec<Digest>,
    ) -> Result<(), Error> {
        let name = &account.name;
        let amount = |number: f64| number.is_finite() && number >= 0.0;
        let legal = |quota: Quota| amount(quota.rate) && amount(quota.burst);
        if !account.quota.is_none_or(legal) {
            return Err(Error::Amount(name.clone()));
        }
        let former = self.accounts.insert(name.clone(), account.clone());
        if former.is_some() {
            return Err(Error::Twice(name.clone()));
        }
        for digest in digests {
            let former = self.keys.insert(digest, account.clone());
            if let Some(former) = former.filter(|f| f.name != *name) {
                return Err(Error::Shared(former.name.clone(), name.clone()));
            }
        }
        Ok(())
    }

    /// True if there are no accounts: everybody may call.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// The account of a name.
    pub fn get(&self, name: &id::Account) -> Option<&Arc<Account>> {
        self.accounts.get(name)
    }

    /// The account that holds a key. Looked up by digest, so that the time it
    /// takes tells nothing of the keys that there are.
    fn holder(&self, key: &[u8]) -> Option<&Arc<Account>> {
        match key {
            // An operator's empty entry opens no door.
            [] => None,
            key => self.keys.get(&Digest::of(key)),
        }
    }

    /// Decides who a request is from; `None` if from no account.
    ///
    /// # Errors
    ///
    /// [`Kind::UnknownKey`], final, if it needs a key and has none that
    /// holds. [`Kind::Orphaned`] if it may be a call of a run that this node
    /// knows nothing of, as after its own restart: nobody waits for its
    /// answer, but it is no caller that was told to stay away.
    pub fn judge(
        &self,
        key: Key<'_>,
        sender: Sender,
    ) -> Result<Option<&Arc<Account>>, Kind> {
        if self.is_empty() {
            return Ok(None);
        }
        let holder = match key {
            Key::One(key) => self.holder(key),
            Key::Missing if sender.is_run => return Ok(None),
            Key::Missing | Key::Several => None,
        };
        match (holder, key) {
            (Some(account), _) => Ok(Some(account)),
            (None, _) if sender.is_public => Ok(None),
            (None, Key::Missing) if sender.is_like_call => Err(Kind::Orphaned),
            (None, _) => Err(Kind::UnknownKey),
        }
    }

    /// What has become of each account's keys since another directory, in
    /// the order of names.
    pub fn changes_since(&self, former: &Directory) -> Vec<Change> {
        let mut counts: Map<&id::Account, (usize, usize)> = Map::default();
        for (digest, account) in &self.keys {
            if !former.holds(digest, account) {
                counts.entry(&account.name).or_default().0 += 1;
            }
        }
        for (digest, account) in &former.keys {
            if !self.holds(digest, account) {
                counts.entry(&account.name).or_default().1 += 1;
            }
        }
        let change = |(account, (added, removed)): (&id::Account, _)| Change {
            account: account.clone(),
            added,
            removed,
        };
        let mut changes: Vec<Change> =
            counts.into_iter().map(change).collect();
        changes.sort_by(|a, b| a.account.cmp(&b.account));
        changes
    }

    fn holds(&self, digest: &Digest, account: &Account) -> bool {
        let holder = self.keys.get(digest);
        holder.is_some_and(|holder| holder.name == account.name)
    }

    /// The names of all accounts, in no order.
    pub fn names(&self) -> Set<id::Account> {
        self.accounts.keys().cloned().collect()
    }
}
