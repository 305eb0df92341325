//! Fixtures that several test programs share: daemon process, stub servers, raw HTTP client.
#![allow(dead_code, reason = "each test program uses a part of the fixture")]

pub mod collector;
pub mod daemon;
pub mod http;
pub mod platform;
pub mod stub_server;
