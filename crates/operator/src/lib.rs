//! For operators: the questionnaire, the configuration derived from its answers, and a client of
//! the operator interface.
//!
//! # Examples
//!
//! ```
//! use marigoldbend_operator::{answers::Answers, plan::plan, questionnaire};
//!
//! let answers = Answers::parse(questionnaire::EXAMPLE).expect("the example is complete");
//! let plan = plan(&answers).expect("the values are in range");
//! assert!(plan.config.services.contains_key("inspection"));
//! // Each value comes with the answer that it is derived from.
//! assert!(plan.reasons.iter().any(|r| r.answer == "[service inspection] delay_ms"));
//! ```

pub mod answers;
pub mod client;
pub mod plan;
pub mod questionnaire;
