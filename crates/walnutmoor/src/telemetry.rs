/*!
Metrics and the log.

Frequent events are counted and exported at `/metrics`. Only changes of state
are logged.
*/

use std::{cell::RefCell, collections::BTreeSet, sync::OnceLock};

use metrics::{counter, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use walnutmoor_core::{
    error::Kind,
    node::{Stats, Status},
};

use walnutmoor_core::rate_limit::Rate;

use crate::{mesh, prelude::*, settings};

static PROMETHEUS_HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// The upper bounds of the latency buckets.
const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512,
    1.024, 2.048, 4.096, 8.192,
];

/// Installs the metrics recorder of this process.
///
/// # Errors
///
/// If a recorder is already installed.
pub fn install_metrics() -> Result<(), Failure> {
    // Without buckets, histograms are summaries, which keep every sample.
    let handle = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_SECONDS)
        .map_err(|error| Failure::Internal(error.to_string()))?
        .install_recorder()
        .map_err(|error| Failure::Internal(error.to_string()))?;
    let _ = PROMETHEUS_HANDLE.set(handle);
    Ok(())
}

/// Installs a logger that writes to standard error.
pub fn install_log(level: settings::Level) {
    let config = simplelog::ConfigBuilder::new()
        .add_filter_allow_str("walnutmoor")
        .build();
    // Fails if a logger is already installed, which happens only in tests.
    let _ = simplelog::TermLogger::init(
        level.into(),
        config,
        simplelog::TerminalMode::Stderr,
        simplelog::ColorChoice::Never,
    );
}

