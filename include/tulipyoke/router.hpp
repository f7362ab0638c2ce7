// The interface of the decision module: the events that a Router is given and the actions that it returns.
// Plain data only. Every decision is in src/policy/. All times are microseconds.
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

// The data that a request must see: any, data not older than a bound, the writes of its own session, all
// writes (served by the primary), or that it writes itself.
enum class Freshness { kAny, kBounded, kSession, kFresh, kWrite };
// Whether a request may be executed twice: always, with its idempotency key within a window, or never.
enum class Idempotency { kIdempotent, kWithKey, kNone };
// The routers that know a request's idempotency key.
enum class RetryScope { kAll, kZone, kCell };
// What a replica does with a read that needs a newer position than it has: it does not check, it rejects the
// read, or it waits up to Settings::catch_up_wait first.
enum class StalenessGuard { kOff, kReject, kWait };
// Who keeps the position of a session's writes: the router, or the client with each request.
enum class TokenMode { kStoredByRouter, kSentByClient };
// Whether the endpoint list names the primary: never, at the start only, or with a delay.
enum class ListedRole { kNever, kInitial, kDelayed };
// How servers report their load: not at all, with each response, or with health checks.
enum class LoadReportSource { kOff, kResponses, kHealthChecks };

// A class of requests.
struct ClassSettings {
  std::string name;
  Freshness freshness = Freshness::kAny;
  Micros staleness_bound = 0;    // of a kBounded class
  Micros latency_objective = 0;  // an answer within it counts in full
  Micros deadline = 0;           // an answer after it counts nothing
  double priority_weight = 0;    // what an answer within the objective is worth
  double late_weight = 0;        // the part of that which a later answer is worth
  Idempotency idempotency = Idempotency::kIdempotent;
  RetryScope retry_scope = RetryScope::kAll;
  Micros retry_window = 0;  // of a kWithKey class
  bool streaming = false;
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // of all routers together
  double share = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  StalenessGuard staleness_guard = StalenessGuard::kOff;
  Micros catch_up_wait = 0;
  TokenMode token_mode = TokenMode::kStoredByRouter;
  ListedRole listed_role = ListedRole::kNever;
  Micros position_epoch = 0;        // clock time from which positions count
  bool poll_endpoint_list = false;  // updates come only after WatchEndpointList or FetchEndpointList
  LoadReportSource load_report_source = LoadReportSource::kOff;
  std::vector<std::string> report_fields;
  bool reports_are_floats = true;  // a position in a report may then have been rounded up
  bool cancel_allowed = false;
  bool health_checks_allowed = false;
  bool hedging_allowed = false;
  bool retry_after = false;  // whether a rejection may tell when to come back
  Micros max_retry_after = 0;
  int max_attempts = 0;            // of one request; 0: no limit
  Micros response_slack = 0;       // after its deadline a request is still answered within this time
  Micros max_list_age = 0;         // 0: not stated
  double slow_start_fraction = 0;  // of its capacity that a server has when it starts
  Micros slow_start_window = 0;    // after which it has all of it
  double overload_multiple = 0;    // of its capacity that overloads a server which warms up
  Micros overload_window = 0;      // over which that load is measured
  Micros drain_timeout = 0;        // after which a draining server may end
  bool use_gone_servers = false;   // servers that are listed as gone, or not at all, may still be used
  double over_quota_weight = 1;    // of answers to a tenant above its quota
  double health_check_cost = 0;    // prices, in units of priority_weight
  double cross_zone_cost = 0;
  double waste_cost = 0;
  Micros clock_resolution = 0;
  int router_count = 1;  // of all routers that share the servers
  int router_index = 0;  // of this one
  int zone = 0;          // of this one
};

// What a server said of itself: the fields of Settings::report_fields, in their order.
using Report = std::vector<double>;

