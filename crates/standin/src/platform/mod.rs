//! A model of the platform: a configuration service that is read and watched, and a list of VMs.
//!
//! | request | answer |
//! |---|---|
//! | `GET /keys/{key}` | 200 [`Entry`], or 404 |
//! | `GET /keys/{key}?after={revision}&wait_ms={ms}` | as above, once the revision is higher; 304 if that takes longer than `wait_ms` |
//! | `GET /vms` | 200, a list of [`Vm`] |
//!
//! Operators publish with `PUT /keys/{key}` and `PUT /vms`; no part of the system does.

mod entry;
mod run;
mod service;
mod store;
mod vm;

pub use self::{
    entry::Entry,
    run::Platform,
    store::Store,
    vm::{Presence, Vm},
};
