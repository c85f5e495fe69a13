//! The labels of candidate verdicts in summary lines and traces, which operators' scripts match.

use load_balancer::CandidateVerdict;

#[test]
fn verdicts_have_the_names_that_scripts_read_in_the_order_of_their_counts() {
    let labels = CandidateVerdict::ALL.map(CandidateVerdict::label);
    let expected = [
        "Home",
        "Moved",
        "MovedPaid",
        "Tried",
        "InPart",
        "Cold",
        "Silent",
        "Hot",
        "Full",
        "NoFetch",
        "Stays",
    ];
    assert_eq!(labels, expected);
}
