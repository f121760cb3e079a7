//! HTTP towards callers: what a request asks for, and the answers that we make ourselves.
//!
//! An answer of ours always says what is known of the request: that it was not run, or that
//! its outcome is unknown. An upstream's answer carries neither mark.
//!
//! # Examples
//!
//! ```
//! use marigoldbend_caller::{headers::OUTCOME, response};
//!
//! let refused = response::unavailable("no slot is free");
//! assert_eq!(refused.status(), 503);
//! assert_eq!(refused.headers()[OUTCOME], "not-run");
//! let lost = response::outcome_unknown("the connection to the upstream failed");
//! assert_eq!(lost.status(), 502);
//! assert_eq!(lost.headers()[OUTCOME], "unknown");
//! ```

pub mod headers;
pub mod request;
pub mod response;
