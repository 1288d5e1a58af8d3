//! Conversion of the messages of [`peer`](crate::peer) to and from Cap'n Proto.

use std::sync::Arc;
use std::time::Duration;

use crate::peer::{Heartbeat, JobReply, LoanRequest, Submission};
use crate::resources::Resources;
use crate::schema::peer_capnp as schema;
use crate::template::Class;

/// Converts a list's length to the type that Cap'n Proto uses, saturating at `u32::MAX`.
#[must_use]
pub fn length(size: usize) -> u32 {
    u32::try_from(size).unwrap_or(u32::MAX)
}

/// Reads a text field.
///
/// # Errors
/// The text is not UTF-8.
pub fn read_name(text: capnp::text::Reader) -> Result<Arc<str>, capnp::Error> {
    Ok(Arc::from(text.to_str()?))
}

/// Writes a heartbeat.
pub fn write_heartbeat(mut to: schema::greeting::Builder, heartbeat: &Heartbeat) {
    to.set_name(&*heartbeat.name);
    to.set_role(&*heartbeat.role);
    to.set_revision(heartbeat.revision);
    to.set_leaving(heartbeat.leaving);
    let mut cells = to.init_cells(length(heartbeat.cells.len()));
    for (index, cell) in (0..).zip(&heartbeat.cells) {
        cells.set(index, &**cell);
    }
}

/// Reads a heartbeat.
///
/// # Errors
/// A field cannot be decoded.
pub fn read_heartbeat(from: schema::greeting::Reader) -> Result<Heartbeat, capnp::Error> {
    let cells: Result<Vec<_>, capnp::Error> = from
        .get_cells()?
        .iter()
        .map(|cell| read_name(cell?))
        .collect();
    Ok(Heartbeat {
        name: read_name(from.get_name()?)?,
        role: read_name(from.get_role()?)?,
        revision: from.get_revision(),
        leaving: from.get_leaving(),
        cells: cells?,
    })
}

/// Writes lent slots as pairs of endpoint and count.
pub fn write_loans(mut to: capnp::struct_list::Builder<schema::loan::Owned>, loans: &[(u64, u32)]) {
    for (index, (endpoint, count)) in (0..).zip(loans) {
        let mut loan = to.reborrow().get(index);
        loan.set_endpoint(*endpoint);
        loan.set_count(u16::try_from(*count).unwrap_or(u16::MAX));
    }
}

/// Reads lent slots as pairs of endpoint and count.
#[must_use]
pub fn read_loans(from: capnp::struct_list::Reader<schema::loan::Owned>) -> Vec<(u64, u32)> {
    from.iter()
        .map(|loan| (loan.get_endpoint(), loan.get_count().into()))
        .collect()
}

/// Writes a request to borrow slots.
pub fn write_loan_request(mut to: schema::ask::Builder, request: &LoanRequest) {
    to.set_service(&*request.service);
    to.set_borrower(&*request.borrower);
    to.set_want(u16::try_from(request.want).unwrap_or(u16::MAX));
    to.set_settles(request.replaces_loan);
    write_loans(to.init_keep(length(request.keep.len())), &request.keep);
}

/// Reads a request to borrow slots.
///
/// # Errors
/// A field cannot be decoded.
pub fn read_loan_request(from: schema::ask::Reader) -> Result<LoanRequest, capnp::Error> {
    Ok(LoanRequest {
        service: read_name(from.get_service()?)?,
        borrower: read_name(from.get_borrower()?)?,
        keep: read_loans(from.get_keep()?),
        want: from.get_want().into(),
        replaces_loan: from.get_settles(),
    })
}

/// Writes a job submission; a run time or latency target of 0 stands for none.
pub fn write_submission(mut to: schema::submission::Builder, job: &Submission) {
    to.set_account(&*job.account);
    to.set_job(&*job.job);
    to.set_kind(&*job.kind);
    to.set_latency_critical(job.class == Class::LatencyCritical);
    to.set_urgent(job.urgent);
    to.set_tasks(job.tasks);
    to.set_processors(job.needs.processors);
    to.set_memory(job.needs.memory);
    to.set_accelerators(job.needs.accelerators);
    let millis = job.length.map_or(0, |length| length.as_millis());
    to.set_length(u64::try_from(millis).unwrap_or(u64::MAX));
    let micros = job.target.map_or(0, |target| target.as_micros());
    to.set_target(u64::try_from(micros).unwrap_or(u64::MAX));
    to.set_attempts(job.attempts);
    to.set_quota_processors(job.quota.processors);
    to.set_quota_memory(job.quota.memory);
    to.set_quota_accelerators(job.quota.accelerators);
    to.set_evictions(job.evictions);
}

/// Reads a job submission; a run time or latency target of 0 stands for none.
///
/// # Errors
/// A field cannot be decoded.
pub fn read_submission(from: schema::submission::Reader) -> Result<Submission, capnp::Error> {
    let latency_critical = from.get_latency_critical();
    Ok(Submission {
        account: read_name(from.get_account()?)?,
        job: read_name(from.get_job()?)?,
        kind: read_name(from.get_kind()?)?,
        class: if latency_critical {
            Class::LatencyCritical
        } else {
            Class::Batch
        },
        urgent: from.get_urgent(),
        tasks: from.get_tasks(),
        needs: Resources {
            processors: from.get_processors(),
            memory: from.get_memory(),
            accelerators: from.get_accelerators(),
        },
        length: Some(from.get_length())
            .filter(|millis| *millis > 0)
            .map(Duration::from_millis),
        target: Some(from.get_target())
            .filter(|micros| *micros > 0)
            .map(Duration::from_micros),
        attempts: from.get_attempts(),
        quota: Resources {
            processors: from.get_quota_processors(),
            memory: from.get_quota_memory(),
            accelerators: from.get_quota_accelerators(),
        },
        evictions: from.get_evictions(),
    })
}

/// Writes the reply to a submission or cancellation.
pub fn write_job_reply(mut to: schema::verdict::Builder, reply: &JobReply) {
    match reply {
        JobReply::Accepted => to.set_accepted(()),
        JobReply::Known => to.set_known(()),
        JobReply::Conflict(reason) => to.set_conflict(&**reason),
        JobReply::Never(reason) => to.set_never(&**reason),
        JobReply::NotOwner(owner) => to.set_not_owner(&**owner),
        JobReply::Unknown(reason) => to.set_unknown(&**reason),
        JobReply::Missing => to.set_missing(()),
    }
}

/// Reads the reply to a submission or cancellation.
///
/// # Errors
/// A field cannot be decoded, or this version does not know the reply's variant.
pub fn read_job_reply(from: schema::verdict::Reader) -> Result<JobReply, capnp::Error> {
    use schema::verdict::Which;
    Ok(match from.which()? {
        Which::Accepted(()) => JobReply::Accepted,
        Which::Known(()) => JobReply::Known,
        Which::Conflict(reason) => JobReply::Conflict(read_name(reason?)?),
        Which::Never(reason) => JobReply::Never(read_name(reason?)?),
        Which::NotOwner(owner) => JobReply::NotOwner(read_name(owner?)?),
        Which::Unknown(reason) => JobReply::Unknown(read_name(reason?)?),
        Which::Missing(()) => JobReply::Missing,
    })
}
