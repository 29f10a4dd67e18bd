"""Simulates a day of a load: the product decides, simulated workers run tasks.

The tables and the commands that change them, backlog, urgency, placement,
relocation, the leader's learning and the quotas of each agent are the product's
own code. Replication, calls and leases are not simulated: a decision reaches a
worker after `_CALL_DELAY_S`.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import itertools

import numpy
import simpy

from experiments import arrivals as arrivals_module
from experiments import loads
from experiments import outcomes as outcomes_module
from experiments import simulated_workers
from marigoldsill.coordination.cpu_throttling import cpu_throttle
from marigoldsill.coordination.job_learning import run_time_sampler
from marigoldsill.coordination.job_placing import agents as agents_module
from marigoldsill.coordination.job_placing import backlog as backlog_module
from marigoldsill.coordination.job_placing import interference_model
from marigoldsill.coordination.job_placing import placement as placement_module
from marigoldsill.coordination.job_placing import relocation
from marigoldsill.coordination.job_placing import tickets as tickets_module
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.job_queueing import offer_policies
from marigoldsill.coordination.job_queueing import usage as usage_module
from marigoldsill.coordination.learning import worker_health
from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import state_machine
from marigoldsill.state import tables as tables_module
from marigoldsill.transport import clock

# Intervals of the product: between samples of a shared worker, between rounds
# without changes, and from a decision to its effect.
_SAMPLE_INTERVAL_S = 0.25
_ROUND_INTERVAL_S = 0.25
_CALL_DELAY_S = 0.05
# Failed workers return after this share of the day.
_OUTAGE_SHARE = 0.1
# Share of the day that is simulated after the last arrival. Jobs that are still
# unfinished then are counted as they are.
_DRAIN_SHARE = 0.25
_GIB = 1 << 30

# Creates the offer policies of a simulation, which `policies.POLICIES` may replace.
create_offer_policies: Callable[[], list[offer_policies.OfferPolicy]] = list


def simulate(load: loads.Load, seed: int) -> outcomes_module.Outcome:
    """Simulates one day of a load and returns its outcome."""
    with _Simulation(load, seed) as simulation:
        return simulation.run()


@dataclasses.dataclass(slots=True)
class _Agent:
    worker: simulated_workers.SimulatedWorker
    view: agents_module.AgentView
    throttle: cpu_throttle.CpuThrottle
    orders: dict[task_names.RunKey, ttypes.RunOrder]


class _Simulation:
    def __init__(self, load: loads.Load, seed: int):
        self._load = load
        self._random = numpy.random.default_rng(seed)
        self._env = simpy.Environment()
        self._ground_truth = simulated_workers.GroundTruth(load, self._random)
        self._arrivals = arrivals_module.generate(load, self._random)
        self._arrivals_by_job = {a.job.job_id: a for a in self._arrivals}
        self._tables = tables_module.Tables()
        self._recorder = outcomes_module.OutcomeRecorder(
            self._arrivals, load.worths
        )
        self._core_seconds = simulated_workers.CoreSeconds()
        self._backlog = backlog_module.Backlog()
        self._urgency = urgency_module.Urgency()
        self._interference = interference_model.InterferenceModel()
        self._health = worker_health.WorkerHealth()
        self._run_time_sampler = run_time_sampler.RunTimeSampler()
        self._placement = placement_module.Placement(
            interference=self._interference,
            health=self._health,
            tickets=tickets_module.Tickets(),
        )
        self._offer_policies = create_offer_policies()
        self._usage = usage_module.Usage()
        self._relocation = relocation.Relocation()
        self._evicted: set[task_names.RunKey] = set()
        self._checkpoint_s_by_task: dict[str, float] = {}
        self._agents = {
            f"a{number:04}": self._make_agent(number)
            for number in range(load.workers_count)
        }
        self._has_changed = True
        self._updated_agents = set(self._agents)
        self._original_clock = clock.now_s

    def __enter__(self) -> "_Simulation":
        clock.now_s = self._now_s
        return self

    def __exit__(self, *_: object) -> None:
        clock.now_s = self._original_clock

    def run(self) -> outcomes_module.Outcome:
        routing = ttypes.Routing(
            version=1,
            queues=list(arrivals_module.QUEUES),
            pools=[ttypes.Pool(name=arrivals_module.POOL)],
            document=b"1",
        )
        self._apply(replace_routing=ttypes.ReplaceRouting(routing=routing))
        for process in (
            self._submit_jobs(),
            self._advance_workers(),
            self._sample_workers(),
            self._run_leader(),
        ):
            self._env.process(process)
        if self._load.failing_share:
            self._env.process(self._fail_workers())
        self._env.run(until=self._load.length_s * (1 + _DRAIN_SHARE))
        return self._recorder.summarize(self._env.now, self._core_seconds)

    def _now_s(self) -> float:
        # Above zero, because the product reads 0 as "never".
        return 1_000.0 + self._env.now

    def _make_agent(self, number: int) -> _Agent:
        is_large = number < self._load.large_share * self._load.workers_count
        cores = self._load.worker_cores * (1.5 if is_large else 1.0)
        name = f"a{number:04}"
        capacity = ttypes.Resources(
            cpu_millicores=int(cores * 1000),
            memory_bytes=int(cores * 4) * _GIB,
        )
        pool_worker = ttypes.PoolWorker(
            worker_id=f"{name}-1",
            pool=arrivals_module.POOL,
            data_centre="d",
            rack=f"r{number // 3}",
            labels=[],
            capacity=capacity,
        )
        return _Agent(
            worker=simulated_workers.SimulatedWorker(
                name, cores, self._ground_truth
            ),
            view=agents_module.AgentView(name=name, worker=pool_worker),
            throttle=cpu_throttle.CpuThrottle(),
            orders={},
        )

    def _apply(self, **body: object) -> ttypes.CommandResult:
        command = ttypes.Command(
            command_id="",
            proposed_unix_ms=int(self._now_s() * 1000),
            **body,
        )
        result = state_machine.apply(self._tables, command)
        self._run_time_sampler.observe_command(self._tables.jobs, command)
        self._health.observe_command(command)
        self._has_changed = True
        return result

    def _submit_jobs(self) -> Iterator[simpy.Event]:
        for arrival in self._arrivals:
            yield self._env.timeout(max(0.0, arrival.arrival_s - self._env.now))
            self._apply(submit_job=ttypes.SubmitJob(job=arrival.job))

    def _advance_workers(self) -> Iterator[simpy.Event]:
        while True:
            yield self._env.timeout(simulated_workers.STEP_S)
            now_s = self._env.now
            ends = []
            for agent in self._agents.values():
                if not agent.worker.is_up:
                    continue
                for run in agent.worker.advance(now_s, self._core_seconds):
                    agent.orders.pop(run.key, None)
                    ends.append(_make_run_end(run.key, ttypes.RunEndKind.DONE))
            self._recorder.observe_workers(
                [a.worker for a in self._agents.values() if a.worker.is_up],
                now_s,
            )
            if ends:
                self._record_ends(ends)

    def _sample_workers(self) -> Iterator[simpy.Event]:
        while True:
            yield self._env.timeout(_SAMPLE_INTERVAL_S)
            now_s = self._now_s()
            interference = {
                (p.latency_critical_image, p.best_effort_image): p.added
                for p in self._interference.published_pairs()
            }
            for agent in self._agents.values():
                if agent.worker.is_up:
                    self._sample_agent(agent, interference, now_s)
            self._has_changed = True

    def _sample_agent(
        self,
        agent: _Agent,
        interference: dict[tuple[str, str], float],
        now_s: float,
    ) -> None:
        samples = {
            (sample.task, sample.run): sample
            for sample in agent.worker.samples(self._random)
        }
        agent.throttle.interference_by_pair = interference
        agent.throttle.update(
            agent.orders,
            samples,
            capacity_millicores=agent.view.worker.capacity.cpu_millicores,
            now_s=now_s,
        )
        for key, order in agent.orders.items():
            if order.best_effort and key in samples:
                percent = agent.throttle.percent(key)
                agent.worker.throttle(key, percent, self._env.now)
                samples[key].quota_percent = percent
        agent.view.samples = samples
        agent.view.sampled_s = now_s
        self._updated_agents.add(agent.view.name)

    def _run_leader(self) -> Iterator[simpy.Event]:
        for tick in itertools.count():
            yield self._env.timeout(simulated_workers.STEP_S)
            is_due = (
                tick % round(_ROUND_INTERVAL_S / simulated_workers.STEP_S) == 0
            )
            if self._has_changed or is_due:
                self._has_changed = False
                self._run_round()

    def _run_round(self) -> None:
        jobs, now_s = self._tables.jobs, self._now_s()
        changed_jobs = jobs.pop_changed_jobs()
        self._backlog.refresh(jobs, changed_jobs, now_s=now_s)
        if self._offer_policies:
            self._usage.refresh(jobs, changed_jobs)
        updated_agents, self._updated_agents = self._updated_agents, set()
        # Sorted, so that a seed always gives the same day.
        views = [self._agents[name].view for name in sorted(updated_agents)]
        self._learn_from(views)
        for view in views:
            self._relocation.observe(jobs, view)
        for name in sorted(updated_agents | jobs.pop_changed_agents()):
            agent = self._agents[name]
            self._placement.refresh(
                jobs, agent.view, is_eligible=agent.worker.is_up
            )
        waiting = self._backlog.rank_steps(
            self._urgency, now_unix_ms=int(now_s * 1000)
        )
        grants = self._placement.place(self._offer(waiting), now_s=now_s)
        evictions = self._relocation.choose_evictions(
            self._placement,
            now_s=now_s,
            is_evicted=self._evicted.__contains__,
        )
        if grants:
            self._apply(grant_runs=ttypes.GrantRuns(grants=grants))
            for grant in grants:
                self._start_run(grant)
        stopped = []
        for eviction in evictions:
            self._updated_agents.add(eviction.next_agent)
            self._evicted.add(eviction.key)
            if self._stop_run(self._agents[eviction.agent], eviction.key):
                stopped.append(
                    _make_run_end(eviction.key, ttypes.RunEndKind.STOPPED)
                )
        if stopped:
            self._record_ends(stopped)

    def _offer(
        self, waiting: list[backlog_module.WaitingStep]
    ) -> list[backlog_module.WaitingStep]:
        now_s = self._now_s()
        context = offer_policies.RoundContext(
            usage=self._usage,
            capacity_of=self._placement.index.pool_capacity,
            urgency=self._urgency,
            now_s=now_s,
            now_unix_ms=int(now_s * 1000),
        )
        for policy in self._offer_policies:
            waiting = policy.offer(waiting, context)
        return waiting

    def _learn_from(self, views: list[agents_module.AgentView]) -> None:
        self._interference.learn(self._tables.jobs, views)
        self._run_time_sampler.exclude_slowed(views)
        for sample in self._run_time_sampler.take_samples():
            self._urgency.run_times.observe(
                sample.queue,
                estimated_ms=sample.estimated_ms,
                run_ms=sample.run_ms,
            )

    def _start_run(self, grant: ttypes.RunGrant) -> None:
        agent, key = self._agents[grant.agent], (grant.task, grant.run)
        address = task_names.parse(grant.task)
        step = self._tables.jobs.step_of(grant.task)
        arrival = self._arrivals_by_job[address.job_id]
        work_s = float("inf")
        if not step.long_running:
            work_s = arrival.run_times_s[address.step][address.index]
        checkpoint_s = self._checkpoint_s_by_task.get(grant.task, 0.0)
        run = simulated_workers.SimulatedRun(
            key=key,
            step=step,
            job_id=address.job_id,
            work_s=work_s,
            done_s=checkpoint_s,
            checkpoint_s=checkpoint_s,
            start_s=self._env.now + _CALL_DELAY_S,
            load_phase=arrival.load_phase,
            load_factor=simulated_workers.draw_load_factor(self._random),
        )
        order = ttypes.RunOrder(
            task=grant.task,
            run=grant.run,
            best_effort=step.best_effort,
            tail_target_ms=step.tail_target_ms,
            image=step.image,
            cpu_millicores=step.resources.cpu_millicores,
        )
        agent.orders[key] = order
        if step.best_effort:
            latency_critical = {
                o.image for o in agent.orders.values() if o.tail_target_ms
            }
            # The run must be on the worker before its quota can be set.
            percent = agent.throttle.initial_percent(order, latency_critical)
            agent.worker.start(run)
            agent.worker.throttle(key, percent, run.start_s)
            return
        agent.worker.start(run)

    def _stop_run(self, agent: _Agent, key: task_names.RunKey) -> bool:
        agent.orders.pop(key, None)
        run = agent.worker.runs.pop(key, None)
        if run is None:
            return False
        if run.step.checkpointing:
            # Stopping a checkpointing task saves a checkpoint.
            run.checkpoint_s = run.done_s
        self._record_checkpoint(run)
        return True

    def _record_checkpoint(self, run: simulated_workers.SimulatedRun) -> None:
        self._checkpoint_s_by_task[run.key[0]] = run.checkpoint_s
        lost_s = run.done_s - run.checkpoint_s
        self._core_seconds.thrown_away += lost_s * run.cores

    def _record_ends(self, ends: list[ttypes.RunEnd]) -> None:
        self._apply(record_run_ends=ttypes.RecordRunEnds(ends=ends))
        for end in ends:
            job_id = task_names.parse(end.task).job_id
            record = self._tables.jobs.jobs[job_id]
            if record.state == ttypes.JobState.COMPLETED:
                self._recorder.record_completion(job_id, self._env.now)

    def _fail_workers(self) -> Iterator[simpy.Event]:
        """Fails some workers at once and returns them later without runs."""
        yield self._env.timeout(self._load.length_s / 2)
        count = round(self._load.failing_share * len(self._agents))
        failing = list(self._agents.values())[-count:]
        for agent in failing:
            agent.worker.is_up = False
            self._updated_agents.add(agent.view.name)
            ends = []
            for run in list(agent.worker.runs.values()):
                agent.worker.runs.pop(run.key)
                agent.orders.pop(run.key, None)
                self._record_checkpoint(run)
                ends.append(_make_run_end(run.key, ttypes.RunEndKind.LOST))
            agent.view.samples = {}
            if ends:
                self._record_ends(ends)
        yield self._env.timeout(self._load.length_s * _OUTAGE_SHARE)
        for agent in failing:
            agent.worker.is_up = True
            self._updated_agents.add(agent.view.name)


def _make_run_end(
    key: task_names.RunKey, kind: ttypes.RunEndKind
) -> ttypes.RunEnd:
    return ttypes.RunEnd(task=key[0], run=key[1], kind=kind)
