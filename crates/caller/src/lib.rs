//! HTTP towards callers: what a request asks for, and the answers that we make ourselves.
//!
//! An answer of ours always says what is known of the request: that it was not run, or that
//! its outcome is unknown. An upstream's answer carries neither mark.
//!
//! # Examples
//!
//! ```
//! use marigoldbend_caller::{answer, headers::OUTCOME};
//!
//! let refused = answer::not_run("no slot is free");
//! assert_eq!(refused.status(), 503);
//! assert_eq!(refused.headers()[OUTCOME], "not-run");
//! let lost = answer::unknown("the connection to the upstream failed");
//! assert_eq!(lost.status(), 502);
//! assert_eq!(lost.headers()[OUTCOME], "unknown");
//! ```

pub mod answer;
pub mod headers;
pub mod request;
