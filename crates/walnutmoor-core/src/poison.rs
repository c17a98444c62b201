/*!
Requests whose content ends the instances that run them.

The load pattern: a request ends the instance that runs it, by a fault that its
content triggers. Its caller sends it again, as a new attempt and at any node,
and each attempt ends more instances, with all that they held. A service of
three instances is down within a tenth of a second, and stays down for as long
as the caller goes on.

| part | decides |
|---|---|
| [`Fingerprint`] | which attempts are the same request, by its content |
| [`Register`] | under which requests instances have ended, and what follows |
| [`place`] | which instance tries a suspect next, or that none does for now |
| [`Isolation`] | which suspects run at an instance at the same time |

What ran when an instance ended is suspect, and nearly all of it is innocent.
Innocence is proved by one run that ends; guilt is not believed before three
instances have ended, so that requests that merely ran beside are not refused.
In between, suspects run apart from each other, and never at the last instance
of a service that is left.

Evidence is a set of crashes, and a set of those that a good run has refuted.
Both only grow, so it may come late, twice, in any order and by any way, and
all nodes that have heard the same believe the same.

# Example

```
use walnutmoor_core::{poison::*, time::Millis};

let request = Hasher::new([&b"POST"[..], b"/claims/7"]).finish();
let mut register = Register::new();
for crash in [Crash(1), Crash(2)] {
    register.note_crash(Millis(5), crash, &[request]);
}
assert_eq!(register.standing(Millis(9), request), Standing::Suspect(2));
register.note_crash(Millis(9), Crash(3), &[request]);
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

pub use evidence::{Crash, Evidence, SPREAD_FROM};
pub use fingerprint::{Fingerprint, Hasher};
pub use isolation::{Isolation, Turn};
pub use placement::{HOLD, Place, place};
pub use register::{Change, Register, Standing};
