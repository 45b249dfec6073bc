//! The decision core of a front, for requests that go directly to endpoints.
//!
//! [`Relay`] applies the plan and the endpoint listing, chooses an endpoint for each attempt,
//! decides which requests may be retried, enforces the shared retry budget and the rate limits of
//! cold endpoints, and counts usage. It has no clock, socket or codec.

mod admit;
mod attempt;
mod backlog;
mod balance;
mod duplicates;
mod endpoint;
mod endpoints;
mod event;
mod exposure;
mod front_count;
mod health;
mod holdings;
mod lane_size;
mod lanes;
mod message;
mod outcome;
mod part_filter;
mod rate_limit;
mod relay;
mod request;
mod retry_budget;
mod select;
mod speed;
mod stated;
mod trial;
mod typical;
mod usage_count;
mod version_filter;
mod view_wait;
mod withdraw;

pub use balance::{
    Balancer,
    Estimate,
    PredictedLatency, //
};
pub use exposure::ExposureBounds;
pub use holdings::Holdings;
pub use message::{
    Attempt,
    Decision,
    Deployment,
    EndpointInfo,
    Event,
    Failure,
    Input,
    Load,
    Notice,
    Output,
    Prompt,
    RelayOptions,
    RequestHead,
    View, //
};
pub use relay::Relay;
