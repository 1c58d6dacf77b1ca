//! Tests of orders that workers execute late, after newer orders or after the death of their holder.

mod holder;
mod properties;
mod rules;
mod throughput;
mod worker;
