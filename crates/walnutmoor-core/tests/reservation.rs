//! Reservations of refused callers.

use walnutmoor_core::{
    reservation::{
        Book, Budget, Caller, Flow, MIN_RETRY_AFTER, Standing, Told,
    },
    time::Millis,
};

const LEFT: Millis = Millis(6_000);

fn flow() -> Flow {
    Flow::of("lookups")
}

fn caller(content: u32) -> Caller {
    let fingerprint = format!("{content:032x}").parse().unwrap();
    Caller { fingerprint, account: None }
}

fn budget(left: Millis) -> Budget {
    Budget { left, target_left: Millis(4_000) }
}

/// A book of a flow with 100 requests per second, of which this fraction has
/// been admitted for some time. Returns it with the current time.
fn book(fraction: f64) -> (Book, Millis) {
    let mut book = Book::new();
    for n in 0..400 {
        let fraction = if n < 200 { 1.0 } else { fraction };
        let now = Millis(n * 10);
        book.observe(now, &flow(), fraction);
        if fraction < 1.0 {
            book.take(now, &flow(), &Standing::New);
        }
    }
    (book, Millis(4_000))
}

fn refuse(book: &mut Book, now: Millis, content: u32) -> Told {
    book.refuse(now, &flow(), &caller(content), budget(LEFT), 0.0)
}

/// Refuses this many callers.
fn refuse_all(book: &mut Book, now: Millis, count: u32) {
    for content in 0..count {
        refuse(book, now, content);
    }
}

/// Uses up all tokens of the flow for new callers.
fn exhaust(book: &mut Book, now: Millis) {
    while book.take(now, &flow(), &Standing::New) {}
}

#[test]
fn rate_is_the_admitted_fraction_of_the_arrivals() {
    let (book, now) = book(0.5);

    let rate = book.rate(now, &flow()).unwrap().per_second();

    assert!((45.0..55.0).contains(&rate), "{rate}");
}

/// Guards against retry times that ignore how many callers were sent away.
#[test]
fn retry_time_grows_with_the_backlog() {
    let (mut book, now) = book(0.5);

    let told: Vec<Told> =
        (0..100).map(|n| refuse(&mut book, now, n)).collect();

    assert_eq!(told[0].retry_after, MIN_RETRY_AFTER);
    // The rate is 50 per second, of which 40 are for returning callers.
    let span = told[59].retry_after.0;
    assert!((1_300..1_700).contains(&span), "{span}");
    let reserved: Vec<Millis> = told
        .iter()
        .filter_map(|told| told.is_reserved.then_some(told.retry_after))
        .collect();
    assert!(reserved.is_sorted(), "{reserved:?}");
    assert!(reserved.len() > 70, "{}", reserved.len());
    assert!(reserved.iter().all(|span| *span <= Millis(LEFT.0 / 3)));
}

/// Guards against promises that no answer can keep.
#[test]
fn a_caller_that_cannot_be_answered_in_time_gets_no_reservation() {
    let (mut book, now) = book(0.5);
    refuse_all(&mut book, now, 70);

    let short = Budget { left: Millis(1_500), target_left: Millis(1_500) };
    let told = book.refuse(now, &flow(), &caller(70), short, 0.5);

    assert!(!told.is_reserved);
    assert!(told.retry_after > Millis(1_500), "{told:?}");
    let later = now + Millis(500);
    let standing = book.claim(later, &caller(70), Millis(1_000));
    assert_eq!(standing, Standing::Returning);
}

/// Guards against promises that are broken because new callers arrive at the
/// same time.
#[test]
fn due_reservation_is_admitted_although_the_rate_is_used_up() {
    let (mut book, now) = book(0.5);
    let told = refuse(&mut book, now, 1);
    let later = now + told.retry_after;
    exhaust(&mut book, later);

    let standing = book.claim(later, &caller(1), LEFT - told.retry_after);

    assert!(matches!(standing, Standing::Due(_)), "{standing:?}");
    assert!(!book.take(later, &flow(), &Standing::New));
    assert!(book.take(later, &flow(), &standing));
    assert_eq!(book.stats().kept, 1);
}

/// Guards against returning callers that overload the service because each of
/// them is admitted at once.
#[test]
fn overdraft_is_bounded_and_paid_back_by_new_callers() {
    let (mut book, now) = book(0.5);
    exhaust(&mut book, now);
    let due = Standing::Due(walnutmoor_core::reservation::Number(1));

    let count = (0..100).filter(|_| book.take(now, &flow(), &due)).count();

    // 0.2 s of 50 per second.
    assert!((8..=12).contains(&count), "{count}");
    let later = now + Millis(150);
    assert!(!book.take(later, &flow(), &Standing::New));
    let later = now + Millis(300);
    assert!(book.take(later, &flow(), &Standing::New));
}

