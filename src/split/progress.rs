use {
    super::sides,
    crate::{
        control::{Range, RangeTable, Session, State},
        placement::Side,
        schema::Split,
    },
};

/// Counts that show how far the split has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of ranges of all services that are divided by key.
    pub ranges: usize,
    /// Number of owned ranges that have keys of both halves or whose server is not known to belong to their half.
    pub misplaced: usize,
    /// Number of ranges without an owner.
    pub unowned: usize,
    /// Number of live sessions of hosts of the second half.
    pub second_sessions: usize,
}

impl Progress {
    /// Counts the ranges and sessions in `state`.
    pub fn of(state: &State, split: &Split) -> Self {
        let mut progress = Self::default();
        for table in state
            .range_tables()
            .iter()
            .filter(|t| state.is_divided(&t.service))
        {
            progress.ranges += table.ranges().len();
            progress.unowned += table.ranges().iter().filter(|r| r.owner.is_none()).count();
            progress.misplaced += misplaced_count(state, split, table);
        }
        // Their servers may still hold the ranges.
        for retired in state.retired_services().iter().filter(|r| r.divided_by_key) {
            progress.misplaced += misplaced_count(state, split, &retired.ranges);
        }
        let second_sessions = state
            .sessions()
            .iter()
            .filter(|s| side_of_session(split, s) == Side::Second);
        progress.second_sessions = second_sessions.count();
        progress
    }
}

/// Returns the number of owned ranges that have keys of both halves or whose server is not known to belong to their
/// half.
fn misplaced_count(state: &State, split: &Split, table: &RangeTable) -> usize {
    let is_misplaced = |(position, range): &(usize, &Range)| {
        let Some(owner) = &range.owner else {
            return false;
        };
        let keys = sides::side_of_keys(split, &table.service, &table.span(*position));
        let server = state.session(owner.session).map(|s| side_of_session(split, s));
        keys.is_none() || keys != server
    };
    table.ranges().iter().enumerate().filter(is_misplaced).count()
}

/// Returns the half of the host of a session.
fn side_of_session(split: &Split, session: &Session) -> Side {
    sides::side_of_host(split, &session.open.host, &session.open.failure_domain)
}
