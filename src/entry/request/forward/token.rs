//! A request's wait for a token of its account.

use super::{Call, millis};
use crate::account::lease::{Because, Token};
use crate::entry::fleet::caps::NextStep;
use crate::entry::fleet::message::Datagram;
use crate::entry::fleet::peers;
use crate::entry::request::outcome::{Outcome, reply};
use crate::entry::shared::Shared;
use crate::http1::server::Reply;
use crate::units::Time;

/// A request that waits for a token. Dropping it ends the wait.
struct TokenWait<'a> {
    shared: &'a Shared,
    account: u64,
    since: Time,
}

impl<'a> TokenWait<'a> {
    fn begin(shared: &'a Shared, account: u64) -> Self {
        let since = shared.now();
        shared.state().caps.begin_wait(since, account);
        Self {
            shared,
            account,
            since,
        }
    }

    async fn finish(&self) -> Result<Token, (std::time::Duration, Because)> {
        let shared = self.shared;
        loop {
            let arrived = shared.tokens_arrived.notified();
            let now = shared.now();
            let step = shared.state().caps.next_step(now, self.account, self.since);
            let until = match step {
                NextStep::Taken(token) => return Ok(token),
                NextStep::Refused {
                    retry_after,
                    because,
                } => return Err((retry_after, because)),
                NextStep::Wait(message, until) => {
                    if let Some((home, request)) = message {
                        shared.metrics.record_token_question();
                        peers::send_one(shared, &Datagram::TokenRequest(request), home);
                    }
                    until
                }
            };
            tokio::select! {
                () = arrived => {}
                () = tokio::time::sleep(until.since(now)) => {}
            }
        }
    }
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        self.shared.state().caps.end_wait(self.account);
    }
}

impl Call<'_> {
    /// Takes a token of the account if it has a limit; otherwise the request is refused.
    pub(super) async fn take_token(&mut self) -> Result<(), (Outcome, Reply)> {
        if self.admitted.route.public {
            return Ok(());
        }
        let Some(account) = &self.admitted.account else {
            return Ok(());
        };
        let Some(key) = self.shared.state().caps.limited_account(&account.name) else {
            return Ok(());
        };
        match TokenWait::begin(self.shared, key).finish().await {
            Ok(token) => {
                self.token = Some((key, token));
                Ok(())
            }
            Err((retry_after, because)) => {
                tracing::info!(
                    request = &*self.outbound.id,
                    account = %account.name,
                    %because,
                    come_back_ms = millis(retry_after),
                    "refused by the account's limit: not run"
                );
                let outcome = Outcome::OverLimit;
                Err((outcome, reply(outcome, retry_after)))
            }
        }
    }

    /// Returns the token of a request that no target got.
    pub(super) fn give_back_token(&self) {
        if let Some((account, token)) = self.token {
            let now = self.shared.now();
            self.shared.state().caps.give_back(now, account, token);
        }
    }
}
