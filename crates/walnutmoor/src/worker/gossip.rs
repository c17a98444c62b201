/*!
The worker that exchanges control packets with peers: over UDP if a packet
fits in a datagram, otherwise as a JSON-RPC call.

It has its own thread and sockets, so that control packets do not queue behind
calls.
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

use super::driver::{Input, InputSender};
use crate::prelude::*;

/// The maximum size of a datagram: below the minimum MTU of IPv6 less headers,
/// so that no datagram is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The maximum size of a JSON-RPC message. A value of the platform in base64
/// fits.
const MAX_RPC_BYTES: u32 = 2 << 20;

/// The timeout of a JSON-RPC call.
const RPC_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The JSON-RPC method that delivers a packet.
const DELIVER_METHOD: &str = "deliver";

/// The maximum number of cached JSON-RPC clients.
const MAX_RPC_CLIENTS: usize = 64;

/// Returns the address of a node's JSON-RPC listener: the port after the
/// node's own.
pub fn control_address(node: NodeId) -> SocketAddr {
    SocketAddr::new(node.0.ip(), node.0.port() + 1)
}

/// The sockets of the worker.
pub struct Sockets {
    udp: std::net::UdpSocket,
    control: std::net::TcpListener,
}

impl Sockets {
    /// Binds the UDP socket and the JSON-RPC listener of a node.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub fn open(node: NodeId) -> Result<Sockets, Failure> {
        let listen_error = |address: SocketAddr| {
            move |cause: std::io::Error| Failure::Listen {
                address: address.to_string(),
                cause: cause.to_string(),
            }
        };
        let udp =
            std::net::UdpSocket::bind(node.0).map_err(listen_error(node.0))?;
        udp.set_nonblocking(true).map_err(listen_error(node.0))?;
        let rpc_address = control_address(node);
        let control = std::net::TcpListener::bind(rpc_address)
            .map_err(listen_error(rpc_address))?;
        control.set_nonblocking(true).map_err(listen_error(rpc_address))?;
        Ok(Sockets { udp, control })
    }
}

/// Runs the worker until the driver ends.
pub async fn run(
    sockets: Sockets,
    inputs: InputSender,
    mut outbox: mpsc::Receiver<(NodeId, Box<Packet>)>,
) {
    let Ok(udp) = UdpSocket::from_std(sockets.udp) else { return };
    let _server = match serve_control(sockets.control, inputs.clone()).await {
        Ok(handle) => handle,
        Err(error) => {
            log::error!(
                "cannot start the JSON-RPC server for control packets: {error}"
            );
            return;
        }
    };
    let mut clients = HashMap::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        tokio::select! {
            biased;
            received = udp.recv_from(&mut buffer) => {
                if let Ok((size, _)) = received {
                    counter!("walnutmoor_control_bytes_total", "way" => "in")
                        .increment(size as u64);
                    receive(&inputs, &buffer[..size]);
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

fn receive(inputs: &InputSender, bytes: &[u8]) {
    let Some(packet) = Packet::decode(bytes) else {
        counter!("walnutmoor_packets_malformed_total").increment(1);
        return;
    };
    let event = Box::new(Event::Packet(Box::new(packet)));
    if inputs.try_send(Input::Event(event)).is_err() {
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
    if bytes.len() <= MAX_DATAGRAM_BYTES {
        let _ = udp.send_to(&bytes, to.0).await;
        return;
    }
    if clients.len() >= MAX_RPC_CLIENTS && !clients.contains_key(&to) {
        clients.clear();
    }
    let client = match clients.get(&to) {
        Some(client) => client.clone(),
        None => {
            let url = format!("http://{}", control_address(to));
            let built = HttpClientBuilder::default()
                .request_timeout(RPC_TIMEOUT)
                .max_request_size(MAX_RPC_BYTES)
                .build(url);
            let Ok(client) = built else { return };
            clients.insert(to, client.clone());
            client
        }
    };
    // In a task of its own, so that a slow peer does not delay datagrams.
    tokio::spawn(async move {
        let text = STANDARD_NO_PAD.encode(&bytes);
        let result: Result<bool, _> =
            client.request(DELIVER_METHOD, rpc_params![text]).await;
        if result.is_err() {
            counter!("walnutmoor_packets_undelivered_total").increment(1);
        }
    });
}

async fn serve_control(
    listener: std::net::TcpListener,
    inputs: InputSender,
) -> Result<ServerHandle, String> {
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(MAX_RPC_BYTES)
        .build();
    let server = Server::builder()
        .set_config(config)
        .build_from_tcp(listener)
        .map_err(|error| error.to_string())?;
    let mut module = RpcModule::new(Arc::new(inputs));
    module
        .register_method(DELIVER_METHOD, |params, inputs, _| {
            let text: String = params.one()?;
            let bytes = STANDARD_NO_PAD.decode(text).unwrap_or_default();
            counter!("walnutmoor_control_bytes_total", "way" => "in")
                .increment(bytes.len() as u64);
            receive(inputs, &bytes);
            Ok::<bool, ErrorObjectOwned>(true)
        })
        .map_err(|error| error.to_string())?;
    Ok(server.start(module))
}
