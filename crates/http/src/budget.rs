//! Reads messages within the byte budget of the process and within time limits.
//!
//! A message is stored in chunks of the same size while its bytes arrive, and each chunk is reserved
//! before it is allocated. With one buffer that grows, the allocator would hold about twice the
//! bytes of many unfinished messages. The reservation lasts until the message is dropped, so it also bounds how many
//! messages are handled at the same time.

use {
    crate::{
        body::{BodyError, Result},
        connections::Activity,
        counters::Counters,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{HeaderMap, body::Body, http::request::Parts},
    marigoldbend_core::{
        byte_budget::{BudgetLimits, ByteBudget, Grant, MessageId},
        hash::HashMap,
    },
    parking_lot::Mutex,
    std::{
        mem,
        pin::{Pin, pin},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::Notify,
        time::{timeout, timeout_at},
    },
};

/// The maximum size of a chunk, in bytes; most jobs fit.
const CHUNK_BYTES: usize = 16 << 10;

/// What a message takes beside its bytes: the request and the tasks that serve it.
const MESSAGE_OVERHEAD_BYTES: usize = 1 << 10;

/// What a header field takes beside its name and its value, in bytes.
const FIELD_OVERHEAD_BYTES: usize = 64;

/// How many times its length the body of a long job takes in addition while it is handled: the
/// parsed form and the encoded write to the store.
pub const JOB_HANDLING_FACTOR: usize = 3;

/// How long the rest of a refused body is read and dropped. A client that still sends would see a
/// reset connection instead of the response.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The time limits of a message.
#[derive(Clone, Copy, Debug)]
pub struct MessageTimes {
    /// The time limit for the whole message.
    pub total: Duration,
    /// The length of the windows in which the rate is measured.
    pub window: Duration,
    /// The number of bytes that have to arrive in each window.
    pub min_window_bytes: usize,
}

impl Default for MessageTimes {
    /// Callers wait for their responses for up to 3 s, so a body that is of use has arrived before
    /// the first window ends.
    fn default() -> Self {
        Self {
            total: Duration::from_secs(20),
            window: Duration::from_secs(5),
            min_window_bytes: 5 << 10,
        }
    }
}

/// The messages of a process and the bytes that they hold.
#[derive(Debug)]
pub struct Budget {
    state: Mutex<State>,
    times: MessageTimes,
    small_message: usize,
    handling_factor: usize,
    counters: Arc<Counters>,
}

#[derive(Debug)]
struct State {
    budget: ByteBudget,
    buffers: HashMap<MessageId, Buffer>,
}

/// The bytes of an unfinished message. It is kept with the budget, so that closing a message frees
/// its memory immediately.
#[derive(Debug)]
struct Buffer {
    chunks: Vec<Vec<u8>>,
    /// The number of bytes in the chunks.
    len: usize,
    /// The sum of the chunks' sizes and of what the message takes beside them, in bytes.
    reserved: usize,
    closed: Arc<Notify>,
}

impl Budget {
    /// Creates a budget that no message uses. While a message is handled that is too long for the
    /// small pool, `handling_factor` times its length is reserved in addition.
    pub fn new(
        limits: BudgetLimits,
        times: MessageTimes,
        handling_factor: usize,
        counters: Arc<Counters>,
    ) -> Arc<Self> {
        let state = State {
            budget: ByteBudget::new(limits),
            buffers: HashMap::default(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            times,
            small_message: limits.small_message,
            handling_factor,
            counters,
        })
    }

    /// Returns the counters of the process.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Reads the whole body of a request, of at most `max_bytes` bytes. The bytes stay reserved
    /// until the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long, is malformed, ends early, arrives too slowly, or
    /// exceeds the budget. The request had no effect then.
    pub async fn read<B>(
        self: &Arc<Self>,
        parts: &Parts,
        body: B,
        max_bytes: usize,
    ) -> Result<Bytes>
    where
        B: Body<Data = Bytes>,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let declared = body.size_hint().exact();
        let declared = declared.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        let _receiving = parts.extensions.get::<Activity>().map(Activity::receive);
        let mut body = pin!(body);
        let result = if declared.is_some_and(|bytes| bytes > max_bytes) {
            Err(BodyError::TooLong)
        } else {
            let expected_bytes = declared.unwrap_or(max_bytes);
            self.receive(&parts.headers, body.as_mut(), max_bytes, expected_bytes)
                .await
        };
        match result {
            Err(BodyError::TooSlow) => self.counters.messages_slow.add(1),
            Err(BodyError::TooLong | BodyError::Overloaded) => {
                // The response is sent whether or not the rest arrives.
                let _ = timeout(DRAIN_TIMEOUT, drain(body, max_bytes)).await;
            }
            _ => {}
        }
        result
    }

    async fn receive<B>(
        self: &Arc<Self>,
        headers: &HeaderMap,
        mut body: Pin<&mut B>,
        max_bytes: usize,
        expected_bytes: usize,
    ) -> Result<Bytes>
    where
        B: Body<Data = Bytes>,
    {
        let message = self.open(header_bytes(headers))?;
        let end = Instant::now() + self.times.total;
        let mut window_end = Instant::now() + self.times.window;
        let mut window_bytes = 0;
        loop {
            let wake_at = window_end.min(end);
            let next = tokio::select! {
                biased;
                () = message.closed.notified() => return Err(BodyError::Overloaded),
                next = timeout_at(wake_at.into(), body.frame()) => next,
            };
            match next {
                Ok(None) => return message.finish(),
                Ok(Some(Err(_))) => return Err(BodyError::Truncated),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        message.extend(&data, max_bytes, expected_bytes)?;
                        window_bytes += data.len();
                    }
                }
                Err(_) => {}
            }
            let now = Instant::now();
            if now >= end {
                return Err(BodyError::TooSlow);
            }
            if now >= window_end {
                if window_bytes < self.times.min_window_bytes {
                    return Err(BodyError::TooSlow);
                }
                window_end = now + self.times.window;
                window_bytes = 0;
            }
        }
    }

    /// Reserves what a request without a body takes, until the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Overloaded`] if the budget is exhausted.
    pub fn hold(self: &Arc<Self>, headers: &HeaderMap) -> Result<Message> {
        let message = self.open(header_bytes(headers))?;
        self.state.lock().budget.complete(message.id);
        Ok(message)
    }

    /// Adds an unfinished message that takes `bytes` bytes beside its own.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Overloaded`] if the budget is exhausted.
    pub fn open(self: &Arc<Self>, bytes: usize) -> Result<Message> {
        let now = Instant::now();
        let closed = Arc::new(Notify::new());
        let overhead = MESSAGE_OVERHEAD_BYTES + bytes;
        let mut state = self.state.lock();
        let id = state.budget.open(now);
        let buffer = Buffer {
            chunks: Vec::new(),
            len: 0,
            reserved: overhead,
            closed: closed.clone(),
        };
        state.buffers.insert(id, buffer);
        // If the reservation fails, the drop of the message removes it.
        let message = Message {
            budget: self.clone(),
            id,
            closed,
        };
        let reserved = self.reserve(&mut state, id, overhead, now);
        drop(state);
        reserved.map(|()| message)
    }

    /// Reserves bytes for a message, and closes others for it.
    fn reserve(&self, state: &mut State, id: MessageId, bytes: usize, now: Instant) -> Result<()> {
        let Grant::Granted(victims) = state.budget.reserve(id, bytes, now) else {
            self.counters.messages_refused.add(1);
            return Err(BodyError::Overloaded);
        };
        self.counters.messages_displaced.add(victims.len() as u64);
        for victim in victims {
            if let Some(buffer) = state.buffers.remove(&victim) {
                buffer.closed.notify_one();
            }
        }
        self.publish(state);
        Ok(())
    }

    /// Sets the levels in the counters.
    fn publish(&self, state: &State) {
        let used = state.budget.used();
        let bytes = (used.large + used.small) as u64;
        self.counters.bytes_in_flight.set(bytes);
        self.counters.messages_in_flight.set(used.messages as u64);
    }
}

