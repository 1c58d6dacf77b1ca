//! Streaming of one worker's response.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{self, Body, Incoming};
use tokio::time::Sleep;

use super::answer_watch::AnswerWatch;
use super::attempt::Exchange;
use super::caller::KEY_REVOKED;
use super::connection::Connection;
use super::event_end::EventEnd;
use super::load_guard::LoadGuard;
use super::pool::Pool;
use super::request_record::RequestRecord;
use super::response_body::IncompleteResponse;
use super::revocation_watch::RevocationWatch;
use crate::clock;

/// Streams a worker's response as it arrives; the connection returns to the pool at its end.
pub struct Relay {
    incoming: Incoming,
    connection: Option<Connection>,
    load: LoadGuard,
    answer: AnswerWatch,
    record: RequestRecord,
    deadline: Pin<Box<Sleep>>,
    revocation: RevocationWatch,
    pool: Arc<Pool>,
    /// End of the data so far if the response is a stream of events.
    event_end: Option<EventEnd>,
    is_complete: bool,
}

impl Relay {
    /// Creates a relay that fails at the deadline or when the key is removed; a stream of events also fails if it ends inside an
    /// event.
    pub fn new(
        exchange: Exchange,
        incoming: Incoming,
        record: RequestRecord,
        deadline: Pin<Box<Sleep>>,
        revocation: RevocationWatch,
        pool: Arc<Pool>,
        has_events: bool,
    ) -> Self {
        let Exchange { connection, load, answer } = exchange;
        let connection = Some(connection);
        let event_end = has_events.then(EventEnd::default);
        let is_complete = false;
        let mut relay = Self {
            incoming,
            connection,
            load,
            answer,
            record,
            deadline,
            revocation,
            pool,
            event_end,
            is_complete,
        };
        relay.complete_at_end();
        relay
    }

    /// Returns whether the whole response has been received and forwarded.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    pub(super) fn size_hint(&self) -> body::SizeHint {
        self.incoming.size_hint()
    }

    pub(super) fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        if !self.is_complete && self.revocation.poll_revoked(context).is_ready() {
            return Poll::Ready(Some(Err(self.fail(KEY_REVOKED))));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(context) else {
                ready!(self.deadline.as_mut().poll(context));
                return Poll::Ready(Some(Err(self.fail("deadline"))));
            };
            return Poll::Ready(match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let now_ms = clock::now_ms();
                    self.load.record_data(now_ms);
                    self.answer.record_part(now_ms);
                    self.record.record_part(now_ms);
                    if let Some(event_end) = &mut self.event_end {
                        event_end.push(&data);
                    }
                    self.complete_at_end();
                    Some(Ok(data))
                }
                Some(Err(_)) => Some(Err(self.fail_broken_off())),
                None if self.is_inside_event() => Some(Err(self.fail_broken_off())),
                None => {
                    self.complete();
                    None
                }
            });
        }
    }

    /// Returns whether a stream of events has ended inside one.
    fn is_inside_event(&self) -> bool {
        self.event_end.as_ref().is_some_and(EventEnd::is_inside_event)
    }

    fn fail_broken_off(&mut self) -> IncompleteResponse {
        self.load.record_failure(clock::now_ms());
        self.answer.record_interruption();
        self.fail("worker-broke-off")
    }

    fn fail(&mut self, reason: &'static str) -> IncompleteResponse {
        self.record.set_outcome(reason);
        self.record.record_attempt_failure(self.load.worker(), reason);
        self.connection = None;
        IncompleteResponse { reason }
    }

    /// Completes the relay if the length of the response is known and all of it was received.
    ///
    /// hyper does not poll a body again after its last byte, nor an empty one at all.
    fn complete_at_end(&mut self) {
        if self.incoming.is_end_stream() {
            self.complete();
        }
    }

    fn complete(&mut self) {
        if std::mem::replace(&mut self.is_complete, true) {
            return;
        }
        let now_ms = clock::now_ms();
        self.load.record_data(now_ms);
        self.answer.record_end(now_ms);
        self.record.set_outcome("answered");
        if let Some(connection) = self.connection.take() {
            self.pool.put(self.load.worker(), connection, now_ms);
        }
    }
}
