//! The numbered log events of a node that sends directly to servers, listed in `docs/EVENTS.md`.

use log::Level;
use mimosabridge_cli::Event;

/// A node has started.
pub const STARTED: Event = Event::new(5001, Level::Info, "node started");
/// A node has begun a planned stop.
pub const STOPPING: Event = Event::new(5002, Level::Info, "node stopping");
/// A node has finished its requests and stops.
pub const STOPPED: Event = Event::new(5003, Level::Info, "node stopped");
/// The settings were reloaded.
pub const RELOADED: Event = Event::new(5004, Level::Info, "settings read again");
/// The process was paused for so long that its state is outdated.
pub const PAUSED: Event = Event::new(5005, Level::Warn, "process slept");
/// An operation that belongs to no request failed, and will be retried.
pub const TROUBLE: Event = Event::new(5006, Level::Warn, "operation failed");

/// A version of the configuration came into force.
pub const PLAN: Event = Event::new(5101, Level::Info, "configuration in force");
/// A backend server was added, removed or changed.
pub const SERVER: Event = Event::new(5102, Level::Info, "backend server changed");
/// The set of closed data centres, which receive no requests, changed.
pub const CLOSED: Event = Event::new(5103, Level::Info, "closed data centres changed");
/// The platform's store became unavailable.
pub const STORE_LOST: Event = Event::new(5104, Level::Warn, "store lost");
/// The platform's store became available again.
pub const STORE_BACK: Event = Event::new(5105, Level::Info, "store regained");
/// An item in the store is invalid.
pub const FINDING: Event = Event::new(5106, Level::Warn, "published item can't be used");
/// An update of the published facts was fetched from a peer.
pub const FETCHED: Event = Event::new(5107, Level::Info, "caught up through a peer");
/// The estimated number of nodes that share the servers changed.
pub const NODES: Event = Event::new(5108, Level::Info, "number of nodes changed");
/// An attempt was lost, which counts as a possible crash of its server.
pub const CRASH: Event = Event::new(5109, Level::Warn, "backend server may have crashed");
/// The node receives the published facts from another upstream: the store or a node.
pub const UPSTREAM: Event = Event::new(5110, Level::Info, "upstream changed");
/// The observations of this node and nearby nodes show a slow or failing backend server.
pub const SUSPECT: Event = Event::new(5111, Level::Info, "backend server suspected");
/// Evidence that a request crashed a backend server no longer counts.
pub const EVIDENCE_DROPPED: Event = Event::new(5112, Level::Info, "evidence of a crash dropped");

/// The store came back from an older copy.
pub const RESTORED: Event = Event::new(5113, Level::Warn, "store restored");
/// A restriction that the restored store does not state is kept, or no longer kept.
pub const RESTRICTION: Event = Event::new(5114, Level::Info, "restriction kept");
/// Facts were ignored because later ones are known.
pub const IGNORED: Event = Event::new(5115, Level::Info, "older facts ignored");
/// The answer to a watch does not continue what is known.
pub const DISCONTINUED: Event = Event::new(5116, Level::Warn, "watch discontinued");
/// A content is refused from now on because it crashes servers.
pub const QUARANTINED: Event = Event::new(5118, Level::Warn, "content quarantined");
/// No server that was checked answers this node.
pub const SERVERS_LOST: Event = Event::new(5119, Level::Warn, "servers lost");
/// Servers answer this node again.
pub const SERVERS_REGAINED: Event = Event::new(5120, Level::Info, "servers answer again");
/// A server was checked, as another node may need this one, which had no answer lately.
pub const QUIET_CHECK: Event = Event::new(5126, Level::Info, "server checked for other nodes");
/// Another node has told which entries were removed last.
pub const LEARNED: Event = Event::new(5127, Level::Info, "removed entries learned");
/// A watch beside the readers failed.
pub const SCOUT_FAILED: Event = Event::new(5121, Level::Info, "watch beside the readers failed");
/// A server has said in an answer that it leaves.
pub const SERVER_LEAVING: Event = Event::new(5122, Level::Info, "backend server leaves");
/// A server has said that it wants no requests of this node for some time.
pub const SERVER_RESTING: Event = Event::new(5123, Level::Info, "backend server rests");
/// Kinds or fields that this build doesn't know were passed over in messages of other nodes.
pub const UNKNOWN: Event = Event::new(5124, Level::Info, "unknown content passed over");
/// A server has stated a limit on its requests, or no longer states one.
pub const LIMIT: Event = Event::new(5117, Level::Info, "server limit changed");

/// Other nodes were asked whether servers whose entries were removed may have lapsed in an outage of
/// the store.
pub const CONFIRMED: Event = Event::new(5125, Level::Info, "removal checked with other nodes");

/// A request was served.
pub const SERVED: Event = Event::new(5201, Level::Info, "request served");
/// A request was served with some shards missing.
pub const PARTIAL: Event = Event::new(5202, Level::Info, "request served in part");
/// Another node has served a request, or was asked to, as this one reaches no server.
pub const RELAYED: Event = Event::new(5208, Level::Info, "request relayed");
/// A request was refused and has not run.
pub const REFUSED: Event = Event::new(5203, Level::Info, "request refused");
/// A request failed.
pub const FAILED: Event = Event::new(5204, Level::Warn, "request failed");
/// A request is invalid, or no rule matches it.
pub const REJECTED: Event = Event::new(5205, Level::Info, "request rejected");
/// The caller disconnected before its answer.
pub const LEFT: Event = Event::new(5206, Level::Info, "caller left");
/// An attempt ended without a usable answer.
pub const ATTEMPT: Event = Event::new(5207, Level::Info, "attempt failed");

/// A late copy of an earlier answer came before the answer to a request.
pub const COPY: Event = Event::new(5209, Level::Info, "late copy passed over");

/// The process ended before the final answer to a request.
pub const CUT: Event = Event::new(5210, Level::Warn, "request cut by the end of the process");
/// A connection ended while a part of an answer was not sent yet.
pub const UNSENT: Event = Event::new(5211, Level::Info, "answer not sent to its end");

/// All events, by number.
pub const ALL: &[Event] = &[
    STARTED,
    STOPPING,
    STOPPED,
    RELOADED,
    PAUSED,
    TROUBLE,
    PLAN,
    SERVER,
    CLOSED,
    STORE_LOST,
    STORE_BACK,
    FINDING,
    FETCHED,
    NODES,
    CRASH,
    UPSTREAM,
    SUSPECT,
    EVIDENCE_DROPPED,
    RESTORED,
    RESTRICTION,
    IGNORED,
    DISCONTINUED,
    LIMIT,
    SCOUT_FAILED,
    SERVER_LEAVING,
    SERVER_RESTING,
    UNKNOWN,
    CONFIRMED,
    SERVED,
    PARTIAL,
    REFUSED,
    FAILED,
    REJECTED,
    LEFT,
    ATTEMPT,
    COPY,
    CUT,
    UNSENT,
];
