use {super::Key, std::fmt};

/// The keys from `start` up to but not including `end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyRange {
    /// First key of the range.
    pub start: Key,
    /// First key after the range, or `None` if the range has no upper bound.
    pub end: Option<Key>,
}

impl KeyRange {
    /// Returns the range that contains only `key`.
    pub fn single(key: Key) -> Self {
        let end = Some(key.successor());
        Self { start: key, end }
    }

    /// Returns whether `key` is in the range.
    pub fn contains(&self, key: &Key) -> bool {
        self.start <= *key && self.end.as_ref().is_none_or(|end| key < end)
    }

    /// Returns whether the ranges have a key in common.
    pub fn overlaps(&self, other: &Self) -> bool {
        let starts_before = |a: &Self, b: &Self| b.end.as_ref().is_none_or(|end| a.start < *end);
        starts_before(self, other) && starts_before(other, self)
    }

    /// Returns whether the range contains all keys of `other`.
    pub fn covers(&self, other: &Self) -> bool {
        let ends_later = match (&self.end, &other.end) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(end), Some(other_end)) => other_end <= end,
        };
        self.start <= other.start && ends_later
    }

    /// Returns whether the range contains no key.
    pub fn is_empty(&self) -> bool {
        self.end.as_ref().is_some_and(|end| *end <= self.start)
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.end {
            Some(end) => write!(f, "[{}, {})", self.start, end),
            None => write!(f, "[{}, no bound)", self.start),
        }
    }
}
