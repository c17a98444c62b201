/*!
HTTP/1 as a server speaks it, without IO.

What for: a caller may send further requests on a connection before the first
is answered. A server that reads the next head only once the last answer is
written serves them one at a time, so the reader of requests must not depend
on the writer of answers. [`Decoder`] turns bytes into requests, however they
are split; [`encode`] turns an answer into bytes. Neither knows of sockets.

Framing is strict, since a request that is framed in two ways may smuggle
another: conflicting or repeated lengths, a length beside a transfer coding,
bare line feeds, folded headers and odd chunk sizes end the connection.

| module | job |
|---|---|
| [`head`] | the request line and the headers |
| [`body`] | the framing of bodies |
| [`decoder`] | bytes to requests |
| [`mod@encode`] | answers to bytes |

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

/// Why bytes are no request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// They break the protocol, or may be read in two ways.
    #[error("malformed request")]
    Malformed,
    /// The head has more bytes or headers than are allowed.
    #[error("request head too large")]
    HeadTooLarge,
}