/// A message in flight; dropping it frees its bytes.
#[derive(Debug)]
pub struct Message {
    budget: Arc<Budget>,
    id: MessageId,
    closed: Arc<Notify>,
}

impl Message {
    /// Waits until the message is closed for another one.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Appends bytes to a message of at most `max_bytes` bytes. `expected_bytes` is the length of
    /// the message as far as it is known.
    ///
    /// # Errors
    ///
    /// Returns an error if the message gets too long, the budget is exhausted or the message was
    /// closed.
    pub fn extend(&self, mut data: &[u8], max_bytes: usize, expected_bytes: usize) -> Result<()> {
        let mut guard = self.budget.state.lock();
        let state = &mut *guard;
        while !data.is_empty() {
            let Some(buffer) = state.buffers.get_mut(&self.id) else {
                return Err(BodyError::Overloaded);
            };
            if buffer.len + data.len() > max_bytes {
                return Err(BodyError::TooLong);
            }
            if let Some(chunk) = buffer.chunks.last_mut()
                && chunk.len() < chunk.capacity()
            {
                let (head, rest) = data.split_at(data.len().min(chunk.capacity() - chunk.len()));
                chunk.extend_from_slice(head);
                buffer.len += head.len();
                data = rest;
                continue;
            }
            let expected = expected_bytes.saturating_sub(buffer.len);
            let chunk_bytes = CHUNK_BYTES.min(expected.max(data.len()));
            let reserved = buffer.reserved + chunk_bytes;
            self.budget
                .reserve(state, self.id, reserved, Instant::now())?;
            if let Some(buffer) = state.buffers.get_mut(&self.id) {
                buffer.chunks.push(Vec::with_capacity(chunk_bytes));
                buffer.reserved = reserved;
            }
        }
        Ok(())
    }

