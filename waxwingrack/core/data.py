"""Record types shared by all packages.

Every record is a frozen data class, so that modules can share it without
copies. Times are milliseconds of a monotonic clock unless the name of a field
says otherwise.
"""

import dataclasses
import enum
from typing import Any
from typing import TypeVar

import immutables

ClassT = TypeVar("ClassT", bound=type)


def quick_init(cls: ClassT) -> ClassT:
    """Replaces the initialiser of a frozen data class by a faster one.

    The initialiser that `dataclasses` generates sets each attribute by name
    through `object.__setattr__`, which takes twice as long as the descriptors
    of the slots. The difference matters for records that are created for each
    request.

    Args:
      cls: Frozen data class with slots, without default factories and
        `__post_init__`.

    Returns:
      The same class.
    """
    namespace: dict[str, Any] = {}
    parameters, statements = [], []
    for field in dataclasses.fields(cls):
        namespace[f"set_{field.name}"] = cls.__dict__[field.name].__set__
        statements.append(f"set_{field.name}(self, {field.name})")
        if field.default is dataclasses.MISSING:
            parameters.append(field.name)
        else:
            namespace[f"default_{field.name}"] = field.default
            parameters.append(f"{field.name}=default_{field.name}")
    # As in `dataclasses`, the source is made of attribute names only.
    exec(
        f"def __init__(self, {', '.join(parameters)}):\n "
        + "\n ".join(statements),
        namespace,
    )
    cls.__init__ = namespace["__init__"]
    return cls


# ---------------------------------------------------------------------------
# Environment document
# ---------------------------------------------------------------------------


# Largest limit of the number of servers of a service in a data centre, and
# longest start-up time in seconds; larger values are typing errors.
MAX_SCALED_SERVERS = 10_000
MAX_BOOT_S = 3_600.0


class DataCentreState(enum.StrEnum):
    """Whether a data centre may receive new work."""

    IN_SERVICE = "in_service"
    DRAINED = "drained"


class CostMeter(enum.StrEnum):
    """How the cost of a request is measured."""

    SLOT_MS = "slot_ms"
    TOKENS = "tokens"
    PROMPT_AND_OUTPUT = "prompt_and_output"


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer that shares the capacity of services.

    Attributes:
      id: Unique name.
      weight: Share relative to other workspaces, greater than zero.
      token_digests: SHA-256 digests (hex) of the callers' bearer tokens.
      max_queue: Maximum number of queued requests at one router.
      max_connections: Maximum number of open requests at one router.
    """

    id: str
    weight: float
    token_digests: tuple[str, ...]
    max_queue: int = 256
    max_connections: int = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One of the services among which the requests of a route are divided.

    Attributes:
      service: Id of the service.
      weight: Share relative to the other targets, not negative.
    """

    service: str
    weight: float


class PathMatching(enum.StrEnum):
    """How the path of a request is compared with the paths of routes.

    Attributes:
      SEGMENTS: Segment by segment, percent-decoded; empty segments do not
        count.
      TEXT: Character by character as written. A route's path ends with a slash
        and matches the paths that begin with it.
    """

    SEGMENTS = "segments"
    TEXT = "text"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A set of requests of a service that share the same rules.

    Attributes:
      id: Name, unique within the service.
      path: Path prefix, compared as the router's `PathMatching` says; the
        longest match wins.
      methods: HTTP methods; empty means every method.
      idempotent: Whether a request may be repeated. A request on a route that
        is not idempotent needs an `Idempotency-Key`, unless `single_attempt`.
      host: Value of the `Host` header; empty matches every host.
      targets: Services among which requests are divided; empty sends all to
        the service that declares the route.
      public: Whether requests need no token.
      single_attempt: Whether every request counts as a separate attempt that
        runs at most once, so that it needs no `Idempotency-Key`.
      timeout_s: Maximum time until the answer, in seconds; None uses the
        timeout of the service.
      latency_target_s: Time to the first byte of the answer that callers
        expect, in seconds; None if there is no such target.
      max_tries: Maximum number of backend servers that one request is sent to;
        None applies the retry policy.
    """

    id: str
    path: str
    methods: tuple[str, ...] = ()
    idempotent: bool = False
    host: str = ""
    targets: tuple[Target, ...] = ()
    public: bool = False
    single_attempt: bool = False
    timeout_s: float | None = None
    latency_target_s: float | None = None
    max_tries: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderSettings:
    """Settings of the orders that make model engines load versions.

    Attributes:
      min_serving_share: Minimum share of the service's slots that keep serving
        while engines load, from 0 to 1.
      answer_timeout_s: Maximum wait for an engine's answer to an order or a
        read-back, in seconds.
      load_timeout_s: Maximum time from an order until the engine announces the
        version, in seconds; after it, an order in a final state may be
        repeated.
      max_order_delay_s: Maximum delay with which an engine that ignores fencing
        numbers accepts an order after the order's connection was reset, in
        seconds; an order that is not visible by then is never accepted. None
        if there is no such bound.
    """

    min_serving_share: float = 0.5
    answer_timeout_s: float = 10.0
    load_timeout_s: float = 600.0
    max_order_delay_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Memory, links and stream format of a service's model engines.

    Attributes:
      memory_tokens: Memory that running requests and cached prompts share, in
        tokens.
      tokens_per_event: Output tokens in one event of a stream.
      token_bytes: Memory of one token, in bytes.
      link_mbps: Rate at which an engine fetches memory from another one, in
        megabits per second; 0 if it cannot.
    """

    memory_tokens: int
    tokens_per_event: int = 1
    token_bytes: int = 0
    link_mbps: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimit:
    """Load limit of a backend server while it announces that it is cold.

    Attributes:
      requests_per_s: Maximum number of requests per second.
    """

    requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Limits of the number of servers of a service in each data centre.

    Attributes:
      min: Smallest number of servers.
      max: Largest number of servers, at least `min`.
      boot_s: Time after which an ordered server starts serving, in seconds.
    """

    min: int
    max: int
    boot_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of backend servers that run the same program.

    Attributes:
      id: Unique name.
      routes: Routes that lead to the service.
      version: Version that receives traffic when no rollout is running.
      cost_meter: How cost is measured.
      queue_timeout_s: Maximum wait for a grant, in seconds.
      answer_timeout_s: Maximum wait for the first byte of the answer, in
        seconds.
      idle_timeout_s: Maximum time, in seconds, for which the backend server
        sends nothing of a started answer or the caller reads nothing of it.
      orders: Settings of orders to its model engines; None sends no orders.
      engine: Memory of its model engines; None for other servers.
      cold: Load limit of a cold backend server; None applies only the slot
        limit.
      ramp: Whether the slot limit of a new backend server starts at 1 and
        grows. Otherwise all announced slots are used at once.
      isolate_suspects: Whether a request whose connection broke is isolated: it
        runs next on a backend server without other requests.
      announces_cold: Whether every backend server announces for how long it is
        still slow after its start. Otherwise its latencies do not count in a
        rollout for some time.
      max_min_shares: Whether a contended service is divided by max-min shares
        and the returns of refused callers are scheduled. Otherwise requests are
        refused by the forecast of their own wait alone.
      learn_speeds: Whether the speed of each backend server is learned and its
        stated slowness counts. Otherwise all count as fast as their mean.
      max_connections: Most connections that each of its backend servers takes
        from all callers together; 0 if it is not known.
      scaling: Limits within which the leader orders servers; None orders none.
    """

    id: str
    routes: tuple[Route, ...]
    version: str
    cost_meter: CostMeter = CostMeter.SLOT_MS
    queue_timeout_s: float = 30.0
    answer_timeout_s: float = 60.0
    idle_timeout_s: float = 30.0
    orders: OrderSettings | None = None
    engine: Engine | None = None
    cold: ColdLimit | None = None
    ramp: bool = True
    isolate_suspects: bool = True
    announces_cold: bool = False
    max_min_shares: bool = False
    learn_speeds: bool = False
    max_connections: int = 0
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre as the operators declare it.

    Attributes:
      id: Unique name.
      region: Region that it belongs to.
      state: State to set when the document is applied; None keeps the state.
    """

    id: str
    region: str
    state: DataCentreState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutPlan:
    """A declared move of a service to another version.

    Attributes:
      id: Unique name of the rollout.
      service: Service whose traffic moves.
      version: Version to move to.
      deadline_s: Time after the start by which the rollout must be done or is
        rolled back, in seconds.
      watch_s: Time at full share before the rollout is done, in seconds.
      max_exposure: Share of the service's requests since the start that the
        version may get before the rollout is done; 1 sets no limit.
      exposure_reserve: Number of requests that it may get beyond that share.
    """

    id: str
    service: str
    version: str
    deadline_s: float = 600.0
    watch_s: float = 60.0
    max_exposure: float = 1.0
    exposure_reserve: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    The settings of the router apply in place of a limit that is None.

    Attributes:
      max_header_bytes: Maximum size of a request's header block.
      max_body_bytes: Maximum size of a request body.
      header_timeout_s: Maximum time to receive the headers of a request.
      idle_connection_s: Time after which a caller's connection without a
        request is closed.
    """

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_s: float | None = None
    idle_connection_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """The operators' document for one environment.

    Attributes:
      name: Name of the environment, for example `trial` or `production`.
      workspaces: Workspaces in order of declaration.
      services: Services in order of declaration.
      data_centres: Data centres in order of declaration.
      rollouts: Declared rollouts; one whose id is new starts when applied.
      announce_token_digests: SHA-256 digests (hex) of the tokens with which
        backend servers announce themselves.
      key_retention_s: Minimum time for which an idempotency record is kept, in
        seconds.
      max_loading: Maximum number of model engines, over all services, that load
        a version at once, as the weight store is rate-limited.
      caller_limits: Limits on the requests and connections of callers.
      revision: Number that the operators gave the document; 0 if none.
      source: Text that the document was read from, so that it can be read back
        unchanged; empty if it is not kept.
    """

    name: str
    workspaces: tuple[Workspace, ...]
    services: tuple[Service, ...]
    data_centres: tuple[DataCentre, ...]
    rollouts: tuple[RolloutPlan, ...] = ()
    announce_token_digests: tuple[str, ...] = ()
    key_retention_s: float = 86_400.0
    max_loading: int = 2
    caller_limits: CallerLimits = CallerLimits()
    revision: int = 0
    source: str = ""


