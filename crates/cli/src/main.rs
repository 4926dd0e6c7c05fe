//! The command-line tool for operators, `anvilferry`.

fn main() -> std::process::ExitCode {
    cli::run()
}
