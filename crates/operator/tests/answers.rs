//! Questionnaires: what follows from the answers, and what is said of wrong ones.

use {
    marigoldbend_operator::{answers::Answers, plan::plan, questionnaire},
    test_case::test_case,
};

const TEGAR: &str = include_str!("../../../answers/tegar.ini");
const VITI: &str = include_str!("../../../answers/viti.ini");

#[test_case(TEGAR, "inspection"; "tegar")]
#[test_case(VITI, "authoring"; "viti")]
fn the_answers_of_both_teams_lead_to_a_configuration(text: &str, service: &str) {
    let plan = plan(&Answers::parse(text).expect("they are complete")).expect("they fit");
    assert!(plan.config.services[service].latency_critical);
    assert_eq!(
        (plan.config.worker.slots, plan.config.worker.connections),
        (8, 64)
    );
}

#[test]
fn each_team_weighs_what_it_said() {
    let weights = |text| {
        plan(&Answers::parse(text).expect("complete"))
            .expect("fits")
            .config
            .weights
    };
    let (tegar, viti) = (weights(TEGAR), weights(VITI));
    assert!(tegar.tail_latency > tegar.evictions);
    assert!(viti.evictions > viti.tail_latency);
}

#[test]
fn the_blank_questionnaire_asks_for_names() {
    let error = Answers::parse(questionnaire::TEMPLATE).expect_err("it is not filled in");
    assert!(error.to_string().contains("name of its own"), "{error}");
}

#[test_case("slots = 8", "slots = many", "[worker] slots"; "not a number")]
#[test_case("slots = 8", "slotz = 8", "[worker] slotz"; "unknown key")]
#[test_case("slots = 8\n", "", "[worker] slots"; "missing key")]
#[test_case("[worker]", "[worcer]", "[worcer]"; "unknown section")]
#[test_case("tail_latency = 9", "tail_latency = 11", "[importance] tail_latency"; "grade out of range")]
#[test_case("at_peak = refusal", "at_peak = panic", "[service inspection] at_peak"; "no such choice")]
#[test_case("waited_for = yes", "waited_for = yes\nwaited_for = no", "[service inspection] waited_for"; "given twice")]
#[test_case("share = half", "share = all", "[batch load-review] share"; "no such share")]
fn a_wrong_answer_is_named(right: &str, wrong: &str, place: &str) {
    let text = TEGAR.replace(right, wrong);
    assert_ne!(text, TEGAR);
    let error = Answers::parse(&text).expect_err("it is wrong");
    assert!(error.to_string().starts_with(place), "{error}");
}

#[test]
fn a_delay_beyond_the_longest_deadline_is_refused() {
    let text = TEGAR.replace("delay_ms = 1500", "delay_ms = 6000");
    let answers = Answers::parse(&text).expect("they are complete");
    let error = plan(&answers).expect_err("the deadline is too long");
    assert_eq!(error.field(), "services.inspection.deadline_ms");
}
