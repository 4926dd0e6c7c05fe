use {
    crate::{
        context::Context,
        error::CliError,
        fleet::{DaemonState, listed, states},
    },
    plat::Site,
    serde_json::json,
};

/// Shows what is in force at each daemon; fails where one is behind, isolated or silent.
#[derive(Debug, clap::Args)]
pub(crate) struct Status {}

impl Status {
    pub(crate) fn run(&self, context: &Context) -> Result<(), CliError> {
        let client = context.client()?;
        let (generation, root) = Site(&client).root()?;
        let all = states(&listed(&client)?);
        let value = json!({
            "daemons": all,
            "generation": generation,
            "out": {"data_centres": root.centres, "vms": root.vms},
            "services": root.services.keys().collect::<Vec<_>>(),
        });
        context.show(&value, || {
            let mut text = format!("generation {}\n", generation.0);
            for name in &root.centres {
                text += &format!("data centre {name} is out\n");
            }
            for name in &root.vms {
                text += &format!("vm {name} is out\n");
            }
            text + &all.iter().map(line).collect::<String>()
        })?;
        let healthy = |state: &DaemonState| {
            state.generation >= Some(generation.0) && !state.isolated && state.standing == "serving"
        };
        let sick: Vec<&str> = all
            .iter()
            .filter(|state| !healthy(state))
            .map(|state| &*state.name)
            .collect();
        if sick.is_empty() {
            Ok(())
        } else {
            let told = format!(
                "not serving the newest: {}; look at their dumps",
                sick.join(" ")
            );
            Err(CliError::Refused(told))
        }
    }
}

fn line(state: &DaemonState) -> String {
    let generation = state
        .generation
        .map_or("-".to_owned(), |number| number.to_string());
    let refused = state
        .refused
        .map_or(String::new(), |number| format!(", refused {number}"));
    let isolated = if state.isolated { ", isolated" } else { "" };
    let (name, centre, standing) = (&state.name, &state.data_centre, &state.standing);
    format!("{name} in {centre}: {standing}, generation {generation}{refused}{isolated}\n")
}
