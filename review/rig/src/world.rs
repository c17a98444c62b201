//! A small deployment: a store, and nodes with an instance each.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::instance::Instance;
use crate::node::{Node, Setup};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

pub struct World {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub nodes: Vec<Node>,
    pub instances: Vec<Arc<Instance>>,
    /// The proxies between each node and all others.
    pub peers: Vec<Arc<Proxy>>,
    /// The proxies between each node and the store.
    pub stores: Vec<Arc<Proxy>>,
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

impl World {
    pub fn new(root: &Path, folder: &Path, record: &Arc<Record>) -> World {
        World {
            root: root.into(),
            folder: folder.into(),
            record: record.clone(),
            store: Store::start(),
            nodes: Vec::new(),
            instances: Vec::new(),
            peers: Vec::new(),
            stores: Vec::new(),
        }
    }

    /// Starts an instance and the node beside it, behind two proxies.
    pub fn add(&mut self, service: &str, zone: &str, slots: usize, work_ms: u64) {
        let number = self.nodes.len() + 1;
        let store = Proxy::start(self.store.address);
        let mut setup = Setup::new(&format!("node-{number}"), zone, service, store.address);
        let peers = Proxy::start(setup.peers);
        setup.advertise = Some(peers.address);
        let id = format!("i-{number:02}a");
        let work = Duration::from_millis(work_ms);
        let (server, control) = (setup.server, setup.control);
        self.nodes.push(Node::start(&self.root, &self.folder, setup));
        let instance =
            Instance::start(&id, service, zone, slots, work, server, control, &self.record);
        self.instances.push(instance);
        self.peers.push(peers);
        self.stores.push(store);
    }

    /// Waits until all nodes are ready; false if they don't get so.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.nodes.iter().all(Node::is_ready) {
                return true;
            }
            pause(100);
        }
        false
    }
}
