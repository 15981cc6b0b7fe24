//! Serialised report. Field names have one letter to save bytes, since each report contains them.

use super::{
    ConnectionState,
    DEMAND_LIMIT,
    DRAIN_NOTICE_LIMIT,
    Error,
    VERSION,
    blob::Blob,
    codec::check_version,
    connection_state::Sender, //
    error::{
        check_count,
        parse_name, //
    },
};
use crate::message;
use sassafrascrank_base::prelude::Time;
use sassafrascrank_claim::{
    lease,
    member::Entry, //
};

/// Bytes of the demand for one pool.
const DEMAND_BYTES: usize = 6;

/// Serialised form of [`message::Report`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// Version.
    v: u16,
    /// Sender, only in its first report on a connection.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    f: Option<Sender>,
    /// Sequence number.
    n: u64,
    /// Milliseconds since the time of the introduction.
    t: i64,
    /// Offset of the configuration in force.
    c: u64,
    /// Offset of the membership view.
    m: u64,
    /// Offset of the last record that changed the sender's zone.
    r: u64,
    /// Demand, 6 bytes for each pool: the hash in big-endian order, the level of its slots and the level of its spill.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    d: Option<Blob>,
    /// Host and incarnation of each upstream that is leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    s: Vec<(String, u64)>,
    /// Whether the receiver must send all of its demand again.
    #[serde(default, skip_serializing_if = "is_false")]
    x: bool,
    /// Request for confirmation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    l: Option<Request>,
    /// Answer to a request for confirmation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    k: Option<Answer>,
    /// Whether the sender asks for a join acknowledgement.
    #[serde(default, skip_serializing_if = "is_false")]
    j: bool,
    /// Join acknowledgement.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    w: Option<JoinAck>,
}

/// Request for confirmation, from the sender.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Request {
    /// Start in microseconds since the Unix epoch.
    s: u64,
    /// Host and incarnation of the process that must answer; absent if it is known to be the one at the other end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    e: Option<(String, u64)>,
    /// Revision; absent if it is that of the report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    r: Option<u64>,
}

/// Answer to a request for confirmation, from the sender.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Answer {
    /// Start of the request in microseconds since the Unix epoch.
    s: u64,
    /// Revision of the request; absent if it is that of the report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    r: Option<u64>,
    /// Whether the views differ.
    #[serde(default, skip_serializing_if = "is_false")]
    d: bool,
}

/// Acknowledgement by the sender that it has read a join.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct JoinAck {
    /// Host and incarnation of the process that joined.
    e: (String, u64),
    /// Fence in microseconds since the Unix epoch.
    f: u64,
}

impl Report {
    /// Serialises a report that is sent on `connection`.
    pub fn new(report: &message::Report, connection: &mut ConnectionState) -> Self {
        let now = report.now.as_millis();
        let (time, sender) = connection.introduce(&report.sender, now);
        let demands: Vec<u8> = report.demands.iter().flat_map(encode_demand).collect();
        let drain_notices = report.drain_notices.iter();
        let revision = |value: u64| (value != report.revision).then_some(value);
        Self {
            v: VERSION,
            f: sender,
            n: report.sequence,
            t: now.wrapping_sub(time).cast_signed(),
            c: report.config_offset,
            m: report.membership_offset,
            r: report.revision,
            d: (!demands.is_empty()).then(|| Blob(demands.into())),
            s: drain_notices
                .map(|notice| (notice.host.to_string(), notice.incarnation))
                .collect(),
            x: report.resend_demand,
            l: report.request.as_ref().map(|request| Request {
                s: request.start.as_micros(),
                e: (!connection.reaches(&request.to)).then(|| encode_entry(&request.to)),
                r: revision(request.revision),
            }),
            k: report.answer.as_ref().map(|answer| Answer {
                s: answer.start.as_micros(),
                r: revision(answer.revision),
                d: !answer.agrees,
            }),
            j: report.joining,
            w: report.join_ack.as_ref().map(|join_ack| JoinAck {
                e: encode_entry(&join_ack.to),
                f: join_ack.fence.as_micros(),
            }),
        }
    }

