//! Admission of callers' requests by the shares of their accounts.

use bytes::BytesMut;
use walnutmoor::mesh::{
    frame::{self, Frame},
    journal::Journal,
    shares::{Applicant, Shares},
};
use walnutmoor_core::{
    account::{Account, Directory},
    error::Kind,
    footprint,
    id::{self, NodeId, Service},
    retry_budget::SampleKey,
    share::{Key, Report, Weight},
    time::Millis,
};

fn name(name: &str) -> id::Account {
    name.parse().unwrap()
}

fn stock() -> Service {
    "stock".parse().unwrap()
}

/// A node that has heard that `hot` demands 12 of 16 slots, and `calm` 4.
fn shares() -> Shares {
    let shares = Shares::new(true);
    let accounts = ["hot", "calm"].map(|n| (Account::new(name(n)), vec![]));
    shares.set_accounts(&Directory::build(accounts).unwrap());
    let demands = [("hot", 12.0), ("calm", 4.0)];
    let demands = demands.map(|(n, demand)| (Key::of(&name(n)), demand));
    let report = Report::new(Millis(0), &demands).unwrap();
    let node = NodeId(([127, 0, 0, 1], 1).into());
    let journal = Journal::silent();
    shares.receive(Millis(0), &journal, (node, &stock()), report);
    shares
}

/// How many of 1,000 requests of an account are admitted if half of the route
/// is, and their weights.
fn admitted(
    shares: &Shares,
    account: Option<&id::Account>,
) -> (usize, Vec<Weight>, Vec<Kind>) {
    let services = [footprint::Key::of(&stock())];
    let outcomes = (0..1_000).map(|n| {
        let applicant = Applicant {
            account,
            fraction: 0.5,
            is_retry: false,
            services: &services,
            sample_key: SampleKey::of(&format!("request-{n}")),
        };
        shares.admit(Millis(10), &applicant)
    });
    let (admitted, refused): (Vec<_>, Vec<_>) =
        outcomes.partition(Result::is_ok);
    let weights = admitted.iter().flatten().map(|root| root.weight);
    let kinds = refused.into_iter().filter_map(Result::err);
    (admitted.len(), weights.collect(), kinds.collect())
}

// If the ingress did not use reports, both accounts would be cut by half.
#[test]
fn an_account_within_its_share_is_admitted_in_full() {
    let (count, weights, _) = admitted(&shares(), Some(&name("calm")));

    assert_eq!(count, 1_000);
    assert!(weights.iter().all(|weight| *weight == Weight::ONE));
}

#[test]
fn an_account_is_within_its_share_until_it_demands_more() {
    let shares = shares();
    let names = [name("hot"), name("calm")];
    let within = names.each_ref().map(|account| {
        let applicant = Applicant {
            account: Some(account),
            fraction: 0.5,
            is_retry: false,
            services: &[],
            sample_key: SampleKey::default(),
        };
        shares.is_within(Millis(10), &applicant)
    });

    assert_eq!(within, [false, true]);
}

#[test]
fn an_account_above_its_share_is_refused_by_it() {
    let (count, weights, kinds) = admitted(&shares(), Some(&name("hot")));

    // 4 of 12 slots are left for it.
    assert!((300..370).contains(&count), "{count}");
    assert!(weights.iter().all(|weight| (weight.get() - 3.0).abs() < 0.05));
    assert!(kinds.iter().all(|kind| *kind == Kind::Share));
}

// The bound on the traffic of reports assumes this size.
#[test]
fn a_report_takes_75_bytes_at_most() {
    let key = |n| Key::of(&name(&format!("account-{n}")));
    // Seven fractions above 127 thousandths take two bytes each.
    let demand = |n| if n < 7 { 30_000.0 } else { 50.0 };
    let demands: Vec<(Key, f64)> =
        (0..256).map(|n| (key(n), demand(n))).collect();
    let uptime = Millis(400 * 24 * 3_600_000);
    let report = Report::new(uptime, &demands).unwrap();

    let mut bytes = BytesMut::new();
    frame::encode(&Frame::Shares(report), &mut bytes);

    assert!(bytes.len() <= 75, "{}", bytes.len());
}

// A report must not outlive the accounts that it names, and one received
// without accounts must not count later.
#[test]
fn without_accounts_reports_are_ignored() {
    let shares = Shares::new(true);
    let demands = [(Key::of(&name("hot")), 12.0)];
    let report = Report::new(Millis(0), &demands).unwrap();
    let node = NodeId(([127, 0, 0, 1], 1).into());

    let journal = Journal::silent();
    shares.receive(Millis(0), &journal, (node, &stock()), report);

    assert!(!shares.is_enabled());
    assert_eq!(shares.report_counts(), [0, 0, 0]);
}

// A node that has not heard a report refuses all accounts alike, and says so.
#[test]
fn a_node_without_reports_refuses_all_accounts_alike() {
    let shares = shares();
    shares.forget(NodeId(([127, 0, 0, 1], 1).into()));

    for account in [Some(name("hot")), Some(name("calm")), None] {
        let (count, _, kinds) = admitted(&shares, account.as_ref());
        assert!((450..550).contains(&count), "{count}");
        assert!(kinds.iter().all(|kind| *kind == Kind::Overloaded));
    }
}

/// Guards against shares that act although the settings do not enable them.
#[test]
fn shares_are_off_unless_enabled() {
    let shares = Shares::new(false);
    let accounts = ["hot", "calm"].map(|n| (Account::new(name(n)), vec![]));

    shares.set_accounts(&Directory::build(accounts).unwrap());

    assert!(!shares.is_enabled());
}