# Workspace of requests on public routes, which carry no token.
PUBLIC_WORKSPACE = "(public)"


# ---------------------------------------------------------------------------
# Process settings
# ---------------------------------------------------------------------------


class Role(enum.StrEnum):
    """Role of a process."""

    ROUTER = "router"
    CONTROLLER = "controller"


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """A TCP address with a numeric IP address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Addresses of a controller.

    Attributes:
      id: Node id of the controller.
      control: Address of its websocket port for routers and controllers.
      operators: Address of its operators' HTTP API.
    """

    id: str
    control: Address
    operators: Address


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files for mutual TLS between processes of the system."""

    certificate: str
    private_key: str
    authority: str


class Duty(enum.StrEnum):
    """Calls to the provider that one process at a time may make."""

    USAGE_REPORT = "usage_report"
    AUTOSCALE = "autoscale"


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettings:
    """Duties of the leading controller towards the provider.

    Attributes:
      address: Address of the provider.
      duties: Duties that the leader has.
      holder: Name of this process at the provider; empty for its node id.
      lease_ms: Time for which a new leader waits before it takes a duty over
        from another controller, in milliseconds.
      calls_per_s: Calls per second that the provider accepts from all processes
        together.
      usage_window_s: Length of a usage window, in seconds.
      usage_late_s: Time after the end of a window at which its report is late,
        in seconds.
    """

    address: Address
    duties: tuple[Duty, ...] = (Duty.USAGE_REPORT, Duty.AUTOSCALE)
    holder: str = ""
    lease_ms: int = 3_000
    calls_per_s: float = 50.0
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process.

    Attributes:
      role: Role of the process.
      node_id: Unique id of the process within the deployment.
      data_centre: Data centre that the process runs in.
      operators: Address of the operators' port (metrics, health and, at a
        controller, the operators' API).
      controllers: All controllers of the deployment.
      callers: Address of the callers' HTTP port; routers only.
      control: Address of the websocket port; controllers only.
      data_folder: Folder for durable state; controllers only.
      tls: Files for mutual TLS; None allows only loopback addresses.
      shared_key_file: File with the key that authenticates processes on
        loopback.
      operator_token_file: File with the operators' bearer token; controllers
        only.
      shutdown_delay_s: Time between SIGTERM and closing the callers' port.
      shutdown_timeout_s: Maximum wait for running requests after that.
      max_body_bytes: Maximum size of a request body.
      max_buffered_bytes: Maximum size of all request bodies, and of answers to
        be recorded, that a router holds at one time.
      max_header_bytes: Maximum size of a request's header block.
      body_timeout_s: Maximum time to receive a request body.
      idle_connection_s: Time after which a caller's connection without a
        request is closed.
      close_timeout_s: Maximum time for which the caller may read nothing of the
        last bytes of a connection that is closing.
      max_open_connections: Maximum number of open caller connections.
      max_pipelined_requests: Maximum number of requests that wait on one
        caller's connection for the answers to earlier ones.
      log_level: Lowest level to log.
      plaintext: Whether processes communicate without TLS and shared key, also
        beyond loopback.
      group_size: Number of voting controllers that the leader maintains without
        an operator, replacing lost ones by controllers that ask to join; 0
        leaves changes of the group to operators.
      found_group: Whether a controller with an empty disk founds the group
        with the listed ones; otherwise it asks to join. Used with `group_size`.
      ready_when_drained: Whether a router stays ready while its data centre is
        drained.
      retry_share: Retries that each request of a service adds to the router's
        retry budget for the service.
      retry_reserve: Maximum of that retry budget.
      hedge_share: Share of the requests of a service that a router may send a
        second copy of; at most `retry_share`, 0 sends none.
      hedge_needs_slowness: Whether only services get second copies whose
        servers report how slow they are.
      control_silence_s: Time without a message of the leader after which a
        router looks for another leader.
      reuse_idle_s: Maximum idle time of a connection to a backend server that
        is reused for a request that must not be repeated, if the server states
        no timeout; 0 opens a new connection for each such request.
      max_exposure: Share of a service's requests that a new version may get
        before its rollout is done, if the rollout has no limit of its own; 1
        sets no limit. Controllers only.
      exposure_reserve: Number of requests that it may get beyond that share.
      link_mbps: Capacity of a router's network link in each direction, in
        megabits per second; 0 if it is not known.
      max_descriptors: Maximum number of open descriptors of a router; 0 leaves
        it to the limit of the process.
      processor_cores: Cores that a router may use, in cores; 0 if it is not
        known.
      duties: Duties towards the provider; None without them.
    """

    role: Role
    node_id: str
    data_centre: str
    operators: Address
    controllers: tuple[Peer, ...]
    callers: Address | None = None
    control: Address | None = None
    data_folder: str | None = None
    tls: TlsFiles | None = None
    shared_key_file: str | None = None
    operator_token_file: str | None = None
    shutdown_delay_s: float = 2.0
    shutdown_timeout_s: float = 120.0
    max_body_bytes: int = 1_048_576
    max_buffered_bytes: int = 67_108_864
    max_header_bytes: int = 16_384
    body_timeout_s: float = 20.0
    idle_connection_s: float = 75.0
    close_timeout_s: float = 15.0
    max_open_connections: int = 4_096
    max_pipelined_requests: int = 256
    log_level: str = "INFO"
    plaintext: bool = False
    group_size: int = 0
    found_group: bool = True
    ready_when_drained: bool = False
    retry_share: float = 0.1
    retry_reserve: float = 10.0
    hedge_share: float = 0.0
    hedge_needs_slowness: bool = False
    control_silence_s: float = 2.0
    reuse_idle_s: float = 0.0
    max_exposure: float = 1.0
    exposure_reserve: int = 0
    link_mbps: float = 0.0
    max_descriptors: int = 0
    processor_cores: float = 0.0
    duties: DutySettings | None = None


