"""Which worker takes which task.

`free_on` and `fits` answer for single workers, `Preview` for plans; the
leader's decisions use the incremental index in `capacity`.
"""

from marigoldsill.coordination.placement.amounts import fits
from marigoldsill.coordination.placement.capacity import free_on
from marigoldsill.coordination.placement.preview import Outlook
from marigoldsill.coordination.placement.preview import Preview

__all__ = ["Outlook", "Preview", "fits", "free_on"]
