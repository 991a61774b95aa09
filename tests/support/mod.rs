//! What several test files share.

pub mod bad_file;
