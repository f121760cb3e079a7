//! HTTP towards callers: parsing requests, and building the error responses of an instance.
//!
//! An error response of an instance has the header field [`OUTCOME`](headers::OUTCOME), which says
//! that the request was not run or that its outcome is unknown. A response from an upstream does
//! not have this field.
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
