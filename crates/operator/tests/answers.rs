//! Configurations derived from questionnaires, and errors of invalid answers.

use {
    marigoldbend_operator::{answers::Answers, plan::plan, questionnaire},
    test_case::test_case,
};

const TEGAR: &str = include_str!("../../../answers/tegar.ini");
const VITI: &str = include_str!("../../../answers/viti.ini");

#[test_case(TEGAR, "inspection"; "tegar")]
#[test_case(VITI, "authoring"; "viti")]
fn answers_of_both_teams_give_a_configuration(text: &str, service: &str) {
    let plan = plan(&Answers::parse(text).expect("the answers are complete"))
        .expect("the values are in range");
    assert!(plan.config.services[service].latency_critical);
    assert_eq!(
        (plan.config.worker.slots, plan.config.worker.connections),
        (8, 64)
    );
}

#[test]
fn weights_follow_the_importance_answers() {
    let weights = |text| {
        plan(&Answers::parse(text).expect("the answers are complete"))
            .expect("the values are in range")
            .config
            .weights
    };
    let (tegar, viti) = (weights(TEGAR), weights(VITI));
    assert!(tegar.tail_latency > tegar.evictions);
    assert!(viti.evictions > viti.tail_latency);
}

#[test]
fn blank_questionnaire_is_rejected_for_missing_names() {
    let error = Answers::parse(questionnaire::TEMPLATE).expect_err("the names are missing");
    assert!(error.to_string().contains("name of its own"), "{error}");
}

#[test_case("slots = 8", "slots = many", "[worker] slots"; "not a number")]
#[test_case("slots = 8", "slotz = 8", "[worker] slotz"; "unknown key")]
#[test_case("slots = 8\n", "", "[worker] slots"; "missing key")]
#[test_case("[worker]", "[worcer]", "[worcer]"; "unknown section")]
#[test_case("tail_latency = 9", "tail_latency = 11", "[importance] tail_latency"; "grade out of range")]
#[test_case("at_peak = refusal", "at_peak = panic", "[service inspection] at_peak"; "unknown choice")]
#[test_case("waited_for = yes", "waited_for = yes\nwaited_for = no", "[service inspection] waited_for"; "given twice")]
#[test_case("share = half", "share = all", "[batch load-review] share"; "unknown share")]
fn errors_name_the_invalid_answer(valid: &str, invalid: &str, place: &str) {
    let text = TEGAR.replace(valid, invalid);
    assert_ne!(text, TEGAR);
    let error = Answers::parse(&text).expect_err("an invalid answer");
    assert!(error.to_string().starts_with(place), "{error}");
}

#[test]
fn delay_above_the_longest_deadline_is_rejected() {
    let text = TEGAR.replace("delay_ms = 1500", "delay_ms = 6000");
    let answers = Answers::parse(&text).expect("the answers are complete");
    let error = plan(&answers).expect_err("the deadline is too long");
    assert_eq!(error.field(), "services.inspection.deadline_ms");
}
