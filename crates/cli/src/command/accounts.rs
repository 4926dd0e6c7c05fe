use {
    crate::{context::Context, error::CliError, http::fetch_page},
    serde_json::Value,
    std::net::SocketAddrV4,
};

/// Shows the client accounts that a daemon has in force, without their keys, and their requests.
#[derive(Debug, clap::Args)]
pub(crate) struct Accounts {
    /// The daemon's address for operators.
    address: SocketAddrV4,
}

impl Accounts {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let text = fetch_page(self.address, "/dump", context.timeout)?;
        let state: Value = serde_json::from_str(&text)?;
        let accounts = &state["accounts"];
        if accounts.is_null() {
            let message = format!("{} has no configuration in force", self.address);
            return Err(CliError::Failed(message));
        }
        context.print(accounts, || format_text(accounts))
    }
}

/// A line for each account that the daemon lists, one for the others, and one for each problem.
fn format_text(accounts: &Value) -> String {
    let mut text = String::new();
    for account in list(&accounts["shown"]) {
        let rate = match account["rate"].as_f64() {
            Some(rate) => format!("{rate}/s + {}", account["burst"]),
            None => "no limit".to_owned(),
        };
        let priority = match &account["priority"] {
            Value::Null => String::new(),
            priority => format!("  priority {priority}"),
        };
        text += &format!(
            "{:<28} {:<16} {} keys  {} requests{priority}\n",
            word(&account["name"]),
            rate,
            account["keys"],
            account["requests"]
        );
    }
    let others = &accounts["others"];
    if others["count"].as_u64().is_some_and(|count| count > 0) {
        text += &format!(
            "{} others: {} requests\n",
            others["count"], others["requests"]
        );
    }
    for problem in list(&accounts["problems"]) {
        let (account, reason) = (word(&problem["account"]), word(&problem["reason"]));
        text += &format!("not in force: {account}: {reason}\n");
    }
    if text.is_empty() {
        text = "no accounts: requests need no keys\n".to_owned();
    }
    text
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
