//! Executes the effects that the state machine requests.

use tokio::task;
use tokio::time::{self, Instant};

use crate::clock::Moment;
use crate::failure::Failure;
use crate::workflow::core::advice::AdviceRequest;
use crate::workflow::core::{Effect, RequestToken};
use crate::workflow::log::Log;
use crate::workflow::machines::Holder;
use crate::workflow::message::Reply;
use crate::workflow::owner::{Event, HANDOVER_RETRY_DELAY, Owner};
use crate::workflow::record::LogRecord;
use crate::workflow::snapshot;

impl Owner {
    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Reply(ticket, reply) => {
                self.reply(ticket, reply);
            }
            Effect::ConfirmOwnership => {
                let (log, sender) = (self.node.log.clone(), self.event_sender.clone());
                task::spawn_local(async move {
                    let sent = Moment::now();
                    let read = log.read_owner(false).await;
                    let _ = sender.send(Event::OwnerRead(sent, read)).await;
                });
            }
            Effect::Append(position, records) => self.append(position, records),
            Effect::Order(target, run, order) => {
                let (node, sender) = (self.node.clone(), self.event_sender.clone());
                task::spawn_local(async move {
                    let began = Instant::now();
                    let result = node.relay_client.order(&target, &order).await;
                    node.metrics.note_order(order.kind(), began.elapsed());
                    let _ = sender
                        .send(Event::OrderCompleted(
                            target.incarnation,
                            run,
                            order,
                            result,
                        ))
                        .await;
                });
            }
            Effect::Advise(request) => {
                let (advisor, sender) = (self.node.advisor.clone(), self.event_sender.clone());
                task::spawn_local(async move {
                    let AdviceRequest { job, key, .. } = &request;
                    let result = match advisor {
                        Some(advisor) => {
                            let (workers, limit) = (&request.workers, request.limit);
                            advisor.advise(job, key.1, key.2, workers, limit).await
                        }
                        None => Err(Failure::no_effect(
                            "ask advisor",
                            job,
                            "the settings name none",
                        )),
                    };
                    let event = Event::Advised(*key, request.asked_at, result);
                    let _ = sender.send(event).await;
                });
            }
            Effect::MachineOrder(machine, duty) => {
                let holder = Holder {
                    name: self.ownership.name.clone(),
                    fence: self.ownership.epoch,
                };
                let (machines, sender) = (self.node.machines.clone(), self.event_sender.clone());
                task::spawn_local(async move {
                    let result = match machines {
                        Some(machines) => machines.order(&holder, &machine, &duty).await,
                        None => Err(Failure::no_effect(
                            "order machine",
                            &machine,
                            "the settings name no interface",
                        )),
                    };
                    let _ = sender
                        .send(Event::MachineOrderCompleted(machine, duty, result))
                        .await;
                });
            }
            Effect::ListMachines => {
                let (machines, sender) = (self.node.machines.clone(), self.event_sender.clone());
                task::spawn_local(async move {
                    let result = match machines {
                        Some(machines) => machines.list().await,
                        None => Err(Failure::no_effect(
                            "list machines",
                            "platform",
                            "the settings name no interface",
                        )),
                    };
                    let _ = sender.send(Event::MachinesListed(result)).await;
                });
            }
            Effect::Poll(target, look) => {
                let (calls, sender) = (self.node.relay_client.clone(), self.event_sender.clone());
                task::spawn_local(async move {
                    let result = calls.poll(&target, &look).await;
                    let _ = sender
                        .send(Event::WorkerPolled(target.incarnation, result))
                        .await;
                });
            }
        }
    }

    /// Replies to a waiting caller, which may have given up.
    pub(super) fn reply(&mut self, ticket: RequestToken, reply: Reply) {
        if let Some(waiting) = self.pending_replies.remove(&ticket) {
            waiting.send(reply);
        }
    }

    pub(super) fn append(&mut self, position: u64, records: Vec<LogRecord>) {
        self.snapshot_due |= Log::is_snapshot_due(position);
        // The state must be that after this entry.
        if self.snapshot_due && self.core.is_written_out() {
            self.snapshot_due = false;
            match snapshot::encode(self.core.log_state()) {
                Ok(bytes) => self.snapshot = Some((position, bytes)),
                Err(error) => tracing::error!(%error, "failed to encode the snapshot"),
            }
        }
        let value = match self.node.log.encode(records) {
            Ok(value) => value,
            Err(failure) => {
                tracing::error!(%failure, "entry not encoded; giving up ownership of the log");
                self.stopped = true;
                return;
            }
        };
        let (log, epoch, sender) = (
            self.node.log.clone(),
            self.ownership.epoch,
            self.event_sender.clone(),
        );
        task::spawn_local(async move {
            tokio::select! {
                written = log.append(epoch, position, value) => {
                    let _ = sender.send(Event::Appended(position, written)).await;
                }
                () = sender.closed() => {}
            }
        });
    }

    pub(super) fn compact(&mut self, position: u64) {
        if self.snapshot.as_ref().is_none_or(|(at, _)| *at != position) {
            return;
        }
        let Some((position, bytes)) = self.snapshot.take() else {
            return;
        };
        if self.compaction.as_ref().is_some_and(|it| !it.is_finished()) {
            tracing::info!(
                position,
                "log not compacted: the previous snapshot is still being written"
            );
            return;
        }
        let (log, epoch) = (self.node.log.clone(), self.ownership.epoch);
        let compaction = task::spawn_local(async move {
            if let Err(failure) = log.compact(epoch, position, &bytes).await {
                tracing::warn!(position, %failure, "log not compacted");
            }
        });
        self.compaction = Some(compaction);
    }

    /// Writes the status of upkeep waves to the store for operators, each state once. A later owner
    /// may know more of a wave, so its status is not overwritten.
    pub(super) fn write_wave_status(&mut self) {
        let states = self.core.wave_states();
        for (number, finished) in states {
            let durable = !finished || self.core.is_settled();
            if !durable || !self.written_waves.insert((number, finished)) {
                continue;
            }
            let (key, value) = self.node.codec.wave_status(number, finished);
            let (log, epoch) = (self.node.log.clone(), self.ownership.epoch);
            let sender = self.event_sender.clone();
            task::spawn_local(async move {
                let written = match log.put_fenced(epoch, key, value).await {
                    Ok(true) => true,
                    Ok(false) => {
                        tracing::warn!(
                            wave = number,
                            epoch,
                            "wave status not written: the log has another owner"
                        );
                        true
                    }
                    Err(failure) if failure.is_final => {
                        tracing::error!(wave = number, %failure, "the store refuses the wave status");
                        true
                    }
                    Err(failure) => {
                        tracing::warn!(wave = number, %failure, "failed to write the wave status");
                        time::sleep(HANDOVER_RETRY_DELAY).await;
                        false
                    }
                };
                let _ = sender
                    .send(Event::WaveStatusWritten(number, finished, written))
                    .await;
            });
        }
    }
}
