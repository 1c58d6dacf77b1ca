//! Adapter slots.

use indexmap::IndexMap;

/// Instances that are loaded or being loaded.
#[derive(Debug)]
pub struct Slots {
    capacity: usize,
    instances: IndexMap<String, Instance>,
}

#[derive(Debug)]
struct Instance {
    source: String,
    is_loaded: bool,
}

/// Result of reserving a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The caller must load the weights.
    Load,
    /// Another order is loading the instance.
    Loading,
    /// The instance is loaded.
    Loaded,
}

/// Why no slot was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotsError {
    /// Every slot is taken.
    Full,
    /// The name is taken by other weights.
    OtherWeights,
}

impl Slots {
    /// Creates empty slots.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, instances: IndexMap::new() }
    }

    /// Reserves a slot for an instance.
    ///
    /// # Errors
    ///
    /// Fails when every slot is taken, or the name by other weights.
    pub fn reserve(&mut self, name: &str, source: &str) -> Result<Reservation, SlotsError> {
        if let Some(instance) = self.instances.get(name) {
            if instance.source != source {
                return Err(SlotsError::OtherWeights);
            }
            return Ok(if instance.is_loaded { Reservation::Loaded } else { Reservation::Loading });
        }
        if self.instances.len() >= self.capacity {
            return Err(SlotsError::Full);
        }
        let instance = Instance { source: source.to_owned(), is_loaded: false };
        self.instances.insert(name.to_owned(), instance);
        Ok(Reservation::Load)
    }

    /// Records the end of a load.
    pub fn finish_load(&mut self, name: &str, succeeded: bool) {
        if !succeeded {
            self.instances.shift_remove(name);
            return;
        }
        if let Some(instance) = self.instances.get_mut(name) {
            instance.is_loaded = true;
        }
    }

    /// Frees the slot of a loaded instance; returns whether there was one.
    pub fn unload(&mut self, name: &str) -> bool {
        if self.source(name).is_none() {
            return false;
        }
        self.instances.shift_remove(name);
        true
    }

    /// Returns the weights of a loaded instance.
    #[must_use]
    pub fn source(&self, name: &str) -> Option<&str> {
        let instance = self.instances.get(name).filter(|instance| instance.is_loaded)?;
        Some(&instance.source)
    }

    /// Returns the names of the loaded instances.
    pub fn loaded(&self) -> impl Iterator<Item = &str> {
        self.instances.iter().filter(|(_, instance)| instance.is_loaded).map(|(name, _)| &**name)
    }
}
