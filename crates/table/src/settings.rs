//! Settings of the operator's program.

use jasminetack_program::settings;

use crate::flags;

/// Settings that all commands share.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base URL of the platform.
    pub platform_url: String,
    /// Bearer key for the platform.
    pub platform_key: String,
    /// Name that the history records; empty for commands that write nothing.
    pub operator: String,
    /// Longest time for one call.
    pub call_timeout_ms: u64,
    /// Times a transaction is sent until its result is known.
    pub attempts: u32,
    /// The effective settings, one a line.
    pub description: String,
}

impl Settings {
    /// Reads the settings from flags and environment.
    ///
    /// # Errors
    ///
    /// Fails with all problems together.
    pub fn new(flags: &flags::JasminetackTable) -> Result<Self, settings::InvalidSettings> {
        let mut reader = settings::Reader::default();
        let writes = matches!(
            flags.subcommand,
            flags::JasminetackTableCmd::Set(_) | flags::JasminetackTableCmd::Apply(_)
        );
        let operator_flag = flags.operator.clone();
        let operator = if writes {
            reader.required("--operator", operator_flag, String::new(), "the operator's name")
        } else {
            reader.value("--operator", operator_flag, String::new(), "the operator's name")
        };
        let settings = Self {
            platform_url: reader.required(
                "--platform-url",
                flags.platform_url.clone(),
                String::new(),
                "a URL such as http://10.0.0.9:9000",
            ),
            platform_key: reader.secret("--platform-key", flags.platform_key.clone()),
            operator,
            call_timeout_ms: reader.value(
                "--call-timeout-ms",
                flags.call_timeout_ms.clone(),
                5_000,
                "a number of milliseconds",
            ),
            attempts: reader.value(
                "--attempts",
                flags.attempts.clone(),
                5,
                "a number of attempts, at least 1",
            ),
            description: String::new(),
        };
        if settings.attempts == 0 {
            reader.add_invalid(
                "--attempts",
                Some("0".to_owned()),
                "a number of attempts, at least 1",
            );
        }
        reader.finish()?;
        Ok(Self { description: reader.describe(), ..settings })
    }
}
