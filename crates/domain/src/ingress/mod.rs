//! Ingress configuration: routes from host and path prefix to services, and the limits on callers.

mod base_model;
mod client_limits;
mod draft;
mod draft_team;
mod engine_profile;
#[allow(clippy::module_inception)]
mod ingress;
mod request_kind;
pub mod review;
mod route;
mod service_profile;
mod weighted_service;

pub use base_model::BaseModel;
pub use client_limits::ClientLimits;
pub use draft::Draft;
pub use draft_team::DraftTeam;
pub use engine_profile::EngineProfile;
pub use ingress::Ingress;
pub use request_kind::RequestKind;
pub use route::Route;
pub use service_profile::ServiceProfile;
pub use weighted_service::WeightedService;
