/*!
What follows from what a node believes of its instance.

`walnutmoor_core::lifetime` decides what is believed; here the bulkhead is
opened and closed, connections are dropped and others are told. A lifetime that
has said that it leaves never takes work again, also where this node is
restarted meanwhile: other nodes remember what it told them, and tell its next
life before they send it any call.
*/

use std::rc::Rc;

use walnutmoor_core::{
    lifetime::{Change, Lifetime, Report},
    time::Millis,
};

use super::{journal::Event, serve::Serve, state::State};

/// How long an instance that refuses connections is left alone.
const SUSPEND: Millis = Millis(250);

impl Serve {
    /// An instance reports of itself.
    pub fn report(&self, state: &Rc<State>, report: &Report) {
        let before = self.belief.borrow().current().cloned();
        let change = self.belief.borrow_mut().report(report);
        if let Some(before) = before.filter(|before| before.ready)
            && change == Change::Lifetime
        {
            self.note_crash(state, &before.lifetime, "another lifetime");
        }
        self.follow(state, change, "heartbeat");
    }

    /// An instance says that it goes.
    pub fn leave(&self, state: &Rc<State>, lifetime: &Lifetime) {
        let change = self.belief.borrow_mut().leave(lifetime);
        self.follow(state, change, "goodbye");
    }

    /// Lifetimes that have left, as others were told by a former life of
    /// this node.
    pub fn note_former(&self, state: &Rc<State>, lifetimes: Vec<Lifetime>) {
        let change = self.belief.borrow_mut().record_departed(lifetimes);
        self.follow(state, change, "a former life of this node");
    }

    /// The lifetime of the instance, if it has left.
    pub fn departed(&self) -> Option<Lifetime> {
        self.belief.borrow().departed().cloned()
    }

    /// A health check found the instance.
    pub fn found(
        &self,
        state: &Rc<State>,
        instance: &str,
        slots: u32,
        ready: bool,
    ) {
        let change = self
            .belief
            .borrow_mut()
            .record_health_check(instance, slots, ready);
        self.follow(state, change, "health check");
    }

    /// Another instance answered at the address.
    pub(super) fn replaced(&self, state: &Rc<State>) {
        let before = self.belief.borrow().current().cloned();
        let change = self.belief.borrow_mut().forget();
        if let Some(before) = before.filter(|before| before.ready) {
            self.note_crash(state, &before.lifetime, "another instance");
        }
        self.follow(state, change, "another instance answered");
    }

    /// Takes no more work: this node is about to end, and a call that it
    /// had not finished by then would be lost.
    pub fn retire(&self, state: &Rc<State>) {
        self.retired.set(true);
        self.bulkhead.borrow_mut().close();
        state.announce();
        self.advance(state);
    }

    fn follow(&self, state: &Rc<State>, change: Change, source: &str) {
        if !change.has_changed() {
            return;
        }
        if change == Change::Lifetime {
            self.pool.clear();
        }
        self.reopen();
        if let Some(lifetime) = self.departed() {
            state.announce_departure(&lifetime);
        }
        self.note(state, source);
        state.announce();
        self.advance(state);
    }

    /// Opens the bulkhead if the instance takes work, and closes it if not.
    fn reopen(&self) {
        let belief = self.belief.borrow();
        let mut bulkhead = self.bulkhead.borrow_mut();
        match belief.current() {
            Some(known) if known.ready && !self.retired.get() => {
                bulkhead.open(known.slots);
            }
            _ => bulkhead.close(),
        }
    }

    fn note(&self, state: &State, source: &str) {
        let known = self.belief.borrow().current().cloned();
        let known = known.unwrap_or_default();
        let born = known.lifetime.started_at.map(|born| born.0);
        let fields = [
            ("instance", known.lifetime.id.into()),
            ("born", born.into()),
            ("ready", known.ready.into()),
            ("slots", known.slots.into()),
            ("sequence", known.sequence.into()),
            ("source", source.into()),
        ];
        state.journal.log_event(state.now(), Event::Instance, &fields);
    }

    pub(super) fn instance(&self) -> String {
        let belief = self.belief.borrow();
        let id = belief.current().map(|known| known.lifetime.id.clone());
        id.unwrap_or_default()
    }

    /// The instance refused a connection: it is left alone for a moment.
    pub(super) fn suspend(&self, state: &Rc<State>) {
        self.bulkhead.borrow_mut().close();
        if !self.suspended.replace(true) {
            let fields = [("why", "no connection".into())];
            state.journal.log_event(state.now(), Event::Lost, &fields);
            tokio::task::spawn_local(resume(state.clone()));
        }
        state.announce();
        self.advance(state);
    }
}

/// Opens the instance again once something listens at its address. Opened
/// without the question, it was sent requests that came back each time, and
/// all nodes wrote a line: 2,802 in the log of one day with crashes.
async fn resume(state: Rc<State>) {
    let pause = std::time::Duration::from_millis(SUSPEND.0);
    let serve = &state.serve;
    loop {
        tokio::time::sleep(pause).await;
        if !serve.pool.is_gone().await {
            break;
        }
    }
    serve.suspended.set(false);
    if serve.belief.borrow().is_ready() && !serve.retired.get() {
        serve.reopen();
        state.announce();
    }
}
