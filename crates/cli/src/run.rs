use {
    crate::{arguments::Arguments, context::Context},
    clap::Parser,
    std::process::ExitCode,
};

/// Runs the command that the arguments name.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    let context = Context::new(&arguments);
    match arguments.command.run(&context) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("anvilferry: {error}");
            ExitCode::from(error.status())
        }
    }
}