# ---------------------------------------------------------------------------
# Backend servers and grants
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of a model engine's prefix cache.

    Attributes:
      sequence: Number of the event at its engine; a gap means lost events.
      prefix: Digest of the prompt prefix.
      stored: True when stored, False when evicted.
    """

    sequence: int
    prefix: str
    stored: bool


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """State of a backend server, which the server announces once a second.

    Attributes:
      server_id: Unique id of the backend server.
      incarnation: Changes with each start of the backend server.
      address: Address that accepts requests.
      service: Service that it runs.
      version: Version that it runs.
      data_centre: Data centre that it runs in.
      slots: Maximum number of concurrent requests when warm.
      in_flight: Running requests when the load was sampled.
      load: Utilisation from 0 to 1, reported with a lag.
      checks_fencing: Whether it refuses an order with an old fencing number.
      departing: Whether it is about to leave.
      cache_events: Changes of its prefix cache since the last announcement.
      cold_ms: Time for which the server stays cold, in milliseconds.
      born_ms: Start of the incarnation on the server's wall clock, in
        milliseconds; 0 if it is not announced. It orders incarnations.
      sequence: Number of the announcement within its incarnation, by which a
        late one is recognised; 0 if announcements are not numbered.
      max_connections: Most connections that the server takes; 0 if it does not
        announce it.
    """

    server_id: str
    incarnation: str
    address: Address
    service: str
    version: str
    data_centre: str
    slots: int
    in_flight: int = 0
    load: float = 0.0
    checks_fencing: bool = False
    departing: bool = False
    cache_events: tuple[CacheEvent, ...] = ()
    cold_ms: int = 0
    born_ms: int = 0
    sequence: int = 0
    max_connections: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndedServer:
    """An incarnation of a backend server that gets no more requests.

    Attributes:
      address: Address of the server.
      incarnation: Incarnation of the server.
    """

    address: Address
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a backend server told a router about itself in an answer.

    Attributes:
      server_id: Backend server.
      incarnation: Incarnation of the server.
      leaving: Whether it leaves and wants no further requests.
      pause_ms: Time from the report on for which it wants no requests of this
        router, in milliseconds; 0 for none.
      rate_limit: Requests per second that it takes from all routers together;
        None if it did not say.
      rate_limit_age_ms: Time before the report at which it said so, in
        milliseconds.
      slowness: Time that work takes there at present, as a multiple of the
        normal time; None if it did not say.
      slowness_age_ms: Time before the report at which it said so, in
        milliseconds.
    """

    server_id: str
    incarnation: str
    leaving: bool = False
    pause_ms: int = 0
    rate_limit: float | None = None
    rate_limit_age_ms: int = 0
    slowness: float | None = None
    slowness_age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server states in the head of an answer.

    Attributes:
      running: Running requests.
      waiting: Requests that wait at the server.
      slots: Maximum number of concurrent requests.
      slowness: Time that work takes there at present, as a multiple of the
        normal time; None if it did not say.
      invalid: Text that could not be read, or whose values were out of bounds
        and were moved to them; empty otherwise.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowness: float | None = None
    invalid: str = ""


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that other requests may share.

    Attributes:
      id: Identity of the text.
      tokens: Length of the text, in tokens.
    """

    id: str
    tokens: int


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request that needs a grant.

    Attributes:
      sequence: Number of the request at its router incarnation.
      workspace: Workspace of the caller.
      service: Service that the request is for.
      route: Route of the service.
      digest: SHA-256 digest (hex) of workspace, method, path and body.
      prefix: Digest of the prompt prefix, empty if there is none.
      hint: Caller's estimate of the cost, 0 if there is none.
      avoid: Backend servers on which an earlier attempt failed.
      prompt: Parts of the prompt in order, for model engines.
      prompt_tokens: Length of the prompt; 0 if it is not known.
      output_tokens: Expected length of the output; 0 if it is not known.
      left_ms: Time until the deadline of the answer when the request was
        queued; 0 if there is no deadline.
      target_ms: Time until the first byte of the answer that the caller
        expects; 0 if there is no such target.
      duplicate: Whether it is a second copy of a request that is running at a
        server in `avoid`.
      passed_ms: Time since the caller's request arrived at the router, when the
        request was reported; 0 without a latency target.
    """

    sequence: int
    workspace: str
    service: str
    route: str
    digest: str = ""
    prefix: str = ""
    hint: float = 0.0
    avoid: tuple[str, ...] = ()
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    left_ms: int = 0
    target_ms: int = 0
    duplicate: bool = False
    passed_ms: int = 0


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permission to send one queued request to one backend server.

    Attributes:
      id: Unique number within the leader's term; unique with `term`.
      term: Term of the leader that issued it.
      want: Sequence of the queued request at the router.
      server_id: Backend server to send to.
      incarnation: Incarnation of the backend server.
      address: Address of the backend server.
      version: Version of the backend server.
      fetch_from: Address of the model engine from which this one fetches the
        parts of the prompt that it does not have in its cache; None if it
        reads them itself.
      max_idle: Most idle connections that the router may keep to the server;
        None if the server announces no limit.
    """

    id: int
    term: int
    want: int
    server_id: str
    incarnation: str
    address: Address
    version: str
    fetch_from: Address | None = None
    max_idle: int | None = None


class Outcome(enum.StrEnum):
    """How a granted request ended, as its router reports it.

    REJECTED means that the backend server stated that it has not run the
    request.
    """

    COMPLETED = "completed"
    SERVER_ERROR = "server_error"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    NOT_DISPATCHED = "not_dispatched"
    REJECTED = "rejected"


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class FinishedRequest:
    """End of a granted request.

    Attributes:
      term: Term of the grant.
      grant: Id of the grant.
      outcome: How it ended. NOT_DISPATCHED returns the grant unused.
      first_byte_ms: Time from dispatch to the first answer byte.
      duration_ms: Time from dispatch to the end.
      cost: Cost in the unit of the service's cost meter.
    """

    term: int
    grant: int
    outcome: Outcome
    first_byte_ms: float
    duration_ms: float
    cost: float


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class StartedAnswer:
    """Report that the answer to a granted request has begun.

    Attributes:
      term: Term of the grant.
      grant: Id of the grant.
      first_byte_ms: Time from dispatch to the first byte of the answer's body.
    """

    term: int
    grant: int
    first_byte_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CostProgress:
    """Cost so far of a granted request that is still running."""

    term: int
    grant: int
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRequest:
    """A granted request that runs, as a router reports it after connecting.

    Attributes:
      term: Term of the grant.
      grant: Id of the grant.
      server_id: Backend server.
      incarnation: Incarnation of the server.
      version: Version of the server.
      workspace: Workspace of the caller.
      service: Service.
      route: Route.
      digest: Digest of the request.
      cost: Cost so far.
      parts: Ids of the parts of its prompt that other requests may share.
    """

    term: int
    grant: int
    server_id: str
    incarnation: str
    version: str
    workspace: str
    service: str
    route: str
    digest: str
    cost: float
    parts: tuple[str, ...] = ()


# ---------------------------------------------------------------------------
# Idempotency records
# ---------------------------------------------------------------------------


class KeyState(enum.StrEnum):
    """State of a request with an idempotency key."""

    ABSENT = "absent"
    CLAIMED = "claimed"
    RUNNING = "running"
    ANSWERED = "answered"
    MAY_HAVE_RUN = "may_have_run"
    MISMATCH = "mismatch"
    EXPIRED = "expired"
    STORE_FULL = "store_full"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer that is stored for repetitions of its request.

    Attributes:
      status: HTTP status.
      headers: Header names and values.
      body: Whole body.
      truncated: Whether the body was too large to store.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    truncated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """Durable record of a request with an idempotency key.

    Attributes:
      workspace: Workspace of the caller.
      key: Idempotency key.
      digest: Digest of the request.
      owner: Router incarnation that claimed the key.
      state: CLAIMED, ANSWERED or MAY_HAVE_RUN.
      answer: Stored answer, if ANSWERED.
      claimed_s: Leader-counted clock at the claim, in seconds.
    """

    workspace: str
    key: str
    digest: str
    owner: str
    state: KeyState
    answer: StoredAnswer | None
    claimed_s: float


# ---------------------------------------------------------------------------
# Replicated state
# ---------------------------------------------------------------------------


class RolloutPhase(enum.StrEnum):
    """Phase of a rollout."""

    TRIAL = "trial"
    RAMPING = "ramping"
    WATCHING = "watching"
    DONE = "done"
    TAKEN_BACK = "taken_back"


@dataclasses.dataclass(frozen=True, slots=True)
class Exposure:
    """Requests that were granted since the start of a rollout.

    Attributes:
      requests: Requests of the service on all versions.
      to_candidate: Requests on the new version, included in `requests`.
    """

    requests: int = 0
    to_candidate: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ExposureRow:
    """Exposure of the new version of a service.

    Attributes:
      service: Service.
      version: New version.
      exposure: Requests since the start of its rollout.
    """

    service: str
    version: str
    exposure: Exposure


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """State of a rollout.

    Attributes:
      plan: Plan as it was declared.
      old_version: Version that received the traffic before the start.
      phase: Current phase.
      share: Share of traffic for the new version, from 0 to 1.
      elapsed_s: Leader-counted time since the start, in seconds.
      phase_elapsed_s: Leader-counted time since the last change of phase or
        share, in seconds.
      reason: Reason for the last transition.
      exposure: Requests granted since the start, as of the last checkpoint.
    """

    plan: RolloutPlan
    old_version: str
    phase: RolloutPhase
    share: float
    elapsed_s: float = 0.0
    phase_elapsed_s: float = 0.0
    reason: str = ""
    exposure: Exposure = Exposure()


class OrderState(enum.StrEnum):
    """State of an order to a model engine.

    An outstanding order may still reach the engine. All other states are final.
    """

    OUTSTANDING = "outstanding"
    APPLIED = "applied"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    RESTARTED = "restarted"
    LOST = "lost"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """Order to a model engine to load a version.

    Attributes:
      service: Service of the engine.
      server_id: Backend server id of the engine.
      incarnation: Incarnation of the engine that the order is for.
      version: Version to load.
      fencing: Fencing number; no two orders have the same.
      checks_fencing: Whether the engine refuses old fencing numbers.
      issuer: Period of leadership that issued the order.
      state: State of the order.
      reason: Why it is in this state.
      controller: Node id of the controller that issued it; empty if unknown.
    """

    service: str
    server_id: str
    incarnation: str
    version: str
    fencing: int
    checks_fencing: bool
    issuer: str
    state: OrderState = OrderState.OUTSTANDING
    reason: str = ""
    controller: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OperationOutcome:
    """Answer to an operator's command, stored for repetitions of the command.

    Attributes:
      operation: Operation id chosen by the operator's program.
      accepted: Whether the command took effect.
      number: Environment number after the command, or the current one.
      winner: Operator whose earlier command changed the expected number, if
        the command was rejected.
      message: Text for the operator.
    """

    operation: str
    accepted: bool
    number: int
    winner: str = ""
    message: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CounterRow:
    """Fairness counter of a workspace at a service, in cost per weight.

    The row with an empty workspace holds the virtual time of the service.
    """

    service: str
    workspace: str
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class UsageCount:
    """Requests of a workspace in one usage window.

    Attributes:
      workspace: Workspace.
      count: Requests whose answers began in the window.
    """

    workspace: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class WindowUsage:
    """Requests that one router has counted in one usage window.

    Attributes:
      window: Number of the window since 1970-01-01.
      counts: Counts so far of the workspaces that changed.
    """

    window: int
    counts: tuple[UsageCount, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DutyHolder:
    """Who holds a duty.

    Attributes:
      duty: The duty.
      token: Fencing token; grows with each acquisition.
      node_id: Node id of the controller, which is bound to its disk.
      name: Name of the controller at the provider.
      issuer: Period of leadership that acquired the duty.
    """

    duty: Duty
    token: int
    node_id: str
    name: str
    issuer: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedWindow:
    """A usage window whose counts are final.

    Attributes:
      window: Number of the window.
      counts: Counts by workspace; empty once the provider has accepted them.
      accepted: Whether the provider has accepted them.
    """

    window: int
    counts: tuple[UsageCount, ...] = ()
    accepted: bool = False


@dataclasses.dataclass(frozen=True)
class ReplicatedState:
    """State that every controller derives from the committed log.

    Attributes:
      number: Number of the environment; grows by one with each accepted change.
      operator: Operator who made the last accepted change.
      environment: Environment document; None before the first one.
      drained: Ids of drained data centres.
      rollouts: Rollouts by id, at most one unfinished per service.
      versions: Version that receives the traffic, by service id.
      keys: Idempotency records by (workspace, key).
      key_floors: Latest date among the removed keys of each workspace, in Unix
        seconds as written by the caller, by workspace.
      outcomes: Outcomes of operators' commands by operation id, in order of
        arrival.
      refused_digests: Request digests and prompt parts that are refused because
        they crash servers; see `operations.crashes`.
      counters: Fairness counters by (service, workspace).
      routers: Router incarnations at the last checkpoint.
      clock_s: Leader-counted clock at the last checkpoint, in seconds. Each
        leader adds the time that it measures on its monotonic clock, so the
        clock stands still while there is no leader.
      controllers: Controllers that were added by a repair, by node id; others
        are in the settings of each process.
      takers: Operator whose change was accepted, by the environment number
        before the change.
      rollout_order: Ids of `rollouts` in order of their start.
      outcome_order: Operation ids by sequence, from `outcome_first` up to but
        not including `outcome_next`.
      digest_order: `refused_digests`, oldest first.
      key_order: (workspace, key) by sequence of the claim, from `key_first` up
        to but not including `key_next`; released keys leave gaps.
      key_sequences: Sequence of the claim by (workspace, key).
      stored_bytes: Size of the stored answers.
      orders: Latest order to each model engine, by server id.
      fencing: Highest fencing number that was assigned or shown by an engine.
      known_routers: `KnownRouter` by node id.
      departures: Leader-counted clock, in seconds, at which a backend server
        was noted as leaving, by (server id, incarnation).
      duties: `DutyHolder` by duty.
      usage: `RecordedWindow` by number of the window.
      usage_floor: Highest number of a window that is no longer kept; no window
        up to it is recorded again.
    """

    number: int = 0
    operator: str = ""
    environment: Environment | None = None
    drained: frozenset[str] = frozenset()
    rollouts: immutables.Map = immutables.Map()
    versions: immutables.Map = immutables.Map()
    keys: immutables.Map = immutables.Map()
    key_floors: immutables.Map = immutables.Map()
    outcomes: immutables.Map = immutables.Map()
    refused_digests: frozenset[str] = frozenset()
    counters: immutables.Map = immutables.Map()
    routers: frozenset[str] = frozenset()
    clock_s: float = 0.0
    controllers: immutables.Map = immutables.Map()
    takers: immutables.Map = immutables.Map()
    rollout_order: tuple[str, ...] = ()
    outcome_order: immutables.Map = immutables.Map()
    outcome_first: int = 0
    outcome_next: int = 0
    digest_order: tuple[str, ...] = ()
    key_order: immutables.Map = immutables.Map()
    key_sequences: immutables.Map = immutables.Map()
    key_first: int = 0
    key_next: int = 0
    stored_bytes: int = 0
    orders: immutables.Map = immutables.Map()
    fencing: int = 0
    known_routers: immutables.Map = immutables.Map()
    departures: immutables.Map = immutables.Map()
    duties: immutables.Map = immutables.Map()
    usage: immutables.Map = immutables.Map()
    usage_floor: int = 0


# ---------------------------------------------------------------------------
# Consensus
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the replicated log.

    Attributes:
      index: Position, from 1.
      term: Term of the leader that created it.
      command: Encoded command; empty for a leader's first entry.
      members: Node ids of the voting members from this entry on; None if the
        entry does not change them.
      disks: Disk ids with which `members` may vote, in the same order.
    """

    index: int
    term: int
    command: bytes
    members: tuple[str, ...] | None = None
    disks: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State up to and including one log entry.

    Attributes:
      index: Index of the last entry included.
      term: Term of that entry.
      members: Node ids of the voting members at that entry.
      state: Encoded replicated state.
      disks: Disk ids with which `members` may vote, in the same order.
    """

    index: int
    term: int
    members: tuple[str, ...]
    state: bytes
    disks: tuple[str, ...] = ()


# ---------------------------------------------------------------------------
# Scheduler
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class RouterRef:
    """A router incarnation that is connected to the leader."""

    node_id: str
    incarnation: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRouter:
    """A router as recorded in the replicated state.

    Attributes:
      node_id: Node id.
      data_centre: Data centre.
      number: Number of the environment in force when the record was written.
      lost_s: Leader-counted clock at its last report; None while connected.
    """

    node_id: str
    data_centre: str
    number: int
    lost_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class VersionShare:
    """How the traffic of a service is divided between two versions.

    Attributes:
      current: Current version, which receives the rest of the traffic.
      candidate: Candidate version of a rollout; empty if there is none.
      share: Share of the candidate version, from 0 to 1.
      overflow: Whether the candidate version also receives requests beyond its
        share while the current version has no free slot.
      exposure: Requests granted since the start of the rollout, as of the last
        checkpoint. A new leader counts on from here.
      max_exposure: Share of these requests that the candidate version may get;
        1 sets no limit.
      exposure_reserve: Number of requests that it may get beyond that share.
    """

    current: str
    candidate: str = ""
    share: float = 0.0
    overflow: bool = False
    exposure: Exposure = Exposure()
    max_exposure: float = 1.0
    exposure_reserve: int = 0


@dataclasses.dataclass(frozen=True)
class Policy:
    """Scheduling rules, derived from the replicated state.

    Attributes:
      environment: Environment in force.
      drained: Drained data centres.
      shares: `VersionShare` by service id.
      refused_digests: Request digests that are refused.
    """

    environment: Environment
    drained: frozenset[str] = frozenset()
    shares: immutables.Map = immutables.Map()
    refused_digests: frozenset[str] = frozenset()


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class RequestSample:
    """Result of one granted request, for the judgement of a rollout.

    Attributes:
      service: Service.
      route: Route.
      data_centre: Data centre of the backend server.
      version: Version of the backend server.
      server_id: Backend server.
      outcome: How the request ended; None if its answer has begun.
      first_byte_ms: Time from dispatch to the first answer byte.
      duration_ms: Time from dispatch to the end.
      at_ms: Time of the result on the leader's monotonic clock.
      load: Requests in flight on the server at the time of the grant, this one
        included; 0 if not known.
      expected_ms: Time to the first byte that the leader expected of any
        version at the time of the grant; 0 if not known.
      was_cold: Whether the server announced at the time of the grant that it
        was cold; None if servers of the service do not announce it.
      latency_known: Whether an earlier sample has told the latency.
    """

    service: str
    route: str
    data_centre: str
    version: str
    server_id: str
    outcome: Outcome | None
    first_byte_ms: float
    duration_ms: float
    at_ms: int
    load: int = 0
    expected_ms: float = 0.0
    was_cold: bool | None = None
    latency_known: bool = False


def evolve(row: Any, **changes: Any) -> Any:
    """Returns a copy of a row of the scheduler with some attributes changed.

    It is a faster `dataclasses.replace` for a class without slots and without
    conversions in its initialiser. The initialiser of a frozen class sets each
    attribute through `object.__setattr__`, which takes 14 us for a `ServerRow`,
    several times for each request. The names of attributes are not checked.

    Args:
      row: Row of a frozen data class without slots.
      **changes: New values by attribute.

    Returns:
      The changed copy.
    """
    copy = object.__new__(type(row))
    object.__setattr__(copy, "__dict__", {**row.__dict__, **changes})
    return copy


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """Fairness account of a workspace at a service.

    The account with an empty workspace belongs to the service itself: its
    counter is the service's virtual time, the lowest counter of a backlogged
    workspace at the latest grant.

    Attributes:
      counter: Fairness counter, in cost per weight.
      mean_cost: Running mean of the actual cost; 0 while no cost is known.
      largest_cost: Largest recent actual cost; 0 while no cost is known.
      grants_in_use: Number of grants in use.
    """

    counter: float = 0.0
    mean_cost: float = 0.0
    largest_cost: float = 0.0
    grants_in_use: int = 0


@dataclasses.dataclass(frozen=True)
class SlotLimit:
    """Slot limit of a backend server.

    Attributes:
      limit: Maximum number of grants in use at once.
      announced_slots: Announced slots, the maximum of the limit.
      good_completions: Consecutive good completions since the limit last
        changed.
      failures: Consecutive failures.
      cut_ms: Time of the last cut; results of older grants do not count.
      answered_ms: Time of the first answer after the start or last cut; -1
        without one.
      slow_ratios: Consecutive latencies far above the median, as multiples of
        the median.
      slow_since_ms: Time of the first of these latencies.
      latest_ratio: Latest latency as a multiple of the median.
      latest_ratio_ms: Time of the latest latency.
    """

    limit: int
    announced_slots: int
    good_completions: int = 0
    failures: int = 0
    cut_ms: int = -1
    answered_ms: int = -1
    slow_ratios: tuple[float, ...] = ()
    slow_since_ms: int = 0
    latest_ratio: float = 0.0
    latest_ratio_ms: int = -1


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class LatencyMedian:
    """Running median of the time to the first byte, in milliseconds."""

    median_ms: float
    count: int = 1


@dataclasses.dataclass(frozen=True)
class PrefixCache:
    """Prompt prefixes that a backend server has cached, as far as known.

    Attributes:
      last: Sequence of the last cache event; None before the first one.
      stored: Number of the store event by prefix.
      order: Prefix by number of the store event.
      oldest: Lowest number that may still be in `order`.
      added: Number of the next store event.
    """

    last: int | None = None
    stored: immutables.Map = immutables.Map()
    order: immutables.Map = immutables.Map()
    oldest: int = 0
    added: int = 0


@dataclasses.dataclass(frozen=True)
class PromptCache:
    """Parts of prompts that a model engine has read recently.

    The leader derives it from its own grants, without reports of the engine.
    The least recently read part is dropped first.

    Attributes:
      uses: Number of the latest use, and tokens, by part.
      order: Part by number of its latest use.
      oldest: Lowest number that may still be in `order`.
      next: Number of the next use.
      tokens: Total number of tokens of all parts.
    """

    uses: immutables.Map = immutables.Map()
    order: immutables.Map = immutables.Map()
    oldest: int = 0
    next: int = 0
    tokens: int = 0


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class EngineReservation:
    """Capacity of a model engine that one grant takes.

    Attributes:
      unread_tokens: Tokens of the prompt that the engine has to read.
      memory_tokens: Tokens of prompt and expected output.
      tokens_ahead: Tokens that the engine had to read before the answer could
        begin, those of the prompt included.
      answer_started: Whether the answer has begun; the engine has then read
        the whole prompt.
      uncached_parts: Parts of the prompt that the engine had not cached before.
      is_held_up: Whether the engine has read a later prompt first, so that this
        one is still on its way and does not count as unread.
    """

    unread_tokens: int
    memory_tokens: int
    tokens_ahead: int
    answer_started: bool = False
    uncached_parts: tuple[str, ...] = ()
    is_held_up: bool = False


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Load of a model engine, from the leader's grants.

    Attributes:
      reservations: `EngineReservation` by grant key.
      unread_tokens: Tokens of prompts whose answers have not begun.
      first_unread_tokens: Tokens of the first prompt in reading order, included
        in `unread_tokens`.
      reading_since_ms: Time at which the engine began to read that prompt.
      used_tokens: Memory that running requests take, in tokens.
      cache: Parts of prompts that the engine has read or is about to read.
      reading_grants: Key of the grant whose prompt contains a part that the
        engine has not read yet, by part.
    """

    reservations: immutables.Map = immutables.Map()
    unread_tokens: int = 0
    first_unread_tokens: int = 0
    reading_since_ms: int = 0
    used_tokens: int = 0
    cache: PromptCache = PromptCache()
    reading_grants: immutables.Map = immutables.Map()


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class RunningMean:
    """Running mean of weighted samples.

    Attributes:
      value: The mean.
      weight: Sum of the weights of its samples, up to a limit that sets how
        fast old samples lose influence.
    """

    value: float
    weight: float


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class ServerSpeed:
    """Speed of one incarnation of a backend server.

    Attributes:
      read_rate: Prompt tokens that a model engine reads per millisecond; None
        until it is measured.
      started_ms: Time of the latest answer that began at the engine in the
        order of the prompts; -1 without one.
      read_tokens: Tokens that the engine has read since the latest sample of
        `read_rate`, as far as they can be timed.
      read_ms: Time in which it read them, in milliseconds.
      time_factor: Time of a request at the server, as a multiple of the mean of
        the service on the same route; None until it is measured.
      timed_ms: Time of the latest sample of `time_factor`.
      slowness: Time that work takes there, as a multiple of the normal time,
        as the server said last.
      slowness_ms: Time at which it said so.
    """

    read_rate: RunningMean | None = None
    started_ms: int = -1
    read_tokens: int = 0
    read_ms: float = 0.0
    time_factor: RunningMean | None = None
    timed_ms: int = 0
    slowness: float = 1.0
    slowness_ms: int = 0


