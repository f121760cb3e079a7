//! The transactions that keep the table in step with memory, one at a time.

use {
    super::{
        actor::{Committed, Jobs, Reread, SubmitOutcome},
        keys::job_key,
        running::Place,
        store::Flight,
    },
    marigoldbend::core::hash::HashSet,
    std::time::Duration,
    xtra::prelude::*,
};

/// How long one transaction is tried before its outcome is asked for again.
const PATIENCE: Duration = Duration::from_secs(3);

impl Jobs {
    /// Writes what has changed, or asks again for the outcome of an unclear write.
    pub(super) fn flush(&mut self, address: &Address<Self>) {
        let flight = match self.unclear.take() {
            Some(flight) => flight,
            None => match self.store.next_flight() {
                Some(flight) => {
                    self.mark_carried(&flight);
                    flight
                }
                None => return,
            },
        };
        let table = self.table.clone();
        let address = address.clone();
        tokio::spawn(async move {
            let result = table.commit_until_known(&flight.commit, PATIENCE).await;
            // The actor ends only with the process.
            let _ = address.send(Committed { flight, result }).detach().await;
        });
    }

    fn mark_carried(&mut self, flight: &Flight) {
        let jobs: HashSet<&String> = flight.jobs.iter().collect();
        for ((id, _), running) in &mut self.running {
            if !running.started && jobs.contains(id) {
                running.carried_by = Some(flight.commit.op.clone());
            }
        }
    }

    pub(super) fn on_applied(&mut self, address: &Address<Self>, flight: &Flight) {
        self.store.applied(flight);
        for id in &flight.jobs {
            if let Some(reply) = self.waiting.remove(id) {
                // The caller may have given up; the job is accepted all the same.
                let _ = reply.send(SubmitOutcome::Accepted(id.clone()));
            }
        }
        // A claim that was made after this write began is not written yet.
        let op = Some(&flight.commit.op);
        let due: Vec<Place> = self
            .running
            .iter()
            .filter(|(_, r)| !r.started && r.carried_by.as_ref() == op)
            .map(|(place, _)| place.clone())
            .collect();
        for place in due {
            self.start(address, place);
        }
    }

    pub(super) fn on_conflict(
        &mut self,
        address: &Address<Self>,
        flight: &Flight,
        keys: &[String],
    ) {
        self.store.failed(flight);
        if keys.iter().any(|k| self.store.is_adopted_key(k)) {
            log::info!("place: another home adopted the jobs first.");
            self.store.abandon_adoption();
            self.running
                .retain(|(id, _), _| self.store.get(id).is_some());
            return;
        }
        if keys.contains(&self.store.index_key()) {
            log::error!(
                "place: the jobs of this home were adopted by another; it lets go of them."
            );
            self.fenced = true;
            self.running.clear();
            return;
        }
        for key in keys {
            let Some(id) = key.strip_prefix("jobs/").map(str::to_owned) else {
                continue;
            };
            let table = self.table.clone();
            let address = address.clone();
            tokio::spawn(async move {
                if let Ok(row) = table.read(&job_key(&id)).await {
                    // The actor ends only with the process.
                    let _ = address.send(Reread(id, row)).detach().await;
                }
            });
        }
    }

    pub(super) fn refuse_waiting(&mut self, flight: &Flight, reason: &str) {
        for id in &flight.jobs {
            if let Some(reply) = self.waiting.remove(id) {
                self.store.remove(id);
                // The caller may have given up.
                let _ = reply.send(SubmitOutcome::Refused(reason.to_owned()));
            }
        }
    }
}
