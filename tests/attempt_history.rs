//! The result of a call after several attempts.

use clementinefold::call::{AttemptHistory, CallResult, Outcome, Reason};

/// Longest sequence of attempts that is checked.
const ATTEMPTS_MAX: usize = 3;

/// Returns one result for each reason, and one answer.
fn results() -> Vec<CallResult> {
    let failed = Reason::ALL.iter().map(|reason| CallResult::failed(*reason));
    let answered = CallResult::answered(200, Vec::new(), Default::default());
    failed.chain([answered]).collect()
}

fn check(attempts: &[CallResult]) {
    let (last, earlier) = attempts.split_last().unwrap();
    let mut history = AttemptHistory::default();
    earlier.iter().for_each(|result| history.record(result));
    let result_of_call = history.final_result(last.clone());
    let reasons: Vec<_> = attempts.iter().map(|r| r.reason).collect();
    if last.outcome == Outcome::Answered {
        assert_eq!(result_of_call, *last, "{reasons:?}");
    } else if attempts.iter().any(|r| r.outcome == Outcome::Unknown) {
        assert_eq!(result_of_call.outcome, Outcome::Unknown, "{reasons:?}");
        assert!(matches!(result_of_call.status, 502 | 504), "{reasons:?}");
    } else {
        assert_eq!(result_of_call, *last, "{reasons:?}");
    }
}

fn check_all(attempts: &mut Vec<CallResult>, results: &[CallResult]) {
    if !attempts.is_empty() {
        check(attempts);
    }
    if attempts.len() == ATTEMPTS_MAX {
        return;
    }
    for result in results {
        attempts.push(result.clone());
        check_all(attempts, results);
        attempts.pop();
    }
}

/// A call is never reported as not run if any of its attempts may have run.
#[test]
fn unknown_outcome_kept() {
    check_all(&mut Vec::new(), &results());
}
