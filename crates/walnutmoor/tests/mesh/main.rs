//! Nodes of the mesh as separate processes, beside stand-ins of the store and
//! of instances, under kills, freezes, outages and instances that misbehave.
//! Tests wait on conditions; none judges elapsed time.

mod accounts;
mod crash_log;
mod desired;
mod faults;
mod fixture;
mod leaving;
mod path;
mod pipeline;
mod poison;
mod restore;
mod resume;
mod watching;
