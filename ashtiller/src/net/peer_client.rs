//! A remote process, called through the RPC thread.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time;

use crate::failure::Failure;
use crate::peer::{Heartbeat, JobReply, LoanRequest, Peer, Submission};
use crate::peer_calls::{Call, ReplySender};
use crate::rpc::RpcClient;
use crate::store::CallFuture;

/// A [`Peer`] that calls the process at an address.
pub struct PeerClient {
    /// Handle to the RPC thread.
    pub rpc: RpcClient,
    /// Address at which the process serves its peers.
    pub address: SocketAddr,
}

impl PeerClient {
    async fn call<T>(
        &self,
        step: &'static str,
        make_call: impl FnOnce(ReplySender<T>) -> Call,
    ) -> Result<T, Failure> {
        let (reply, result) = oneshot::channel();
        let sent = self.rpc.send(self.address, make_call(reply));
        sent.map_err(|()| {
            Failure::no_effect(
                step,
                self.address,
                "the queue of RPC calls is full or closed",
            )
        })?;
        // The RPC thread applies the call's timeout; twice that time covers a stuck thread.
        match time::timeout(self.rpc.call_timeout() * 2, result).await {
            Ok(Ok(result)) => result,
            _ => Err(Failure::unknown_effect(
                step,
                self.address,
                "the RPC thread returned no result",
            )),
        }
    }
}

impl Peer for PeerClient {
    fn heartbeat(&self, mine: Heartbeat) -> CallFuture<'_, Heartbeat> {
        Box::pin(self.call("greet", |reply| Call::Heartbeat(mine, reply)))
    }

    fn lend(&self, request: LoanRequest) -> CallFuture<'_, Vec<(u64, u32)>> {
        Box::pin(self.call("lend", |reply| Call::Lend(request, reply)))
    }

    fn submit(&self, cell: Arc<str>, job: Submission) -> CallFuture<'_, JobReply> {
        Box::pin(self.call("submit", |reply| Call::Submit(cell, Box::new(job), reply)))
    }

    fn cancel(&self, cell: Arc<str>, account: Arc<str>, job: Arc<str>) -> CallFuture<'_, JobReply> {
        Box::pin(self.call("cancel", |reply| Call::Cancel([cell, account, job], reply)))
    }

    fn show(&self, cell: Arc<str>, account: Arc<str>, job: Arc<str>) -> CallFuture<'_, String> {
        Box::pin(self.call("show", |reply| Call::Show([cell, account, job], reply)))
    }
}
