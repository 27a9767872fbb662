use std::collections::BTreeMap;

use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use toml::Spanned;

use super::{
    Change, DataCentre, Finding, Kind, Place, Reference, Rule, Server, Service, Shard, Snapshot,
};
use crate::name::Name;

/// The line of each object in its document, counted from 1.
pub type Lines = BTreeMap<(Kind, Name), usize>;

/// A change set as operators write it in TOML, with the line of each object.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// The objects to put and to remove.
    pub change: Change,
    /// The lines of the objects.
    pub lines: Lines,
    /// Objects that the document defines more than once.
    pub repeated: Vec<Finding>,
}

/// The text is not a change set.
#[derive(Debug, Snafu)]
#[snafu(display("the document is not a valid change set: {source}"))]
pub struct ParseError {
    source: toml::de::Error,
}

impl Document {
    /// Parses a change set from TOML text.
    pub fn parse(text: &str) -> Result<Document, ParseError> {
        let raw: Raw = toml::from_str(text).context(ParseSnafu)?;
        let mut change = Change { remove: raw.remove, ..Change::default() };
        let mut log = Log { text, lines: BTreeMap::new(), repeated: Vec::new() };
        let put = &mut change.put;
        collect(raw.data_centre, Kind::DataCentre, |it| &it.name, &mut put.data_centres, &mut log);
        collect(raw.service, Kind::Service, |it| &it.name, &mut put.services, &mut log);
        collect(raw.server, Kind::Server, |it| &it.name, &mut put.servers, &mut log);
        collect(raw.shard, Kind::Shard, |it| &it.name, &mut put.shards, &mut log);
        collect(raw.snapshot, Kind::Snapshot, |it| &it.name, &mut put.snapshots, &mut log);
        collect(raw.rule, Kind::Rule, |it| &it.name, &mut put.rules, &mut log);
        Ok(Document { change, lines: log.lines, repeated: log.repeated })
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    data_centre: Vec<Spanned<DataCentre>>,
    #[serde(default)]
    service: Vec<Spanned<Service>>,
    #[serde(default)]
    server: Vec<Spanned<Server>>,
    #[serde(default)]
    shard: Vec<Spanned<Shard>>,
    #[serde(default)]
    snapshot: Vec<Spanned<Snapshot>>,
    #[serde(default)]
    rule: Vec<Spanned<Rule>>,
    #[serde(default)]
    remove: Vec<Reference>,
}

struct Log<'a> {
    text: &'a str,
    lines: Lines,
    repeated: Vec<Finding>,
}

fn collect<T>(
    objects: Vec<Spanned<T>>,
    kind: Kind,
    name_of: fn(&T) -> &Name,
    into: &mut BTreeMap<Name, T>,
    log: &mut Log<'_>,
) {
    for spanned in objects {
        let line = log.text[..spanned.span().start].matches('\n').count() + 1;
        let object = spanned.into_inner();
        let name = name_of(&object).clone();
        if let Some(first) = log.lines.insert((kind, name.clone()), line) {
            log.repeated.push(Finding {
                place: Place { line: Some(line), kind, name: name.clone(), field: "name" },
                message: format!("already defined in line {first}; give one of them another name"),
            });
        }
        into.insert(name, object);
    }
}
