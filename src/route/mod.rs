//! Which daemon and which server a call goes to.

mod router;

pub use router::{route, Route};