    /// Checks a report that arrived on `connection`.
    ///
    /// # Errors
    ///
    /// Fails for the first field with a value that is not allowed.
    pub fn check(self, connection: &mut ConnectionState) -> Result<message::Report, Error> {
        check_version(self.v)?;
        if let Some(sender) = self.f {
            connection.peer = Some(sender.try_into()?);
        }
        let Some(peer) = connection.peer.clone() else {
            let remedy = "send the sender with the first report on a connection";
            return Err(Error::new("f", "nil", remedy));
        };
        let from = &peer.sender.entry;
        let revision = self.r;
        let request = self
            .l
            .map(|request| request.check(from, revision, connection));
        let join_ack = self.w.map(|join_ack| join_ack.check(from));
        Ok(message::Report {
            sequence: self.n,
            now: Time::from_millis(peer.time.saturating_add_signed(self.t)),
            config_offset: self.c,
            membership_offset: self.m,
            revision,
            resend_demand: self.x,
            demands: check_demands(self.d.as_ref())?,
            drain_notices: check_drain_notices(&self.s)?,
            request: request.transpose()?,
            answer: self.k.map(|answer| answer.check(from, revision)),
            joining: self.j,
            join_ack: join_ack.transpose()?,
            sender: peer.sender,
        })
    }
}

impl Request {
    fn check(
        self,
        from: &Entry,
        revision: u64,
        connection: &ConnectionState,
    ) -> Result<lease::Request, Error> {
        let to = match &self.e {
            Some(entry) => check_entry("l.e", entry)?,
            None => connection.own_entry().cloned().ok_or_else(|| {
                let remedy = "name the process that must answer, since the receiver has not introduced itself";
                Error::new("l.e", "nil", remedy)
            })?,
        };
        Ok(lease::Request {
            from: from.clone(),
            to,
            revision: self.r.unwrap_or(revision),
            start: Time::from_micros(self.s),
        })
    }
}

impl Answer {
    fn check(self, from: &Entry, revision: u64) -> lease::Answer {
        lease::Answer {
            from: from.clone(),
            revision: self.r.unwrap_or(revision),
            start: Time::from_micros(self.s),
            agrees: !self.d,
        }
    }
}

impl JoinAck {
    fn check(self, from: &Entry) -> Result<lease::JoinAck, Error> {
        Ok(lease::JoinAck {
            from: from.clone(),
            to: check_entry("w.e", &self.e)?,
            fence: Time::from_micros(self.f),
        })
    }
}

fn encode_entry(entry: &Entry) -> (String, u64) {
    (entry.host.to_string(), entry.incarnation)
}

fn check_entry(field: &str, (host, incarnation): &(String, u64)) -> Result<Entry, Error> {
    Ok(Entry {
        host: parse_name(field, host)?,
        incarnation: *incarnation,
    })
}

fn encode_demand(demand: &message::Demand) -> [u8; DEMAND_BYTES] {
    let [a, b, c, d] = demand.pool.0.to_be_bytes();
    let slots = message::Level::of(demand.millislots);
    let spill = message::Level::of(demand.spill_millislots);
    [a, b, c, d, slots.0, spill.0]
}

fn check_demands(blob: Option<&Blob>) -> Result<Vec<message::Demand>, Error> {
    let Some(Blob(bytes)) = blob else {
        return Ok(Vec::new());
    };
    let (items, rest) = bytes.as_chunks::<DEMAND_BYTES>();
    if !rest.is_empty() {
        let remedy = format!("send {DEMAND_BYTES} bytes for each pool");
        return Err(Error::new("d", format!("{} bytes", bytes.len()), remedy));
    }
    check_count("d", items.len(), DEMAND_LIMIT)?;
    items.iter().map(|item| check_demand(*item)).collect()
}

fn check_demand([a, b, c, d, slots, spill]: [u8; DEMAND_BYTES]) -> Result<message::Demand, Error> {
    if spill > slots {
        let remedy = format!("send at most the level of the slots, {slots}");
        return Err(Error::new("d.spill", spill, remedy));
    }
    Ok(message::Demand {
        pool: message::PoolHash(u32::from_be_bytes([a, b, c, d])),
        millislots: message::Level(slots).value(),
        spill_millislots: message::Level(spill).value(),
    })
}

fn check_drain_notices(
    drain_notices: &[(String, u64)],
) -> Result<Vec<message::DrainNotice>, Error> {
    check_count("s", drain_notices.len(), DRAIN_NOTICE_LIMIT)?;
    let drain_notices = drain_notices.iter().map(|(host, incarnation)| {
        Ok(message::DrainNotice {
            host: parse_name("s", host)?,
            incarnation: *incarnation,
        })
    });
    drain_notices.collect()
}

const fn is_false(value: &bool) -> bool {
    !*value
}