enum class Role { kUnknown, kPrimary, kReplica };
enum class ServerState { kGone, kReady, kDraining };
// The outcome of an attempt or a health check.
enum class Status {
  kOk,
  kStaleOrWrongRole,  // the server is too far behind, or a replica that was sent a write; not executed
  kError,             // it may have been executed
  kOverloaded,        // the server rejected it; not executed
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent  // the time to send it had passed
};

// An entry of the endpoint list.
struct EndpointEntry {
  ServerId server = 0;
  int group = 0;
  int zone = 0;
  int kind = 0;
  ServerState state = ServerState::kGone;
  double capacity_hint = 0;
  Micros boot_time = 0;  // 0: long ago
  bool listed_primary = false;
};

// ---- Events: what has happened ----

struct RequestArrived {
  RequestId id = 0;
  int class_index = 0;
  int tenant = 0;
  int group = 0;
  std::uint64_t key = 0;      // the session; 0: none
  Micros remaining = 0;       // until the client gives up
  Micros waited = 0;          // from its arrival until this event
  double ms_since_write = 0;  // with TokenMode::kSentByClient; 0: no write
  bool is_retry = false;
};
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;  // of the request, from 0
  ServerId server = 0;
  Status status = Status::kOk;
  Micros elapsed = 0;
  bool request_ended = false;  // the request has its answer, or nobody waits for it
  Role role = Role::kUnknown;
  std::optional<std::int64_t> position_ms;  // or the commit of a write that was executed
  Report report;
};
// The first part of a response was sent to the client: the attempt's end ends the request.
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
// Some entries, the whole list, the list as it was known before the start, or that it could not be had.
enum class EndpointListKind { kDelta, kFull, kCached, kFailed };
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::kFull;
  std::uint64_t version = 0;
  std::vector<EndpointEntry> entries;
};
// A timer that was set by SetTimer is due; with a request's id, its time is over.
struct TimerFired {
  std::uint64_t token = 0;
};
// The client has left.
struct RequestCancelled {
  RequestId id = 0;
};
struct PeerMessage {
  int from = 0;
  std::string bytes;
};
// A write of a session that another process of this router has seen: the one which it takes over from, or the
// one which takes over from it.
struct SessionCommit {
  std::uint64_t key = 0;  // 0: all sessions of the group that are not named
  int group = 0;
  std::int64_t position_ms = 0;
};
// What another process of this router has seen of a server.
struct ServerObservation {
  ServerId server = 0;
  Role role = Role::kUnknown;
  Micros role_time = 0;
  std::int64_t position_ms = 0;  // not after the epoch: none
};
// Whether all writes of sessions that were answered are known here. With `lost`, those that are not known yet
// never will be.
struct SessionSync {
  bool complete = true;
  bool lost = false;
};
using Event =
    std::variant<RequestArrived, AttemptEnded, ResponseStarted, HealthCheckEnded, EndpointListUpdate,
                 TimerFired, RequestCancelled, PeerMessage, SessionCommit, ServerObservation, SessionSync>;

// ---- Actions: what is to be done ----

// Send the request to the server; its attempts are numbered from 0 in the order of these actions.
struct Send {
  RequestId id = 0;
  ServerId server = 0;
  Micros timeout = 0;  // 0: until the client gives up
};
// Answer that the request was not executed and may be sent again.
struct Reject {
  RequestId id = 0;
  Micros retry_after = 0;  // 0: not told
};
// Answer that the request failed and may have been executed.
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
  std::optional<int> peer;  // none: every peer
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

// Decides where the requests of one router process go. Not thread-safe; nothing is shared between Routers.
class Router {
 public:
  // The same seed and events give the same actions.
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Handles one event at the clock time `now` and appends what is to be done, in order. The first event is
  // an EndpointListUpdate. Each request gets one Reject or Fail, or an attempt that ends it.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);
  // Whether a known server is passed over: it drains, is ejected or is in a backoff.
  bool avoids(Micros now, ServerId server) const;
  // The known writes of one session, or with 0 of all sessions.
  std::vector<SessionCommit> known_commits(std::uint64_t key) const;
  ServerObservation observation(ServerId server) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_ROUTER_HPP_
