"""Tests of operators' commands against a fake control process."""

from collections.abc import Callable
from collections.abc import Iterator
import json
import pathlib

from click import testing
import pytest

from marigoldsill import cli
from marigoldsill import errors
from tests.cli import fake_control

_PLAN = {
    "plan_id": 3,
    "state_version": 5,
    "effects": [{"verb": "start", "subject": "lookup/0", "worker": "w1"}],
    "guards": [{"name": "unit-slip", "message": "400 cores"}],
}


@pytest.fixture
def control() -> Iterator[fake_control.FakeControl]:
    """A fake control process that answers with a plan."""
    running = fake_control.FakeControl(fake_control.json_answer(_PLAN))
    yield running
    running.stop()


@pytest.fixture
def run(control: fake_control.FakeControl) -> Callable[..., testing.Result]:
    """Returns a function that runs a command against `control`."""
    environment = {"MARIGOLDSILL_CONTROL_HTTP": control.address}

    def invoke(*arguments: object, **more: str) -> testing.Result:
        return testing.CliRunner().invoke(
            cli.main, list(map(str, arguments)), env=environment | more
        )

    return invoke


@pytest.mark.parametrize(
    ("arguments", "path", "body"),
    [
        (["remove", "lookup"], "remove", {"name": "lookup"}),
        (["drain", "w1"], "drain", {"name": "w1"}),
        (["undrain", "w1"], "undrain", {"name": "w1"}),
        (["evacuate", "dc1"], "evacuate", {"name": "dc1"}),
        (["end-evacuation", "dc1"], "end-evacuation", {"name": "dc1"}),
        (["cancel", "a", "b"], "cancel", {"names": ["a", "b"]}),
    ],
    ids=lambda value: str(value[0]) if isinstance(value, list) else "",
)
def test_each_kind_of_plan_is_requested(
    run, control: fake_control.FakeControl, arguments, path, body
) -> None:
    result = run("plan", *arguments)

    assert result.exit_code == 0, result.output
    [request] = control.requests
    assert request.path == f"/v1/plans/{path}"
    assert json.loads(request.body) == body


def test_a_policy_is_sent_as_toml_with_the_given_fields(
    run, control: fake_control.FakeControl
) -> None:
    run("plan", "policy", "--latency-weight", "0.7", "--no-sharing-allowed")

    [request] = control.requests
    assert request.body == b"latency_weight = 0.7\nsharing_allowed = false"


def test_an_empty_policy_is_refused_without_a_request(
    run, control: fake_control.FakeControl
) -> None:
    result = run("plan", "policy")
    assert result.exit_code == errors.BadInputError.exit_code
    assert "--latency-weight" in result.output
    assert control.requests == []


def test_a_plan_is_printed_with_the_command_that_confirms_it(
    run, tmp_path: pathlib.Path
) -> None:
    file = tmp_path / "intent.toml"
    file.write_text("")

    result = run("plan", "apply", file)

    assert "lookup/0" in result.output
    assert "Nothing has happened yet" in result.output
    assert "confirm 3 --acknowledge unit-slip" in result.output


def test_json_output_is_the_complete_answer(run) -> None:
    result = run("plan", "drain", "w1", "--output", "json")
    assert json.loads(result.output) == _PLAN


def test_confirm_sends_acknowledged_guards_token_and_command_id(
    run, control: fake_control.FakeControl, tmp_path: pathlib.Path
) -> None:
    token = tmp_path / "token"
    token.write_text("0123456789abcdef\n")

    run(
        "confirm",
        3,
        "--acknowledge=unit-slip",
        "--acknowledge=last-worker",
        "--command-id=id-9",
        MARIGOLDSILL_TOKEN_FILE=str(token),
    )

    [request] = control.requests
    assert request.path == "/v1/plans/3/confirm"
    assert json.loads(request.body) == {
        "acknowledged": ["unit-slip", "last-worker"]
    }
    assert request.command_id == "id-9"
    assert request.authorization == "Bearer 0123456789abcdef"


