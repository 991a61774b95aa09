//! Links between daemons: framing, the authenticating handshake (hello), and requests with their answers.

mod frame_batch;
mod frame_codec;
mod handshake;
mod key_ring;
mod large_call;
mod link_client;
mod link_error;
mod link_server;
mod open_link;
mod read_meter;
mod request_codec;
mod request_intake;
mod served_requests;
mod silence_detector;
mod socket;
mod transit_meter;

pub(crate) use key_ring::from_hex;
use read_meter::ReadMeter;
pub use {
    frame_codec::FrameCodec,
    handshake::LinkIdentity,
    key_ring::KeyRing,
    link_client::Links,
    link_error::LinkError,
    link_server::{serve_links, serve_links_until, serve_links_within},
    request_codec::{Received, RequestCodec},
    request_intake::RequestIntake,
    silence_detector::{LinkCheck, SilenceDetector},
    transit_meter::{Transit, TransitMeter},
};
