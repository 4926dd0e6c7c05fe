//! The daemons that may take requests of this one.

use {
    fastrand::Rng,
    std::net::Ipv4Addr,
    unit::{Map, Set, Span, Time, rendezvous_weight},
};

/// How long a helper that declined or couldn't be connected to is left out.
const REFUSAL_BACKOFF: Span = Span::millis(500);
/// How long what a daemon said of being cut off counts.
const REPORT_LIFE: Span = Span::secs(5);
/// Helpers of the own data centre are enough while each of them stands for at most this many
/// daemons that are cut off.
const MAX_CUT_PER_HELPER: usize = 2;

/// What is known of another daemon as a helper.
#[derive(Clone, Debug, Default)]
struct Helper {
    /// Until when it is left out since it refused.
    avoid_until: Time,
    /// Requests of this daemon in flight there.
    in_flight: u32,
    /// Whether it is in this daemon's data centre.
    local: bool,
    /// Whether it reads the client account of a request.
    reads_account: bool,
    /// When it last said what it is cut off from.
    reported_at: Time,
    /// The hashes of the services that it is cut off from.
    unreached: Vec<u32>,
}

impl Helper {
    /// Whether it is known to be cut off from a service.
    fn is_cut(&self, now: Time, service: u32) -> bool {
        self.unreached.contains(&service) && now.since(self.reported_at) < REPORT_LIFE
    }
}

/// A daemon that may take requests of this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelperMember {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Whether it is in this daemon's data centre.
    pub local: bool,
    /// Whether it reads the client account of a request. Daemons of builds up to 02d23ad don't.
    pub reads_account: bool,
}

/// The daemons that may take requests of this one, by their addresses.
#[derive(Clone, Debug, Default)]
pub struct Helpers(Map<Ipv4Addr, Helper>);

impl Helpers {
    /// Replaces the daemons that may help.
    pub fn set_members(&mut self, members: impl Iterator<Item = HelperMember>) {
        let mut kept = Set::default();
        for member in members {
            let helper = self.0.entry(member.ip).or_default();
            helper.local = member.local;
            helper.reads_account = member.reads_account;
            kept.insert(member.ip);
        }
        self.0.retain(|ip, _| kept.contains(ip));
    }

    /// Records from which services a daemon says that it is cut off.
    pub fn record_report(&mut self, now: Time, ip: Ipv4Addr, unreached: &[u32]) {
        if let Some(helper) = self.0.get_mut(&ip) {
            helper.reported_at = now;
            helper.unreached = unreached.to_vec();
        }
    }

    /// The helper for a request to a service, other than those that were `asked` already: of two at
    /// random the one with fewer requests in flight. It reads the request's client account if it
    /// `has_account`. Those of the own data centre are preferred
    /// unless too many of the daemons there need help.
    pub fn choose(
        &self,
        now: Time,
        service: &str,
        asked: &[Ipv4Addr],
        has_account: bool,
        rng: &mut Rng,
    ) -> Option<Ipv4Addr> {
        let service = service_hash(service);
        let cut = |helper: &Helper| helper.is_cut(now, service);
        let open: Vec<(Ipv4Addr, &Helper)> = self
            .0
            .iter()
            .filter(|(ip, helper)| !asked.contains(ip) && helper.avoid_until <= now && !cut(helper))
            .filter(|(_, helper)| helper.reads_account || !has_account)
            .map(|(ip, helper)| (*ip, helper))
            .collect();
        let local: Vec<(Ipv4Addr, &Helper)> = open
            .iter()
            .copied()
            .filter(|(_, helper)| helper.local)
            .collect();
        let in_need = self.0.values().filter(|helper| helper.local && cut(helper));
        let in_need = 1 + in_need.count();
        let near = local.len() * MAX_CUT_PER_HELPER >= in_need;
        let among = if near { local } else { open };
        let drawn = [rng.choice(&among)?, rng.choice(&among)?];
        let best = drawn
            .into_iter()
            .min_by_key(|(_, helper)| helper.in_flight)?;
        Some(best.0)
    }

    /// Records that a request is being forwarded to a helper.
    pub fn record_forwarded(&mut self, ip: Ipv4Addr) {
        if let Some(helper) = self.0.get_mut(&ip) {
            helper.in_flight += 1;
        }
    }

    /// Records the end of a request that was forwarded.
    pub fn record_ended(&mut self, ip: Ipv4Addr) {
        if let Some(helper) = self.0.get_mut(&ip) {
            helper.in_flight = helper.in_flight.saturating_sub(1);
        }
    }

    /// Records that a helper declined a request, or couldn't be connected to.
    pub fn record_refusal(&mut self, now: Time, ip: Ipv4Addr) {
        if let Some(helper) = self.0.get_mut(&ip) {
            helper.avoid_until = now + REFUSAL_BACKOFF;
        }
    }
}

/// The hash by which daemons tell each other of a service.
pub fn service_hash(service: &str) -> u32 {
    // Half of the hash is dropped to keep heartbeats small.
    rendezvous_weight("service", service) as u32
}
