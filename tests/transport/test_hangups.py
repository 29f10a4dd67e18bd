"""Tests of what happens when callers disconnect."""

from concurrent import futures
import socket
import threading

from marigoldsill.transport import hangups


def test_callback_that_was_removed_does_not_run_any_more() -> None:
    # It aborted a connection that carried another caller's request by then.
    hangup = hangups.Hangup()
    has_begun, may_end = threading.Event(), threading.Event()

    def abort() -> None:
        has_begun.set()
        may_end.wait()

    hangup.set_callback(abort)
    with futures.ThreadPoolExecutor(2) as pool:
        pool.submit(hangup.record_disconnect)
        has_begun.wait()
        removal = pool.submit(hangup.set_callback, None)
        is_removed_early = bool(futures.wait([removal], timeout=0.2).done)
        may_end.set()
        removal.result()
    assert not is_removed_early


def test_callback_is_called_if_the_caller_was_gone_before() -> None:
    hangup = hangups.Hangup()
    hangup.record_disconnect()
    calls = []
    hangup.set_callback(lambda: calls.append("abort"))
    assert calls == ["abort"]


def test_event_of_an_earlier_connection_is_not_of_one_with_its_descriptor():
    # The new caller counted as gone, so that its request was aborted.
    watcher = hangups.HangupWatcher()
    ours, theirs = socket.socketpair()
    with watcher.watched(ours) as hangup:
        watcher.handle_event(ours.fileno())
        assert not hangup.is_disconnected
        theirs.close()
        watcher.handle_event(ours.fileno())
        assert hangup.is_disconnected
    ours.close()


def test_poll_sees_a_disconnection_that_the_watcher_has_not_noticed() -> None:
    watcher = hangups.HangupWatcher()
    ours, theirs = socket.socketpair()
    with ours, watcher.watched(ours) as hangup:
        assert not hangup.poll()
        theirs.close()
        assert hangup.poll()
        assert hangup.is_disconnected