/// Guards against a new caller that takes the place of one with the same
/// content, such as a popular read.
#[test]
fn first_request_with_the_same_content_does_not_use_a_reservation() {
    let (mut book, now) = book(0.5);
    let told = refuse(&mut book, now, 1);
    let later = now + told.retry_after;

    assert_eq!(book.claim(later, &caller(1), LEFT), Standing::New);
    let left = LEFT - told.retry_after;
    let standing = book.claim(later, &caller(1), left);
    assert!(matches!(standing, Standing::Due(_)), "{standing:?}");
    assert_eq!(book.claim(later, &caller(1), left), Standing::New);
}

#[test]
fn callers_with_the_same_content_have_a_reservation_each() {
    let (mut book, now) = book(0.5);
    let first = refuse(&mut book, now, 1);
    let second = refuse(&mut book, now, 1);
    let later = now + first.retry_after.max(second.retry_after);

    for _ in 0..2 {
        let standing = book.claim(later, &caller(1), Millis(5_000));
        assert!(matches!(standing, Standing::Due(_)), "{standing:?}");
    }
    let standing = book.claim(later, &caller(1), Millis(5_000));
    assert_eq!(standing, Standing::New);
}

/// Guards against one account that uses the reservation of another.
#[test]
fn accounts_have_reservations_of_their_own() {
    let (mut book, now) = book(0.5);
    refuse(&mut book, now, 1);
    let account = Some("acme".parse().unwrap());
    let other = Caller { account, ..caller(1) };

    let standing = book.claim(now + Millis(300), &other, Millis(5_000));

    assert_eq!(standing, Standing::New);
}

#[test]
fn early_caller_keeps_its_reservation() {
    let (mut book, now) = book(0.5);
    refuse_all(&mut book, now, 40);
    let told = refuse(&mut book, now, 40);
    assert!(told.retry_after > Millis(800), "{told:?}");

    let early = book.claim(now + Millis(100), &caller(40), Millis(5_900));

    let left = told.retry_after - Millis(100);
    assert_eq!(early, Standing::Early(left));
    let due = now + told.retry_after;
    let standing = book.claim(due, &caller(40), Millis(5_000));
    assert!(matches!(standing, Standing::Due(_)), "{standing:?}");
}

/// Guards against a backlog of callers that have given up.
#[test]
fn callers_that_do_not_return_leave_the_backlog() {
    let (mut book, now) = book(0.5);
    refuse_all(&mut book, now, 50);
    let before = refuse(&mut book, now, 50);

    let after = refuse(&mut book, now + Millis(2_500), 51);

    assert_eq!(before.backlog, 50);
    assert_eq!(after.backlog, 0);
    refuse(&mut book, now + LEFT, 52);
    assert_eq!(book.stats().unclaimed, 51);
    assert_eq!(book.len(), 2);
}

/// Guards against new callers that are refused instead of waiting, because of
/// reservations that nobody uses.
#[test]
fn callers_that_do_not_return_are_not_expected_before_new_ones() {
    let (mut book, now) = book(0.5);
    refuse_all(&mut book, now, 20);
    let ahead = book.ahead(now, &flow(), Millis(400));
    assert!(ahead > 4.0, "{ahead}");

    let later = now + Millis(2_500);
    let ahead = book.ahead(later, &flow(), Millis(400));

    assert!(ahead <= 0.0, "{ahead}");
}

/// Guards against unbounded memory under a flood of distinct requests.
#[test]
fn number_of_remembered_callers_is_bounded() {
    let (mut book, now) = book(0.5);

    for content in 0..10_000 {
        refuse(&mut book, now, content);
    }

    assert_eq!(book.len(), 4_096);
    let told = refuse(&mut book, now, 10_000);
    assert!(!told.is_reserved);
}

/// Guards against unbounded memory under many routes and accounts.
#[test]
fn number_of_flows_is_bounded() {
    let mut book = Book::new();
    for n in 0..2_000 {
        let now = Millis(n);
        book.observe(now, &Flow::of(&format!("route-{n}")), 0.5);
    }

    let now = Millis(2_000);
    let rate = |n: u64| book.rate(now, &Flow::of(&format!("route-{n}")));
    assert!(rate(0).is_none());
    assert!(rate(1_999).is_some());
}

/// Guards against a rate that collapses with the arrivals at the end of a
/// burst, when those that were sent away come back.
#[test]
fn rate_outlasts_the_end_of_a_burst() {
    let (mut book, now) = book(0.5);
    let before = book.rate(now, &flow()).unwrap().per_second();
    for n in 0..10 {
        book.observe(now + Millis(n * 100), &flow(), 0.5);
    }

    let later = now + Millis(1_000);
    let after = book.rate(later, &flow()).unwrap().per_second();

    assert!(after > before * 0.6, "{before} {after}");
}
