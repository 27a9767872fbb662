use std::{io, rc::Rc, time::Duration};

use mimosabridge::{
    member::{Incarnation, Record, Roles, State},
    stop::{Grace, Load, Phase},
    time::Time,
};
use mimosabridge_node::timer;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
};

use super::{PAUSE_THRESHOLD, Reload, Settings, Shared, admin};
use crate::{
    events, feed,
    front::{self, Origin},
    peers::{self, Exchange},
};

/// How often state that depends on time is updated.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// How often a node checks whether it is its turn to watch the store beside the readers.
const SCOUT_TICK_INTERVAL: Duration = Duration::from_millis(150);

/// How often the progress of a planned stop is checked.
const STOP_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The error of a node that could not start.
#[derive(Debug, Snafu)]
#[snafu(display("cannot {what}: {source}"))]
pub struct StartError {
    what: String,
    source: io::Error,
}

/// Runs a node until a signal stops it. Must be called on a [`tokio::task::LocalSet`]. Fails if an
/// address cannot be bound or the signal handlers cannot be installed.
pub async fn run(settings: Settings, boot: u64) -> Result<(), StartError> {
    // A signal that comes once callers can connect must not end the process at once.
    let mut terminate =
        signal(SignalKind::terminate()).context(StartSnafu { what: "install signal handlers" })?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context(StartSnafu { what: "install signal handlers" })?;
    let mut hangup =
        signal(SignalKind::hangup()).context(StartSnafu { what: "install signal handlers" })?;
    let Settings { name, data_centre, headers, balance, .. } = settings;
    // Nodes that start together must not make the same random choices.
    let seed = boot ^ u64::from(name.key());
    let shared = Rc::new(Shared::new(headers, balance, seed));
    let timer = timer::Service::start(shared.clock);
    let what = |it: &str, address| format!("listen for {it} on {address}");
    let listener = TcpListener::bind(settings.front).await;
    let listener =
        listener.with_context(|_| StartSnafu { what: what("callers", settings.front) })?;
    let socket = UdpSocket::bind(settings.peer).await;
    let socket = socket.with_context(|_| StartSnafu { what: what("peers", settings.peer) })?;
    let relays = TcpListener::bind(settings.peer).await;
    let relays =
        relays.with_context(|_| StartSnafu { what: what("relayed requests", settings.peer) })?;
    let rpc = TcpListener::bind(settings.rpc).await;
    let rpc = rpc.with_context(|_| StartSnafu { what: what("calls", settings.rpc) })?;
    events::STARTED.emit(&[
        ("node", &name),
        ("data_centre", &data_centre),
        ("front", &settings.front),
        ("boot", &boot),
    ]);

    let own = Record {
        name,
        data_centre,
        roles: Roles { entry: true, gate: false },
        peer: settings.peer,
        rpc: settings.rpc,
        incarnation: Incarnation { boot, refutation: 0 },
        state: State::Alive,
    };
    let exchange = peers::start(shared.clone(), &timer, own, socket, rpc, settings.seeds);
    admin::serve_ready(settings.ready, settings.ready_path, shared.is_ready.clone());
    if let Some(address) = settings.metrics {
        admin::serve_metrics(address, shared.metrics.clone());
    }
    let source = Rc::new(settings.source);
    tokio::task::spawn_local(feed::follow(shared.clone(), source.clone(), exchange.clone()));
    tokio::task::spawn_local(feed::learn_removed(shared.clone(), exchange.clone()));
    let ticks = timer.every(SCOUT_TICK_INTERVAL);
    tokio::task::spawn_local(feed::scout(shared.clone(), source, exchange.clone(), ticks));
    let (phases, phase) = watch::channel(None);
    let callers = front::accept(shared.clone(), listener, phase.clone(), Origin::Caller);
    tokio::task::spawn_local(callers);
    tokio::task::spawn_local(front::accept(shared.clone(), relays, phase, Origin::Node));

    let mut grace = Grace::new(settings.grace);
    let mut ticks = timer.every(TICK_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => on_reload((settings.reload)(), &mut grace),
            Some(tick) = ticks.recv() => on_tick(&shared, tick),
        }
    }

    let began = shared.now();
    on_reload((settings.reload)(), &mut grace);
    let end = shared.begin_stop(grace.time(), began);
    events::STOPPING.emit(&[
        ("running", &shared.state.borrow().load.requests),
        ("grace_millis", &grace.time().as_millis()),
    ]);
    stop(&shared, end, &phases, &exchange, timer.every(STOP_TICK_INTERVAL)).await;
    Ok(())
}

/// Stops the node, by `end` at the latest.
async fn stop(
    shared: &Shared,
    end: Time,
    phases: &watch::Sender<Option<Phase>>,
    exchange: &Exchange,
    mut ticks: mpsc::Receiver<timer::Tick>,
) {
    let mut has_left = false;
    loop {
        let now = tokio::select! {
            Some(tick) = ticks.recv() => tick.now,
            () = tokio::time::sleep_until(shared.clock.instant(end)) => shared.now(),
        };
        let phase = {
            let state = &mut *shared.state.borrow_mut();
            state.stop.as_mut().map(|it| it.phase(state.load, now))
        };
        phases.send_if_modified(|it| {
            let is_new = *it != phase;
            *it = phase;
            is_new
        });
        if !has_left && phase >= Some(Phase::Sending) {
            exchange.leave();
            has_left = true;
        }
        if phase == Some(Phase::Ended) {
            break;
        }
    }
    shared.write_last_answers().await;
    shared.end();
    let Load { requests, connections, .. } = shared.state.borrow().load;
    events::STOPPED.emit(&[("running", &requests), ("connections", &connections)]);
}

fn on_reload(Reload { grace, message }: Reload, current: &mut Grace) {
    if let Some(grace) = grace {
        current.update(grace);
    }
    events::RELOADED.emit(&[("outcome", &message)]);
}

fn on_tick(shared: &Rc<Shared>, tick: timer::Tick) {
    if tick.late >= PAUSE_THRESHOLD {
        events::PAUSED.emit(&[("millis", &tick.late.as_millis())]);
        shared.resumed.notify_waiters();
    }
    shared.pool.expire(tick.now);
    shared.relay_pool.expire(tick.now);
    shared.check_reach(tick.now);
    shared.check_for_others(tick.now);
    shared.update_evidence(tick.now);
    let changes = shared.update_mirror(|mirror, balancer, _| mirror.tick(balancer, tick.now));
    shared.on_changes(&changes, "time");
}
