//! The types that most modules of the daemon need.

pub use walnutmoor_core::prelude::*;

pub use crate::failure::Failure;
