//! Origins of submissions on their way to the owner.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::job::{Job, Step};
use ashtiller::workflow::message::{PeerRequest, Reply};
use ashtiller::workflow::shares::origins::SubmitSection;
use tokio::task::LocalSet;
use tokio::time::{self, Instant};

use crate::clients;
use crate::follower;
use crate::net::Net;
use crate::peer::Peer;
use crate::{LIMIT, MS};

fn submission(id: &str) -> PeerRequest {
    PeerRequest::Submit(Box::new(Job {
        id: id.into(),
        queue: "jobs/q/".into(),
        payload: "".into(),
        steps: vec![Step {
            count: 1,
            ..Step::default()
        }],
        schedule: None,
    }))
}

/// Guards against an origin that does not reach the owner or its log, with the owner on another
/// instance, on the one that took the job, and with an older instance that sends none.
#[tokio::test(start_paused = true)]
async fn the_origin_of_a_submission_reaches_the_log() {
    let scenario = async {
        let (net, peer) = (Rc::new(Net::default()), Rc::new(Peer::default()));
        let (node, _store) = follower::open(&net, &peer).await;
        node.adopt_config(&Arc::new(clients::config()));
        node.ask_owner(&submission("0"), Instant::now() + LIMIT)
            .await;
        let own = SubmitSection {
            origin: "bern".into(),
        };
        assert_eq!(SubmitSection::decode(&peer.last_section.borrow()), own);
        peer.is_frozen.set(true);
        while !node.owns() {
            time::sleep(MS).await;
        }
        let address = ([10, 0, 0, 9], 7820).into();
        net.host(address, node.clone());
        let links = net.links();
        let remote = SubmitSection {
            origin: "genf".into(),
        };
        let section = remote.encode().expect("encodes");
        for (id, section) in [("1", &section[..]), ("2", &[])] {
            let request = submission(id);
            let sent = links.ask_with_section("submit", address, &request, section, LIMIT);
            assert_eq!(sent.await.ok(), Some(Reply::Accepted));
        }
        let request = submission("3");
        let reply = node.ask_owner(&request, Instant::now() + LIMIT).await;
        assert_eq!(reply, Reply::Accepted);
        let replayed = node.log.replay(Duration::ZERO).await.expect("replays");
        let zone = |job| replayed.state.origins().of(job).to_string();
        assert_eq!([0, 1, 2].map(zone), ["genf", "", "bern"]);
    };
    LocalSet::new().run_until(scenario).await;
}
