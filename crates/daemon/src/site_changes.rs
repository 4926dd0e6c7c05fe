//! Changes of the site, from the store and from other daemons, and their effects on this daemon.

use {
    crate::{daemon::Daemon, log_event, store_conn::STORE_SOURCE},
    pick::WorkerKey,
    serde_json::json,
    site::{Change, Config, Effect, Era, Rev, Topic},
    std::sync::Arc,
    unit::Time,
};

impl Daemon {
    /// Applies a change of the site. `source` is [`STORE_SOURCE`] or the address of the daemon that
    /// it came from.
    pub(crate) fn apply_change(&mut self, now: Time, change: Change, source: &str) {
        let (topic, rev) = (change.topic, change.rev);
        let old_revs = self.view.revs();
        let effects = self.view.apply(change, now);
        for effect in effects {
            self.apply_effect(now, effect, source, rev);
        }
        if source != STORE_SOURCE && self.view.revs().of(topic) > old_revs.of(topic) {
            self.store.peer_ahead(topic, now);
        }
        if topic == Topic::Workers {
            self.prune_pools();
        }
        if matches!(topic, Topic::Rollouts | Topic::Workers) {
            self.update_lanes(now);
        }
        if self.view.revs().ahead(&old_revs) {
            let own = self.own_state();
            let actions = self.roster.announce(now, &own);
            self.run_roster_actions(now, actions);
        }
        self.check_ready(now);
        self.observe_era(now, self.view.revs().era());
    }

    /// Tells the store client of an era.
    pub(crate) fn observe_era(&mut self, now: Time, era: Era) {
        let actions = self.store.observe_era(now, era);
        self.run_store_actions(now, actions);
    }

    /// Gives effect to what a copy of the store has said for long enough.
    pub(crate) fn settle_view(&mut self, now: Time) {
        let rev = self.view.revs().evacuations;
        for effect in self.view.settle(now) {
            self.apply_effect(now, effect, STORE_SOURCE, rev);
        }
    }

    /// Logs an effect of a change and updates the worker table and the dispatcher.
    fn apply_effect(&mut self, now: Time, effect: Effect, source: &str, rev: Rev) {
        let rev = rev.to_string();
        match effect {
            Effect::Config(version) => {
                self.config = self.view.config().cloned();
                let fields = json!({"version": version, "rev": rev, "source": source});
                self.log_event(now, log_event::CONFIG_IN_FORCE, fields);
                if let Some(config) = self.config.clone() {
                    self.report_problems(now, &config);
                    self.account_usage.retain(&config);
                    self.dispatcher.configure(Arc::clone(&config));
                    self.configure_quotas(now, &config);
                }
            }
            Effect::Evacuation(centre, evacuated) => {
                self.dispatcher
                    .table
                    .set_evacuated(centre.clone(), evacuated);
                let event = if evacuated {
                    log_event::CENTRE_EVACUATED
                } else {
                    log_event::CENTRE_RETURNED
                };
                let fields = json!({"centre": centre, "rev": rev, "source": source});
                self.log_event(now, event, fields);
            }
            Effect::Rollouts => self.sync_rollouts(now),
            Effect::Worker(worker) => {
                let fields = json!({
                    "worker": worker.id,
                    "service": worker.service,
                    "state": format!("{:?}", worker.state).to_lowercase(),
                    "cold_ms": worker.cold_remaining.as_millis(),
                    "rev": rev,
                    "source": source,
                });
                self.log_event(now, log_event::WORKER_ENTERED, fields);
                let _: WorkerKey = self.dispatcher.table.upsert(worker, now);
            }
            Effect::WorkerRemoved(id, departure) => {
                let fields = json!({
                    "worker": id,
                    "departure": format!("{departure:?}").to_lowercase(),
                    "rev": rev,
                    "source": source,
                });
                self.log_event(now, log_event::WORKER_GONE, fields);
                let drain = self.settings.bounds.drain;
                self.dispatcher
                    .table
                    .mark_removed(&id, departure, drain, now);
            }
            Effect::WorkerStale(id) => {
                let fields = json!({"worker": id, "rev": rev, "source": source});
                self.log_event(now, log_event::WORKER_ENTRY_STALE, fields);
            }
        }
    }

    /// Logs and counts the routes and accounts of a configuration that aren't in force as they are
    /// configured.
    fn report_problems(&mut self, now: Time, config: &Config) {
        let mut count = 0;
        for (route, reason) in config.problems() {
            count += 1;
            let fields = json!({"version": config.version, "route": route, "reason": reason});
            self.log_event(now, log_event::ROUTE_PROBLEM, fields);
        }
        self.metrics.route_problems.set(count);
        for problem in &config.account_problems {
            let fields = json!({
                "version": config.version,
                "account": problem.account,
                "reason": problem.reason,
            });
            self.log_event(now, log_event::ACCOUNT_PROBLEM, fields);
        }
        // The number of entries of a configuration is far below the range.
        let count = config.account_problems.len() as i64;
        self.metrics.account_problems.set(count);
    }
}
