//! Runs the model engine stand-in.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use jasminetack_standins::engine;
use jasminetack_standins::http;

fn main() -> io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on.
        required --address address: String
        /// Base model that the engine serves.
        optional --base-model base_model: String
        /// Bearer key required of callers; no authorization by default.
        optional --key key: String
        /// Number of adapter slots.
        optional --slots slots: usize
        /// Maximum number of requests in a batch.
        optional --batch-places batch_places: usize
        /// Maximum number of tokens processed per step.
        optional --step-token-limit step_token_limit: u32
        /// Duration of a step without prefill, in microseconds.
        optional --step-us step_us: u64
        /// Additional step time per prefilled token, in microseconds.
        optional --prefill-token-us prefill_token_us: u64
        /// Capacity of the prefix cache, in blocks of 16 tokens.
        optional --cache-blocks cache_blocks: usize
        /// Staleness of load reports, in milliseconds.
        optional --report-lag-ms report_lag_ms: u64
        /// Delay until cache events become visible, in milliseconds.
        optional --event-lag-ms event_lag_ms: u64
        /// Handling of stale fencing numbers: refuses (default) or ignores.
        optional --fencing fencing: String
        /// Base URL of the weight store; without one, a load takes --load-ms.
        optional --weights-url weights_url: String
        /// Bearer key for the weight store.
        optional --weights-key weights_key: String
        /// Duration of a load without a weight store, in milliseconds.
        optional --load-ms load_ms: u64
        /// Time for which a request keeps running after its connection is lost, in milliseconds.
        optional --orphan-ms orphan_ms: u64
    };
    let refuses_old_fencing = match flags.fencing.as_deref().unwrap_or("refuses") {
        "refuses" => true,
        "ignores" => false,
        other => {
            let message =
                format!("invalid value {other:?} for --fencing: expected refuses or ignores");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
    };
    let default = engine::Config::default();
    let started = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
    let config = engine::Config {
        base_model: flags.base_model.unwrap_or(default.base_model),
        key: flags.key.unwrap_or(default.key),
        slots: flags.slots.unwrap_or(default.slots),
        batch_places: flags.batch_places.unwrap_or(default.batch_places),
        step_token_limit: flags.step_token_limit.unwrap_or(default.step_token_limit),
        step_us: flags.step_us.unwrap_or(default.step_us),
        prefill_token_us: flags.prefill_token_us.unwrap_or(default.prefill_token_us),
        cache_blocks: flags.cache_blocks.unwrap_or(default.cache_blocks),
        report_lag_ms: flags.report_lag_ms.unwrap_or(default.report_lag_ms),
        event_lag_ms: flags.event_lag_ms.unwrap_or(default.event_lag_ms),
        refuses_old_fencing,
        weights_url: flags.weights_url.unwrap_or(default.weights_url),
        weights_key: flags.weights_key.unwrap_or(default.weights_key),
        load_ms: flags.load_ms.unwrap_or(default.load_ms),
        orphan_ms: flags.orphan_ms.unwrap_or(default.orphan_ms),
        incarnation: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
    };
    http::print_address_and_park(engine::start(http::listen(&flags.address)?, config)?)
}
