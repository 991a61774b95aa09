use {
    crate::{
        key::{Key, KeyRange},
        wire::control::{GuardReady, GuardSpanImage, ServiceGuardImage},
    },
    std::ops::Range,
};

/// Number of ranges into which the request ids of an undivided service are divided.
const ID_RANGE_COUNT: u8 = 16;

/// Location of the guard of one span and of its copy. The span ends where the next one starts.
#[derive(Clone, Debug, PartialEq)]
pub struct GuardSpan {
    /// First key of the span.
    pub start: Key,
    /// Epoch of the owner that reported the guard, or 0 if none has.
    pub epoch: u64,
    /// Peer address of the owner's daemon.
    pub owner_address: String,
    /// Peer address of the daemon with the copy, or empty if there is none.
    pub holder_address: String,
}

/// Locations of the guards of one service. Its spans cover all keys.
#[derive(Clone, Debug, PartialEq)]
pub struct GuardTable {
    /// Name of the service.
    pub service: String,
    spans: Vec<GuardSpan>,
}

impl GuardTable {
    /// Returns the table of a service without guards.
    pub fn new(service: &str) -> Self {
        let all_keys = GuardSpan {
            start: Key::default(),
            epoch: 0,
            owner_address: String::new(),
            holder_address: String::new(),
        };
        Self {
            service: service.to_owned(),
            spans: vec![all_keys],
        }
    }

    /// Sets the location of a span's guard.
    pub fn set(&mut self, ready: &GuardReady) {
        let start = self.split_at(&Key::new(ready.start.clone()));
        let end = match &ready.end {
            Some(end) => self.split_at(&Key::new(end.clone())),
            None => self.spans.len(),
        };
        self.spans.drain(start + 1..end);
        let span = &mut self.spans[start];
        span.epoch = ready.epoch;
        span.owner_address.clone_from(&ready.owner_address);
        span.holder_address.clone_from(&ready.holder_address);
    }

    /// Returns the parts of `range`, each with the location of its guard.
    pub fn parts(&self, range: &KeyRange) -> Vec<(KeyRange, &GuardSpan)> {
        let mut parts = Vec::new();
        for i in self.overlapping(range) {
            let span = &self.spans[i];
            let span_end = self.spans.get(i + 1).map(|next| next.start.clone());
            let end = match (span_end, &range.end) {
                (Some(a), Some(b)) => Some(a.min(b.clone())),
                (a, b) => a.or_else(|| b.clone()),
            };
            let start = span.start.clone().max(range.start.clone());
            parts.push((KeyRange { start, end }, span));
        }
        parts
    }

    /// Returns the location of the guard of `key`.
    pub fn span_of(&self, key: &Key) -> &GuardSpan {
        &self.spans[self.position(key)]
    }

    /// Returns whether no guard was ever reported.
    pub fn is_unused(&self) -> bool {
        self.spans.iter().all(|span| span.epoch == 0)
    }

    /// Returns the table as it is stored in a snapshot.
    pub fn to_image(&self) -> ServiceGuardImage {
        let spans = self.spans.iter().map(|span| GuardSpanImage {
            start: span.start.to_bytes(),
            epoch: span.epoch,
            owner_address: span.owner_address.clone(),
            holder_address: span.holder_address.clone(),
        });
        ServiceGuardImage {
            name: self.service.clone(),
            spans: spans.collect(),
        }
    }

    /// Returns the table that is stored in a snapshot.
    pub fn from_image(image: ServiceGuardImage) -> Self {
        let spans = image.spans.into_iter().map(|span| GuardSpan {
            start: Key::new(span.start),
            epoch: span.epoch,
            owner_address: span.owner_address,
            holder_address: span.holder_address,
        });
        Self {
            service: image.name,
            spans: spans.collect(),
        }
    }

    /// Returns the positions of the spans that share keys with `range`.
    fn overlapping(&self, range: &KeyRange) -> Range<usize> {
        let first = self.position(&range.start);
        let end = match &range.end {
            Some(end) => self.spans.partition_point(|span| span.start < *end),
            None => self.spans.len(),
        };
        first..end
    }

    fn position(&self, key: &Key) -> usize {
        self.spans.partition_point(|span| span.start <= *key) - 1
    }

    /// Splits the span that holds `key`, unless it starts there, and returns the position of the span that starts
    /// at `key`.
    fn split_at(&mut self, key: &Key) -> usize {
        let position = self.position(key);
        if self.spans[position].start == *key {
            return position;
        }
        let upper = GuardSpan {
            start: key.clone(),
            ..self.spans[position].clone()
        };
        self.spans.insert(position + 1, upper);
        position + 1
    }
}

/// Returns the keys at which the ranges of request ids of an undivided service start, except for the first range,
/// which starts at the lowest key.
pub fn request_id_boundaries() -> Vec<Key> {
    let step = 256 / usize::from(ID_RANGE_COUNT);
    (1..usize::from(ID_RANGE_COUNT))
        .map(|i| Key::new(vec![(i * step) as u8]))
        .collect()
}
