//! Errors of decoding a platform's messages.

/// Invalid field of a message.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{field} is {value:?}; allowed: {allowed}"))]
pub struct DecodeError {
    /// Name of the field.
    pub field: String,
    /// Value found.
    pub value: String,
    /// Description of the valid values.
    pub allowed: &'static str,
}
