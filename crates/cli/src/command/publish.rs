use {
    crate::{
        context::Context,
        error::CliError,
        files::{Files, collect},
        publisher::{Order, new_id, publish},
    },
    conf::{Edit, Generation, Root},
    plat::{Client, Site, file_object},
    std::{collections::BTreeMap, path::PathBuf},
    unit::Name,
};

/// Publishes service files.
#[derive(Debug, clap::Args)]
pub(crate) struct Publish {
    /// Files, or folders with .ini files.
    #[arg(required = true)]
    paths: Vec<PathBuf>,

    /// Who makes the change.
    #[arg(long, env = "USER", default_value = "operator")]
    by: String,

    /// The generation that you have looked at; later changes of the same services conflict.
    #[arg(long, value_name = "GENERATION")]
    from: Option<u64>,

    /// Remove services that have no file here.
    #[arg(long)]
    prune: bool,

    /// Wait until every daemon has it in force.
    #[arg(long)]
    wait: bool,
}

impl Publish {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let files = collect(&self.paths)?;
        let client = context.client()?;
        let (generation, root) = Site(&client).root()?;
        let id = new_id();
        let mut objects = BTreeMap::new();
        let mut texts = BTreeMap::new();
        for (name, text) in changed(&client, &root, &files)? {
            let object = file_object(&name, &id);
            texts.insert(object.clone(), text);
            objects.insert(name, Some(object));
        }
        if self.prune {
            let gone = root
                .services
                .keys()
                .filter(|name| !files.contains_key(*name));
            objects.extend(gone.map(|name| (name.clone(), None)));
        }
        if objects.is_empty() {
            return context.show(&serde_json::json!({"generation": generation}), || {
                format!("nothing has changed since generation {}\n", generation.0)
            });
        }
        let order = Order {
            by: self.by.clone(),
            edit: Edit::Services(objects),
            files: texts,
            id,
            seen: Some(self.from.map_or(generation, Generation)),
            wait: self.wait,
        };
        publish(context, &order)
    }
}

/// The files whose text is not the one in force.
fn changed(client: &Client, root: &Root, files: &Files) -> Result<Vec<(Name, String)>, CliError> {
    let mut changed = Vec::new();
    for (name, text) in files {
        let held = match root.services.get(name) {
            Some(object) => client.read(object)?.map(|object| object.value),
            None => None,
        };
        if held.as_ref() != Some(text) {
            changed.push((name.clone(), text.clone()));
        }
    }
    Ok(changed)
}
