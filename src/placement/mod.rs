//! Which server owns which range.

mod assign;

pub use assign::assign_unowned;
