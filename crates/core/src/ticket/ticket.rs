use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use snafu::{OptionExt, Snafu};

use crate::name::Name;

/// Identifies one non-idempotent request and the process that may run it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// The entry that issued the ticket and is the only one to run the request.
    pub home: Name,
    /// The boot number of that entry's process, different after each start.
    pub boot: u64,
    /// The number of the ticket, unique among those that the process has issued.
    pub serial: u64,
}

/// The error returned if a text is not a ticket.
#[derive(Debug, Snafu)]
#[snafu(display("\"{text}\" is not a ticket; take one with POST /v1/tickets"))]
pub struct TicketError {
    text: String,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{:x}.{}", self.serial, self.boot, self.home)
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Ticket, TicketError> {
        let mut parts = text.splitn(3, '.');
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        let serial = number().context(TicketSnafu { text })?;
        let boot = number().context(TicketSnafu { text })?;
        let home = parts.next().filter(|it| !it.is_empty()).context(TicketSnafu { text })?;
        Ok(Ticket { home: Name::from(home), boot, serial })
    }
}

impl Serialize for Ticket {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Ticket {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Ticket, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}
