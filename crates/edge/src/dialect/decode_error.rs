//! Messages that cannot be used.

/// Why a message cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{field} is {value:?}; allowed: {allowed}"))]
pub struct DecodeError {
    /// Field that is wrong.
    pub field: String,
    /// What it holds.
    pub value: String,
    /// What is allowed.
    pub allowed: &'static str,
}
