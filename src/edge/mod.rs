//! Network layer: the HTTP server, and HTTP clients of engines, desks, the
//! platform and peers.
//!
//! Each client speaks one protocol. Clients of backend servers and peers classify
//! a failed call as a [`DispatchFailure`], which says whether the request may have run,
//! so the layers above don't depend on the transport.
//!
//! [`DispatchFailure`]: crate::decide::dispatch_failure::DispatchFailure

mod config_client;
mod connect;
mod content_meter;
mod desk_client;
mod engine_client;
mod fair_connector;
mod fair_stream;
mod http_client;
mod http_server;
mod listing_client;
mod metered_body;
mod path_segment;
mod peer_call;
mod peer_client;
mod peer_path;
mod peer_target;
mod reply;
mod request;
mod server_meters;

pub use config_client::ConfigClient;
pub use connect::connect;
pub use content_meter::ContentMeter;
pub use desk_client::DeskClient;
pub use desk_client::DeskConnection;
pub use engine_client::EngineClient;
pub use engine_client::EngineFailure;
pub use engine_client::EngineStream;
pub use fair_stream::FairStream;
pub use http_client::CallFailure;
pub use http_client::HttpCall;
pub use http_client::HttpClient;
pub use http_client::HttpReply;
pub use http_server::HttpHandler;
pub use http_server::HttpLimits;
pub use http_server::HttpServer;
pub use http_server::StopServer;
pub use listing_client::ListingClient;
pub use metered_body::MeteredBody;
pub use peer_call::call_peer;
pub use peer_call::call_peer_in_progress;
pub use peer_client::PeerClient;
pub use peer_path::PeerPath;
pub use peer_target::PeerTarget;
pub use reply::Reply;
pub use reply::ReplyBody;
pub use request::Request;
