use {
    crate::{Generation, Problems, Root, Service, VmList},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
    unit::{Map, Name},
};

/// A whole site as one generation has it, with the files' texts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// The root's version.
    pub generation: Generation,
    /// The root.
    pub root: Root,
    /// The text behind each object that the root names.
    pub texts: BTreeMap<String, String>,
    /// The newest list of VMs that the sender had.
    pub vms: VmList,
}

impl Bundle {
    /// Reads every service file.
    ///
    /// # Errors
    /// Every wrong key of every file, so that a bad object is refused whole.
    pub fn services(&self) -> Result<Map<Name, Arc<Service>>, Problems> {
        let mut services = Map::default();
        let mut problems = Vec::new();
        for (name, object) in &self.root.services {
            let text = self.texts.get(object).map_or("", String::as_str);
            match Service::parse(object, text) {
                Ok(service) => drop(services.insert(name.clone(), Arc::new(service))),
                Err(error) => problems.extend(error.0),
            }
        }
        if problems.is_empty() {
            Ok(services)
        } else {
            Err(Problems(problems))
        }
    }
}
