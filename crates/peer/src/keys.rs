use {
    crate::PeerError,
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::{fmt, fs, os::unix::fs::MetadataExt, path::Path},
};

const SHORTEST: usize = 32;

/// The keys that peers share: the first proves, any is accepted.
#[derive(Clone)]
pub struct Keys(Vec<String>);

/// Shows the number of keys, never a key.
impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.0.len())
    }
}

impl Keys {
    /// Reads a file of one or two keys, a line each, that only its owner may read.
    ///
    /// # Errors
    /// Fails on a file that others may read, or without one or two keys of 32 bytes or more.
    pub fn read(path: &Path) -> Result<Self, PeerError> {
        let shown = path.display();
        let fault = |reason: String| PeerError::Keys { reason };
        let meta = fs::metadata(path).map_err(|error| fault(format!("{shown}: {error}")))?;
        if meta.mode() & 0o077 != 0 {
            return Err(fault(format!(
                "{shown} can be read by others; run chmod 600 on it"
            )));
        }
        let text = fs::read_to_string(path).map_err(|error| fault(format!("{shown}: {error}")))?;
        let keys: Vec<String> = text
            .lines()
            .map(str::trim)
            .filter(|line| !line.is_empty())
            .map(str::to_owned)
            .collect();
        let long = keys.iter().all(|key| key.len() >= SHORTEST);
        if keys.is_empty() || keys.len() > 2 || !long {
            return Err(fault(format!(
                "{shown} must hold one or two lines of at least {SHORTEST} characters"
            )));
        }
        Ok(Self(keys))
    }

    /// The proof that the holder of the first key gives for `parts`.
    pub fn prove(&self, parts: &[&[u8]]) -> Vec<u8> {
        let mac = self.0.first().and_then(|key| mac(key, parts));
        mac.map(|mac| mac.finalize().into_bytes().to_vec())
            .unwrap_or_default()
    }

    /// Whether `proof` was given for `parts` with any of the keys; takes the same time for every
    /// wrong proof.
    pub fn check(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.0
            .iter()
            .filter_map(|key| mac(key, parts))
            .any(|mac| mac.verify_slice(proof).is_ok())
    }
}

fn mac(key: &str, parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key.as_bytes()).ok()?;
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    Some(mac)
}
