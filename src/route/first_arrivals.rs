use crate::clock::Ms;

/// Estimates when the first attempt of a call arrived, from the timeouts that callers give.
///
/// A caller that retries gives the rest of its timeout. The difference to the longest timeout given for the route
/// is the time since its first attempt arrived, which the latency objective counts from.
#[derive(Clone, Debug, Default)]
pub struct FirstArrivals {
    /// Routes with the longest timeout that a caller has given, sorted by route.
    longest_times: Vec<(String, Ms)>,
}

impl FirstArrivals {
    /// Returns the time since the first attempt of a call of `route` whose timeout is now `left`.
    pub fn age(&mut self, route: &str, left: Ms) -> Ms {
        let longest_time = match self
            .longest_times
            .binary_search_by(|(name, _)| name.as_str().cmp(route))
        {
            Ok(i) => &mut self.longest_times[i].1,
            Err(i) => {
                self.longest_times.insert(i, (route.to_owned(), left));
                &mut self.longest_times[i].1
            }
        };
        *longest_time = left.max(*longest_time);
        *longest_time - left
    }

    /// Drops the routes for which `is_kept` is false. The others keep their times.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.longest_times.retain(|(name, _)| is_kept(name));
    }
}
