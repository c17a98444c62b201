//! A small deployment: a store, and nodes with an instance each.

use std::net::SocketAddr;
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
    pub fn add(
        &mut self,
        service: &str,
        zone: &str,
        slots: usize,
        work_ms: u64,
    ) {
        let store = Proxy::start(self.store.address);
        let mut setup = self.setup(service, zone, store.address);
        let peers = Proxy::start(setup.peers);
        setup.advertise = Some(peers.address);
        self.start(setup, slots, work_ms);
        self.peers.push(peers);
        self.stores.push(store);
    }

    /// Starts an instance and the node beside it, without proxies. No node
    /// with proxies is added after it.
    pub fn add_plain(
        &mut self,
        service: &str,
        zone: &str,
        slots: usize,
        work_ms: u64,
    ) {
        let setup = self.setup(service, zone, self.store.address);
        self.start(setup, slots, work_ms);
    }

    fn setup(&self, service: &str, zone: &str, store: SocketAddr) -> Setup {
        let name = format!("node-{}", self.nodes.len() + 1);
        Setup::new(&name, zone, service, store)
    }

    fn start(&mut self, setup: Setup, slots: usize, work_ms: u64) {
        let id = format!("i-{:02}a", self.nodes.len() + 1);
        let work = Duration::from_millis(work_ms);
        let (service, zone) = (setup.service.clone(), setup.zone.clone());
        let (server, control) = (setup.server, setup.control);
        self.nodes.push(Node::start(&self.root, &self.folder, setup));
        let record = &self.record;
        let instance = Instance::start(
            &id, &service, &zone, slots, work, server, control, record,
        );
        self.instances.push(instance);
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
