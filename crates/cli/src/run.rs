use {
    crate::{arguments::Arguments, context::Context},
    clap::Parser,
    std::process::ExitCode,
};

/// Runs the tool; the exit code says how it went.
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
