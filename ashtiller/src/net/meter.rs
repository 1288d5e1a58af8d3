//! Counts the bytes sent and received on connections between processes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Byte counts of all connections between one process and its peers.
#[derive(Debug, Default)]
pub struct ByteCounts {
    /// Bytes received.
    pub received: AtomicU64,
    /// Bytes sent.
    pub sent: AtomicU64,
}

/// A stream, or half of one, whose bytes are counted.
#[derive(Debug)]
pub struct CountedStream<S> {
    stream: S,
    bytes: Arc<ByteCounts>,
}

impl<S> CountedStream<S> {
    /// Wraps `stream` and adds the bytes read and written to `bytes`.
    pub fn new(stream: S, bytes: Arc<ByteCounts>) -> Self {
        Self { stream, bytes }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = (buffer.filled().len() - filled_before) as u64;
        self.bytes.received.fetch_add(read, Ordering::Relaxed);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(written)) = &result {
            self.bytes
                .sent
                .fetch_add(*written as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
