//! Opens the connections of [`HttpClient`](super::HttpClient).

use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tower_service::Service;

use super::FairStream;
use super::server_meters::ServerMeters;

type ConnectResult = Result<TokioIo<FairStream>, Box<dyn Error + Send + Sync>>;

/// Connector whose connections are read in turns with other tasks.
#[derive(Clone, Debug)]
pub struct FairConnector {
    http: HttpConnector,
    meters: ServerMeters,
}

impl FairConnector {
    /// Connects as `http` does.
    pub fn new(http: HttpConnector) -> Self {
        Self { http, meters: ServerMeters::default() }
    }
}

impl Service<Uri> for FairConnector {
    type Response = TokioIo<FairStream>;
    type Error = Box<dyn Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = ConnectResult> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.http.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, target: Uri) -> Self::Future {
        let meter = self.meters.meter(&target);
        let connecting = self.http.call(target);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(FairStream::with_meter(stream, meter)))
        })
    }
}
