/*!
When the node of a short instance sends a report to other nodes.
*/

use super::Report;
use crate::time::Millis;

/// The shortest time between two reports.
const MIN_INTERVAL: Millis = Millis(500);

/// The time after which an unchanged report is sent again, so that it does not
/// expire at other nodes while it still holds.
const REPEAT_INTERVAL: Millis = Millis(1_200);

/// The reports that a node sends per second at most, to all nodes together.
/// At 75 bytes each this is 17 KB/s. With more than 460 nodes, reports expire
/// before the next one; all accounts are cut alike meanwhile.
const MAX_REPORTS_PER_SECOND: u64 = 230;

/// Decides when a report is sent.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    last: Option<Report>,
}

impl Publisher {
    /// Creates a publisher that has sent nothing.
    pub fn new() -> Publisher {
        Publisher::default()
    }

    /// Returns true if this report is to be sent now to this number of nodes,
    /// and records it as sent.
    pub fn publish(&mut self, report: &Report, nodes: usize) -> bool {
        let is_due = self.last.as_ref().is_none_or(|last| {
            let span = report.sent_at.since(last.sent_at);
            let is_changed = !report.is_like(last);
            span >= min_interval(nodes)
                && (is_changed || span >= REPEAT_INTERVAL)
        });
        if is_due {
            self.last = Some(report.clone());
        }
        is_due
    }
}

fn min_interval(nodes: usize) -> Millis {
    let span = Millis(nodes as u64 * 1_000 / MAX_REPORTS_PER_SECOND);
    span.max(MIN_INTERVAL)
}
