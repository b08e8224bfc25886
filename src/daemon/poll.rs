//! Reads configuration and host list from the platform, again and again.

use std::{collections, sync::Arc, time};

use crate::{
    Error, Result, config,
    platform::{Client, Hosts, Table},
    view,
};

/// Key of the row that holds the committed configuration.
pub const CONFIG_KEY: &str = "config";
/// Longest time for one answer of the platform.
const WITHIN: time::Duration = time::Duration::from_secs(2);
/// Pause between two reads.
const PERIOD: time::Duration = time::Duration::from_millis(500);

/// Reads for ever, giving each view that differs from the last to `adopt`.
pub async fn watch(client: Client, adopt: impl Fn(Arc<view::View>)) {
    let mut last = view::View::default();
    loop {
        let asked = client.clone();
        let read = tokio::task::spawn_blocking(move || read(&asked)).await;
        match read {
            Ok(Ok(view)) if view != last && view.version >= last.version => {
                last = view.clone();
                adopt(Arc::new(view));
            }
            Ok(Err(err)) => log::warn!("{err}"),
            _ => {}
        }
        tokio::time::sleep(PERIOD).await;
    }
}

fn read(client: &Client) -> Result<view::View> {
    let Some(row) = client.read(CONFIG_KEY, WITHIN)? else { return Ok(view::View::default()) };
    let damaged = |problem: String| Error::PlatformDown { service: "table", problem };
    let committed: config::Committed =
        serde_json::from_str(&row.value).map_err(|err| damaged(err.to_string()))?;
    let config = config::parse(&committed.text).map_err(|err| damaged(err.to_string()))?;
    let hosts = client.list(WITHIN)?;
    let places: collections::BTreeMap<_, _> =
        hosts.into_iter().filter_map(|host| Some((host.server?, host.peers))).collect();
    Ok(view::View { version: committed.version, config, out: committed.out, places })
}
