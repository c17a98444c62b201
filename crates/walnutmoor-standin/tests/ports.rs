//! Allocation of ports for child processes.

use std::{
    net::TcpListener,
    process::{Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use walnutmoor_standin::child::{self, Ports};

/// Enough draws to detect ports that are held by children being spawned.
const PORT_DRAWS: usize = 1_500;

#[test]
fn drawn_ports_are_free_while_processes_are_spawned() {
    let stopped = AtomicBool::new(false);
    let spawn_children = || {
        while !stopped.load(Ordering::Relaxed) {
            let mut program = Command::new("true");
            let program = program.stdin(Stdio::null());
            let mut child = child::spawn(program).unwrap();
            child.wait().unwrap();
        }
    };

    let taken = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(spawn_children);
        }
        let taken = (0..PORT_DRAWS).filter(|_| {
            let port = Ports::allocate().node;
            TcpListener::bind(("127.0.0.1", port)).is_err()
        });
        let taken = taken.count();
        stopped.store(true, Ordering::Relaxed);
        taken
    });

    assert_eq!(taken, 0);
}
