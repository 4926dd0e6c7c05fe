use {
    crate::{context::Context, error::CliError, files::collect},
    plat::Site,
    serde::Serialize,
    similar::TextDiff,
    std::path::PathBuf,
    unit::Name,
};

/// Shows how service files differ from those in force.
#[derive(Debug, clap::Args)]
pub(crate) struct Diff {
    /// Files, or folders with .ini files.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
}

#[derive(Serialize)]
struct Difference {
    diff: String,
    service: Name,
}

impl Diff {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let files = collect(&self.paths)?;
        let client = context.client()?;
        let (generation, root) = Site(&client).root()?;
        let mut differences = Vec::new();
        for (service, text) in &files {
            let held = match root.services.get(service) {
                Some(object) => client.read(object)?.map(|object| object.value),
                None => None,
            };
            let held = held.unwrap_or_default();
            if held != *text {
                let diff = TextDiff::from_lines(&held, text)
                    .unified_diff()
                    .header(&format!("in force: {service}"), &format!("file: {service}"))
                    .to_string();
                differences.push(Difference {
                    diff,
                    service: service.clone(),
                });
            }
        }
        context.show(&differences, || {
            let mut text: String = differences
                .iter()
                .map(|difference| difference.diff.clone())
                .collect();
            for gone in root
                .services
                .keys()
                .filter(|name| !files.contains_key(*name))
            {
                text += &format!("in force without a file here: {gone}\n");
            }
            text + &format!("compared with generation {}\n", generation.0)
        })
    }
}
