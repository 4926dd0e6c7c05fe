//! How many requests of each client account this daemon got, and what operators see of it.

use {
    crate::daemon::Daemon,
    serde_json::{Value, json},
    site::{Account, Config},
    std::sync::Arc,
    unit::{Map, Name, Rate, Time},
};

/// The accounts that operators see one by one; the others are shown as a sum.
const MAX_SHOWN: usize = 100;

/// The requests of each account since it became known.
#[derive(Debug, Default)]
pub(crate) struct AccountUsage(Map<Name, u64>);

impl AccountUsage {
    /// Counts a request that came with a key of the account.
    pub(crate) fn count(&mut self, account: &Name) {
        match self.0.get_mut(account) {
            Some(count) => *count += 1,
            None => {
                self.0.insert(account.clone(), 1);
            }
        }
    }

    /// Drops the counts of accounts that a configuration doesn't have, which bounds their number.
    pub(crate) fn retain(&mut self, config: &Config) {
        self.0.retain(|name, _| config.accounts.contains_key(name));
    }

    fn of(&self, account: &Name) -> u64 {
        self.0.get(account).copied().unwrap_or_default()
    }
}

impl Daemon {
    /// The client accounts, without their keys, with the requests that this daemon got, and
    /// those that are not in force as they are configured.
    pub(crate) fn accounts_json(&self, now: Time) -> Value {
        let Some(config) = &self.config else {
            return Value::Null;
        };
        let mut accounts: Vec<&Arc<Account>> = config.accounts.values().collect();
        accounts.sort_by_key(|account| &account.name);
        let (shown, others) = accounts.split_at(accounts.len().min(MAX_SHOWN));
        let requests = |account: &Arc<Account>| self.account_usage.of(&account.name);
        let shown: Vec<Value> = shown
            .iter()
            .map(|account| {
                json!({
                    "name": account.name,
                    "keys": account.keys.len(),
                    "rate": account.rate.map(Rate::as_per_second),
                    "burst": account.burst,
                    "priority": account.priority,
                    "requests": requests(account),
                    "quota": self.quota_json(now, &account.name),
                })
            })
            .collect();
        let problems: Vec<Value> = config
            .account_problems
            .iter()
            .map(|problem| json!({"account": problem.account, "reason": problem.reason}))
            .collect();
        json!({
            "count": accounts.len(),
            "shown": shown,
            "others": {
                "count": others.len(),
                "requests": others.iter().copied().map(requests).sum::<u64>(),
            },
            "problems": problems,
        })
    }
}
