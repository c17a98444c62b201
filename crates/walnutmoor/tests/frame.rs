//! The reader of frames, fed with bytes split anywhere.

use bytes::{Bytes, BytesMut};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use walnutmoor::mesh::frame::{self, Frame, Reader, Received, Reply};
use walnutmoor_core::{
    bulkhead::Load,
    footprint::Footprint,
    id::CallId,
    memory::{Budget, Limit, Pool},
};

/// The longest body for which there is room.
const ROOM_BYTES: usize = 100_000;

const SEEDS: u64 = 40;

const FRAMES: u64 = 20;

fn pool() -> Pool {
    let limit = Limit { reserved: 0, max: ROOM_BYTES };
    let (_, [pool]) = Budget::divide(ROOM_BYTES, [limit]);
    pool
}

fn answer(id: u64, body: Bytes) -> Frame {
    let reply = Reply::Answered {
        status: 200,
        headers: vec![("name".into(), Bytes::from_static(b"value"))],
        body,
        footprint: Footprint::default(),
        departed: None,
    };
    Frame::Answer(CallId(id), reply, Load::default())
}

/// Bodies that are part of their message, that follow it, and for which there
/// is no room; frames without a body.
fn draw_frame(random: &mut ChaCha8Rng, id: u64) -> Frame {
    let length = match random.next_u32() % 4 {
        0 => return Frame::Fetch,
        1 => random.next_u32() as usize % 1_000,
        2 => 10_000 + random.next_u32() as usize % 50_000,
        _ => ROOM_BYTES + 1 + random.next_u32() as usize % 50_000,
    };
    let mut body = vec![0; length];
    random.fill_bytes(&mut body);
    answer(id, body.into())
}

/// The length of the next piece; now and then a byte.
fn draw_piece(random: &mut ChaCha8Rng) -> usize {
    let max = [2, 10, 1_000, 200_000][random.next_u32() as usize % 4];
    1 + random.next_u32() as usize % max
}

fn body_len(frame: &Frame) -> usize {
    match frame {
        Frame::Answer(_, Reply::Answered { body, .. }, _) => body.len(),
        _ => 0,
    }
}

/// Guards against frames that depend on how the bytes arrive, and against
/// bodies that are counted wrongly.
#[test]
fn frames_are_read_however_their_bytes_are_split() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let sent: Vec<Frame> =
            (0..FRAMES).map(|id| draw_frame(&mut random, id)).collect();
        let mut bytes = BytesMut::new();
        sent.iter().for_each(|frame| frame::encode(frame, &mut bytes));
        let pool = pool();
        let mut reader = Reader::default();
        let mut expected = sent.iter();

        while !bytes.is_empty() {
            let piece = draw_piece(&mut random).min(bytes.len());
            reader.feed(&bytes.split_to(piece));
            while let Some(received) = reader.next(&pool).unwrap() {
                let sent = expected.next().unwrap();
                let has_room = body_len(sent) <= ROOM_BYTES;
                match received {
                    Received::Complete(frame) => {
                        assert!(has_room, "seed {seed}");
                        assert_eq!(frame, *sent, "seed {seed}");
                        assert_eq!(pool.bytes(), body_len(sent));
                    }
                    Received::NoRoom(frame) => {
                        assert!(!has_room, "seed {seed}");
                        let Frame::Answer(id, ..) = frame else {
                            panic!("seed {seed}: it has no body");
                        };
                        assert!(
                            matches!(sent, Frame::Answer(n, ..) if *n == id)
                        );
                    }
                }
                assert_eq!(pool.bytes(), 0, "seed {seed}: it was dropped");
            }
        }
        assert!(expected.next().is_none(), "seed {seed}");
    }
}