/// Returns all metrics in the Prometheus text format.
pub fn render() -> String {
    PROMETHEUS_HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Updates the metrics from the core's status and counters.
pub fn publish(status: &Status, stats: &Stats) {
    let counters = [
        ("walnutmoor_arrived_total", stats.arrived),
        ("walnutmoor_admitted_total", stats.admitted),
        ("walnutmoor_observed_total", stats.observed),
        ("walnutmoor_hops_total", stats.hops),
        ("walnutmoor_started_total", stats.started),
        ("walnutmoor_answered_total", stats.answered),
        ("walnutmoor_forwarded_total", stats.forwarded),
        ("walnutmoor_retried_total", stats.retried),
        ("walnutmoor_moved_total", stats.moved),
        ("walnutmoor_tickets_total", stats.tickets),
        ("walnutmoor_marks_total", stats.marks),
        ("walnutmoor_tombstones_total", stats.tombstones),
        ("walnutmoor_packets_total", stats.packets),
        ("walnutmoor_changes_total", stats.changes),
        ("walnutmoor_reverts_refused_total", stats.reverts_refused),
        ("walnutmoor_platform_calls_total", stats.platform_calls),
    ];
    for (name, value) in counters {
        counter!(name).absolute(value);
    }
    for kind in Kind::ALL {
        counter!("walnutmoor_refused_total", "kind" => kind.as_str())
            .absolute(stats.refusals_of(*kind));
    }
    let gauges = [
        ("walnutmoor_running", status.running),
        ("walnutmoor_queued", status.queued),
        ("walnutmoor_allowed", status.allowed as usize),
        ("walnutmoor_outbound", status.outbound),
        ("walnutmoor_members", status.members),
        ("walnutmoor_ledger", status.tickets),
        ("walnutmoor_revision", status.revision.0 as usize),
    ];
    for (name, value) in gauges {
        gauge!(name).set(value as f64);
    }
}

/// The maximum number of accounts with a label of their own.
const MAX_LABELED_ACCOUNTS: usize = 256;

/// The label shared by all further accounts.
const OTHER_ACCOUNTS: &str = "others";

thread_local! {
    static ACCOUNTS: RefCell<BTreeSet<String>> = RefCell::default();
}

/// Counts a request of an account by its outcome. Requests without an account
/// are not counted.
pub fn count_account(account: Option<&str>, outcome: &'static str) {
    let Some(account) = account else {
        return;
    };
    counter!(
        "walnutmoor_account_requests_total",
        "account" => label(account),
        "outcome" => outcome,
    )
    .increment(1);
}

/// The label of an account: its name, for a limited number of accounts.
fn label(account: &str) -> String {
    ACCOUNTS.with_borrow_mut(|known| {
        let is_known = known.contains(account);
        if !is_known && known.len() >= MAX_LABELED_ACCOUNTS {
            return OTHER_ACCOUNTS.to_string();
        }
        if !is_known {
            known.insert(account.to_string());
        }
        account.to_string()
    })
}

thread_local! {
    /// The accounts whose share was not zero at the last scrape.
    static SHARES: RefCell<BTreeSet<String>> = RefCell::default();
}

/// Updates the fractions of the demand for the local instance that accounts
/// have while it is short.
fn publish_shares(state: &mesh::state::State) {
    let report = state.serve.share_report(state.now());
    let fractions = report.map(|report| state.shares.fractions(&report));
    let fractions = fractions.unwrap_or_default();
    let set = |account: &str, fraction: f64| {
        gauge!("walnutmoor_share_fraction", "account" => label(account))
            .set(fraction);
    };
    SHARES.with_borrow_mut(|former| {
        former.iter().for_each(|account| set(account, 0.0));
        fractions.iter().for_each(|(account, f)| set(account, *f));
        *former = fractions.into_iter().map(|(account, _)| account).collect();
    });
}

/// Updates the metrics from the state of a mesh node.
pub fn publish_mesh(state: &mesh::state::State) {
    let (running, waiting) = state.serve.job_counts();
    let (granted, held) = state.quotas.account_counts();
    let edition = state.edition();
    let gauges = [
        ("walnutmoor_running", running),
        ("walnutmoor_queued", waiting),
        ("walnutmoor_under_way", state.requests.len()),
        ("walnutmoor_held_bytes", state.memory.bytes()),
        ("walnutmoor_links", state.links().len()),
        ("walnutmoor_sessions", state.sessions.borrow().len()),
        ("walnutmoor_suspects", state.suspects()),
        ("walnutmoor_quotas_dealt", granted),
        ("walnutmoor_quotas_asked", held),
        ("walnutmoor_version", edition.version.0 as usize),
        ("walnutmoor_era", edition.stamp.era.0 as usize),
        ("walnutmoor_revision", edition.stamp.revision.0 as usize),
    ];
    for (name, value) in gauges {
        gauge!(name).set(value as f64);
    }
    publish_sessions(state);
    let requests = state.requests.list();
    for stage in mesh::requests::Stage::NAMES {
        let at_stage = requests.iter().filter(|r| r.stage.as_str() == stage);
        gauge!("walnutmoor_requests", "stage" => stage)
            .set(at_stage.count() as f64);
    }
    state.turns.publish();
    let is_accepting = state.serve.load(state.now()).accepting;
    gauge!("walnutmoor_instance_accepting")
        .set(f64::from(u8::from(is_accepting)));
    let limit = state.serve.named_limit();
    gauge!("walnutmoor_named_limit")
        .set(limit.map_or(f64::INFINITY, Rate::per_second));
    let speed = state.serve.speed(state.now());
    gauge!("walnutmoor_speed_percent").set(speed.percent);
    counter!("walnutmoor_speed_readings_total").absolute(speed.readings);
    counter!("walnutmoor_speed_malformed_total").absolute(speed.malformed);
    let arrivals = state.serve.arrivals.get();
    counter!("walnutmoor_arrivals_total").absolute(arrivals);
    let diverted = state.serve.diverted();
    counter!("walnutmoor_limited_total").absolute(diverted);
    let [sent, received, discarded] = state.shares.report_counts();
    counter!("walnutmoor_share_reports_sent_total").absolute(sent);
    counter!("walnutmoor_share_reports_received_total").absolute(received);
    counter!("walnutmoor_share_reports_discarded_total").absolute(discarded);
    let over_share = state.serve.over_share.get();
    counter!("walnutmoor_share_rejected_total").absolute(over_share);
    publish_shares(state);
    let spilled = state.balancer.borrow().spilled();
    counter!("walnutmoor_zone_spilled_total").absolute(spilled);
    publish_connections(&state.serve);
    for (reason, count) in state.serve.set_aside() {
        let reason = reason.as_str();
        counter!("walnutmoor_reports_set_aside_total", "belief" => reason)
            .absolute(count);
    }
    for (outcome, count) in state.handover.counters.list() {
        counter!("walnutmoor_profiles_total", "outcome" => outcome)
            .absolute(count);
    }
}

/// Updates the metrics of what is held for other nodes.
fn publish_sessions(state: &mesh::state::State) {
    let sessions = state.sessions.borrow();
    let retained = sessions.values().map(|session| session.retained());
    let (replies, bytes) = retained.fold((0, 0), |sum, (replies, bytes)| {
        (sum.0 + replies, sum.1 + bytes)
    });
    let unwritten: usize = sessions.values().map(|s| s.unwritten()).sum();
    gauge!("walnutmoor_retained_replies").set(replies as f64);
    gauge!("walnutmoor_retained_bytes").set(bytes as f64);
    gauge!("walnutmoor_unwritten_frames").set(unwritten as f64);
}

/// Updates the metrics of connections to the instance.
fn publish_connections(serve: &mesh::serve::Serve) {
    let pool = &serve.pool;
    for (reason, count) in pool.opened_by_reason() {
        let reason = reason.as_str();
        counter!("walnutmoor_connections_opened_total", "reason" => reason)
            .absolute(count);
    }
    for (reason, count) in pool.closings() {
        let reason = reason.as_str();
        counter!("walnutmoor_connections_closed_total", "reason" => reason)
            .absolute(count);
    }
    for (proof, count) in serve.not_run.list() {
        let proof = proof.as_str();
        counter!("walnutmoor_not_run_total", "evidence" => proof)
            .absolute(count);
    }
    for (outcome, count) in serve.cancellations.counters.list() {
        counter!("walnutmoor_canceled_runs_total", "outcome" => outcome)
            .absolute(count);
    }
}
