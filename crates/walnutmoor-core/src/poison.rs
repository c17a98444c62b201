/*!
Detection and containment of poison requests.

A poison request crashes every instance that runs it, through a fault that its
content triggers. Retries spread it: each attempt may end another instance
together with everything that the instance was running, until the whole
service is down.

| part | decides |
|---|---|
| [`Fingerprint`] | which attempts carry the same request, by its content |
| [`Register`] | which requests are suspect or barred, from observed crashes |
| [`place`] | which instance runs a suspect, or whether it is deferred |
| [`Isolation`] | which suspects run concurrently at one instance |

Every request that was running when an instance ended is suspect. One
successful run clears it; it is barred only after several crashes, so that
requests that merely ran beside the poison request are not refused. Until
then suspects are isolated from each other and kept off the last usable
instance of a service.

Evidence is a set of crashes and a set of refuted crashes. Both sets only
grow, so merging is commutative and idempotent: nodes that have received the
same evidence reach the same conclusion, in whatever order it arrived.

# Example

```
use walnutmoor_core::{poison::*, time::Millis};

let request = Hasher::new([&b"POST"[..], b"/claims/7"]).finish();
let mut register = Register::new();
for crash in [Crash(1), Crash(2)] {
    register.record_crash(Millis(5), crash, &[request]);
}
assert_eq!(register.standing(Millis(9), request), Standing::Suspect(2));
register.record_crash(Millis(9), Crash(3), &[request]);
let standing = register.standing(Millis(9), request);
assert!(matches!(standing, Standing::Barred(_)));
```
*/

mod evidence;
mod fingerprint;
mod isolation;
mod placement;
mod register;
mod success;

pub use evidence::{Crash, Evidence, MIN_CRASHES_TO_SHARE};
pub use fingerprint::{Fingerprint, Hasher};
pub use isolation::{Admission, Isolation};
pub use placement::{Placement, SUSPECT_RETRY_AFTER, place};
pub use register::{Change, Register, Standing};
