//! Crowds of clients that send or read as little as they can, while ordinary
//! callers go on. The tests run one at a time, with lowered limits, and check
//! only what does not depend on the speed of the machine: the process lives,
//! its memory and its descriptors stay within their limits, and an ordinary
//! request is answered afterwards.

mod answers;
mod bodies;
mod calm;
mod connections;
#[path = "../mesh/fixture.rs"]
#[allow(dead_code)]
mod fixture;
mod node;
mod world;
