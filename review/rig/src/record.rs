//! What was sent, answered and run, with the milliseconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub attempt: String,
    pub instance: String,
    pub tenant: String,
}

pub struct Record {
    start: Instant,
    out: Mutex<BufWriter<File>>,
    pub runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record {
            start: Instant::now(),
            out: Mutex::new(BufWriter::new(file)),
            runs: Mutex::default(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.out.lock().unwrap(), "{now:.1} {text}");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:.1} s {text}", self.now() / 1_000.0);
    }

    pub fn ran(&self, attempt: &str, instance: &str, tenant: &str) {
        self.line(&format!("ran {attempt} {instance} {tenant}"));
        let run = Run {
            at: self.now(),
            attempt: attempt.into(),
            instance: instance.into(),
            tenant: tenant.into(),
        };
        self.runs.lock().unwrap().push(run);
    }

    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}
