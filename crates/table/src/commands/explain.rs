//! The `explain` command.

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use jasminetack_wire::lease_row;
use jasminetack_wire::operations;
use snafu::ResultExt;

use crate::command_error::{self, CommandError};
use crate::platform;
use crate::session_view;

/// Response of one daemon, with its time on the clock of this program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonResponse {
    /// Milliseconds since the first query; midpoint between sending the request and receiving the
    /// response.
    pub responded_ms: u64,
    /// Decisions that the daemon reported.
    pub explanation: operations::Explanation,
}

/// Daemon that could not be queried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreachableDaemon {
    /// Address of its operations port.
    pub address: SocketAddr,
    /// Description of the error.
    pub message: String,
}

/// Returns the operations addresses of the serving daemons.
///
/// # Errors
///
/// Fails when the platform cannot be read.
pub fn serving_daemons<TableService>(
    service: &TableService,
) -> Result<Vec<SocketAddr>, CommandError>
where
    TableService: platform::Platform,
{
    let page = service.rows(lease_row::SESSION_PREFIX, 0).context(command_error::PlatformSnafu)?;
    let mut addresses = Vec::new();
    for stored in &page.rows {
        let session = session_view::SessionView::parse(stored)?;
        addresses.extend(
            session.filter(|session| session.serves()).and_then(|session| session.ops_address),
        );
    }
    Ok(addresses)
}

/// Queries all daemons about a request, with limited concurrency.
#[must_use]
pub fn query_daemons(
    addresses: &[SocketAddr],
    request_id: &str,
    timeout: Duration,
) -> (Vec<DaemonResponse>, Vec<UnreachableDaemon>) {
    const MAX_CONCURRENT_QUERIES: usize = 32;
    let started = Instant::now();
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let (mut responses, mut unreachable) = (Vec::new(), Vec::new());
    for group in addresses.chunks(MAX_CONCURRENT_QUERIES) {
        let results: Vec<_> = thread::scope(|scope| {
            let queries = group.iter().map(|address| {
                let agent = &agent;
                scope.spawn(move || query_daemon(agent, *address, request_id, started))
            });
            let queries: Vec<_> = queries.collect();
            queries.into_iter().filter_map(|query| query.join().ok()).collect()
        });
        for (address, result) in group.iter().zip(results) {
            match result {
                Ok(response) => responses.push(response),
                Err(error) => unreachable
                    .push(UnreachableDaemon { address: *address, message: error.to_string() }),
            }
        }
    }
    (responses, unreachable)
}

/// Writes the decisions of all daemons in chronological order.
///
/// # Errors
///
/// Fails when no daemon knows the request.
pub fn show<Output>(
    request_id: &str,
    responses: &[DaemonResponse],
    unreachable: &[UnreachableDaemon],
    output: &mut Output,
) -> Result<(), CommandError>
where
    Output: Write,
{
    let mut decisions = Vec::new();
    for response in responses {
        for decision in &response.explanation.decisions {
            // Ages are relative to the response, so the clocks of the hosts need not agree.
            let at_ms = i128::from(response.responded_ms) - i128::from(decision.age_ms);
            decisions.push((at_ms, response.explanation.host.as_str(), decision.text.as_str()));
        }
    }
    decisions.sort_by_key(|(at_ms, _, _)| *at_ms);
    let mut text = String::new();
    let first_ms = decisions.first().map_or(0, |(at_ms, _, _)| *at_ms);
    for (at_ms, host, decision) in &decisions {
        text.push_str(&format!("+{} ms {host} {decision}\n", at_ms - first_ms));
    }
    for UnreachableDaemon { address, message } in unreachable {
        text.push_str(&format!("not asked: {address} ({message})\n"));
    }
    output.write_all(text.as_bytes()).context(command_error::OutputSnafu)?;
    if decisions.is_empty() {
        let message = format!(
            "no daemon that was asked knows request {request_id}; daemons keep the most recent \
             requests only (--explain-requests); name others with --daemon"
        );
        return Err(CommandError::NotFound { message });
    }
    Ok(())
}

fn query_daemon(
    agent: &ureq::Agent,
    address: SocketAddr,
    request_id: &str,
    started: Instant,
) -> Result<DaemonResponse, ureq::Error> {
    let sent_ms = elapsed_ms(started);
    let url = format!("http://{address}{}{request_id}", operations::EXPLAIN_PREFIX);
    let mut response = agent.get(url).call()?;
    let explanation = response.body_mut().read_json()?;
    let responded_ms = u64::midpoint(sent_ms, elapsed_ms(started));
    Ok(DaemonResponse { responded_ms, explanation })
}

fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
