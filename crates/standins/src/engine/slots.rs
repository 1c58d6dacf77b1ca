//! Adapter slots.

use indexmap::IndexMap;

/// Adapter instances that are loaded or loading.
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

/// Outcome of a slot reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// A slot was reserved; the caller must load the weights.
    Load,
    /// The instance is already being loaded.
    Loading,
    /// The instance is already loaded.
    Loaded,
}

/// Errors of a slot reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotsError {
    /// Every slot is taken.
    Full,
    /// The instance name is in use for other weights.
    OtherWeights,
}

impl Slots {
    /// Creates `capacity` empty slots.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, instances: IndexMap::new() }
    }

    /// Reserves a slot for an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if every slot is taken or the name is in use for other weights.
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

    /// Records the result of a load; a failed load frees its slot.
    pub fn finish_load(&mut self, name: &str, succeeded: bool) {
        if !succeeded {
            self.instances.shift_remove(name);
            return;
        }
        if let Some(instance) = self.instances.get_mut(name) {
            instance.is_loaded = true;
        }
    }

    /// Unloads an instance; returns whether it was loaded.
    pub fn unload(&mut self, name: &str) -> bool {
        if self.source(name).is_none() {
            return false;
        }
        self.instances.shift_remove(name);
        true
    }

    /// Returns the weights of a loaded instance, as `ADAPTER/VERSION`.
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
