//! The daemon of one entry VM.

fn main() -> std::process::ExitCode {
    daemon::run()
}
