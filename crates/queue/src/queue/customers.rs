//! Customers and their contracts.

use super::{
    Class,
    Queue,
    account::Account, //
};
use sassafrascrank_base::prelude::*;

impl Queue {
    /// Sets the share of a customer in percent of the pool and the limits of its classes.
    ///
    /// Classes beyond [`CLASS_LIMIT`](sassafrascrank_base::key::class::CLASS_LIMIT) are ignored. Waiting requests
    /// stay, also those of a class that is left out.
    pub fn set_customer(
        &mut self,
        _now: Time,
        customer: customer::Key,
        share: u32,
        classes: &[Class],
    ) {
        let epoch = self.next_sequence();
        if !self.accounts.contains_key(customer) {
            let account = Account::new(share, self.clock, epoch);
            self.contracted += account.flow.weight;
            self.accounts.insert(customer, account);
        }
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        let before = account.flow.weight;
        account.flow.set_share(share, self.clock, epoch);
        account.abroad.set_share(share, self.abroad_clock, epoch);
        account.set_classes(classes, epoch);
        let after = account.flow.weight;
        self.contracted = self.contracted - before + after;
        if account.count > 0 {
            self.weight = self.weight - before + after;
        }
        self.unpark(customer);
        self.reorder(customer);
    }

    /// Sets whether a customer may use slots of other availability zones; at first it may not.
    pub fn set_spill(&mut self, customer: customer::Key, spill: bool) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.spill = spill;
            self.reorder(customer);
        }
    }

    /// Removes a customer; its waiting requests are appended to `removed`.
    ///
    /// Requests that were shed before are still reported by `expire`.
    pub fn remove_customer(&mut self, customer: customer::Key, removed: &mut Vec<ticket::Key>) {
        while let Some(key) = self.head(customer) {
            self.detach(key);
            removed.extend(self.forget(key).map(|entry| entry.request.ticket));
        }
        let account = self.accounts.remove(customer);
        self.contracted -= account.map_or(0, |account| account.flow.weight);
        self.reorder(customer);
    }
}
