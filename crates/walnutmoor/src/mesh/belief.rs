/*!
What a node believes of its instance, and what it does when that changes.

Heartbeats, goodbyes, a health check and refused connections tell of it. A
lifetime of an instance that has said that it leaves never takes work again,
whatever comes late, and also where this node is restarted meanwhile: other
nodes remember what it told them, and tell its next life before they send it
any call.
*/

use std::rc::Rc;

use walnutmoor_core::time::Millis;
use walnutmoor_platform::heartbeat::{Report, State as InstanceState};

use super::{journal::Event, serve::Serve, state::State};

/// How long an instance that refuses connections is left alone.
const SUSPEND: Millis = Millis(250);

/// What is known of the instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Known {
    pub(super) id: String,
    pub(super) slots: u32,
    pub(super) sequence: u64,
    pub(super) ready: bool,
}

impl Serve {
    /// An instance reports of itself. True if that changed what is known.
    pub fn report(&self, state: &Rc<State>, report: &Report) {
        if self.former.borrow().contains(&report.instance) {
            return;
        }
        let ready = report.state == InstanceState::Ready;
        let mut known = self.known.borrow_mut();
        let fresh = match &mut *known {
            Some(known) if known.id == report.instance => {
                if report.sequence < known.sequence {
                    return;
                }
                known.sequence = report.sequence;
                // One that has said that it leaves does not come back.
                let changed = known.ready && !ready;
                known.ready &= ready;
                changed
            }
            other => {
                let next = Known {
                    id: report.instance.clone(),
                    slots: report.slots,
                    sequence: report.sequence,
                    ready,
                };
                if let Some(former) = other.replace(next) {
                    self.former.borrow_mut().push(former.id);
                    self.pool.clear();
                }
                true
            }
        };
        drop(known);
        if fresh {
            self.changed(state, "heartbeat");
        }
    }

    /// An instance says that it goes.
    pub fn leave(&self, state: &Rc<State>, instance: &str) {
        let mut known = self.known.borrow_mut();
        match &mut *known {
            Some(known) if known.id == instance => known.ready = false,
            Some(_) => return,
            None => {
                *known = Some(Known {
                    id: instance.to_string(),
                    ..Known::default()
                });
            }
        }
        drop(known);
        self.changed(state, "goodbye");
    }

    /// Instances that have left, as others were told by a former life of
    /// this node.
    pub fn note_former(&self, state: &Rc<State>, instances: Vec<String>) {
        let mut known = self.known.borrow_mut();
        let mine = known.as_mut().filter(|k| instances.contains(&k.id));
        let was = mine.is_some_and(|known| std::mem::take(&mut known.ready));
        drop(known);
        self.former.borrow_mut().extend(instances);
        if was {
            self.changed(state, "a former life of this node");
        }
    }

    /// The id of the instance, if it has left.
    pub fn departed(&self) -> Option<String> {
        let known = self.known.borrow();
        let left = known.as_ref().filter(|k| !k.ready && !k.id.is_empty());
        left.map(|known| known.id.clone())
    }

    /// A health check found the instance.
    pub fn found(
        &self,
        state: &Rc<State>,
        instance: &str,
        slots: u32,
        ready: bool,
    ) {
        if !self.is_unknown() {
            return;
        }
        let id = instance.to_string();
        let ready = ready && !self.former.borrow().contains(&id);
        let known = Known { id, slots, sequence: 0, ready };
        *self.known.borrow_mut() = Some(known);
        self.changed(state, "health check");
    }

    /// Another instance answered at the address.
    pub(super) fn replaced(&self, state: &Rc<State>) {
        let former = self.known.borrow_mut().take();
        if let Some(former) = former {
            self.former.borrow_mut().push(former.id);
        }
        self.pool.clear();
        self.changed(state, "another instance answered");
    }

    /// Takes no more work: this node is about to end, and a call that it
    /// had not finished by then would be lost.
    pub fn retire(&self, state: &Rc<State>) {
        self.retired.set(true);
        self.bulkhead.borrow_mut().close();
        state.announce();
        self.advance(state);
    }

    fn changed(&self, state: &Rc<State>, source: &str) {
        let known = self.known.borrow().clone();
        let mut bulkhead = self.bulkhead.borrow_mut();
        match &known {
            Some(known) if known.ready && !self.retired.get() => {
                bulkhead.open(known.slots);
            }
            _ => bulkhead.close(),
        }
        drop(bulkhead);
        if let Some(instance) = self.departed() {
            state.announce_departure(&instance);
        }
        let known = known.unwrap_or_default();
        let fields = [
            ("instance", known.id.into()),
            ("ready", known.ready.into()),
            ("slots", known.slots.into()),
            ("source", source.into()),
        ];
        state.journal.change(state.now(), Event::Instance, &fields);
        state.announce();
        self.advance(state);
    }

    pub(super) fn instance(&self) -> String {
        let known = self.known.borrow();
        known.as_ref().map(|known| known.id.clone()).unwrap_or_default()
    }

    /// The instance refused a connection: it is left alone for a moment.
    pub(super) fn suspend(&self, state: &Rc<State>) {
        let now = state.now();
        if self.suspended_until.get() > now {
            return;
        }
        self.suspended_until.set(now + SUSPEND);
        self.bulkhead.borrow_mut().close();
        let fields = [("why", "no connection".into())];
        state.journal.change(now, Event::Lost, &fields);
        tokio::task::spawn_local(resume(state.clone()));
        state.announce();
        self.advance(state);
    }
}

async fn resume(state: Rc<State>) {
    let pause = std::time::Duration::from_millis(SUSPEND.0);
    tokio::time::sleep(pause).await;
    let known = state.serve.known.borrow().clone();
    if let Some(known) = known
        && known.ready
        && !state.serve.retired.get()
    {
        state.serve.bulkhead.borrow_mut().open(known.slots);
        state.announce();
    }
}
