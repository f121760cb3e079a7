//! The questionnaire from whose answers a configuration is derived.

/// The blank questionnaire, with comments that explain each answer.
pub const TEMPLATE: &str = include_str!("questionnaire.ini");

/// A completed questionnaire, as an example.
pub const EXAMPLE: &str = include_str!("example.ini");
