//! Small fixtures shared by tests; no test uses all of them.
#![allow(dead_code, reason = "each test program uses a part of the fixture")]

pub mod collector;
pub mod daemon;
pub mod http;
pub mod platform;
pub mod stub_server;
