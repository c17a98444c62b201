/*!
A server-side HTTP/1 codec without I/O.

A client may pipeline requests, so requests must be read independently of the
responses that are written. [`Decoder`] turns bytes into requests, however the
bytes are split, and [`encode()`] turns a response into bytes. Neither
performs I/O.

Framing is strict, to rule out request smuggling: conflicting or repeated
lengths, a length together with a transfer coding, bare line feeds, folded
headers and invalid chunk sizes are errors that end the connection.

| module | job |
|---|---|
| [`head`] | the request line and the headers |
| [`body`] | the framing of bodies |
| [`decoder`] | decodes requests |
| [`mod@encode`] | encodes responses |

# Example

```
use walnutmoor::http1::{Decoder, Event};

let mut decoder = Decoder::new(1_024);
decoder.feed(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET /b HT");
let Some(Event::Head(head)) = decoder.next().unwrap() else { panic!() };
assert_eq!(head.uri.path(), "/a");
assert!(matches!(decoder.next(), Ok(Some(Event::End))));
assert!(matches!(decoder.next(), Ok(None)));
```
*/

pub mod body;
pub mod decoder;
pub mod encode;
pub mod head;

pub use decoder::{Decoder, Event};
pub use encode::{CONTINUE, encode};
pub use head::Head;

/// Why a request could not be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The request violates the protocol, or its framing is ambiguous.
    #[error("malformed request")]
    Malformed,
    /// The head has more bytes or headers than the limits allow.
    #[error("request head too large")]
    HeadTooLarge,
}
