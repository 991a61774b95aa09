use {
    super::Progress,
    crate::{
        control::State,
        wire::control::{SplitAction, SplitStage},
    },
    thiserror::Error,
};

/// Why a command for the split is refused.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SplitError {
    /// The schema declares no split.
    #[error("the schema in force declares no split")]
    NotDeclared,
    /// The split has been started before.
    #[error("the split has been started already")]
    Started,
    /// No ranges are moving that could be paused.
    #[error("only a split whose ranges are moving can be paused")]
    NotMoving,
    /// The split is not paused, so it cannot be resumed.
    #[error("only a paused split can be resumed")]
    NotPaused,
    /// The split is not settled, so the halves cannot part.
    #[error("the halves can only part once the split is settled")]
    NotSettled,
    /// The command names no known action.
    #[error("the action is not known")]
    UnknownAction,
}

/// Returns the stage to which an operator's action leads.
///
/// # Errors
/// Fails if the action does not fit the stage or the schema declares no split.
pub fn stage_after(
    stage: SplitStage,
    is_declared: bool,
    action: SplitAction,
) -> Result<SplitStage, SplitError> {
    if !is_declared {
        return Err(SplitError::NotDeclared);
    }
    match (action, stage) {
        (SplitAction::Start, SplitStage::Idle) => Ok(SplitStage::Moving),
        (SplitAction::Start, _) => Err(SplitError::Started),
        (SplitAction::Pause, SplitStage::Moving) => Ok(SplitStage::Paused),
        (SplitAction::Pause, _) => Err(SplitError::NotMoving),
        (SplitAction::Resume, SplitStage::Paused) => Ok(SplitStage::Moving),
        (SplitAction::Resume, _) => Err(SplitError::NotPaused),
        (SplitAction::Part, SplitStage::Settled) => Ok(SplitStage::Ceding),
        (SplitAction::Part, _) => Err(SplitError::NotSettled),
        (SplitAction::Unspecified, _) => Err(SplitError::UnknownAction),
    }
}

/// Returns the stage that the leader should have committed next, or `None` if the present stage is not complete in
/// `state` or ends only by an operator's action.
pub fn next_stage(state: &State) -> Option<SplitStage> {
    let split = state.schema().split.as_ref()?;
    let progress = || Progress::of(state, split);
    match state.split().stage() {
        SplitStage::Moving => {
            let left = progress();
            let is_settled = left.misplaced == 0 && left.unowned == 0;
            is_settled.then_some(SplitStage::Settled)
        }
        SplitStage::Ceding => (progress().second_sessions == 0).then_some(SplitStage::Parted),
        SplitStage::Idle | SplitStage::Paused | SplitStage::Settled | SplitStage::Parted => None,
    }
}

/// Returns the name of a stage in logs and answers.
pub fn stage_name(stage: SplitStage) -> &'static str {
    match stage {
        SplitStage::Idle => "idle",
        SplitStage::Moving => "moving",
        SplitStage::Paused => "paused",
        SplitStage::Settled => "settled",
        SplitStage::Ceding => "ceding",
        SplitStage::Parted => "parted",
    }
}
