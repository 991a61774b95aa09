use {
    super::daemon_cx::DaemonCx,
    crate::route::{self, Candidate, Target},
    std::rc::Rc,
};

impl DaemonCx {
    /// Returns the servers that can take calls of an undivided service. The list is cached until the state changes.
    pub(super) fn candidates(&self, service: &str) -> Rc<Vec<Candidate>> {
        let mut cache = self.candidates.borrow_mut();
        if let Ok(i) = cache.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            return cache[i].1.clone();
        }
        let candidates = Rc::new(route::candidates(
            &self.state(),
            service,
            &self.settings.failure_domain,
        ));
        let now = self.clock.now();
        let mut balancer = self.balancer.borrow_mut();
        balancer.learn(&candidates, now);
        balancer.forget_unused(now);
        cache.push((service.to_owned(), candidates.clone()));
        cache.sort_by(|a, b| a.0.cmp(&b.0));
        candidates
    }

    pub(super) fn untried_candidates(&self, service: &str, tried: &[Target]) -> Vec<Candidate> {
        let all = self.candidates(service);
        let left = all.iter().filter(|c| !tried.contains(&c.target));
        left.cloned().collect()
    }

    pub(super) fn has_untried_candidate(&self, service: &str, tried: &[Target]) -> bool {
        self.candidates(service)
            .iter()
            .any(|c| !tried.contains(&c.target))
    }
}
