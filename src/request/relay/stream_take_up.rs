//! Keeps a stream that a caller takes up at the software version that began it.

use std::time;

use crate::request::relay::{stream, stream_origin};
use crate::request::verdict;

/// Delay before a take-up is sent again when the store did not tell the version.
const UNAVAILABLE_DELAY: time::Duration = time::Duration::from_millis(500);

const GONE_MESSAGE: &str = "no endpoint is left of the version that began the stream; begin it again without Last-Event-Id";

const UNKNOWN_MESSAGE: &str =
    "the version that began the stream is not known; begin it again without Last-Event-Id";

const UNAVAILABLE_MESSAGE: &str =
    "the store does not tell which version began the stream; retry later";

impl stream::StreamRelay<'_> {
    /// The request that began the stream, as far as the caller names it.
    pub(super) fn origin_request(&self) -> &str {
        let metadata = &self.request.metadata;
        metadata.resumes.as_deref().unwrap_or(&metadata.id)
    }

    /// Records which version sent the first event of an attempt.
    pub(super) fn record_origin(&mut self, version: &str) {
        self.versions.record_start(version);
        let origins = &self.context.origins;
        origins.record(&self.request.service, self.origin_request(), version);
    }

    /// Limits a stream that is taken up to its version. Returns a refusal if it cannot go on.
    pub(super) async fn pin_taken_up(&mut self) -> Option<verdict::RequestRefusal> {
        let metadata = &self.request.metadata;
        metadata.last_event?;
        let (service, began_as) = (&self.request.service, metadata.resumes.as_deref());
        let origin = self.context.origins.origin(service, began_as).await;
        log::info!(
            request = metadata.id.as_str(),
            resumes = began_as.unwrap_or_default(),
            origin:? = origin;
            "stream taken up"
        );
        match origin {
            stream_origin::StreamOrigin::Version(version) => {
                self.versions.record_start(&version);
                self.has_only_other_versions().then(|| refuse(GONE_MESSAGE))
            }
            stream_origin::StreamOrigin::NoEndpoint => None,
            stream_origin::StreamOrigin::Unknown => Some(refuse(UNKNOWN_MESSAGE)),
            stream_origin::StreamOrigin::Unavailable => {
                let code = verdict::RefusalCode::PlatformUnavailable;
                let refusal = verdict::RequestRefusal::not_run(503, code, UNAVAILABLE_MESSAGE);
                Some(refusal.retry_after(UNAVAILABLE_DELAY))
            }
        }
    }
}

fn refuse(message: &str) -> verdict::RequestRefusal {
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::VersionGone, message)
}
