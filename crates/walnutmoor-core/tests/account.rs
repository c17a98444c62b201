//! Authentication of requests by key.

use walnutmoor_core::{
    account::{Account, Change, Digest, Directory, Error, Key, Quota, Sender},
    error::Kind,
    id,
};

fn name(text: &str) -> id::Account {
    text.parse().unwrap()
}

fn entry(account: &str, keys: &[&str]) -> (Account, Vec<Digest>) {
    let digests = keys.iter().map(|key| Digest::of(key.as_bytes()));
    (Account::new(name(account)), digests.collect())
}

fn directory() -> Directory {
    let entries = [entry("acme", &["k-1", "k-2"]), entry("bolt", &["k-3"])];
    Directory::build(entries).unwrap()
}

fn sender() -> Sender {
    Sender::default()
}

/// Returns the account that a request is from, or why it is refused.
fn authenticate(key: Key<'_>, sender: Sender) -> Result<Option<String>, Kind> {
    let directory = directory();
    let account = directory.authenticate(key, sender)?;
    Ok(account.map(|account| account.name.to_string()))
}

#[test]
fn key_identifies_its_account() {
    let from = |key: &str| authenticate(Key::One(key.as_bytes()), sender());

    assert_eq!(from("k-1"), Ok(Some("acme".into())));
    assert_eq!(from("k-2"), Ok(Some("acme".into())));
    assert_eq!(from("k-3"), Ok(Some("bolt".into())));
}

#[test]
fn unknown_keys_are_refused() {
    let long = "k".repeat(100_000);
    let unknown_keys: [&[u8]; 8] = [
        b"",
        b" ",
        b"K-1",
        b"k-1 ",
        b"k-",
        b"k-1,k-2",
        b"\xff\xfe",
        long.as_bytes(),
    ];

    for key in unknown_keys {
        assert_eq!(
            authenticate(Key::One(key), sender()),
            Err(Kind::UnknownKey)
        );
    }
    assert_eq!(authenticate(Key::Missing, sender()), Err(Kind::UnknownKey));
    assert_eq!(authenticate(Key::Several, sender()), Err(Kind::UnknownKey));
}

#[test]
fn anybody_may_call_without_accounts() {
    let directory = Directory::default();

    for key in [Key::Missing, Key::One(b"any"), Key::Several] {
        assert_eq!(directory.authenticate(key, sender()), Ok(None));
    }
}

#[test]
fn public_route_needs_no_key_and_accepts_a_valid_one() {
    let public = Sender { is_public: true, ..sender() };

    assert_eq!(authenticate(Key::Missing, public), Ok(None));
    assert_eq!(authenticate(Key::One(b"gone"), public), Ok(None));
    assert_eq!(authenticate(Key::Several, public), Ok(None));
    assert_eq!(
        authenticate(Key::One(b"k-1"), public),
        Ok(Some("acme".into()))
    );
}

#[test]
fn only_local_runs_make_calls_without_a_key() {
    let run = Sender { is_local_run: true, has_call_id: true, ..sender() };
    let orphan = Sender { has_call_id: true, ..sender() };

    assert_eq!(authenticate(Key::Missing, run), Ok(None));
    // Temporary, because the key is not known to be invalid.
    assert_eq!(authenticate(Key::Missing, orphan), Err(Kind::Orphaned));
    assert_eq!(Kind::Orphaned.status(), 503);
    // A request with a key is from a caller, whatever its id looks like.
    assert_eq!(authenticate(Key::One(b"k-1"), run), Ok(Some("acme".into())));
    assert_eq!(authenticate(Key::One(b"no"), run), Err(Kind::UnknownKey));
    assert_eq!(authenticate(Key::Several, run), Err(Kind::UnknownKey));
}

#[test]
fn conflicting_accounts_are_refused() {
    let shared = [entry("acme", &["k-1"]), entry("bolt", &["k-1"])];
    let error = Directory::build(shared).unwrap_err();
    assert_eq!(error, Error::SharedKey(name("acme"), name("bolt")));
    assert!(!error.to_string().contains("k-1"));

    let twice = [entry("acme", &["k-1"]), entry("acme", &["k-2"])];
    let error = Directory::build(twice).unwrap_err();
    assert_eq!(error, Error::DuplicateAccount(name("acme")));

    let amounts =
        [(-1.0, 0.0), (1.0, -0.5), (f64::NAN, 0.0), (1.0, f64::INFINITY)];
    for (rate, burst) in amounts {
        let mut account = Account::new(name("acme"));
        account.quota = Some(Quota { rate, burst });
        let error = Directory::build([(account, Vec::new())]).unwrap_err();
        assert_eq!(error, Error::InvalidQuota(name("acme")));
    }
}

#[test]
fn a_key_may_be_listed_twice_for_one_account() {
    let directory = Directory::build([entry("acme", &["k-1", "k-1"])]);

    assert!(directory.is_ok());
}

#[test]
fn changes_count_keys_by_account() {
    let next = Directory::build([
        entry("acme", &["k-2"]),
        entry("bolt", &["k-3", "k-4", "k-5"]),
        entry("calm", &["k-1"]),
    ])
    .unwrap();

    let changes = next.changes_since(&directory());

    let change = |account, added, removed| {
        let account = name(account);
        Change { account, added, removed }
    };
    let expected =
        [change("acme", 0, 1), change("bolt", 2, 0), change("calm", 1, 0)];
    assert_eq!(changes, expected);
}

#[test]
fn keys_and_digests_are_not_printed() {
    let digest = Digest::of(b"k-1");

    assert_eq!(format!("{digest:?}"), "Digest(..)");
    let shown = format!("{:?}", directory());
    assert!(!shown.contains("k-1") && !shown.contains(&digest.to_string()));
    let error = "k-secret".parse::<Digest>().unwrap_err();
    assert!(!error.to_string().contains("secret"));
}

#[test]
fn digest_round_trips_through_text() {
    let digest = Digest::of(b"k-1");

    assert_eq!(digest.to_string().parse::<Digest>().unwrap(), digest);
    let text = digest.to_string();
    assert_eq!(text.len(), 32);
    let long = text.clone() + "0";
    for text in ["", "zz", &text[1..], &long, &"z".repeat(32), &"é".repeat(16)]
    {
        assert!(text.parse::<Digest>().is_err());
    }
}

#[test]
fn account_priority_overrides_route_urgency() {
    let urgencies =
        |account: &Account| [0, 1, 2, 3].map(|r| account.urgency(r));
    let plain = Account::new(name("acme"));
    let first = plain.clone().priority(0);
    let second = plain.clone().priority(1);

    assert_eq!(urgencies(&plain), [0, 1, 2, 3]);
    assert_eq!(urgencies(&first), [0, 1, 1, 1]);
    assert_eq!(urgencies(&second), [1, 1, 2, 3]);
    // No request of the first account ranks behind one of the second.
    let last = urgencies(&first).into_iter().max();
    assert!(last <= urgencies(&second).into_iter().min());
}
