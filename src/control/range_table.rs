use crate::{
    clock::Ms,
    key::{Key, KeyRange},
};

/// The owner of a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Session of the daemon in front of the server.
    pub session: u64,
    /// Address of the server.
    pub server: String,
    /// Log index of the change that gave the range to this owner.
    pub epoch: u64,
    /// Token with which the server gets the state of the keys from the previous owner, or empty if there is none.
    pub handover: String,
}

/// The planned move of a range, which its owner is asked to give up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Release {
    /// Log index of the change that started the move.
    pub index: u64,
    /// Session that the range goes to.
    pub to_session: u64,
    /// Address of the server that the range goes to.
    pub to_server: String,
    /// Why the range moves.
    pub reason: String,
}

/// The wait before a range gets its next owner, since calls to the last one may still be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vacancy {
    /// Log index of the change that left the range without an owner.
    pub index: u64,
    /// Time from that change until the range may get its next owner.
    pub wait: Ms,
}

/// One range of a service. The range ends where the next one starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Range {
    /// First key of the range.
    pub start: Key,
    /// The present owner, if any.
    pub owner: Option<Owner>,
    /// The planned move that is under way, if any.
    pub release: Option<Box<Release>>,
    /// The wait before the next owner, if one is needed.
    pub vacancy: Option<Vacancy>,
    /// Token that the last owner left for the next one, or empty if there is none.
    pub handover: String,
}

/// All ranges of one service, sorted by key, without gaps or overlaps.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeTable {
    /// Name of the service.
    pub service: String,
    /// Longest deadline that calls of the service ever had. It never decreases, since calls that were sent under an
    /// earlier schema may still be running.
    pub longest_deadline: Ms,
    ranges: Vec<Range>,
}

impl RangeTable {
    /// Returns a table of ranges without owners, which start at the lowest key and at `boundaries`.
    pub fn new(service: &str, boundaries: &[Key]) -> Self {
        let starts = std::iter::once(Key::default()).chain(boundaries.iter().cloned());
        let ranges = starts
            .map(|start| Range {
                start,
                owner: None,
                release: None,
                vacancy: None,
                handover: String::new(),
            })
            .collect();
        Self::from_ranges(service, ranges)
    }

    /// Returns a table of `ranges`, which must be sorted and start at the lowest key.
    pub fn from_ranges(service: &str, ranges: Vec<Range>) -> Self {
        Self {
            service: service.to_owned(),
            longest_deadline: Ms::ZERO,
            ranges,
        }
    }

    /// Returns all ranges, sorted by key.
    pub fn ranges(&self) -> &[Range] {
        &self.ranges
    }

    /// Returns the position of the range that holds `key`.
    pub fn position(&self, key: &Key) -> usize {
        match self.ranges.binary_search_by(|range| range.start.cmp(key)) {
            Ok(i) => i,
            Err(i) => i - 1,
        }
    }

    /// Returns the range that holds `key`.
    pub fn range_of(&self, key: &Key) -> &Range {
        &self.ranges[self.position(key)]
    }

    /// Returns the keys of the range at `position`.
    pub fn span(&self, position: usize) -> KeyRange {
        let start = self.ranges[position].start.clone();
        let end = self.ranges.get(position + 1).map(|next| next.start.clone());
        KeyRange { start, end }
    }

    /// Splits ranges at the start and the end of `span`, and returns the positions of the ranges that then make up
    /// exactly `span`. The parts of a split range keep its owner.
    pub fn isolate(&mut self, span: &KeyRange) -> std::ops::Range<usize> {
        let first = self.split_at(&span.start);
        let end = match &span.end {
            Some(end) => self.split_at(end),
            None => self.ranges.len(),
        };
        first..end
    }

    /// Returns the range at `position`, mutably.
    pub fn range_mut(&mut self, position: usize) -> &mut Range {
        &mut self.ranges[position]
    }

    /// Joins the ranges at `positions` into the first of them.
    pub fn join(&mut self, positions: std::ops::Range<usize>) {
        self.ranges.drain(positions.start + 1..positions.end);
    }

    /// Removes the owners for which `vacancy` returns `Some`. The inner value is the wait before the next owner, or
    /// `None` if no wait is needed.
    pub fn vacate(&mut self, vacancy: impl Fn(&Owner) -> Option<Option<Vacancy>>) {
        for range in &mut self.ranges {
            if let Some(vacancy) = range.owner.as_ref().and_then(&vacancy) {
                range.owner = None;
                range.release = None;
                range.vacancy = vacancy;
                range.handover.clear();
            }
        }
    }

    /// Cancels the planned moves for which `has_target` returns false.
    pub fn cancel_releases(&mut self, has_target: impl Fn(&Release) -> bool) {
        for range in &mut self.ranges {
            if range.release.as_ref().is_some_and(|release| !has_target(release)) {
                range.release = None;
            }
        }
    }

    /// Returns the ranges that share keys with `span`, with their positions.
    pub fn overlapping<'a>(&'a self, span: &'a KeyRange) -> impl Iterator<Item = (usize, &'a Range)> {
        let first = self.position(&span.start);
        let shares = |range: &Range| span.end.as_ref().is_none_or(|end| range.start < *end);
        let ranges = self.ranges[first..].iter().take_while(move |range| shares(range));
        ranges.enumerate().map(move |(i, range)| (first + i, range))
    }

    /// Splits the range that holds `key`, unless it starts there, and returns the position of the range that starts
    /// at `key`.
    fn split_at(&mut self, key: &Key) -> usize {
        let position = self.position(key);
        if self.ranges[position].start == *key {
            return position;
        }
        let mut upper = self.ranges[position].clone();
        upper.start = key.clone();
        self.ranges.insert(position + 1, upper);
        position + 1
    }
}
