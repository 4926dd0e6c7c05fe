use {
    crate::{
        attempt::{Attempt, LEAST},
        dialer::PATIENCE,
        flight::Flight,
        hall::Grant,
    },
    back::{Dialed, Taken, dial},
    conf::Policy,
    pick::{Event, Verdict},
    wire::Conn,
};

impl Attempt<'_> {
    /// Sends the request to a worker; `false` where no byte has left.
    pub(crate) fn launch(&mut self, grant: Grant) -> bool {
        let Some((conn, reused)) = self.connect(&grant) else {
            return false;
        };
        let now = self.daemon.now();
        let end = grant
            .expires
            .unwrap_or(self.job.deadline)
            .min(self.job.deadline);
        if end.since(now) < LEAST {
            self.daemon.pool.put(&grant.worker, grant.boot, conn);
            self.finish(&grant.worker, Verdict::Cancelled, true);
            return false;
        }
        let mut flight = Flight {
            boot: grant.boot,
            conn,
            end: self.daemon.instant(end),
            reused,
            sent: now,
            worker: grant.worker,
        };
        let mut request = self.request.clone();
        let left = end.since(now).as_millis();
        request.headers.add("Anvilferry-Deadline-Ms", left);
        request.headers.add(
            "Anvilferry-Expires-Unix-Ms",
            self.daemon.clock.unix_millis(end),
        );
        if self.job.extra || self.hedged {
            request.headers.add("Anvilferry-Extra", 1);
        }
        // A failure shows when the answer is read.
        drop(flight.conn.write_request(&request));
        self.flights.push(flight);
        true
    }

    /// A connection to the granted worker, from the pool or new; `None` ends the grant.
    fn connect(&self, grant: &Grant) -> Option<(Conn, bool)> {
        let pool = &self.daemon.pool;
        let missing = match pool.take(&grant.worker, grant.boot) {
            Taken::Conn(conn) => return Some((conn, true)),
            Taken::Dead => Verdict::Unsent,
            Taken::Empty => Verdict::Unconnected,
        };
        let address = self
            .daemon
            .live
            .load()
            .vms
            .get(&grant.worker)
            .map(|vm| vm.address);
        let (Some(until), Some(address)) = (grant.dial, address) else {
            self.finish(&grant.worker, missing, false);
            return None;
        };
        self.daemon.metrics.dials.inc();
        if self.daemon.settings.policy != Policy::Lease {
            let conn = pool.connect(address, PATIENCE).ok();
            if conn.is_none() {
                self.finish(&grant.worker, Verdict::Unsent, false);
            }
            return conn.map(|conn| (conn, false));
        }
        match dial(
            address,
            &self.service.probe,
            self.daemon.instant(until),
            PATIENCE,
        ) {
            Ok(Dialed { boot, conn }) if Some(boot) == grant.boot => Some((conn, false)),
            Ok(Dialed { boot, conn }) => {
                self.finish(&grant.worker, Verdict::Unsent, false);
                pool.put(&grant.worker, Some(boot), conn);
                let worker = grant.worker.clone();
                self.drive(Event::Dialed {
                    ahead: false,
                    boot: Some(boot),
                    worker,
                });
                None
            }
            Err(_) => {
                self.finish(&grant.worker, Verdict::Unsent, false);
                None
            }
        }
    }
}
