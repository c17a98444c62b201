/*!
The machine of an instance, whose speed may change while requests run.
*/

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep};
use walnutmoor_platform::header;

use super::Instance;

/// The interval at which running work follows the speed.
const STEP: Duration = Duration::from_millis(5);

/// A machine of usual speed, until it is changed.
#[derive(Debug)]
pub(super) struct Machine {
    /// How long work takes, in percent of usual.
    percent: AtomicU64,
    has_changed: AtomicBool,
    /// The figure that the instance states, as it is sent.
    figure: Mutex<Option<String>>,
}

impl Default for Machine {
    fn default() -> Machine {
        Machine {
            percent: AtomicU64::new(100),
            has_changed: AtomicBool::new(false),
            figure: Mutex::default(),
        }
    }
}

impl Machine {
    /// The figure that the instance states.
    pub(super) fn figure(&self) -> Option<String> {
        self.figure.lock().expect("no holder panics").clone()
    }

    /// Waits while work is done that takes this long at usual speed.
    pub(super) async fn work(&self, work: Duration) {
        if !self.has_changed.load(Ordering::Relaxed) {
            return sleep(work).await;
        }
        let mut left = work.as_secs_f64();
        while left > 0.0 {
            let slowness = self.percent.load(Ordering::Relaxed) as f64 / 100.0;
            let rest = Duration::from_secs_f64(left * slowness);
            let since = Instant::now();
            sleep(rest.min(STEP)).await;
            left -= since.elapsed().as_secs_f64() / slowness;
        }
    }
}

impl Instance {
    /// Lets work take this percentage of the time that it usually takes, and
    /// states the figure.
    pub fn set_speed(&self, percent: u16) {
        let machine = &self.machine;
        machine.has_changed.store(true, Ordering::Relaxed);
        machine.percent.store(percent.into(), Ordering::Relaxed);
        self.state_speed(Some(&percent.to_string()));
    }

    /// States a figure, or none, without a change of speed. The text is sent
    /// as it is.
    pub fn state_speed(&self, figure: Option<&str>) {
        let mut stated = self.machine.figure.lock().expect("no holder panics");
        *stated = figure.map(str::to_string);
    }

    /// The header with the load, and the speed if it is stated.
    pub(super) fn load_header(&self) -> String {
        let figure = self.machine.figure();
        let speed = figure.map_or(String::new(), |text| format!(",{text}"));
        format!("{}: 0,0,{}{speed}\r\n", header::LOAD, self.slots)
    }
}
