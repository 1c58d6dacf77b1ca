//! Entries of the operator.

use jasminetack_domain::adapter;
use jasminetack_domain::ingress;

/// An entry that the operator wrote.
#[derive(Clone, Debug)]
pub enum OperatorEntry {
    /// The configuration.
    Ingress(ingress::Ingress),
    /// The newest version of an adapter.
    AdapterVersion(adapter::AdapterRef),
    /// Something that concerns no daemon.
    Other,
}
