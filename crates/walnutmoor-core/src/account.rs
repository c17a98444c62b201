/*!
Client accounts and authentication of callers by key.

A directory is built once per table and replaced together with it, so key
changes take effect together with all other changes of the same revision. Keys
are kept only as digests, so what a node holds, sends or stores can't be used
to call.

[`Directory::authenticate`] decides which account a request is from. Calls made
by instances carry no key. They are recognized by the run that made them, which
must be in progress at this node, because any caller can forge a call id.

# Example

```
use walnutmoor_core::account::{Account, Digest, Directory, Key, Sender};

let acme = Account::new("acme".parse().unwrap());
let directory =
    Directory::build([(acme, vec![Digest::of(b"k-7f3a")])]).unwrap();
let account = directory
    .authenticate(Key::One(b"k-7f3a"), Sender::default())
    .unwrap();
assert_eq!(account.unwrap().name.as_str(), "acme");
let unknown = directory.authenticate(Key::One(b"k-0000"), Sender::default());
assert!(unknown.is_err());
```
*/

use std::{fmt, str::FromStr, sync::Arc};

use crate::{
    bulkhead,
    digest::{Map, Set},
    error::Kind,
    id::{self, ParseError},
};

/// Digest length in bytes: 128 bits resist second preimages and keep the
/// desired state small.
const DIGEST_BYTES: usize = 16;

/// Digest of a key, which does not reveal the key.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Digest {
        let mut bytes = [0; DIGEST_BYTES];
        let mut hasher = blake3::Hasher::new();
        hasher.update(key).finalize_xof().fill(&mut bytes);
        Digest(bytes)
    }
}

impl fmt::Debug for Digest {
    /// Hides the digest, so that it does not leak through logs or panics.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

impl fmt::Display for Digest {
    /// Formats the digest in hexadecimal, as nodes exchange it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Digest, ParseError> {
        // The text may be a key by mistake, so the error does not repeat it.
        let error = || ParseError::new("digest of a key", "..");
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Digest(bytes))
    }
}

/// Rate limit of an account, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Additional requests that may arrive at once.
    pub burst: f64,
}

/// Client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, which is passed on to instances.
    pub name: id::Account,
    /// Priority that takes precedence over that of the route.
    pub priority: Option<u8>,
    /// Rate limit; `None` if unlimited.
    pub quota: Option<Quota>,
}

impl Account {
    /// Creates an account without a priority and without a limit.
    pub fn new(name: id::Account) -> Account {
        Account { name, priority: None, quota: None }
    }

    /// Sets the priority.
    pub fn priority(mut self, priority: u8) -> Account {
        self.priority = Some(priority);
        self
    }

    /// Sets the quota. A rate of zero means no limit.
    pub fn quota(mut self, quota: Quota) -> Account {
        self.quota = (quota.rate > 0.0).then_some(quota);
        self
    }

    /// Returns the urgency of a request of this account on a route whose own
    /// urgency is `route`.
    pub fn urgency(&self, route: u8) -> u8 {
        match self.priority {
            Some(priority) => bulkhead::account_urgency(priority, route),
            None => route,
        }
    }
}

/// Error in a set of accounts.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Two accounts share a key, so a caller can't be identified.
    #[error("accounts `{0}` and `{1}` hold the same key")]
    SharedKey(id::Account, id::Account),
    /// Two accounts have the same name.
    #[error("account `{0}` is defined twice")]
    DuplicateAccount(id::Account),
    /// Rate or burst of a quota is negative or not finite.
    #[error("quota of account `{0}` must be finite and not negative")]
    InvalidQuota(id::Account),
}

/// Key that a request carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Key<'a> {
    /// No key.
    Missing,
    /// One key, as received.
    One(&'a [u8]),
    /// Several keys, which is ambiguous.
    Several,
}

/// What is known of the sender of a request besides its key.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sender {
    /// The route admits requests without a key.
    pub is_public: bool,
    /// A run that is in progress at this node made the request.
    pub is_local_run: bool,
    /// The request id has the form of a call made by an instance.
    pub has_call_id: bool,
}

/// Change of the keys of an account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Name of the account.
    pub account: id::Account,
    /// Number of keys added.
    pub added: usize,
    /// Number of keys removed.
    pub removed: usize,
}

/// All accounts of one desired state.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    accounts: Map<id::Account, Arc<Account>>,
    keys: Map<Digest, Arc<Account>>,
}

impl Directory {
    /// Builds a directory from accounts and the digests of their keys.
    ///
    /// # Errors
    ///
    /// Fails if two accounts share a key or a name, or if a quota is invalid.
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
        let is_amount = |number: f64| number.is_finite() && number >= 0.0;
        let is_valid =
            |quota: Quota| is_amount(quota.rate) && is_amount(quota.burst);
        if !account.quota.is_none_or(is_valid) {
            return Err(Error::InvalidQuota(name.clone()));
        }
        let former = self.accounts.insert(name.clone(), account.clone());
        if former.is_some() {
            return Err(Error::DuplicateAccount(name.clone()));
        }
        for digest in digests {
            let former = self.keys.insert(digest, account.clone());
            if let Some(former) = former.filter(|f| f.name != *name) {
                return Err(Error::SharedKey(
                    former.name.clone(),
                    name.clone(),
                ));
            }
        }
        Ok(())
    }

    /// Returns true if there are no accounts. Anybody may call then.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the account with this name.
    pub fn get(&self, name: &id::Account) -> Option<&Arc<Account>> {
        self.accounts.get(name)
    }

    /// Returns the account that holds a key. The lookup is by digest, so its
    /// timing reveals nothing about the known keys.
    fn holder(&self, key: &[u8]) -> Option<&Arc<Account>> {
        match key {
            // An empty entry in the configuration must not match.
            [] => None,
            key => self.keys.get(&Digest::of(key)),
        }
    }

    /// Returns the account that a request is from, or `None` if it is from no
    /// account.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::UnknownKey`], which is final, if a key is required and
    /// none, several or an unknown one was sent. Returns [`Kind::Orphaned`]
    /// if the request may be a call of a run that this node does not know, for
    /// example after a restart: nobody waits for the answer, but the sender
    /// must not be told that its key is invalid.
    pub fn authenticate(
        &self,
        key: Key<'_>,
        sender: Sender,
    ) -> Result<Option<&Arc<Account>>, Kind> {
        if self.is_empty() {
            return Ok(None);
        }
        let holder = match key {
            Key::One(key) => self.holder(key),
            Key::Missing if sender.is_local_run => return Ok(None),
            Key::Missing | Key::Several => None,
        };
        match (holder, key) {
            (Some(account), _) => Ok(Some(account)),
            (None, _) if sender.is_public => Ok(None),
            (None, Key::Missing) if sender.has_call_id => Err(Kind::Orphaned),
            (None, _) => Err(Kind::UnknownKey),
        }
    }

    /// Returns the changes of keys since `former`, sorted by account name.
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

    /// Returns the names of all accounts in arbitrary order.
    pub fn names(&self) -> Set<id::Account> {
        self.accounts.keys().cloned().collect()
    }
}
