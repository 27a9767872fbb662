//! The numbered events of the log. `docs/EVENTS.md` is their catalogue.

use log::Level;
use mimosabridge_cli::Event;

/// A node has started.
pub const NODE_STARTED: Event = Event::new(1001, Level::Info, "node started");
/// A node has begun a planned stop.
pub const NODE_STOPPING: Event = Event::new(1002, Level::Info, "node stopping");
/// A node has finished its work and exits.
pub const NODE_STOPPED: Event = Event::new(1003, Level::Info, "node stopped");
/// The process was paused for so long that its state is out of date.
pub const NODE_PAUSED: Event = Event::new(1004, Level::Warn, "process slept");
/// A node has lost or regained contact with the rest of the system.
pub const NODE_ISOLATED: Event = Event::new(1005, Level::Warn, "contact changed");
/// A signal asked to read the settings again, which are options.
pub const NOTHING_TO_RELOAD: Event = Event::new(1006, Level::Info, "no settings to read again");
/// Kinds or fields that this build doesn't know were passed over in packets of other nodes.
pub const UNKNOWN: Event = Event::new(1007, Level::Info, "unknown content passed over");
/// The connection to a gate was opened.
pub const GATE_CONNECTED: Event = Event::new(2001, Level::Info, "connected to gate");
/// A gate is unreachable, or the connection to it was lost.
pub const GATE_UNREACHABLE: Event = Event::new(2002, Level::Warn, "gate not reached");
/// A configuration is in force.
pub const CONFIG_ACCEPTED: Event = Event::new(3001, Level::Info, "configuration in force");
/// A configuration was refused because it is inconsistent.
pub const CONFIG_INVALID: Event = Event::new(3002, Level::Error, "configuration is inconsistent");
/// A configuration was refused because it does not follow the one in force.
pub const CONFIG_CONFLICT: Event = Event::new(3003, Level::Error, "configuration conflicts");
/// The platform's configuration service did not answer.
pub const PLATFORM_UNREACHABLE: Event = Event::new(3004, Level::Warn, "platform not reached");

/// A backend server was reported as leaving.
pub const SERVER_LEAVING: Event = Event::new(4001, Level::Info, "backend server is leaving");
/// A backend server crashed while it ran a request.
pub const SERVER_CRASHED: Event = Event::new(4002, Level::Warn, "backend server crashed");

/// All events, by number.
pub const ALL: &[Event] = &[
    NODE_STARTED,
    NODE_STOPPING,
    NODE_STOPPED,
    NODE_PAUSED,
    NODE_ISOLATED,
    NOTHING_TO_RELOAD,
    UNKNOWN,
    GATE_CONNECTED,
    GATE_UNREACHABLE,
    CONFIG_ACCEPTED,
    CONFIG_INVALID,
    CONFIG_CONFLICT,
    PLATFORM_UNREACHABLE,
    SERVER_LEAVING,
    SERVER_CRASHED,
];
