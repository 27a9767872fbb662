//! The client that reads what operators publish on the platform.

mod client;
mod entry;

pub use self::{
    client::{Client, ReadError},
    entry::{Entry, Presence, Vm},
};
