//! A stream that checks whether a request may still be sent, right before the first byte of the
//! request is written.
//!
//! The process may be paused at any step between the choice of a worker and the write, and the
//! ownership of the worker may expire meanwhile. A check as part of the write leaves no such step
//! between them.

use {
    parking_lot::Mutex,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Returns whether a request may still be sent.
type Check = Box<dyn FnOnce() -> bool + Send>;

/// Lets the next write through only if a check passes.
///
/// After a failed check all further writes fail.
#[derive(Default)]
pub(crate) struct WriteGuard {
    check: Mutex<Option<Check>>,
    /// Whether the next write must pass the check.
    armed: AtomicBool,
    /// Whether a check has failed.
    blocked: AtomicBool,
}

impl WriteGuard {
    /// Lets the next write through only if `check` returns true.
    pub(crate) fn arm(&self, check: Check) {
        *self.check.lock() = Some(check);
        self.armed.store(true, Ordering::Release);
    }

    /// Returns whether a check failed, so that writes are blocked.
    pub(crate) fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::Acquire)
    }

    /// Returns whether no write has passed since the guard was armed.
    pub(crate) fn is_unwritten(&self) -> bool {
        self.armed.load(Ordering::Acquire) || self.is_blocked()
    }

    fn check_write(&self) -> io::Result<()> {
        if self.is_blocked() {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        if !self.armed.load(Ordering::Acquire) {
            return Ok(());
        }
        let check = self.check.lock().take();
        let allowed = check.is_none_or(|check| check());
        if !allowed {
            self.blocked.store(true, Ordering::Release);
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        self.armed.store(false, Ordering::Release);
        Ok(())
    }
}

/// A TCP stream whose writes are checked by a [`WriteGuard`].
pub(crate) struct GuardedStream {
    pub(crate) stream: TcpStream,
    pub(crate) guard: Arc<WriteGuard>,
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.guard.check_write()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.guard.check_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
