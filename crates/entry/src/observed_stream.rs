//! A TCP stream that reports to an observer how much its peer has sent.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Observes what is read from a stream.
pub(crate) trait ReadObserver: Unpin {
    /// Is called after `n_bytes`, at least one, have been read.
    ///
    /// # Errors
    /// An error becomes that of the read, which ends the connection.
    fn note_read(&mut self, n_bytes: usize) -> io::Result<()>;
}

/// A stream whose reads an observer sees.
#[derive(Debug)]
pub(crate) struct ObservedStream<O> {
    inner: TcpStream,
    observer: O,
}

impl<O> ObservedStream<O> {
    /// Reports to `observer` what is read from `inner`.
    pub(crate) fn new(inner: TcpStream, observer: O) -> Self {
        Self { inner, observer }
    }
}

impl<O: ReadObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let n_before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        match buffer.filled().len() - n_before {
            0 => Poll::Ready(Ok(())),
            n_bytes => Poll::Ready(self.observer.note_read(n_bytes)),
        }
    }
}

impl<O: Unpin> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
