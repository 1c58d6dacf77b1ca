//! JSON encoding of the rows of the operators' table.

use std::collections::BTreeMap;

use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::table;
use serde::{Deserialize, Serialize};
use snafu::OptionExt;

/// Prefix of the keys of these rows in the table service.
pub const ROW_PREFIX: &str = "row/";

/// A row of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum WireRow {
    /// Row of an adapter.
    Adapter {
        /// Team that owns the adapter.
        team: String,
        /// Base model of the adapter.
        base_model: String,
        /// Versions; the last one is the default.
        versions: Vec<u32>,
        /// Limits.
        #[serde(default)]
        limits: WireLimits,
    },
    /// Row of a team.
    Team {
        /// SHA-256 of each bearer key, in hexadecimal.
        #[serde(default)]
        key_hashes: Vec<String>,
        /// Limits.
        #[serde(default)]
        limits: WireLimits,
    },
    /// Row of an app service.
    Service {
        /// Path prefixes of idempotent calls, by method (`*` for any method).
        #[serde(default)]
        repeatable: BTreeMap<String, Vec<String>>,
        /// Limits.
        #[serde(default)]
        limits: WireLimits,
    },
}

/// Limits of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WireLimits {
    /// Relative scheduling weight.
    pub weight: u32,
    /// Maximum number of concurrent requests; unlimited when `None`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ceiling: Option<u32>,
    /// Relative share of scarce capacity.
    pub share: u32,
    /// Highest priority class that requests may use.
    pub class: String,
}

/// Why a stored row is not valid.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum RowError {
    /// The priority class is not known.
    #[snafu(display("class {class:?} is not one of urgent, normal, bulk"))]
    Class {
        /// Value found.
        class: String,
    },
    /// A key hash is not 64 hexadecimal digits.
    #[snafu(display("key hash {hash:?} is not 64 hexadecimal digits"))]
    KeyHash {
        /// Value found.
        hash: String,
    },
}

impl Default for WireLimits {
    fn default() -> Self {
        Self::from(&table::Limits::default())
    }
}

impl From<&table::Limits> for WireLimits {
    fn from(limits: &table::Limits) -> Self {
        Self {
            weight: limits.weight,
            ceiling: limits.ceiling,
            share: limits.share,
            class: limits.class.as_str().to_owned(),
        }
    }
}

impl TryFrom<WireLimits> for table::Limits {
    type Error = RowError;

    fn try_from(wire: WireLimits) -> Result<Self, RowError> {
        let class = request::Class::parse(&wire.class)
            .with_context(|| ClassSnafu { class: wire.class.clone() })?;
        Ok(Self { weight: wire.weight, ceiling: wire.ceiling, share: wire.share, class })
    }
}

impl From<&table::Row> for WireRow {
    fn from(row: &table::Row) -> Self {
        match row {
            table::Row::Adapter(row) => Self::Adapter {
                team: row.team.to_string(),
                base_model: row.base_model.to_string(),
                versions: row.versions.clone(),
                limits: WireLimits::from(&row.limits),
            },
            table::Row::Team(row) => Self::Team {
                key_hashes: row.key_hashes.iter().map(encode_hash).collect(),
                limits: WireLimits::from(&row.limits),
            },
            table::Row::Service(row) => {
                let mut repeatable = BTreeMap::<String, Vec<String>>::new();
                for pattern in &row.repeatable {
                    let prefixes = repeatable.entry(pattern.method.clone()).or_default();
                    prefixes.push(pattern.path_prefix.clone());
                }
                Self::Service { repeatable, limits: WireLimits::from(&row.limits) }
            }
        }
    }
}

impl TryFrom<WireRow> for table::Row {
    type Error = RowError;

    fn try_from(wire: WireRow) -> Result<Self, RowError> {
        Ok(match wire {
            WireRow::Adapter { team, base_model, versions, limits } => {
                Self::Adapter(table::AdapterRow {
                    team: name::TeamName::from(team),
                    base_model: name::BaseModelName::from(base_model),
                    versions,
                    limits: limits.try_into()?,
                })
            }
            WireRow::Team { key_hashes, limits } => Self::Team(table::TeamRow {
                key_hashes: key_hashes
                    .iter()
                    .map(|hash| decode_hash(hash))
                    .collect::<Result<_, _>>()?,
                limits: limits.try_into()?,
            }),
            WireRow::Service { repeatable, limits } => Self::Service(table::ServiceRow {
                repeatable: repeatable
                    .into_iter()
                    .flat_map(|(method, prefixes)| {
                        prefixes.into_iter().map(move |path_prefix| table::CallPattern {
                            method: method.clone(),
                            path_prefix,
                        })
                    })
                    .collect(),
                limits: limits.try_into()?,
            }),
        })
    }
}

/// Encodes a key hash as hexadecimal digits.
#[must_use]
pub fn encode_hash(hash: &table::KeyHash) -> String {
    hash.as_bytes().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes a key hash from hexadecimal digits.
///
/// # Errors
///
/// Fails when the text is not 64 hexadecimal digits.
pub fn decode_hash(hash: &str) -> Result<table::KeyHash, RowError> {
    let bad = || RowError::KeyHash { hash: hash.to_owned() };
    if hash.len() != 2 * table::KeyHash::LEN_BYTES || !hash.is_ascii() {
        return Err(bad());
    }
    let mut bytes = [0; table::KeyHash::LEN_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &hash[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| bad())?;
    }
    Ok(table::KeyHash::new(bytes))
}
