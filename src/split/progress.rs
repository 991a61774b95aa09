use {
    super::sides,
    crate::{
        control::{RangeTable, Session, State},
        placement::Side,
        schema::Split,
    },
};

/// What is left of the split.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Ranges of all services that are divided by key.
    pub ranges: usize,
    /// Ranges on a server of the other half.
    pub misplaced: usize,
    /// Ranges without an owner.
    pub unowned: usize,
    /// Live sessions of the second half.
    pub second_sessions: usize,
}

impl Progress {
    /// Counts what is left in `state`.
    pub fn of(state: &State, split: &Split) -> Self {
        let mut progress = Self::default();
        for table in state
            .range_tables()
            .iter()
            .filter(|t| state.is_divided(&t.service))
        {
            progress.count_table(state, split, table);
        }
        let seconds = state
            .sessions()
            .iter()
            .filter(|s| side_of_session(split, s) == Side::Second);
        progress.second_sessions = seconds.count();
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
