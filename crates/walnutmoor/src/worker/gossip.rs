/*!
Control packets between nodes: by UDP if they fit in a datagram, by a
JSON-RPC call otherwise. This duty has its own thread and sockets, so that
control never queues behind calls.
*/

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use jsonrpsee::{
    core::client::ClientT,
    http_client::{HttpClient, HttpClientBuilder},
    rpc_params,
    server::{RpcModule, Server, ServerHandle},
    types::ErrorObjectOwned,
};
use metrics::counter;
use tokio::{net::UdpSocket, sync::mpsc};
use walnutmoor_core::{gossip::Packet, node::Event};

use super::driver::{Input, Ring};
use crate::prelude::*;

/// The longest datagram: the smallest MTU of IPv6 less headers, so that no
/// packet is ever split on the way.
pub const DATAGRAM_MAX: usize = 1_200;

/// The longest control message by JSON-RPC: a value of the platform, in
/// base64, with room to spare.
const LONG_MAX: u32 = 2 << 20;

/// How long a long message may take.
const PATIENCE: Duration = Duration::from_millis(2_000);

/// The one method of the control interface.
const DELIVER: &str = "deliver";

/// The most connections kept for long messages.
const CLIENTS_MAX: usize = 64;

/// Where a node takes long control messages: one port above its own.
pub fn control_address(node: NodeId) -> SocketAddr {
    SocketAddr::new(node.0.ip(), node.0.port() + 1)
}

/// The sockets of this duty.
pub struct Sockets {
    udp: std::net::UdpSocket,
    control: std::net::TcpListener,
}

impl Sockets {
    /// Opens both.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub fn open(node: NodeId) -> Result<Sockets, Failure> {
        let listen = |address: SocketAddr| {
            move |cause: std::io::Error| Failure::Listen {
                address: address.to_string(),
                cause: cause.to_string(),
            }
        };
        let udp = std::net::UdpSocket::bind(node.0).map_err(listen(node.0))?;
        udp.set_nonblocking(true).map_err(listen(node.0))?;
        let above = control_address(node);
        let control =
            std::net::TcpListener::bind(above).map_err(listen(above))?;
        control.set_nonblocking(true).map_err(listen(above))?;
        Ok(Sockets { udp, control })
    }
}

/// Runs the duty until the decisions end.
pub async fn run(
    sockets: Sockets,
    ring: Ring,
    mut outbox: mpsc::Receiver<(NodeId, Box<Packet>)>,
) {
    let Ok(udp) = UdpSocket::from_std(sockets.udp) else { return };
    let _server = match serve_control(sockets.control, ring.clone()).await {
        Ok(handle) => handle,
        Err(error) => {
            log::error!("no control interface: {error}");
            return;
        }
    };
    let mut clients = HashMap::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        tokio::select! {
            biased;
            got = udp.recv_from(&mut buffer) => {
                if let Ok((size, _)) = got {
                    counter!("walnutmoor_control_bytes_total", "way" => "in")
                        .increment(size as u64);
                    take(&ring, &buffer[..size]);
                }
            }
            next = outbox.recv() => match next {
                Some((to, packet)) => {
                    send(&udp, &mut clients, to, &packet).await
                }
                None => return,
            },
        }
    }
}

fn take(ring: &Ring, bytes: &[u8]) {
    let Some(packet) = Packet::decode(bytes) else {
        counter!("walnutmoor_packets_malformed_total").increment(1);
        return;
    };
    let event = Box::new(Event::Packet(Box::new(packet)));
    if ring.try_send(Input::Event(event)).is_err() {
        counter!("walnutmoor_packets_dropped_total").increment(1);
    }
}

async fn send(
    udp: &UdpSocket,
    clients: &mut HashMap<NodeId, HttpClient>,
    to: NodeId,
    packet: &Packet,
) {
    let bytes = packet.encode();
    counter!("walnutmoor_control_bytes_total", "way" => "out")
        .increment(bytes.len() as u64);
    if bytes.len() <= DATAGRAM_MAX {
        let _ = udp.send_to(&bytes, to.0).await;
        return;
    }
    if clients.len() >= CLIENTS_MAX && !clients.contains_key(&to) {
        clients.clear();
    }
    let client = match clients.get(&to) {
        Some(client) => client.clone(),
        None => {
            let url = format!("http://{}", control_address(to));
            let built = HttpClientBuilder::default()
                .request_timeout(PATIENCE)
                .max_request_size(LONG_MAX)
                .build(url);
            let Ok(client) = built else { return };
            clients.insert(to, client.clone());
            client
        }
    };
    // In its own task: a slow peer must not hold up the datagrams.
    tokio::spawn(async move {
        let text = STANDARD_NO_PAD.encode(&bytes);
        let done: Result<bool, _> =
            client.request(DELIVER, rpc_params![text]).await;
        if done.is_err() {
            counter!("walnutmoor_packets_undelivered_total").increment(1);
        }
    });
}

async fn serve_control(
    listener: std::net::TcpListener,
    ring: Ring,
) -> Result<ServerHandle, String> {
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(LONG_MAX)
        .build();
    let server = Server::builder()
        .set_config(config)
        .build_from_tcp(listener)
        .map_err(|error| error.to_string())?;
    let mut module = RpcModule::new(Arc::new(ring));
    module
        .register_method(DELIVER, |params, ring, _| {
            let text: String = params.one()?;
            let bytes = STANDARD_NO_PAD.decode(text).unwrap_or_default();
            counter!("walnutmoor_control_bytes_total", "way" => "in")
                .increment(bytes.len() as u64);
            take(ring, &bytes);
            Ok::<bool, ErrorObjectOwned>(true)
        })
        .map_err(|error| error.to_string())?;
    Ok(server.start(module))
}
