//! Rows of the operator table.

use jasminetack_domain::adapter;
use jasminetack_domain::ingress;

/// Decoded row of the operator table.
#[derive(Clone, Debug)]
pub enum OperatorEntry {
    /// The configuration.
    Ingress(ingress::Ingress),
    /// The newest version of an adapter.
    AdapterVersion(adapter::AdapterRef),
    /// A row that is not relevant to daemons.
    Other,
}
