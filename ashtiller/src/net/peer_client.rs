//! Another process, reached through the wire's thread.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time;

use crate::failure::Failure;
use crate::peer::{Heartbeat, JobReply, LoanRequest, Peer, Submission};
use crate::peer_calls::{Call, ReplySender};
use crate::rpc::RpcClient;
use crate::store::CallFuture;

/// A [`Peer`] that stands for the process at an address.
pub struct PeerClient {
    /// The wire's thread.
    pub rpc: RpcClient,
    /// Where the process listens.
    pub address: SocketAddr,
}

impl PeerClient {
    async fn ask<T>(
        &self,
        step: &'static str,
        call: impl FnOnce(ReplySender<T>) -> Call,
    ) -> Result<T, Failure> {
        let (asked, answer) = oneshot::channel();
        let sent = self.rpc.send(self.address, call(asked));
        sent.map_err(|()| Failure::no_effect(step, self.address, "the wire is busy"))?;
        // The thread's own limit comes first; this one covers a stuck thread.
        match time::timeout(self.rpc.call_timeout() * 2, answer).await {
            Ok(Ok(done)) => done,
            _ => Err(Failure::unknown_effect(
                step,
                self.address,
                "the wire gave no answer",
            )),
        }
    }
}

impl Peer for PeerClient {
    fn heartbeat(&self, mine: Heartbeat) -> CallFuture<'_, Heartbeat> {
        Box::pin(self.ask("greet", |asked| Call::Heartbeat(mine, asked)))
    }

    fn lend(&self, ask: LoanRequest) -> CallFuture<'_, Vec<(u64, u32)>> {
        Box::pin(self.ask("lend", |asked| Call::Lend(ask, asked)))
    }

    fn submit(&self, cell: Arc<str>, job: Submission) -> CallFuture<'_, JobReply> {
        Box::pin(self.ask("submit", |asked| Call::Submit(cell, Box::new(job), asked)))
    }

    fn cancel(&self, cell: Arc<str>, account: Arc<str>, job: Arc<str>) -> CallFuture<'_, JobReply> {
        Box::pin(self.ask("cancel", |asked| Call::Cancel([cell, account, job], asked)))
    }

    fn show(&self, cell: Arc<str>, account: Arc<str>, job: Arc<str>) -> CallFuture<'_, String> {
        Box::pin(self.ask("show", |asked| Call::Show([cell, account, job], asked)))
    }
}
