//! HTTP client of the OTLP trace exporter.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use opentelemetry_http::HttpClient;
use opentelemetry_http::HttpError;
use tokio::runtime::Handle;
use tokio::time::timeout;

/// Time limit of one export, response body included.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest response body of the collector.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Sends exports on the daemon's Tokio runtime; the exporter's own thread has no runtime.
#[derive(Debug)]
pub(super) struct OtlpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    runtime: Handle,
}

impl OtlpClient {
    /// A client whose calls run on `runtime`.
    pub(super) fn new(runtime: Handle) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, runtime }
    }

    /// URL of the collector's OTLP endpoint for traces.
    pub(super) fn traces_url(collector: SocketAddr) -> String {
        format!("http://{collector}/v1/traces")
    }
}

#[async_trait]
impl HttpClient for OtlpClient {
    async fn send_bytes(&self, req: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let call = self.client.request(req.map(Full::new));
        let export = async move {
            let (parts, body) = call.await?.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await?.to_bytes();
            Ok::<_, HttpError>(Response::from_parts(parts, body))
        };
        self.runtime.spawn(async move { timeout(EXPORT_TIMEOUT, export).await }).await??
    }
}
