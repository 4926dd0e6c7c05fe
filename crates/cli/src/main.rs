//! The operators' tool.

fn main() -> std::process::ExitCode {
    cli::run()
}
