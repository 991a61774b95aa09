use {
    super::sides,
    crate::{
        control::{RangeTable, Session, State},
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
            progress.count_table(state, split, table);
        }
        let second_sessions = state
            .sessions()
            .iter()
            .filter(|s| side_of_session(split, s) == Side::Second);
        progress.second_sessions = second_sessions.count();
        progress
    }

    fn count_table(&mut self, state: &State, split: &Split, table: &RangeTable) {
        self.ranges += table.ranges().len();
        for (position, range) in table.ranges().iter().enumerate() {
            let Some(owner) = &range.owner else {
                self.unowned += 1;
                continue;
            };
            let keys = sides::side_of_keys(split, &table.service, &table.span(position));
            let server = state.session(owner.session).map(|s| side_of_session(split, s));
            if keys.is_none() || keys != server {
                self.misplaced += 1;
            }
        }
    }
}

/// Returns the half of the host of a session.
fn side_of_session(split: &Split, session: &Session) -> Side {
    sides::side_of_host(split, &session.open.host, &session.open.failure_domain)
}
