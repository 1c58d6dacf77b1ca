//! Fields of configuration entries.

/// Field of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Version of the configuration.
    Version,
    /// Host of a route.
    Host,
    /// Path prefix of a route.
    Prefix,
    /// Execution guarantee of a route.
    Kind,
    /// Timeout of a route.
    Timeout,
    /// Target for the first byte on a route.
    FirstByteTarget,
    /// Priority of a route or team.
    Priority,
    /// Maximum number of attempts on a route.
    MaxAttempts,
    /// Whether a route needs no key.
    IsPublic,
    /// Services of a route with their weights.
    Services,
    /// Whether a service has model engines.
    Engine,
    /// Number of adapters of an engine.
    AdapterSlots,
    /// Memory of an engine for weights.
    EngineWeights,
    /// Base model loads in a second.
    LoadsPerS,
    /// Memory of an engine for tokens.
    MemoryCapacity,
    /// Size of a base model's weights.
    ModelWeights,
    /// Load time of a base model.
    LoadTime,
    /// Size of an adapter.
    AdapterSize,
    /// Keys of a team.
    Keys,
    /// Unit of a team's quota.
    Unit,
    /// Cost of a request that does not state its size.
    DefaultCost,
    /// Rate of a team.
    Rate,
    /// Burst of a team.
    Burst,
    /// Maximum size of a request head.
    MaxHeader,
    /// Maximum size of a request body.
    MaxBody,
    /// Idle timeout of caller connections.
    IdleTimeout,
}
