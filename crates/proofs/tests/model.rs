//! Breadth-first searches over the protocols.

mod model {
    mod claim;
}
