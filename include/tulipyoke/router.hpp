// The interface of tulipyoke: what a gateway tells a Router and what the Router asks it to do.
// Plain data only. Every decision is in src/rules.cpp. All times are microseconds.
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

enum class Freshness { kAny, kBounded, kSession, kFresh, kWrite };
enum class Idempotency { kIdempotent, kWithKey, kNone };
enum class RetryScope { kAll, kZone, kCell };
enum class StalenessGuard { kOff, kReject, kWait };
enum class TokenMode { kRemembered, kCarried };
enum class ListedRole { kNever, kInitial, kDelayed };
enum class LoadReportSource { kOff, kResponses, kHealthChecks };

struct ClassSettings {
  std::string name;
  Freshness freshness = Freshness::kAny;
  Micros staleness_bound = 0;  // of a kBounded class
  Micros latency_objective = 0;
  Micros deadline = 0;
  double priority_weight = 0;
  double late_weight = 0;
  Idempotency idempotency = Idempotency::kIdempotent;
  RetryScope retry_scope = RetryScope::kAll;
  Micros retry_window = 0;
  bool streaming = false;
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // of all gateways together
  double share = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  StalenessGuard staleness_guard = StalenessGuard::kOff;
  Micros catch_up_wait = 0;
  TokenMode token_mode = TokenMode::kRemembered;
  ListedRole listed_role = ListedRole::kNever;
  Micros position_epoch = 0;        // clock time from which positions count
  bool poll_endpoint_list = false;  // changes come only after Watch or Fetch
  LoadReportSource load_report_source = LoadReportSource::kOff;
  std::vector<std::string> report_fields;
  bool reports_are_floats = true;  // a position in a report may then have been rounded up
  bool cancel_allowed = false;
  bool health_checks_allowed = false;
  bool hedging_allowed = false;
  bool retry_after = false;
  Micros max_retry_after = 0;
  int max_attempts = 0;  // 0: no limit stated
  Micros response_slack = 0;
  Micros max_list_age = 0;
  double slow_start_fraction = 0;
  Micros slow_start_window = 0;
  double overload_multiple = 0;
  Micros overload_window = 0;
  Micros drain_timeout = 0;
  bool only_draining_binds = false;
  double over_quota_weight = 1;
  double health_check_cost = 0;
  double cross_zone_cost = 0;
  double waste_cost = 0;
  Micros clock_resolution = 0;
  int router_count = 1;
  int router_index = 0;
  int zone = 0;
};

// What a server said of itself: the fields of Settings::report_fields, in their order.
using Report = std::vector<double>;

enum class Role { kUnknown, kPrimary, kReplica };
enum class ServerState { kGone, kReady, kDraining };
enum class Status {
  kOk,
  kStaleOrWrongRole,
  kError,
  kOverloaded,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent
};

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

// Events.
struct RequestArrived {
  RequestId id = 0;
  int class_index = 0;
  int tenant = 0;
  int group = 0;
  std::uint64_t key = 0;
  Micros remaining = 0;
  double ms_since_write = 0;  // with TokenMode::kCarried; 0: no write
  bool is_retry = false;
};
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  ServerId server = 0;
  Status status = Status::kOk;
  Micros elapsed = 0;
  bool request_ended = false;
  Role role = Role::kUnknown;
  std::optional<std::int64_t> position_ms;  // or the commit of a write that went through
  Report report;
};
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
enum class EndpointListKind { kDelta, kFull, kCached, kFailed };
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::kFull;
  std::uint64_t version = 0;
  std::vector<EndpointEntry> entries;
};
struct TimerFired {
  std::uint64_t token = 0;
};
struct RequestCancelled {
  RequestId id = 0;
};
struct PeerMessage {
  int from = 0;
  std::string bytes;
};
// What another process of this router, which takes over from this one or is taken over, has been told.
struct SessionCommit {
  std::uint64_t key = 0;  // 0: whatever sessions of the group are not named
  int group = 0;
  std::int64_t position_ms = 0;
};
struct ServerObservation {
  ServerId server = 0;
  Role role = Role::kUnknown;
  Micros role_time = 0;
  std::int64_t position_ms = 0;  // not after the origin: none
};
// False: writes of sessions may have been answered that are not told yet. True again: all are known, or, with
// `lost`, never will be.
struct SessionSync {
  bool complete = true, lost = false;
};
using Event =
    std::variant<RequestArrived, AttemptEnded, ResponseStarted, HealthCheckEnded, EndpointListUpdate,
                 TimerFired, RequestCancelled, PeerMessage, SessionCommit, ServerObservation, SessionSync>;

// Actions.
struct Send {
  RequestId id = 0;
  ServerId server = 0;
  Micros timeout = 0;  // 0: until the client gives up
};
struct Reject {
  RequestId id = 0;
  Micros retry_after = 0;  // 0: no advice
};
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

// One gateway's router. Not thread-safe; nothing is shared between Routers.
class Router {
 public:
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Takes one event at the clock time `now` and appends what is to be done, in order. The first event
  // of a Router is EndpointListUpdate.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);
  // Whether it now passes over a server that it knows: it drains, is suspect or is left alone for a while.
  bool avoids(Micros now, ServerId server) const;
  // What it knows of that session's writes, or with 0 of all of them.
  std::vector<SessionCommit> known_commits(std::uint64_t key) const;
  ServerObservation observation(ServerId server) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_ROUTER_HPP_
