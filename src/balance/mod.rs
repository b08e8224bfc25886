//! Which backend server a gateway sends a request to, and when it sends none.
//!
//! Nothing here does I/O; time is a duration on the process's steady clock.

pub mod budget;
pub mod capacity;
pub mod fleet;
pub mod presence;
pub mod window;

pub use budget::Budget;
pub use fleet::{Choice, Fleet};
pub use presence::Presence;
pub use window::Window;
