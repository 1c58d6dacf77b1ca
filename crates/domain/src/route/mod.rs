//! Choice of the worker that serves a request.

mod decision;
mod policy;
mod scored;
mod worker_view;

pub use decision::Decision;
pub use policy::{Policy, RouteRequest};
pub use scored::Scored;
pub use worker_view::WorkerView;
