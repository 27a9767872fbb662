//! Admission control: whether an entry accepts one more request.

mod controller;

pub use self::controller::Controller;
