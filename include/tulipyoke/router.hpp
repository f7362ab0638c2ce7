// The public interface of the decision module: the events that a Router takes and the actions that it
// returns. The types hold plain data; the decisions are made in src/policy/. All times are in microseconds.
#ifndef TULIPYOKE_ROUTER_HPP_
#define TULIPYOKE_ROUTER_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tulipyoke {

using Micros = std::int64_t;
using RequestId = std::uint64_t;
using ServerId = std::uint32_t;

// ---- Settings ----

// The data that a request must see: any version; data within a staleness bound; the writes of its own
// session; all writes (only the primary serves these reads). kWrite: the request is a write.
enum class Freshness { kAny, kBounded, kSession, kFresh, kWrite };
// Whether a request may be executed twice: always; within a time window with its idempotency key; never.
enum class Idempotency { kIdempotent, kWithKey, kNone };
// The routers that share knowledge of a request's idempotency key.
enum class RetryScope { kAll, kZone, kCell };
// What a replica does with a read that needs a newer position than it has applied: it does not check; it
// rejects the read; or it first waits up to Settings::catch_up_wait.
enum class StalenessGuard { kOff, kReject, kWait };
// Whether the router stores the position of a session's writes or the client sends it with each request.
enum class TokenMode { kStoredByRouter, kSentByClient };
// Whether the endpoint list names the primary: never, only at startup, or with a delay.
enum class ListedRole { kNever, kInitial, kDelayed };
// How servers report their load: not at all, with each response, or with health checks.
enum class LoadReportSource { kOff, kResponses, kHealthChecks };

// The settings of a request class.
struct ClassSettings {
  std::string name;
  Freshness freshness = Freshness::kAny;
  Micros staleness_bound = 0;    // only for Freshness::kBounded
  Micros latency_objective = 0;  // a response within it has its full value
  Micros deadline = 0;           // a response after it has no value
  double priority_weight = 0;    // the value of a response within the objective
  double late_weight = 0;        // the fraction of that value which a later response has
  Idempotency idempotency = Idempotency::kIdempotent;
  RetryScope retry_scope = RetryScope::kAll;
  Micros retry_window = 0;  // only for Idempotency::kWithKey
  bool streaming = false;
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // across all routers
  double share = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  StalenessGuard staleness_guard = StalenessGuard::kOff;
  Micros catch_up_wait = 0;
  TokenMode token_mode = TokenMode::kStoredByRouter;
  ListedRole listed_role = ListedRole::kNever;
  Micros position_epoch = 0;        // clock time at which the position is 0
  bool poll_endpoint_list = false;  // updates come only after WatchEndpointList or FetchEndpointList
  LoadReportSource load_report_source = LoadReportSource::kOff;
  std::vector<std::string> report_fields;
  bool reports_are_floats = true;  // a reported position may have been rounded up
  bool cancel_allowed = false;
  bool health_checks_allowed = false;
  bool hedging_allowed = false;
  bool retry_after = false;  // whether a rejection may tell the client when to retry
  Micros max_retry_after = 0;
  int max_attempts = 0;            // per request; 0: no limit
  Micros response_slack = 0;       // how long after its deadline a request may still be answered
  Micros max_list_age = 0;         // 0: unknown
  double slow_start_fraction = 0;  // the fraction of its capacity that a server has when it starts
  Micros slow_start_window = 0;    // time from its start until it has full capacity
  double overload_multiple = 0;    // load that overloads a starting server, as a multiple of its capacity
  Micros overload_window = 0;      // the window over which that load is measured
  Micros drain_timeout = 0;        // how long a draining server keeps running at least
  bool use_gone_servers = false;   // servers listed as gone, or not listed, may still be used
  double over_quota_weight = 1;    // weight of responses to a tenant above its quota
  double health_check_cost = 0;    // costs in units of priority_weight
  double cross_zone_cost = 0;
  double waste_cost = 0;
  Micros clock_resolution = 0;
  int router_count = 1;  // number of routers that share the servers
  int router_index = 0;  // of this router
  int zone = 0;          // of this router
};

// A load report: the values of Settings::report_fields, in their order.
using Report = std::vector<double>;

enum class Role { kUnknown, kPrimary, kReplica };
enum class ServerState { kGone, kReady, kDraining };
// The outcome of an attempt or a health check.
enum class Status {
  kOk,
  kStaleOrWrongRole,  // the server lags too far, or is a replica that got a write; not executed
  kError,             // may have been executed
  kOverloaded,        // rejected by the server; not executed
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent  // its time ended before it could be sent
};

