//! Requests that crash each worker that runs them: by what they are known when they come again.

mod fingerprint;

pub use fingerprint::Fingerprint;
