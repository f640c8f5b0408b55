//! Unplanned faults of a run, which excuse what happens during and shortly after them.

use std::net;
use std::time;

use crate::soak::bed;
use crate::support::stop_judge;

/// One unplanned fault.
#[derive(Clone, Copy, Debug)]
struct UnplannedFault {
    fault: Option<bed::OpenFault>,
    /// Gateway that it strikes; `None` for all.
    gateway: Option<net::IpAddr>,
    from: time::Instant,
    /// `None` while it lasts.
    until: Option<time::Instant>,
}

/// All unplanned faults of one run.
#[derive(Clone, Debug, Default)]
pub struct FaultRecord {
    faults: Vec<UnplannedFault>,
}

impl FaultRecord {
    /// Records a fault of a gateway, or of all, that begins now.
    pub fn begin(&mut self, fault: bed::OpenFault, gateway: Option<net::IpAddr>) {
        self.faults.push(UnplannedFault {
            fault: Some(fault),
            gateway,
            from: time::Instant::now(),
            until: None,
        });
    }

    /// Records that a fault ends now.
    pub fn end(&mut self, fault: bed::OpenFault) {
        let mut open = self.faults.iter_mut();
        if let Some(known) = open.find(|known| known.fault == Some(fault) && known.until.is_none())
        {
            known.until = Some(time::Instant::now());
        }
    }

    /// Records a fault of all gateways at one moment.
    pub fn add_moment(&mut self, at: time::Instant) {
        self.faults.push(UnplannedFault {
            fault: None,
            gateway: None,
            from: at,
            until: Some(at),
        });
    }

    /// Whether a fault lies between the contact time before a request and its end.
    pub fn excuses(&self, view: &stop_judge::CallerView) -> bool {
        self.faults.iter().any(|known| {
            let is_over = known
                .until
                .is_some_and(|until| until + bed::CONTACT_TIME < view.sent);
            let strikes = known.gateway.is_none_or(|gateway| gateway == view.gateway);
            strikes && known.from <= view.ended && !is_over
        })
    }
}
