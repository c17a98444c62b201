/*!
Access to the platform's object API.

[`Memory`] is the embedded default, whose content is lost when the process
ends. [`Http`] is a client of an object API over HTTP:

| request | HTTP request | responses |
|---|---|---|
| get | `GET /objects/KEY` | 200 with `ETag: "VERSION"`, 404 |
| list | `GET /objects?prefix=P` | 200 with `[{key, version, value}]` |
| put | `PUT /objects/KEY` with `If-Match` or `If-None-Match: *` | 200 with `ETag`, 412 |
| watch | `GET /objects/KEY?known=V&wait_ms=N` | as get, or 304 |

Any other response, or none in time, is [`Reply::Unavailable`].
*/

mod http;
mod memory;

use walnutmoor_core::platform::{Reply, Request};

pub use self::{http::Http, memory::Memory};

/// A platform.
#[derive(Debug)]
pub enum Platform {
    /// An object store in this process.
    Memory(Memory),
    /// An object API over HTTP.
    Http(Box<Http>),
}

impl Platform {
    /// Sends a request and waits for the reply.
    pub async fn call(&self, request: Request) -> Reply {
        match self {
            Platform::Memory(memory) => memory.call(request).await,
            Platform::Http(http) => http.call(request).await,
        }
    }
}
