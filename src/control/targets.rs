//! Polls the platform's instance list for its changes.

use super::Control;
use crate::platform::list;
use crate::units::Time;

impl Control {
    /// Fetches the changes of the instance list when the next fetch is due. After a failure
    /// the next step tries again.
    pub(super) async fn refresh_list(&mut self) {
        let now = self.instance.tables.clock.now();
        let platform = &self.instance.tables.settings.platform;
        if self.next_list_fetch > now {
            return;
        }
        let (address, timeout) = (platform.instance_list, platform.store_timeout);
        match list::fetch_changes(&self.http, address, &self.list, timeout).await {
            Ok(change) => {
                self.next_list_fetch = now.after(platform.list_period);
                self.list.apply(change);
            }
            Err(err) => {
                self.next_list_fetch = Time::ZERO;
                tracing::debug!(%err, "failed to fetch the instance list");
            }
        }
    }
}
