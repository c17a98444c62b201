/*!
Stand-ins for a node of the mesh: the platform's store, an instance, a caller,
and nodes as processes of their own.
*/

pub mod caller;
pub mod instance;
pub mod node;
pub mod store;