@dataclasses.dataclass(frozen=True)
class ServerRow:
    """A backend server as the leader knows it.

    Attributes:
      announcement: Latest announcement, without cache events.
      announced_ms: Time of the latest announcement of this incarnation.
      slot_limit: Slot limit.
      key: Number that decides between servers of equal load.
      grants: Grants in use, by (term, id).
      orphans: Requests of lost or unknown routers that may still run.
      orphans_ms: Time from which announcements may lower `orphans`.
      max_orphans: Upper bound of orphans according to the latest announcement.
      lost_grants: Grants of lost routers among the orphans.
      paused: Whether grants are withheld until the orphans are settled.
      blocked: Whether the server gets no grants because of connect failures.
      blocked_ms: Time of the latest connect failure that was counted.
      connect_failures: Number of consecutive connect failures that were
        counted.
      stale: Whether the announcement is stale.
      isolated_grant: Grant that runs isolated on the server, if any.
      reserved_for_isolation: Whether the server gets no other grants until an
        isolated request can run on it.
      former_incarnations: Former incarnations, the latest last.
      former_claims: Announcements of a former incarnation, as (incarnation,
        time), since the current one was last seen.
      prefix_cache: Known prompt prefixes.
      load: Load of a model engine.
      cold_until_ms: End of the time for which the server is cold, or may be.
      warm_doubted_until_ms: Time until which an announcement that it is warm
        may predate the restoration of its data centre.
      cold_credit: Number of requests that it may get at once while it is cold.
      cold_credit_ms: Time at which `cold_credit` was computed.
      cold_limit_reached: Whether it gets no request until its credit has grown.
      rate_limit: Limit that it named in its answers; None if there is none.
      speed: Its speed, as learned and as it said itself.
      connected: Time of the latest grant by router, kept if the server
        announces a limit of connections.
    """

    announcement: Announcement
    announced_ms: int
    slot_limit: SlotLimit
    key: int
    grants: immutables.Map = immutables.Map()
    orphans: int = 0
    orphans_ms: int = 0
    max_orphans: int | None = None
    lost_grants: immutables.Map = immutables.Map()
    paused: bool = False
    blocked: bool = False
    blocked_ms: int = -1
    connect_failures: int = 0
    stale: bool = False
    isolated_grant: tuple[int, int] | None = None
    reserved_for_isolation: bool = False
    former_incarnations: tuple[str, ...] = ()
    former_claims: tuple[tuple[str, int], ...] = ()
    prefix_cache: PrefixCache = PrefixCache()
    load: EngineLoad = EngineLoad()
    cold_until_ms: int = 0
    warm_doubted_until_ms: int = 0
    cold_credit: float = 0.0
    cold_credit_ms: int = 0
    cold_limit_reached: bool = False
    rate_limit: "RateLimit | None" = None
    speed: ServerSpeed = ServerSpeed()
    connected: immutables.Map = immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate at which a backend server takes requests, as it said itself.

    Attributes:
      requests_per_s: Requests per second from all routers together.
      told_ms: Time of the last answer that named it.
      credit: Number of requests that the server may get at once.
      credit_ms: Time at which `credit` was computed.
      reached: Whether it gets no request until its credit has grown.
    """

    requests_per_s: float
    told_ms: int
    credit: float
    credit_ms: int
    reached: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FirstByteForecast:
    """Forecast of the first byte of an answer, made when a request arrived.

    Attributes:
      since_ms: Time at which the caller's request arrived at its router, on the
        leader's clock.
      expected_ms: Expected time from then to the first byte.
      target_ms: Latency target.
    """

    since_ms: int
    expected_ms: float
    target_ms: int


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """A queued request in the leader's tables.

    Attributes:
      router: Node id of its router.
      request: The request.
      arrival_number: Number in order of arrival from all routers.
      arrived_ms: Time of arrival at the leader.
      forecast: Forecast from which the error of forecasts is learned; None if
        it is not.
      kept_ms: Time after its arrival for which a request is kept although it
        may be late; 0 for others.
    """

    router: str
    request: QueuedRequest
    arrival_number: int
    arrived_ms: int
    forecast: FirstByteForecast | None = None
    kept_ms: int = 0


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class RequestQueue:
    """Queued requests in order of arrival.

    Attributes:
      entries: `QueueEntry` by position.
      head: Lowest position that may be in use.
      tail: Next free position.
    """

    entries: immutables.Map = immutables.Map()
    head: int = 0
    tail: int = 0


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class QueuePosition:
    """Position of a queued request.

    Attributes:
      service: Service.
      workspace: Workspace; empty for the queue of requests that run isolated.
      avoided_servers: Servers that the requests of the queue avoid; key of the
        queue within the workspace.
      index: Index in the queue.
    """

    service: str
    workspace: str
    avoided_servers: tuple[str, ...]
    index: int


@dataclasses.dataclass(frozen=True)
class PoolRow:
    """State of a service in the scheduler.

    Attributes:
      server_counts: Number of servers by (version, data centre).
      usable_count: Number of servers that are neither stale nor departing.
      reserved_server: Server that is reserved for an isolated request; empty
        if there is none.
      isolated_grants: Grants that run isolated on a server.
      paused_servers: Servers that are paused to settle their orphans.
      candidate: Version to which `candidate_credit` belongs.
      candidate_credit: Fraction of a request that the candidate version is
        owed.
      exposure: Requests granted since the start of the rollout to `candidate`.
      no_server_since_ms: Time since which no server is usable.
      read_rate: Prompt tokens that an engine reads per millisecond, as a
        running mean; 0 if it is not known yet.
      unread_share: Share of the prompts that engines had not cached and had to
        read, as a running mean.
      run_ms: Time for which a request takes a place of an engine, as a running
        mean; 0 if it is not known yet.
      route_ms: `RunningMean` of the time of a request by route, in
        milliseconds; empty for model engines.
      uneven_until_ms: Time until which requests are placed by the expected time
        of their completion, as servers are known to differ in speed.
    """

    server_counts: immutables.Map = immutables.Map()
    usable_count: int = 0
    reserved_server: str = ""
    isolated_grants: immutables.Map = immutables.Map()
    paused_servers: immutables.Map = immutables.Map()
    candidate: str = ""
    candidate_credit: float = 0.0
    exposure: Exposure = Exposure()
    no_server_since_ms: int = 0
    read_rate: float = 0.0
    unread_share: float = 1.0
    run_ms: float = 0.0
    route_ms: immutables.Map = immutables.Map()
    uneven_until_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTraffic:
    """Requests for a service from the routers of a data centre.

    All counts begin with the present leader. Second copies of running requests
    are not counted.

    Attributes:
      arrived: Number of requests, refused ones included.
      tokens: Tokens of their prompts.
      refused: Number of requests that were refused because no server could
        serve them in time.
    """

    arrived: int = 0
    tokens: int = 0
    refused: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPause:
    """Time for which a server wants no requests of one router.

    Attributes:
      incarnation: Incarnation of the server.
      until_ms: End of the pause.
    """

    incarnation: str
    until_ms: int


@dataclasses.dataclass(frozen=True)
class RouterRow:
    """A router as the leader knows it.

    Attributes:
      ref: Incarnation of the router.
      queue_positions: Queue position of each queued request by sequence.
      grants: Grants in use, by (term, id).
      sent_ms: Time of its latest report on the router's own clock.
      reported_ms: Time of its latest report.
      unlisted: Grants that the router did not list after a reconnect.
      connected: Whether the router is connected.
    """

    ref: RouterRef
    queue_positions: immutables.Map = immutables.Map()
    grants: immutables.Map = immutables.Map()
    sent_ms: int = 0
    reported_ms: int = 0
    unlisted: immutables.Map = immutables.Map()
    connected: bool = True


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class GrantRow:
    """A grant in use.

    Attributes:
      router: Node id of the router.
      server_id: Backend server.
      incarnation: Incarnation of the server that the grant counts against.
      version: Version of the backend server.
      data_centre: Data centre of the backend server.
      workspace: Workspace.
      service: Service.
      route: Route.
      digest: Digest of the request.
      parts: Parts of its prompt that other requests may share, as crash
        suspects.
      expected_ms: Time to the first byte that was expected at the grant; 0 if
        not known.
      was_cold: Whether the server announced then that it was cold; None if
        servers of the service do not announce it.
      forecast: Forecast made when its request arrived; None if nothing is
        learned from it.
      weight: Weight of the workspace at the time of the grant.
      charged: Cost charged so far.
      cost: Cost reported so far.
      granted_ms: Time of the grant.
      echo_ms: Time on the router's clock from which the lifetime of the grant
        counts.
      running: Whether the router has reported the grant in use.
      charged_to_candidate: Whether the grant was charged to the share of the
        candidate version.
      candidate_share: Share of the candidate version at the time of the grant.
      candidate: Candidate version in whose exposure the grant counts; empty
        outside a rollout.
      orphaned: Whether its router is lost.
      server_load: Requests in flight on the server at the time of the grant,
        this one included; 0 if a former leader made the grant.
    """

    router: str
    server_id: str
    incarnation: str
    version: str
    data_centre: str
    workspace: str
    service: str
    route: str
    digest: str
    weight: float
    charged: float
    granted_ms: int
    echo_ms: int
    cost: float = 0.0
    running: bool = False
    charged_to_candidate: bool = False
    candidate_share: float = 0.0
    orphaned: bool = False
    server_load: int = 0
    candidate: str = ""
    parts: tuple[str, ...] = ()
    expected_ms: float = 0.0
    was_cold: bool | None = None
    forecast: FirstByteForecast | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunningCount:
    """Granted requests of a version that have not ended.

    Attributes:
      requests: Number of the requests.
      oldest_ms: Time since the oldest of their grants.
    """

    requests: int
    oldest_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenConnections:
    """Requests whose connection to one server incarnation broke.

    Attributes:
      digests: Digests of the requests.
      reported_ms: Time of the latest report.
      had_other_grants: Whether other grants were in use on the server as well.
    """

    digests: tuple[str, ...]
    reported_ms: int
    had_other_grants: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenRun:
    """Run of a request whose connection broke.

    Attributes:
      server_id: Backend server.
      incarnation: Incarnation of the server.
      sent_ms: Time of the dispatch.
      broken_ms: Time at which the connection broke.
    """

    server_id: str
    incarnation: str
    sent_ms: int
    broken_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSuspicion:
    """Evidence against a request digest or a prompt part.

    Attributes:
      unjudged_servers: Server incarnations whose connection broke and that may
        have crashed, as (server id, incarnation).
      crashed_servers: Crashed server incarnations.
      isolated_crashes: Number of these crashes without another request on the
        server.
      updated_ms: Time of the latest evidence.
      isolated_grant: Grant of an isolated run of the digest, if any.
      runs: One run for each of these servers.
    """

    unjudged_servers: tuple[tuple[str, str], ...] = ()
    crashed_servers: tuple[tuple[str, str], ...] = ()
    isolated_crashes: int = 0
    updated_ms: int = 0
    isolated_grant: tuple[int, int] | None = None
    runs: tuple[BrokenRun, ...] = ()


@quick_init
@dataclasses.dataclass(frozen=True, slots=True)
class GrantDecision:
    """A grant to send to a router."""

    router: str
    grant: Grant
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerEvent:
    """A log line of the scheduler that is neither a grant nor a refusal."""

    name: str
    reason: str
    fields: immutables.Map = immutables.Map()
