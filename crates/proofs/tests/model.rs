//! Model checks of the protocols by breadth-first search.

mod model {
    mod claim;
}
