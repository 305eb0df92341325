//! HTTP request, independent of the server library.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;

/// HTTP request that was read completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Method, upper case.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Headers by name in lower case; those that aren't text are left out.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// Value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Value of a query parameter, without percent-decoding.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}
