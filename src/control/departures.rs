use crate::{
    clock::Ms,
    wire::control::{DepartureImage, ServerLeft},
};

/// Time for which a departure is remembered. A server serves on for some seconds after it has left, and goes on sending
/// heartbeats meanwhile.
const RETENTION: Ms = Ms(120_000);
/// Limit on the departures. The oldest ones are evicted.
const DEPARTURES_MAX: usize = 10_000;

/// The backend servers that have left, on all hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Departures {
    /// Sorted by host and instance.
    list: Vec<DepartureImage>,
}

impl Departures {
    /// Restores the list of an image, which is sorted.
    pub fn from_list(list: Vec<DepartureImage>) -> Self {
        Self { list }
    }

    /// Returns all departures, sorted by host and instance.
    pub fn list(&self) -> &[DepartureImage] {
        &self.list
    }

    /// Records that a server leaves at `at_ms`, in ms since the Unix epoch.
    pub fn record(&mut self, left: &ServerLeft, at_ms: u64) {
        self.list.retain(|d| Ms(at_ms) < Ms(d.at_ms) + RETENTION);
        match self.position(&left.host, &left.instance) {
            Ok(i) => {
                let known = &mut self.list[i];
                known.started_ms = known.started_ms.max(left.started_ms);
                known.at_ms = at_ms;
            }
            Err(i) => self.list.insert(
                i,
                DepartureImage {
                    host: left.host.clone(),
                    instance: left.instance.clone(),
                    started_ms: left.started_ms,
                    at_ms,
                },
            ),
        }
        if self.list.len() > DEPARTURES_MAX {
            self.remove_oldest();
        }
    }

    /// Returns whether the server that was started at `started_ms` has left. A server that was started later under the
    /// same name has not.
    pub fn contains(&self, host: &str, instance: &str, started_ms: u64) -> bool {
        let found = self.position(host, instance);
        found.is_ok_and(|i| started_ms <= self.list[i].started_ms)
    }

    fn position(&self, host: &str, instance: &str) -> Result<usize, usize> {
        let key = (host, instance);
        self.list
            .binary_search_by(|d| (d.host.as_str(), d.instance.as_str()).cmp(&key))
    }

    fn remove_oldest(&mut self) {
        let oldest = self.list.iter().enumerate().min_by_key(|(_, d)| d.at_ms);
        if let Some((i, _)) = oldest {
            self.list.remove(i);
        }
    }
}
