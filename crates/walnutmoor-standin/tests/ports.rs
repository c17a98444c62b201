//! Ports for processes under test.

use std::{
    net::TcpListener,
    process::{Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use walnutmoor_standin::child::{self, Ports};

/// Draws enough that a port held by a child that is just being started shows:
/// without the lock some of them do in each run.
const DRAWS: usize = 1_500;

#[test]
fn a_port_that_was_drawn_is_free_while_processes_are_started() {
    let over = AtomicBool::new(false);
    let start = || {
        while !over.load(Ordering::Relaxed) {
            let mut program = Command::new("true");
            let program = program.stdin(Stdio::null());
            let mut child = child::spawn(program).unwrap();
            child.wait().unwrap();
        }
    };

    let taken = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(start);
        }
        let taken = (0..DRAWS).filter(|_| {
            let port = Ports::allocate().node;
            TcpListener::bind(("127.0.0.1", port)).is_err()
        });
        let taken = taken.count();
        over.store(true, Ordering::Relaxed);
        taken
    });

    assert_eq!(taken, 0);
}
