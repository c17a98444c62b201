//! Tests of the binary in separate processes, with killed and frozen nodes,
//! broken connections and outages. They wait for conditions and do not assert
//! elapsed time.

mod calls;
mod changes;
mod faults;
mod fixture;