// One server in the endpoint list.
struct EndpointEntry {
  ServerId server = 0;
  int group = 0;
  int zone = 0;
  int kind = 0;
  ServerState state = ServerState::kGone;
  double capacity_hint = 0;
  Micros boot_time = 0;  // 0: unknown, taken as long ago
  bool listed_primary = false;
};

// ---- Events ----

struct RequestArrived {
  RequestId id = 0;
  int class_index = 0;
  int tenant = 0;
  int group = 0;
  std::uint64_t key = 0;      // identifies the session; 0: none
  Micros remaining = 0;       // until the client's deadline
  Micros waited = 0;          // time between its arrival and this event
  double ms_since_write = 0;  // with TokenMode::kSentByClient; 0: no write
  bool is_retry = false;
};
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;  // counts the attempts of the request from 0
  ServerId server = 0;
  Status status = Status::kOk;
  Micros elapsed = 0;
  bool request_ended = false;  // the client has its response or no longer waits
  Role role = Role::kUnknown;
  std::optional<std::int64_t> position_ms;  // applied by the server; after a write: its commit
  Report report;
};
// The first part of a response was sent to the client. The request ends with this attempt.
struct ResponseStarted {
  RequestId id = 0;
  int attempt = 0;
  ServerId server = 0;
};
struct HealthCheckEnded {
  ServerId server = 0;
  Status status = Status::kOk;
  Micros elapsed = 0;
  Report report;
};
// kDelta: some entries changed; kFull: the whole list; kCached: the list known before the start; kFailed: the
// list could not be fetched.
enum class EndpointListKind { kDelta, kFull, kCached, kFailed };
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::kFull;
  std::uint64_t version = 0;
  std::vector<EndpointEntry> entries;
};
// A timer set by SetTimer is due. If the token is a request's id, the time of that request is over.
struct TimerFired {
  std::uint64_t token = 0;
};
// The client has disconnected or cancelled.
struct RequestCancelled {
  RequestId id = 0;
};
struct PeerMessage {
  int from = 0;
  std::string bytes;
};
// The position of a session's newest write as another process of this router knows it: the process before or
// after this one in a hot restart.
struct SessionCommit {
  std::uint64_t key = 0;  // 0: all sessions of the group without an entry
  int group = 0;
  std::int64_t position_ms = 0;
};
// What another process of this router has observed about a server.
struct ServerObservation {
  ServerId server = 0;
  Role role = Role::kUnknown;
  Micros role_time = 0;
  std::int64_t position_ms = 0;  // 0 or less: unknown
};
// Whether this router knows all session writes that clients have a response for. With `lost`, the missing
// ones will never be known.
struct SessionSync {
  bool complete = true;
  bool lost = false;
};
using Event =
    std::variant<RequestArrived, AttemptEnded, ResponseStarted, HealthCheckEnded, EndpointListUpdate,
                 TimerFired, RequestCancelled, PeerMessage, SessionCommit, ServerObservation, SessionSync>;

// ---- Actions ----

// Send the request to the server. The attempts of a request are numbered from 0 in the order of these
// actions.
struct Send {
  RequestId id = 0;
  ServerId server = 0;
  Micros timeout = 0;  // 0: until the client gives up
};
// Tell the client that the request is safe to send again.
struct Reject {
  RequestId id = 0;
  Micros retry_after = 0;  // 0: the client is not told
};
// Tell the client that the request failed and may have been executed.
struct Fail {
  RequestId id = 0;
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
struct SetTimer {
  Micros delay = 0;
  std::uint64_t token = 0;
};
struct CheckHealth {
  ServerId server = 0;
};
struct CloseIdle {
  ServerId server = 0;
};
struct Gossip {
  std::optional<int> peer;  // none: all peers
  std::string bytes;
};
struct Log {
  std::string text;
};
struct WatchEndpointList {
  bool on = true;
};
struct FetchEndpointList {};
using Action = std::variant<Send, Reject, Fail, Cancel, SetTimer, CheckHealth, CloseIdle, Gossip, Log,
                            WatchEndpointList, FetchEndpointList>;

// Makes the routing decisions of one router process. Not thread-safe; Routers share no state.
class Router {
 public:
  // With the same settings, seed and events a Router returns the same actions.
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Handles one event at the clock time `now` and appends the resulting actions in order. The first event is
  // an EndpointListUpdate. Each request ends with one Reject, one Fail or an attempt that ends it.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);
  // Whether a known server is currently not selected: it is draining or gone, ejected, or in backoff.
  bool avoids(Micros now, ServerId server) const;
  // The known commits of one session; with key 0 those of all sessions and groups.
  std::vector<SessionCommit> known_commits(std::uint64_t key) const;
  ServerObservation observation(ServerId server) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_ROUTER_HPP_
