//! Serves this process to its peers over `capnp-rpc`.

use std::rc::Rc;
use std::sync::Arc;

use crate::codec;
use crate::failure::Failure;
use crate::peer::Peer;
use crate::schema::peer_capnp::peer;

/// RPC server that passes other processes' calls to a [`Peer`].
pub struct PeerServer {
    /// This process.
    pub peer: Arc<dyn Peer>,
}

fn rpc_error(failure: &Failure) -> capnp::Error {
    capnp::Error::failed(failure.to_string())
}

impl peer::Server for PeerServer {
    async fn greet(
        self: Rc<Self>,
        params: peer::GreetParams,
        mut results: peer::GreetResults,
    ) -> Result<(), capnp::Error> {
        let mine = codec::read_heartbeat(params.get()?.get_mine()?)?;
        let yours = self
            .peer
            .heartbeat(mine)
            .await
            .map_err(|failure| rpc_error(&failure))?;
        codec::write_heartbeat(results.get().init_yours(), &yours);
        Ok(())
    }

    async fn lend(
        self: Rc<Self>,
        params: peer::LendParams,
        mut results: peer::LendResults,
    ) -> Result<(), capnp::Error> {
        let wanted = codec::read_loan_request(params.get()?.get_ask()?)?;
        let loans = self
            .peer
            .lend(wanted)
            .await
            .map_err(|failure| rpc_error(&failure))?;
        codec::write_loans(results.get().init_loans(codec::length(loans.len())), &loans);
        Ok(())
    }

    async fn submit(
        self: Rc<Self>,
        params: peer::SubmitParams,
        mut results: peer::SubmitResults,
    ) -> Result<(), capnp::Error> {
        let cell = codec::read_name(params.get()?.get_cell()?)?;
        let job = codec::read_submission(params.get()?.get_job()?)?;
        let reply = self
            .peer
            .submit(cell, job)
            .await
            .map_err(|failure| rpc_error(&failure))?;
        codec::write_job_reply(results.get().init_verdict(), &reply);
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: peer::CancelParams,
        mut results: peer::CancelResults,
    ) -> Result<(), capnp::Error> {
        let names = params.get()?;
        let cell = codec::read_name(names.get_cell()?)?;
        let account = codec::read_name(names.get_account()?)?;
        let job = codec::read_name(names.get_job()?)?;
        let reply = self
            .peer
            .cancel(cell, account, job)
            .await
            .map_err(|failure| rpc_error(&failure))?;
        codec::write_job_reply(results.get().init_verdict(), &reply);
        Ok(())
    }

    async fn show(
        self: Rc<Self>,
        params: peer::ShowParams,
        mut results: peer::ShowResults,
    ) -> Result<(), capnp::Error> {
        let names = params.get()?;
        let cell = codec::read_name(names.get_cell()?)?;
        let account = codec::read_name(names.get_account()?)?;
        let job = codec::read_name(names.get_job()?)?;
        let json = self
            .peer
            .show(cell, account, job)
            .await
            .map_err(|failure| rpc_error(&failure))?;
        results.get().set_json(&*json);
        Ok(())
    }
}
