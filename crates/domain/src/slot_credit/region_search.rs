//! Search for a slot over the brokers of several regions.

/// Results of asking the brokers of several regions for one call.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegionSearch {
    has_unknown: bool,
    shortest_wait_ms: Option<u64>,
}

/// What a daemon does when no broker has granted a credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// A broker did not answer or knows no worker: the daemon chooses a worker by itself.
    ChooseAlone,
    /// Every region is full: the call is refused.
    Refuse {
        /// Shortest predicted wait for a slot.
        wait_ms: u64,
    },
}

impl RegionSearch {
    /// Records that a broker predicts a longer wait than the call has.
    pub fn record_no_slot(&mut self, wait_ms: Option<u64>) {
        match wait_ms {
            Some(wait_ms) => {
                let shortest_ms = self.shortest_wait_ms.unwrap_or(wait_ms);
                self.shortest_wait_ms = Some(shortest_ms.min(wait_ms));
            }
            None => self.has_unknown = true,
        }
    }

    /// Records that there is no broker or that it did not answer.
    pub fn record_no_answer(&mut self) {
        self.has_unknown = true;
    }

    /// Concludes after all regions were asked.
    #[must_use]
    pub fn conclude(&self) -> Conclusion {
        match self.shortest_wait_ms {
            Some(wait_ms) if !self.has_unknown => Conclusion::Refuse { wait_ms },
            _ => Conclusion::ChooseAlone,
        }
    }
}
