use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use super::Server;
use crate::{directory::Entry, name::Name};

/// The most processes without an entry whose records are kept: more than a data centre has servers.
const MAX_UNLISTED: usize = 4_096;

/// What is known of servers, one record for each process instance.
///
/// An entry may disappear although its server runs on, and an older one may take its place. The record of the process
/// outlasts both.
#[derive(Clone, Debug, Default)]
pub(super) struct Servers {
    /// The records of processes with an entry.
    listed: HashMap<Name, Record>,
    /// The records of processes without one, the latest of each server.
    unlisted: HashMap<Name, Record>,
    /// The servers with unlisted records, oldest first.
    order: VecDeque<Name>,
}

#[derive(Clone, Debug)]
struct Record {
    /// An entry of the process.
    entry: Arc<Entry>,
    server: Server,
}

impl Record {
    fn new(entry: &Arc<Entry>) -> Record {
        Record { entry: entry.clone(), server: Server::new() }
    }

    fn is_of(&self, entry: &Entry) -> bool {
        self.entry.is_same_instance(entry)
    }
}

impl Servers {
    /// Returns the record of the process that the entry of a server is of.
    pub fn get(&self, id: &Name) -> Option<&Server> {
        self.listed.get(id).map(|it| &it.server)
    }

    /// Returns the record of a server for changes, also one without an entry.
    pub fn get_mut(&mut self, id: &Name) -> Option<&mut Server> {
        let record = self.listed.get_mut(id).or_else(|| self.unlisted.get_mut(id));
        record.map(|it| &mut it.server)
    }

    /// Returns the records of processes with an entry.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Server)> {
        self.listed.iter().map(|(id, it)| (id, &it.server))
    }

    /// Returns the records of processes with an entry for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&Name, &mut Server)> {
        self.listed.iter_mut().map(|(id, it)| (id, &mut it.server))
    }

    /// Returns the record of a process.
    pub fn of(&self, process: &Entry) -> Option<&Server> {
        let records = [&self.listed, &self.unlisted].into_iter();
        let mut records = records.filter_map(|it| it.get(&process.id));
        records.find(|it| it.is_of(process)).map(|it| &it.server)
    }

    /// Returns the record of a process for changes. Returns `None` for a process without an entry if a later one is
    /// known, or if it has no start time.
    pub fn of_mut(&mut self, process: &Arc<Entry>) -> Option<&mut Server> {
        let id = &process.id;
        if self.listed.get(id).is_some_and(|it| it.is_of(process)) {
            return self.get_mut(id);
        }
        let records = [self.listed.get(id), self.unlisted.get(id)];
        let is_later = |it: &Record| it.entry.born > process.born;
        if process.born == 0 || records.into_iter().flatten().any(is_later) {
            return None;
        }
        if self.unlisted.get(id).is_none_or(|it| !it.is_of(process)) {
            self.keep(Record::new(process));
        }
        self.unlisted.get_mut(id).map(|it| &mut it.server)
    }

    /// Records that an entry is in force. Returns the record of its process.
    pub fn list(&mut self, entry: &Arc<Entry>) -> &mut Server {
        let id = &entry.id;
        if self.listed.get(id).is_none_or(|it| !it.is_of(entry)) {
            self.replace(entry);
        }
        &mut self.listed.entry(id.clone()).or_insert_with(|| Record::new(entry)).server
    }

    /// Puts the record of a process in the place of that of another, which is kept if it started later.
    fn replace(&mut self, entry: &Arc<Entry>) {
        let (own, other) = match self.take_unlisted(&entry.id) {
            Some(record) if record.is_of(entry) => (record, None),
            record => (Record::new(entry), record),
        };
        let mut replaced = self.listed.insert(entry.id.clone(), own);
        if let Some(record) = &mut replaced {
            // Their ends will be recorded at the new process.
            record.server.forget_requests();
        }
        let latest = replaced.into_iter().chain(other).max_by_key(|it| it.entry.born);
        if let Some(latest) = latest.filter(|it| it.entry.born > entry.born) {
            self.keep(latest);
        }
    }

    /// Records that a server has no entry any more. Without a start time its successor could not be told from it.
    pub fn unlist(&mut self, id: &Name) {
        let Some(record) = self.listed.remove(id).filter(|it| it.entry.born != 0) else { return };
        if self.unlisted.get(id).is_none_or(|it| it.entry.born <= record.entry.born) {
            self.keep(record);
        }
    }

    fn keep(&mut self, record: Record) {
        let id = record.entry.id.clone();
        self.take_unlisted(&id);
        self.unlisted.insert(id.clone(), record);
        self.order.push_back(id);
        while self.order.len() > MAX_UNLISTED {
            let Some(oldest) = self.order.pop_front() else { break };
            self.unlisted.remove(&oldest);
        }
    }

    fn take_unlisted(&mut self, id: &Name) -> Option<Record> {
        let record = self.unlisted.remove(id)?;
        self.order.retain(|it| it != id);
        Some(record)
    }
}
