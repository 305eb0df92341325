//! A request as it came from the network.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;

/// A whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Method, upper case.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Query without question mark; empty if there's none.
    pub query: String,
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// A header's value, if it is there.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// A query parameter's value as it stands in the query, if it is there.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}
