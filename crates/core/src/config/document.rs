use std::collections::BTreeMap;

use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use toml::Spanned;

use super::{
    Change, DataCentre, Finding, Kind, Location, Reference, Rule, Server, Service, Shard, Snapshot,
};
use crate::name::Name;

/// The lines of objects in their document, counted from 1.
pub type Lines = BTreeMap<(Kind, Name), usize>;

/// A change set that was parsed from TOML, with the line of each object.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// The objects to put and to remove.
    pub change: Change,
    /// The lines of the objects.
    pub lines: Lines,
    /// A finding for each object that the document defines again.
    pub repeated: Vec<Finding>,
}

/// Returned when a text is not a valid change set.
#[derive(Debug, Snafu)]
#[snafu(display("the document is not a valid change set: {source}"))]
pub struct ParseError {
    source: toml::de::Error,
}

impl Document {
    /// Parses a change set from TOML.
    ///
    /// Returns an error if the text is not valid TOML or has a field that does not exist.
    pub fn parse(text: &str) -> Result<Document, ParseError> {
        let raw: Raw = toml::from_str(text).context(ParseSnafu)?;
        let mut change = Change { remove: raw.remove, ..Change::default() };
        let mut defs = Definitions { text, lines: BTreeMap::new(), repeated: Vec::new() };
        let put = &mut change.put;
        collect(raw.data_centre, Kind::DataCentre, |it| &it.name, &mut put.data_centres, &mut defs);
        collect(raw.service, Kind::Service, |it| &it.name, &mut put.services, &mut defs);
        collect(raw.server, Kind::Server, |it| &it.name, &mut put.servers, &mut defs);
        collect(raw.shard, Kind::Shard, |it| &it.name, &mut put.shards, &mut defs);
        collect(raw.snapshot, Kind::Snapshot, |it| &it.name, &mut put.snapshots, &mut defs);
        collect(raw.rule, Kind::Rule, |it| &it.name, &mut put.rules, &mut defs);
        Ok(Document { change, lines: defs.lines, repeated: defs.repeated })
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

struct Definitions<'a> {
    text: &'a str,
    lines: Lines,
    repeated: Vec<Finding>,
}

fn collect<T>(
    objects: Vec<Spanned<T>>,
    kind: Kind,
    name_of: fn(&T) -> &Name,
    into: &mut BTreeMap<Name, T>,
    defs: &mut Definitions<'_>,
) {
    for spanned in objects {
        let line = defs.text[..spanned.span().start].matches('\n').count() + 1;
        let object = spanned.into_inner();
        let name = name_of(&object).clone();
        if let Some(first) = defs.lines.insert((kind, name.clone()), line) {
            defs.repeated.push(Finding {
                location: Location { line: Some(line), kind, name: name.clone(), field: "name" },
                message: format!("already defined in line {first}; give one of them another name"),
            });
        }
        into.insert(name, object);
    }
}
