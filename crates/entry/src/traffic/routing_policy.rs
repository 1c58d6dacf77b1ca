//! Routing policies that can be chosen at start.

use jasminetack_domain::route;

/// Routing policy: the product's or a baseline.
#[derive(Clone, Copy, Debug)]
pub enum RoutingPolicy {
    /// The product's policy.
    Scored(route::Scored),
    /// Uniform random.
    Random(route::Random),
    /// Fewest requests.
    LeastOutstanding(route::LeastOutstanding),
}

impl RoutingPolicy {
    /// Creates the routing for a policy setting; `fifo` differs from `scored` only at the owners.
    pub fn for_policy(policy: &str, batch_places: usize) -> Self {
        match policy {
            "random" => Self::Random(route::Random),
            "least-outstanding" => Self::LeastOutstanding(route::LeastOutstanding),
            _ => {
                let batch_places = u32::try_from(batch_places).unwrap_or(u32::MAX);
                Self::Scored(route::Scored::new(batch_places))
            }
        }
    }
}

impl route::Policy for RoutingPolicy {
    fn choose<Random>(
        &self,
        request: &route::RouteRequest<'_>,
        fleet: &route::Fleet,
        observations: &mut route::Observations,
        random: &mut Random,
        now_ms: u64,
    ) -> Option<route::Decision>
    where
        Random: rand::Rng,
    {
        match self {
            Self::Scored(policy) => policy.choose(request, fleet, observations, random, now_ms),
            Self::Random(policy) => policy.choose(request, fleet, observations, random, now_ms),
            Self::LeastOutstanding(policy) => {
                policy.choose(request, fleet, observations, random, now_ms)
            }
        }
    }
}
