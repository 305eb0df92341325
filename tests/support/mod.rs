//! Small fixtures shared by tests.

pub mod collector;
