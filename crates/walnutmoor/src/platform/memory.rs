//! An object store in memory, the embedded platform.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use tokio::sync::Notify;
use walnutmoor_core::platform::{Key, Object, Reply, Request, Version};

/// How long a watch waits before it ends without a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// An object store in memory, with versions and watches.
#[derive(Debug, Default)]
pub struct Memory {
    objects: Mutex<Objects>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Objects {
    version: u64,
    by_key: BTreeMap<Key, Object>,
}

impl Memory {
    /// Creates an empty store.
    pub fn new() -> Memory {
        Memory::default()
    }

    /// Executes a request and waits for the reply.
    pub async fn call(&self, request: Request) -> Reply {
        match request {
            Request::Get { key } => self.get(&key),
            Request::List { prefix } => self.list(&prefix),
            Request::Put { key, base, value } => self.put(key, base, value),
            Request::Watch { key, known } => self.watch(&key, known).await,
        }
    }

    fn objects(&self) -> std::sync::MutexGuard<'_, Objects> {
        self.objects.lock().expect("no holder panics")
    }

    /// Reads one object.
    pub fn get(&self, key: &Key) -> Reply {
        match self.objects().by_key.get(key) {
            Some(object) => Reply::Found(object.clone()),
            None => Reply::Absent,
        }
    }

    /// Reads all objects whose key starts with a prefix.
    pub fn list(&self, prefix: &Key) -> Reply {
        let objects = self.objects();
        let all = objects.by_key.iter();
        let under = all.filter(|(key, _)| key.0.starts_with(&prefix.0));
        Reply::Listed(under.map(|(k, o)| (k.clone(), o.clone())).collect())
    }

    /// Writes an object if its current version is `base`; `None` means that
    /// the object must not exist.
    pub fn put(
        &self,
        key: Key,
        base: Option<Version>,
        value: String,
    ) -> Reply {
        let mut objects = self.objects();
        if objects.by_key.get(&key).map(|o| o.version) != base {
            return Reply::Conflict;
        }
        objects.version += 1;
        let version = Version(objects.version);
        objects.by_key.insert(key, Object { version, value });
        drop(objects);
        self.changed.notify_waiters();
        Reply::Written(version)
    }

    /// Overwrites an object with an older value and version, which simulates a
    /// restore from a backup.
    pub fn restore(&self, key: Key, object: Object) {
        self.objects().by_key.insert(key, object);
        self.changed.notify_waiters();
    }

    /// Waits until the version of an object differs from `known`.
    pub async fn watch(&self, key: &Key, known: Option<Version>) -> Reply {
        let deadline = tokio::time::Instant::now() + WATCH_WAIT;
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            let current = self.get(key);
            let version = match &current {
                Reply::Found(object) => Some(object.version),
                _ => None,
            };
            if version != known {
                return current;
            }
            let wait = tokio::time::timeout_at(deadline, changed);
            if wait.await.is_err() {
                return Reply::Unchanged;
            }
        }
    }
}
