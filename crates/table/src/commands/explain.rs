//! Command `explain`.

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

/// Decisions of one daemon and when it was asked, on this program's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Middle between sending the question and receiving the answer.
    pub asked_ms: u64,
    /// The decisions.
    pub explanation: operations::Explanation,
}

/// A daemon that could not be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreachable {
    /// Operations address.
    pub address: SocketAddr,
    /// What happened.
    pub message: String,
}

/// Finds the operations addresses of the daemons that serve.
///
/// # Errors
///
/// Fails when the platform cannot be read.
pub fn daemons<TableService>(service: &TableService) -> Result<Vec<SocketAddr>, CommandError>
where
    TableService: platform::Platform,
{
    let page = service.rows(lease_row::SESSION_PREFIX, 0).context(command_error::PlatformSnafu)?;
    let mut addresses = Vec::new();
    for stored in &page.rows {
        let session = session_view::SessionView::parse(stored)?;
        addresses.extend(session.filter(|session| session.serves()).and_then(|it| it.ops_address));
    }
    Ok(addresses)
}

/// Asks all daemons about a request, a limited number at a time.
#[must_use]
pub fn ask(
    addresses: &[SocketAddr],
    request_id: &str,
    timeout: Duration,
) -> (Vec<Answer>, Vec<Unreachable>) {
    const PARALLEL_QUESTIONS: usize = 32;
    let started = Instant::now();
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let (mut answers, mut unreachable) = (Vec::new(), Vec::new());
    for group in addresses.chunks(PARALLEL_QUESTIONS) {
        let results: Vec<_> = thread::scope(|scope| {
            let questions = group.iter().map(|address| {
                let agent = &agent;
                scope.spawn(move || ask_one(agent, *address, request_id, started))
            });
            let questions: Vec<_> = questions.collect();
            questions.into_iter().filter_map(|question| question.join().ok()).collect()
        });
        for (address, result) in group.iter().zip(results) {
            match result {
                Ok(answer) => answers.push(answer),
                Err(error) => {
                    unreachable.push(Unreachable { address: *address, message: error.to_string() })
                }
            }
        }
    }
    (answers, unreachable)
}

/// Writes the decisions of all daemons in order of time.
///
/// # Errors
///
/// Fails when no daemon knows the request.
pub fn show<Output>(
    request_id: &str,
    answers: &[Answer],
    unreachable: &[Unreachable],
    output: &mut Output,
) -> Result<(), CommandError>
where
    Output: Write,
{
    let mut decisions = Vec::new();
    for answer in answers {
        for decision in &answer.explanation.decisions {
            // Ages are relative to the moment of the answer, so that the hosts need no common clock.
            let at_ms = i128::from(answer.asked_ms) - i128::from(decision.age_ms);
            decisions.push((at_ms, answer.explanation.host.as_str(), decision.text.as_str()));
        }
    }
    decisions.sort_by_key(|(at_ms, _, _)| *at_ms);
    let mut text = String::new();
    let first_ms = decisions.first().map_or(0, |(at_ms, _, _)| *at_ms);
    for (at_ms, host, decision) in &decisions {
        text.push_str(&format!("+{} ms {host} {decision}\n", at_ms - first_ms));
    }
    for Unreachable { address, message } in unreachable {
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

fn ask_one(
    agent: &ureq::Agent,
    address: SocketAddr,
    request_id: &str,
    started: Instant,
) -> Result<Answer, ureq::Error> {
    let sent_ms = elapsed_ms(started);
    let path = format!("http://{address}{}{request_id}", operations::EXPLAIN_PREFIX);
    let mut response = agent.get(path).call()?;
    let explanation = response.body_mut().read_json()?;
    let asked_ms = u64::midpoint(sent_ms, elapsed_ms(started));
    Ok(Answer { asked_ms, explanation })
}

fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
