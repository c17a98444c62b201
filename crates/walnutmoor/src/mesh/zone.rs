/*!
Tells when the preference for the local zone falls or is full again, if the
setting `overload.zone_spill` is on. `walnutmoor_core::zone` decides.
*/

use std::{cell::RefCell, collections::BTreeSet};

use walnutmoor_core::{
    balance::Balancer,
    id::{Service, Zone},
    time::Millis,
    zone::{Preference, Utilization},
};

use super::journal::{Event, Journal};

/// The services for which the preference is reduced.
#[derive(Debug, Default)]
pub struct Watch(RefCell<BTreeSet<Service>>);

/// A preference that has begun to fall, or is full again.
struct Change {
    service: Service,
    preference: Preference,
    utilization: Option<Utilization>,
}

impl Watch {
    /// Logs the services whose preference has begun to fall or is full again
    /// since the last call.
    pub fn log_changes(
        &self,
        now: Millis,
        balancer: &Balancer,
        zone: &Zone,
        journal: &Journal,
    ) {
        for change in self.changes(now, balancer, zone) {
            let utilization = change.utilization.map(|used| used.to_string());
            let fields = [
                ("service", change.service.as_str().into()),
                ("zone", zone.as_str().into()),
                ("preference", change.preference.to_string().into()),
                ("used", utilization.into()),
            ];
            journal.log_event(now, Event::Zone, &fields);
        }
    }

    fn changes(
        &self,
        now: Millis,
        balancer: &Balancer,
        zone: &Zone,
    ) -> Vec<Change> {
        let mut reduced = self.0.borrow_mut();
        let mut changes = Vec::new();
        for service in balancer.services() {
            let preferences = balancer.preferences(now, service);
            let preference = preferences.least();
            let is_reduced = preference < Preference::FULL;
            if is_reduced == reduced.contains(service) {
                continue;
            }
            match is_reduced {
                true => reduced.insert(service.clone()),
                false => reduced.remove(service),
            };
            let service = service.clone();
            let utilization = preferences.utilization(zone);
            changes.push(Change { service, preference, utilization });
        }
        changes
    }
}
