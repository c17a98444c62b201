//! Process tests of the mesh: nodes run as separate processes with stand-ins
//! for the store and the instances, under kills, freezes, outages and faulty
//! instances. Tests wait for conditions and do not assert on elapsed time.

mod accounts;
mod connections;
mod crash_log;
mod departures;
mod desired;
mod endless;
mod faults;
mod fixture;
mod gone;
mod handover;
mod leaving;
mod lifetimes;
mod limits;
mod odd_entries;
mod path;
mod peer;
mod pipeline;
mod poison;
mod reload;
mod restore;
mod resume;
mod retention;
mod returning;
mod shares;
mod shutdown;
mod speeds;
mod watching;
