use {
    crate::{arguments::Arguments, error::CliError},
    clap::CommandFactory,
    clap_complete::Shell,
    std::io,
};

/// Prints the completion script for a shell.
#[derive(Debug, clap::Args)]
pub(crate) struct Completions {
    /// The shell.
    shell: Shell,
}

impl Completions {
    pub(crate) fn run(&self) -> Result<(), CliError> {
        let mut command = Arguments::command();
        clap_complete::generate(self.shell, &mut command, "anvilferry", &mut io::stdout());
        Ok(())
    }
}
