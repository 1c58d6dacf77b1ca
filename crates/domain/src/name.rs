//! Names as shared immutable strings; cloning one only increments a reference count.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// Name of a LoRA adapter.
    AdapterName,
    /// Name of a base model.
    BaseModelName,
    /// Name of a team of callers.
    TeamName,
    /// Name of an entry host and of the daemon on it.
    HostName,
    /// Name of a model engine.
    WorkerName,
    /// Name of an app service.
    ServiceName,
    /// Name of a region.
    RegionName,
    /// Name of a failure domain within a region.
    FailureDomainName,
    /// Name of an ingress route.
    RouteName,
    /// Identifier of a caller request, unique across all daemons.
    RequestId,
}
