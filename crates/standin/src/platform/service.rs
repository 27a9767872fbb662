use std::{sync::Arc, time::Duration};

use poem::{
    Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json, Path, Query},
};
use serde::Deserialize;

use super::{Store, Vm};

#[derive(Debug, Deserialize)]
struct Watch {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

/// The body of `POST /control`, which changes the model while it runs.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Control {
    down: Option<bool>,
    stale: Option<bool>,
}

/// Returns the HTTP service of the modelled platform.
pub fn service(store: Arc<Store>) -> impl Endpoint {
    Route::new()
        .at("/keys/:key", get(read).put(write))
        .at("/vms", get(list_vms).put(set_vms))
        .at("/reads", get(reads))
        .at("/control", post(control))
        .data(store)
}

#[handler]
async fn read(
    store: Data<&Arc<Store>>,
    Path(key): Path<String>,
    Query(watch): Query<Watch>,
) -> Response {
    if store.is_down() {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    }
    let mut changes = store.watch();
    let mut entry = store.get(&key);
    let after = watch.after.unwrap_or_default();
    let is_new = |it: &Option<super::Entry>| it.as_ref().is_some_and(|it| it.revision > after);
    if watch.after.is_some() && !is_new(&entry) {
        let wait = Duration::from_millis(watch.wait_ms.unwrap_or_default());
        let _ = tokio::time::timeout(wait, async {
            while !is_new(&entry) {
                if changes.changed().await.is_err() {
                    return;
                }
                entry = store.peek(&key);
            }
        })
        .await;
        if !is_new(&entry) {
            return StatusCode::NOT_MODIFIED.into();
        }
    }
    match entry {
        Some(entry) => Json(entry).into_response(),
        None => StatusCode::NOT_FOUND.into(),
    }
}

#[handler]
fn write(store: Data<&Arc<Store>>, Path(key): Path<String>, value: String) -> StatusCode {
    if store.put(&key, value) { StatusCode::NO_CONTENT } else { StatusCode::PAYLOAD_TOO_LARGE }
}

#[handler]
fn list_vms(store: Data<&Arc<Store>>) -> Response {
    if store.is_down() {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    }
    Json(store.vms()).into_response()
}

#[handler]
fn set_vms(store: Data<&Arc<Store>>, Json(vms): Json<Vec<Vm>>) -> StatusCode {
    store.set_vms(vms);
    StatusCode::NO_CONTENT
}

#[handler]
fn reads(store: Data<&Arc<Store>>) -> String {
    store.reads().to_string()
}

#[handler]
fn control(store: Data<&Arc<Store>>, Json(control): Json<Control>) -> StatusCode {
    if let Some(down) = control.down {
        store.set_down(down);
    }
    if let Some(stale) = control.stale {
        store.set_stale(stale);
    }
    StatusCode::NO_CONTENT
}
