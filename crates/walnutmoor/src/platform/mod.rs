/*!
The platform's object API, as this process reaches it.

[`Memory`] is the embedded default: it lives and dies with the process.
[`Http`] speaks to an object API over HTTP:

| request | call | answers |
|---|---|---|
| get | `GET /objects/KEY` | 200 with `ETag: "VERSION"`, 404 |
| list | `GET /objects?prefix=P` | 200 with `[{key, version, value}]` |
| put | `PUT /objects/KEY` with `If-Match` or `If-None-Match: *` | 200 with `ETag`, 412 |
| watch | `GET /objects/KEY?known=V&wait_ms=N` | as get, or 304 |

Whatever else comes, or nothing in time, is [`Reply::Unavailable`].
*/

mod http;
mod memory;

use walnutmoor_core::platform::{Reply, Request};

pub use self::{http::Http, memory::Memory};

/// One of the platforms.
#[derive(Debug)]
pub enum Platform {
    /// In this process.
    Memory(Memory),
    /// Over HTTP.
    Http(Box<Http>),
}

impl Platform {
    /// Asks, and waits for the reply.
    pub async fn call(&self, request: Request) -> Reply {
        match self {
            Platform::Memory(memory) => memory.call(request).await,
            Platform::Http(http) => http.call(request).await,
        }
    }
}
