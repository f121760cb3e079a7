//! Calls between entry instances and their replies, each in one frame of a TCP connection.

use {
    bytes::Bytes,
    marigoldbend_core::{
        config::Config,
        ids::{Domain, Version},
        ownership::DomainRow,
        sched::{
            job::JobId,
            loans::{Loan, LoanRequest},
            progress::JobState,
        },
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    tokio_util::codec::LengthDelimitedCodec,
};

/// The maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// A result of encoding or decoding a frame.
pub type Result<T, E = FrameError> = std::result::Result<T, E>;

/// An error for a frame that is too long to send or could not be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the frame is damaged or too long"))]
pub struct FrameError;

/// A header field of a forwarded message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Field {
    /// The name.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// A request that the sender has no free slot for and offers to a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// The id of the request, for logs.
    pub request_id: String,
    /// The service.
    pub service: String,
    /// The method.
    pub method: String,
    /// The path and query of the request to the upstream.
    pub path: String,
    /// The header fields.
    pub headers: Vec<Field>,
    /// The whole body.
    pub body: Bytes,
    /// The time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// The response of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamResponse {
    /// The status.
    pub status: u16,
    /// The header fields.
    pub headers: Vec<Field>,
    /// The whole body.
    pub body: Bytes,
}

/// The newest state that an instance has, sent to a peer that can't reach the platform.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// The configuration in use and its version; `None` if the instance has none.
    pub config: Option<(Version, Config)>,
    /// The ownership row of the requested domain and its version; `None` if the instance has none.
    pub row: Option<(Version, DomainRow)>,
    /// The platform's instance list as last read, in JSON; `None` if the instance has none.
    pub list: Option<String>,
}

/// A call to another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Call {
    /// Asks the peer to serve a request, provided that a slot is free immediately.
    Offer(Offer),
    /// Asks for the configuration, the ownership row of this domain and the instance list.
    Snapshot(Domain),
    /// Asks for the state of a job.
    JobState {
        /// The shard that the job belongs to.
        shard: String,
        /// The job.
        job: JobId,
    },
    /// Asks for the evacuated failure domains.
    Evacuations {
        /// The shard that they belong to.
        shard: String,
    },
    /// Asks the leader of a shard for a loan.
    Loan(LoanRequest),
    /// Asks for the number of jobs in a queue that have not started.
    Pending {
        /// The shard that they belong to.
        shard: String,
        /// The queue.
        queue: String,
    },
}

/// An evacuated failure domain, and what still runs there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainEvacuation {
    /// The domain.
    pub domain: String,
    /// Whether long-running tasks move away.
    pub is_emptied: bool,
    /// The listed workers.
    pub workers: u32,
    /// The runs of tasks that end by themselves.
    pub short_runs: u32,
    /// The runs of long-running tasks.
    pub long_running_runs: u32,
}

/// The reply to a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// The upstream's response to the offered request.
    Answered(UpstreamResponse),
    /// The offered request was not run.
    NotRun {
        /// The reason.
        reason: String,
    },
    /// The offered request may have been run.
    Unknown {
        /// The reason.
        reason: String,
    },
    /// The configuration, the ownership row and the instance list.
    Snapshot(Box<Snapshot>),
    /// The job's state; `None` if the instance does not lead the shard or has no such job.
    JobState(Option<JobState>),
    /// The evacuated domains; `None` if the instance does not lead the shard.
    Evacuations(Option<Vec<DomainEvacuation>>),
    /// The loan; `None` if the instance lends nothing.
    Loan(Option<Loan>),
    /// The number of jobs; `None` if the instance does not lead the shard.
    Pending(Option<u32>),
}

/// A call or a reply, with the id by which a reply is matched to its call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Frame<T> {
    /// The id of the call, unique on its connection; the reply repeats it.
    pub id: u64,
    /// The call or the reply.
    pub body: T,
}

impl<T: Serialize> Frame<T> {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is longer than [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Result<Bytes> {
        let buf = postcard::to_stdvec(self).map_err(|_| FrameError)?;
        if buf.len() > MAX_FRAME_BYTES {
            return Err(FrameError);
        }
        Ok(buf.into())
    }
}

impl<T: for<'a> Deserialize<'a>> Frame<T> {
    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns an error if `buf` is damaged or has bytes after the frame.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        let (frame, rest) = postcard::take_from_bytes(buf).map_err(|_| FrameError)?;
        if !rest.is_empty() {
            return Err(FrameError);
        }
        Ok(frame)
    }
}

/// Returns the codec that splits the bytes of a connection into frames.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
