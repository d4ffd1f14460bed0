//! The platform's list of targets, asked again and again for its changes.

use super::Control;
use crate::platform::list;
use crate::units::Time;

impl Control {
    pub(super) async fn refresh_list(&mut self) {
        let now = self.instance.tables.clock.now();
        let platform = &self.instance.tables.settings.platform;
        if self.list_due > now {
            return;
        }
        let (address, timeout) = (platform.instance_list, platform.store_timeout);
        match list::fetch_changes(&self.http, address, &self.list, timeout).await {
            Ok(change) => {
                self.list_due = now.after(platform.list_period);
                self.list.apply(change);
            }
            Err(err) => {
                self.list_due = Time::ZERO;
                tracing::debug!(%err, "instance list not read");
            }
        }
    }
}
