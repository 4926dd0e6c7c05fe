use {
    crate::{Client, PlatError},
    conf::{Bundle, Generation, Root, VmList},
    std::{collections::BTreeMap, thread, time::Duration},
    unit::Span,
};

/// Between two looks whether the budget of calls has room again.
const PAUSE: Duration = Duration::from_millis(100);
/// Looks before a read is given up.
const PATIENCE: u32 = 50;

/// The name of the root object.
pub const ROOT: &str = "anvilferry.site";

/// The name of the object that holds a service's file as the change `id` wrote it.
pub fn file_object(service: &str, id: &str) -> String {
    format!("anvilferry.file.{service}.{id}")
}

/// The site as the platform holds it.
#[derive(Clone, Copy, Debug)]
pub struct Site<'a>(pub &'a Client);

impl Site<'_> {
    /// The root and its version; an empty root of version 0 where none was published.
    ///
    /// # Errors
    /// Fails as [`Client::read`] does, or where the object is no root.
    pub fn root(&self) -> Result<(Generation, Root), PlatError> {
        match self.0.read(ROOT)? {
            Some(object) => Ok((Generation(object.version), parse(&object.value)?)),
            None => Ok((Generation(0), Root::default())),
        }
    }

    /// Waits up to `wait` for a root after `after`.
    ///
    /// # Errors
    /// Fails as [`Client::watch`] does, or where the object is no root.
    pub fn watch(
        &self,
        after: Generation,
        wait: Span,
    ) -> Result<Option<(Generation, Root)>, PlatError> {
        let Some(object) = self.0.watch(ROOT, after.0, wait)? else {
            return Ok(None);
        };
        Ok(Some((Generation(object.version), parse(&object.value)?)))
    }

    /// Reads the texts that a root names, taking those in `known` from there.
    ///
    /// # Errors
    /// Fails as [`Client::read`] does, or where an object is gone.
    pub fn bundle(
        &self,
        generation: Generation,
        root: Root,
        known: &Bundle,
    ) -> Result<Bundle, PlatError> {
        let mut texts = BTreeMap::new();
        for name in root.services.values() {
            let text = match known.texts.get(name) {
                Some(text) => text.clone(),
                None => self.text(name)?,
            };
            texts.insert(name.clone(), text);
        }
        Ok(Bundle {
            generation,
            root,
            texts,
            vms: VmList::default(),
        })
    }

    /// Reads a text; waits for the client's own budget, which a large site exceeds.
    fn text(&self, name: &str) -> Result<String, PlatError> {
        let mut read = self.0.read(name);
        let mut tries = 0;
        while read == Err(PlatError::Spent) && tries < PATIENCE {
            tries += 1;
            thread::sleep(PAUSE);
            read = self.0.read(name);
        }
        let object = read?;
        object
            .map(|object| object.value)
            .ok_or_else(|| PlatError::Invalid {
                reason: format!("object {name} is gone"),
            })
    }
}

fn parse(text: &str) -> Result<Root, PlatError> {
    serde_json::from_str(text).map_err(|error| PlatError::Invalid {
        reason: error.to_string(),
    })
}
