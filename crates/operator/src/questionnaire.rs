//! The questionnaire that a team fills in.

/// The blank questionnaire, with comments that explain each answer.
pub const TEMPLATE: &str = include_str!("questionnaire.ini");

/// A filled-in questionnaire.
pub const EXAMPLE: &str = include_str!("example.ini");