@pytest.mark.parametrize(
    ("arguments", "path"),
    [
        (["status"], "/v1/status"),
        (["explain", "lookup/0"], "/v1/explain/lookup/0"),
        (["plan", "show", "3"], "/v1/plans/3"),
        (["audit", "--since", "4"], "/v1/audit?since=4"),
    ],
    ids=["status", "explain", "show", "audit"],
)
def test_reading_commands_request_their_paths(
    run, control: fake_control.FakeControl, arguments, path: str
) -> None:
    result = run(*arguments)

    assert result.exit_code == 0, result.output
    assert [request.path for request in control.requests] == [path]


@pytest.mark.parametrize(
    "error",
    [
        errors.GuardError("unit-slip: 400 cores"),
        errors.StalePlanError("plan 3 was made against version 5"),
        errors.UnauthorizedError("missing operator token"),
    ],
    ids=lambda error: error.kind,
)
def test_a_refusal_is_printed_and_sets_the_exit_code(
    error: errors.MarigoldsillError,
) -> None:
    control = fake_control.FakeControl(fake_control.error_answer(error))
    result = testing.CliRunner().invoke(
        cli.main, ["confirm", "3", "--control-http", control.address]
    )
    control.stop()

    assert result.exit_code == error.exit_code
    assert result.output == f"{error.kind}: {error.message}\n"


def test_a_missing_file_is_bad_input(run) -> None:
    result = run("plan", "apply", "nowhere.toml")
    assert result.exit_code == errors.BadInputError.exit_code
    assert "cannot read 'nowhere.toml'" in result.output


def test_check_intent_reports_all_errors_of_all_files(
    run, tmp_path: pathlib.Path
) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text('[[watcher]]\nname = "w"\ncores = 1\n')
    bad.write_text('[[watcher]]\nname = "w"\ncores = -1\nslots = 1\n')

    result = run("check", "intent", good, bad)

    assert result.exit_code == errors.IntentError.exit_code
    assert f"{good}: ok" in result.output
    assert result.output.count(f"{bad}: ") == 2


def test_check_reports_all_invalid_settings_at_once() -> None:
    result = testing.CliRunner().invoke(
        cli.main,
        ["check", "agent", "--name", "-", "--heartbeat-ms", "1"],
        env={"MARIGOLDSILL_WORKER_URL": "ftp://x"},
    )

    assert result.exit_code == errors.SettingsError.exit_code
    for part in (
        "--name: invalid name '-'",
        "--heartbeat-ms: invalid value '1'",
        "from 50 to 60000",
        "MARIGOLDSILL_WORKER_URL: invalid URL 'ftp://x'",
        "--control-addresses (or MARIGOLDSILL_CONTROL_ADDRESSES) is missing",
    ):
        assert part in result.output


def test_check_accepts_valid_settings_without_starting_the_role() -> None:
    result = testing.CliRunner().invoke(
        cli.main,
        ["check", "entry", "--name=e", "--control-addresses=127.0.0.1:1"],
    )
    assert result.output == "settings of entry: ok\n"


def test_check_reports_all_errors_in_the_platforms_file(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "node.toml"
    path.write_text('node_name = 5\nip = "10.0.0.1"\nzone = "z"\nseeds = 7\n')

    result = testing.CliRunner().invoke(
        cli.main, ["check", "platform", str(path)]
    )

    assert result.exit_code == errors.SettingsError.exit_code
    for part in ("node_name", "seeds", "internal_ports"):
        assert part in result.output


def test_check_accepts_a_valid_file_of_the_platform(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(
        'node_name = "edge-1"\nip = "10.0.0.1"\nzone = "z"\n'
        'internal_ports = [7720, 7735]\nseeds = ["10.0.0.1:8166"]\n'
    )

    result = testing.CliRunner().invoke(
        cli.main, ["check", "platform", str(path)]
    )

    assert result.output == f"{path}: ok, machine 'edge-1'\n"


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_scripts_name_the_program(shell: str) -> None:
    result = testing.CliRunner().invoke(cli.main, ["completion", shell])
    assert result.exit_code == 0
    assert "_MARIGOLDSILL_COMPLETE" in result.output


def test_the_agent_command_is_in_the_module_of_roles() -> None:
    command = cli.main.get_command(None, "agent")
    assert command.name == "agent"
    assert command.callback.__module__ == "marigoldsill.cli.roles"
