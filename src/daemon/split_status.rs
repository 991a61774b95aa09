use {
    super::daemon_cx::DaemonCx,
    crate::split::{self, Progress},
    serde_json::{json, Value},
};

impl DaemonCx {
    /// Returns the stage of the split and what is left to do.
    pub(super) fn split_status(&self) -> Value {
        let state = self.state();
        let progress = state.schema().split.as_ref();
        let progress = progress.map(|split| Progress::of(&state, split));
        let left = progress.map(|p| {
            json!({
                "ranges": p.ranges,
                "misplaced": p.misplaced,
                "unowned": p.unowned,
                "second_sessions": p.second_sessions,
            })
        });
        json!({
            "revision": state.revision().to_string(),
            "declared": progress.is_some(),
            "stage": split::stage_name(state.split().stage()),
            "since": state.split().since,
            "ceded": state.split().ceded,
            "left": left,
        })
    }
}
