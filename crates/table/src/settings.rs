//! Settings of the operator command line.

use jasminetack_program::settings;

use crate::flags;

/// Settings common to all commands.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base URL of the platform.
    pub platform_url: String,
    /// Bearer key for the platform.
    pub platform_key: String,
    /// Operator name recorded in the history; may be empty for commands that write nothing.
    pub operator: String,
    /// Timeout of one call.
    pub call_timeout_ms: u64,
    /// Maximum number of times a transaction is sent.
    pub attempts: u32,
    /// Effective settings, one per line.
    pub description: String,
}

impl Settings {
    /// Reads the settings from the flags and the environment.
    ///
    /// # Errors
    ///
    /// Returns all invalid settings in one error.
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
