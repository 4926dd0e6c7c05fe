use {
    crate::{context::Context, error::CliError, files::read_site},
    site::{Config, Route},
    std::{collections::BTreeMap, path::PathBuf, sync::Arc},
    unit::Name,
};

/// Compares the files of a site with the published configuration.
#[derive(Debug, clap::Args)]
pub(crate) struct Diff {
    /// Files, or folders with .ini files.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
}

impl Diff {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let (new, _) = read_site(&self.paths, 0)?;
        let current = context.store_session()?.config()?;
        let old = current.map_or_else(Arc::default, |current| current.value);
        let lines = differences(&old, &new);
        context.print(&lines, || {
            lines.iter().map(|line| format!("{line}\n")).collect()
        })
    }
}

/// A line for each service, route or account that `new` adds (`+`), removes (`-`) or changes (`~`) against
/// `old`, and one for changed limits.
pub(crate) fn differences(old: &Config, new: &Config) -> Vec<String> {
    let mut lines = compare("service", &services(old), &services(new));
    lines.extend(compare("route", &routes(old), &routes(new)));
    lines.extend(compare("account", &accounts(old), &accounts(new)));
    if old.limits != new.limits {
        lines.push("~ limits".to_owned());
    }
    lines
}

/// The lines for one kind of named values, by their old and new ones.
fn compare<T: PartialEq>(
    kind: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, value) in new {
        match old.get(name) {
            None => lines.push(format!("+ {kind} {name}")),
            Some(old_value) if old_value != value => lines.push(format!("~ {kind} {name}")),
            Some(_) => {}
        }
    }
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    lines.extend(removed.map(|name| format!("- {kind} {name}")));
    lines
}

fn services(config: &Config) -> BTreeMap<String, Arc<site::Service>> {
    let services = config.services.iter();
    services
        .map(|(name, service)| (name.to_string(), Arc::clone(service)))
        .collect()
}

fn accounts(config: &Config) -> BTreeMap<String, Arc<site::Account>> {
    let accounts = config.accounts.iter();
    accounts
        .map(|(name, account)| (name.to_string(), Arc::clone(account)))
        .collect()
}

/// Routes by name, each with its host, so that a route moved to another host counts as changed.
fn routes(config: &Config) -> BTreeMap<String, (Name, Arc<Route>)> {
    let hosts = config.hosts.iter();
    let routes = hosts.flat_map(|(host, routes)| routes.iter().map(move |route| (host, route)));
    routes
        .map(|(host, route)| (route.name.to_string(), (host.clone(), Arc::clone(route))))
        .collect()
}
