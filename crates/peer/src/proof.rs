use {
    crate::{Keys, PeerError},
    rustls::ConnectionCommon,
    unit::Name,
};

const LABEL: &[u8] = b"EXPORTER-anvilferry-peer";

/// Which end of a link gives a proof.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Side {
    Client,
    Server,
}

/// Secret bytes that only the two ends of one encrypted session have.
pub(crate) struct Session([u8; 32]);

impl Session {
    pub(crate) fn of<D>(conn: &ConnectionCommon<D>) -> Result<Self, PeerError> {
        let bytes = conn.export_keying_material([0; 32], LABEL, None)?;
        Ok(Self(bytes))
    }

    /// The proof, in hexadecimal, that the daemon `name` at this end holds a shared key.
    pub(crate) fn prove(&self, keys: &Keys, side: Side, name: &Name) -> String {
        let proof = keys.prove(&[&self.0, side.word(), name.as_bytes()]);
        proof.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    pub(crate) fn check(&self, keys: &Keys, side: Side, name: &str, proof: &str) -> bool {
        let bytes = proof.as_bytes().chunks(2).map(|pair| {
            let text = std::str::from_utf8(pair).unwrap_or_default();
            u8::from_str_radix(text, 16).unwrap_or_default()
        });
        let bytes: Vec<u8> = bytes.collect();
        keys.check(&[&self.0, side.word(), name.as_bytes()], &bytes)
    }
}

impl Side {
    fn word(self) -> &'static [u8] {
        match self {
            Self::Client => b"client",
            Self::Server => b"server",
        }
    }
}
