/*!
Stand-ins for what surrounds a node of the mesh (the platform's store,
instances and callers), and nodes as child processes.
*/

pub mod caller;
pub mod instance;
pub mod node;
pub mod slow;
pub mod store;
pub mod window;
