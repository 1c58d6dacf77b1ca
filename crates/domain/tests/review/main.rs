//! Tests of the review of a configuration; each guards against a finding that is missed or false.

mod differences;
mod entries;
mod fixture;