    /// Returns the bytes of the complete message, which is no longer closed for others.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Overloaded`] if the message was closed, or the budget does not suffice
    /// to handle it.
    pub fn finish(self) -> Result<Bytes> {
        let mut guard = self.budget.state.lock();
        let state = &mut *guard;
        let Some(buffer) = state.buffers.get_mut(&self.id) else {
            return Err(BodyError::Overloaded);
        };
        let chunks = mem::take(&mut buffer.chunks);
        let (len, mut bytes) = (buffer.len, buffer.reserved);
        if len > self.budget.small_message {
            bytes = bytes.saturating_add(self.budget.handling_factor * len);
        }
        self.budget.reserve(state, self.id, bytes, Instant::now())?;
        state.budget.complete(self.id);
        drop(guard);
        Ok(Bytes::from_owner(Held {
            data: join(chunks, len),
            _message: self,
        }))
    }
}

/// Joins chunks of `len` bytes in all. Each is freed once it is copied, so that the bytes are not in
/// memory twice.
fn join(mut chunks: Vec<Vec<u8>>, len: usize) -> Vec<u8> {
    if chunks.len() <= 1 {
        return chunks.pop().unwrap_or_default();
    }
    let mut data = Vec::with_capacity(len);
    for chunk in chunks {
        data.extend_from_slice(&chunk);
    }
    data
}

impl Drop for Message {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock();
        state.budget.release(self.id);
        state.buffers.remove(&self.id);
        self.budget.publish(&state);
    }
}

/// The bytes of a complete message and their reservation.
struct Held {
    data: Vec<u8>,
    _message: Message,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Reads and drops about `max_bytes` bytes of a body.
async fn drain<B: Body<Data = Bytes>>(mut body: Pin<&mut B>, max_bytes: usize) {
    let mut bytes = 0;
    while bytes <= max_bytes
        && let Some(Ok(frame)) = body.frame().await
    {
        bytes += frame.data_ref().map_or(0, Bytes::len);
    }
}

/// Returns about how many bytes the header fields of a request take.
fn header_bytes(headers: &HeaderMap) -> usize {
    let field = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES
    };
    headers.iter().map(field).sum()
}
