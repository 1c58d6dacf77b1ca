//! Tests of the worker aggregate.

mod common;
mod properties;
mod queue;
mod slots;
