"""Which worker takes which task.

`amounts.fits` and `capacity.free_on` answer for single workers, `preview` and
`forecast` for plans; the leader's decisions use the index in `capacity`.
"""
