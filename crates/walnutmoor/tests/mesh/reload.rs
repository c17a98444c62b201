//! Signals to a node that has just been started.

use std::{
    fs,
    io::Write,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use walnutmoor_standin::{
    child,
    mesh::node::{Addresses, signal},
};

use crate::fixture::{run, until};

/// A process whose settings file is a pipe, so that the test determines how
/// long the process reads it.
struct Starting {
    child: Child,
    dir: PathBuf,
}

impl Starting {
    fn new(name: &str) -> Starting {
        let name = format!("walnutmoor-{name}-{}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).unwrap();
        let status =
            Command::new("mkfifo").arg(dir.join("node.yaml")).status();
        assert!(status.unwrap().success());
        let mut program = Command::new(env!("CARGO_BIN_EXE_walnutmoor"));
        program.args(["mesh", "--settings"]).arg(dir.join("node.yaml"));
        program.stdin(Stdio::null()).stdout(Stdio::null());
        Starting { child: child::spawn(&mut program).unwrap(), dir }
    }

    fn settings(&self) -> PathBuf {
        self.dir.join("node.yaml")
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Settings of a node that reaches neither a store nor an instance.
fn settings(addresses: &Addresses) -> String {
    let Addresses { peers, callers, ready, control, metrics, server } =
        addresses;
    let store = server;
    format!(
        "name: n\npeers: '{peers}'\nzone: a\nservice: desk\n\
         server: '{server}'\ncallers: '{callers}'\nready: '{ready}'\n\
         control: '{control}'\nmetrics: '{metrics}'\nstore: '{store}'\n"
    )
}

/// Replaces the pipe by a file, so that it can be read again.
fn replace(path: &Path, text: &str) {
    let file = path.with_extension("next");
    fs::write(&file, text).unwrap();
    fs::rename(&file, path).unwrap();
}

/// Guards against a node that is ended by a signal to reload its settings
/// because it has just been started.
#[test]
fn a_node_that_reads_its_settings_is_not_ended_by_a_reload() {
    run(async {
        let mut starting = Starting::new("reload");
        let addresses = Addresses::allocate();
        let text = settings(&addresses);

        // Opens once the process reads the other end.
        let mut pipe =
            fs::File::options().write(true).open(starting.settings()).unwrap();
        signal(starting.child.id(), "HUP");
        replace(&starting.settings(), &text);
        pipe.write_all(text.as_bytes()).unwrap();
        drop(pipe);

        let callers = addresses.callers;
        until("the node has ended or accepts callers", || {
            let has_ended = starting.child.try_wait().unwrap().is_some();
            async move {
                let stream = tokio::net::TcpStream::connect(callers).await;
                has_ended || stream.is_ok()
            }
        })
        .await;
        assert_eq!(starting.child.try_wait().unwrap(), None);
    });
}
