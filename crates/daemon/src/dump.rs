//! The `/dump` page for operators: the daemon's state as JSON.

use {
    crate::daemon::Daemon,
    pick::WorkerRecord,
    serde_json::{Value, json},
    unit::{Rate, Time},
};

impl Daemon {
    /// The daemon's state: the fleet, the workers with their last reported load, and the requests
    /// in flight.
    pub(crate) fn dump(&self, now: Time) -> Value {
        let own = self.own_state();
        json!({
            "name": self.settings.name,
            "centre": self.settings.centre,
            "stage": format!("{:?}", self.stage).to_lowercase(),
            "config": self.config.as_ref().map(|config| config.version),
            "accounts": self.accounts_json(now),
            "problems": self.problems_json(),
            "age_ms": self.roster.staleness(now, &own).as_millis(),
            "watch": format!("{:?}", own.watch).to_lowercase(),
            "revs": {
                "era": own.revs.era().0,
                "config": own.revs.config.number,
                "evacuations": own.revs.evacuations.number,
                "workers": own.revs.workers.number,
            },
            "evacuated": self.view.evacuations().collect::<Vec<_>>(),
            "members": self.members_json(now),
            "workers": self.workers_json(now),
            "rollouts": self.rollouts_json(now),
            "requests": self.requests_json(now),
            "may_retry": self.dispatcher.may_retry(now),
            "barred": self.dispatcher.crash_log().count_barred(now),
            "relayed": self.relays.len(),
            "connections": {"callers": self.caller_count, "all": self.conns.len()},
        })
    }

    /// The routes that aren't served as they are configured.
    fn problems_json(&self) -> Vec<Value> {
        let problems = self.config.iter().flat_map(|config| config.problems());
        problems
            .map(|(route, reason)| json!({"route": route, "reason": reason}))
            .collect()
    }

    fn members_json(&self, now: Time) -> Vec<Value> {
        let members = self.roster.members().iter();
        members
            .map(|(name, member)| {
                json!({
                    "name": name,
                    "centre": member.centre,
                    "address": member.ip.to_string(),
                    "alive": self.roster.is_alive(member, now),
                    "stage": format!("{:?}", member.stage).to_lowercase(),
                    "heard_ms": member.last_heard.map(|at| now.since(at).as_millis()),
                })
            })
            .collect()
    }

    fn workers_json(&self, now: Time) -> Vec<Value> {
        let workers = self.dispatcher.table.iter();
        workers
            .map(|(key, record)| {
                let standing = self.dispatcher.table.standing(key, now);
                worker_json(record, &format!("{standing:?}").to_lowercase(), now)
            })
            .collect()
    }

    fn requests_json(&self, now: Time) -> Vec<Value> {
        let calls = self.calls.values();
        calls
            .map(|active| {
                json!({
                    "request": active.id,
                    "account": active.account,
                    "elapsed_ms": now.since(active.started).as_millis(),
                })
            })
            .collect()
    }
}

fn worker_json(record: &WorkerRecord, standing: &str, now: Time) -> Value {
    let load = record.load(now).map(|(load, age)| {
        json!({
            "running": load.running,
            "waiting": load.waiting,
            "slots": load.slots,
            "pace": load.latency_percent,
            "age_ms": age.as_millis(),
        })
    });
    json!({
        "id": record.worker.id,
        "service": record.worker.service,
        "centre": record.worker.centre,
        "address": record.worker.address.to_string(),
        "version": record.worker.version,
        "lane": format!("{:?}", record.lane()).to_lowercase(),
        "standing": standing,
        "cold": record.is_cold(now),
        "slowness": record.slowness(now),
        "leaving": record.said_leaving(),
        "load": load,
        "retry_ms": record.retry_left(now).as_millis(),
        "rejections": record.rejections(),
        "limit": record.rate_limit().map(Rate::as_per_second),
    })
}
