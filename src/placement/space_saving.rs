use crate::key::Key;

/// A key with its estimated work.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyCount {
    /// Counted key.
    pub key: Key,
    /// Upper bound of the key's work.
    pub count: f64,
    /// Maximum by which `count` exceeds the key's work.
    pub error: f64,
}

/// Sketch that counts the keys with the most work in bounded space.
///
/// The algorithm is Space-Saving (Metwally, Agrawal, El Abbadi, 2005): each key with more than `total / capacity` of
/// the work is among the counted keys.
#[derive(Clone, Debug)]
pub struct SpaceSaving {
    /// Sorted by key.
    counts: Vec<KeyCount>,
    capacity: usize,
    total: f64,
}

impl SpaceSaving {
    /// Returns an empty sketch of at most `capacity` keys. A capacity of zero counts as one.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self {
            counts: Vec::with_capacity(capacity),
            capacity,
            total: 0.0,
        }
    }

    /// Adds work for a key.
    pub fn add(&mut self, key: &Key, work: f64) {
        self.total += work;
        match self.counts.binary_search_by(|c| c.key.cmp(key)) {
            Ok(i) => self.counts[i].count += work,
            Err(i) if self.counts.len() < self.capacity => self.insert(i, key, work, 0.0),
            Err(_) => self.replace_lightest(key, work),
        }
    }

    /// Returns all counted keys, sorted by key.
    pub fn counts(&self) -> &[KeyCount] {
        &self.counts
    }

    /// Returns the work of all keys together.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Returns the keys whose work is certainly at least `share` of the total, in descending order of work.
    pub fn heavy_keys(&self, share: f64) -> Vec<KeyCount> {
        let least_work = self.total * share;
        let is_certain = |c: &&KeyCount| c.count - c.error >= least_work && c.count > 0.0;
        let mut heavy_keys: Vec<_> = self.counts.iter().filter(is_certain).cloned().collect();
        heavy_keys.sort_by(|a, b| b.count.total_cmp(&a.count).then_with(|| a.key.cmp(&b.key)));
        heavy_keys
    }

    /// Returns the first counted key at which the cumulated counts reach half of the total, or `None` if nothing was
    /// counted.
    pub fn median_key(&self) -> Option<Key> {
        let half = self.total / 2.0;
        let mut below = 0.0;
        for count in &self.counts {
            below += count.count;
            if below >= half {
                return Some(count.key.clone());
            }
        }
        None
    }

    /// Removes all keys.
    pub fn clear(&mut self) {
        self.counts.clear();
        self.total = 0.0;
    }

    fn insert(&mut self, position: usize, key: &Key, work: f64, error: f64) {
        let count = KeyCount {
            key: key.clone(),
            count: work + error,
            error,
        };
        self.counts.insert(position, count);
    }

    fn replace_lightest(&mut self, key: &Key, work: f64) {
        let by_count = |a: &usize, b: &usize| self.counts[*a].count.total_cmp(&self.counts[*b].count);
        let Some(lightest) = (0..self.counts.len()).min_by(by_count) else {
            return;
        };
        let error = self.counts.remove(lightest).count;
        if let Err(i) = self.counts.binary_search_by(|c| c.key.cmp(key)) {
            self.insert(i, key, work, error);
        }
    }
}
