use {
    crate::{arguments::Arguments, context::Context},
    clap::Parser,
    std::process::ExitCode,
};

/// Runs the subcommand that the process's arguments name. Prints an error to standard error and
/// returns the exit status.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    let context = Context::new(&arguments);
    match arguments.command.run(&context) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("anvilferry: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}
