use {
    crate::{context::Context, error::CliError, files::read_site},
    site::{Config, Route},
    std::{collections::BTreeMap, path::PathBuf, sync::Arc},
    unit::Name,
};

/// Shows differences.
#[derive(Debug, clap::Args)]
pub(crate) struct Diff {
    /// Files, or folders with .ini files.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
}

impl Diff {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let new = read_site(&self.paths, 0)?;
        let known = context.session()?.config()?;
        let old = known.map_or_else(Arc::default, |known| known.value);
        let lines = differences(&old, &new);
        context.show(&lines, || {
            lines.iter().map(|line| format!("{line}\n")).collect()
        })
    }
}

/// What `new` adds to (`+`), removes from (`-`) and changes (`~`) of `old`.
pub(crate) fn differences(old: &Config, new: &Config) -> Vec<String> {
    let mut lines = compare("service", &services(old), &services(new));
    lines.extend(compare("route", &routes(old), &routes(new)));
    if old.limits != new.limits {
        lines.push("~ limits".to_owned());
    }
    lines
}

fn compare<T: PartialEq>(
    what: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, value) in new {
        match old.get(name) {
            None => lines.push(format!("+ {what} {name}")),
            Some(known) if known != value => lines.push(format!("~ {what} {name}")),
            Some(_) => {}
        }
    }
    let gone = old.keys().filter(|name| !new.contains_key(*name));
    lines.extend(gone.map(|name| format!("- {what} {name}")));
    lines
}

fn services(config: &Config) -> BTreeMap<String, Arc<site::Service>> {
    let services = config.services.iter();
    services
        .map(|(name, service)| (name.to_string(), Arc::clone(service)))
        .collect()
}

fn routes(config: &Config) -> BTreeMap<String, (Name, Arc<Route>)> {
    let all = config.hosts.iter();
    let all = all.flat_map(|(host, routes)| routes.iter().map(move |route| (host, route)));
    all.map(|(host, route)| (route.name.to_string(), (host.clone(), Arc::clone(route))))
        .collect()
}
