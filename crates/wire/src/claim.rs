//! Stored claims (idempotency records) of calls that run at most once.

use std::fmt::Write;
use std::sync::Arc;

use jasminetack_domain::claim;
use jasminetack_domain::name;
use serde::{Deserialize, Serialize};
use snafu::OptionExt;

/// Prefix of the keys of claims in the table service.
pub const CLAIM_PREFIX: &str = "claim/";

/// A stored claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Token of the attempt that made the claim, in hexadecimal.
    pub token: String,
    /// Digest of the call's content, in hexadecimal.
    pub digest: String,
    /// Time of the claim, in milliseconds since the Unix epoch.
    pub claimed_unix_ms: u64,
    /// Response to the call; `None` while the call may still run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<ClaimAnswer>,
}

/// Recorded response to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body when it is valid UTF-8.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Body when it is not valid UTF-8, in hexadecimal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hex: Option<String>,
}

/// Why a stored claim is not valid.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{field} of the claim is not hexadecimal"))]
pub struct ClaimError {
    field: &'static str,
}

/// Returns the storage key of a claim.
///
/// Slashes within a part are escaped so that the keys of different calls never collide.
#[must_use]
pub fn claim_key(team: &name::TeamName, service: &name::ServiceName, key: &str) -> String {
    let escape = |part: &str| part.replace('%', "%25").replace('/', "%2F");
    let (team, service) = (escape(team.as_str()), escape(service.as_str()));
    format!("{CLAIM_PREFIX}{team}/{service}/{}", escape(key))
}

impl ClaimRow {
    /// Encodes a claim.
    #[must_use]
    pub fn new(record: &claim::Record, claimed_unix_ms: u64) -> Self {
        let answer = match &record.progress {
            claim::Progress::Open => None,
            claim::Progress::Answered(answer) => Some(ClaimAnswer::from(answer)),
        };
        Self {
            token: format!("{:032x}", record.token.value()),
            digest: encode_hex(record.digest.as_bytes()),
            claimed_unix_ms,
            answer,
        }
    }
}

impl TryFrom<ClaimRow> for claim::Record {
    type Error = ClaimError;

    fn try_from(row: ClaimRow) -> Result<Self, ClaimError> {
        let token = u128::from_str_radix(&row.token, 16).ok();
        let token = token.context(ClaimSnafu { field: "token" })?;
        let digest = decode_hex(&row.digest).and_then(|bytes| bytes.try_into().ok());
        let digest = digest.context(ClaimSnafu { field: "digest" })?;
        let progress = match row.answer {
            None => claim::Progress::Open,
            Some(answer) => claim::Progress::Answered(answer.try_into()?),
        };
        Ok(Self {
            token: claim::AttemptToken::new(token),
            digest: claim::ContentDigest::new(digest),
            progress,
        })
    }
}

impl From<&claim::Answer> for ClaimAnswer {
    fn from(answer: &claim::Answer) -> Self {
        let (mut text, mut hex) = (None, None);
        if let Some(body) = &answer.body {
            match std::str::from_utf8(body) {
                Ok(body) => text = Some(body.to_owned()),
                Err(_) => hex = Some(encode_hex(body)),
            }
        }
        let content_type = answer.content_type.to_string();
        Self { status: answer.status, content_type, text, hex }
    }
}

impl TryFrom<ClaimAnswer> for claim::Answer {
    type Error = ClaimError;

    fn try_from(answer: ClaimAnswer) -> Result<Self, ClaimError> {
        let body = match (answer.text, answer.hex) {
            (Some(text), _) => Some(text.into_bytes()),
            (None, Some(hex)) => Some(decode_hex(&hex).context(ClaimSnafu { field: "body" })?),
            (None, None) => None,
        };
        Ok(Self {
            status: answer.status,
            content_type: Arc::from(answer.content_type),
            body: body.map(Arc::from),
        })
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = Vec::with_capacity(text.len() / 2);
    for index in (0..text.len()).step_by(2) {
        bytes.push(u8::from_str_radix(&text[index..index + 2], 16).ok()?);
    }
    Some(bytes)
}
