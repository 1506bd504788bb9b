"""The time type of the reducers."""

from typing import Final

#: Milliseconds on the monotonic clock of one process. These values are not
#: comparable between processes: a message carries the remaining time, or a time
#: on the receiver's clock.
Millis = int

NEVER_MS: Final[Millis] = 2**62
