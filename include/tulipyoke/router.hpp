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
enum class Effect { kSafe, kKeyed, kUnsafe };
enum class RepeatGroup { kAll, kZone, kCell };
enum class Guards { kOff, kRefuse, kHold };
enum class TokenMode { kRemembered, kCarried };
enum class ListedRole { kNone, kStart, kLate };
enum class ReportVia { kOff, kAnswers, kProbe };

struct ClassSettings {
  std::string name;
  Freshness freshness = Freshness::kAny;
  Micros bound = 0;  // of a kBounded class
  Micros aim = 0;
  Micros deadline = 0;
  double worth = 0;
  double late_worth = 0;
  Effect effect = Effect::kSafe;
  RepeatGroup repeat_group = RepeatGroup::kAll;
  Micros repeat_window = 0;
  bool stream = false;
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // of all gateways together
  double share = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  Guards guards = Guards::kOff;
  Micros catch_up_wait = 0;
  TokenMode token_mode = TokenMode::kRemembered;
  ListedRole listed_role = ListedRole::kNone;
  Micros origin = 0;          // clock time from which positions count
  bool ask_for_list = false;  // changes come only after Watch or Fetch
  ReportVia reports = ReportVia::kOff;
  std::vector<std::string> report_fields;
  bool reports_are_floats = true;  // a position in a report may then have been rounded up
  bool may_cancel = false;
  bool may_probe = false;
  bool second_copies = false;
  bool retry_after = false;
  Micros max_retry_after = 0;
  int max_attempts = 0;  // 0: no limit stated
  Micros answer_slack = 0;
  Micros ask_within = 0;
  double cold_from = 0;
  Micros warm_after = 0;
  double fall_multiple = 0;
  Micros fall = 0;
  Micros drain_grace = 0;
  bool only_draining_binds = false;
  double over_share_worth = 1;
  double probe_price = 0;
  double cross_zone_price = 0;
  double waste_price = 0;
  Micros tick = 0;
  int gateways = 1;
  int me = 0;
  int zone = 0;
};

// What a server said of itself: the fields of Settings::report_fields, in their order.
using Report = std::vector<double>;

enum class Role { kUnknown, kPrimary, kReplica };
enum class ServerState { kGone, kReady, kDraining };
enum class Status { kOk, kMiss, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot };

struct ListEntry {
  ServerId server = 0;
  int group = 0;
  int zone = 0;
  int kind = 0;
  ServerState state = ServerState::kGone;
  double capacity_hint = 0;
  Micros boot_time = 0;  // 0: long ago
  bool leads = false;
};

// Events.
struct RequestArrived {
  RequestId id = 0;
  int class_index = 0;
  int tenant = 0;
  int group = 0;
  std::uint64_t key = 0;
  Micros remaining = 0;
  Micros waited = 0;  // since it came, before the module is told of it
  double wrote_ms_ago = 0;  // with TokenMode::kCarried; 0: no write
  bool repeat = false;
};
struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  ServerId server = 0;
  Status status = Status::kOk;
  Micros elapsed = 0;
  bool over = false;
  Role role = Role::kUnknown;
  std::optional<std::int64_t> position_ms;  // or the commit of a write that went through
  Report report;
};
struct AnswerBegun {
  RequestId id = 0;
  int attempt = 0;
  ServerId server = 0;
};
struct ProbeEnded {
  ServerId server = 0;
  Status status = Status::kOk;
  Micros elapsed = 0;
  Report report;
};
enum class ListKind { kDelta, kFull, kCached, kFailed };
struct ListNews {
  ListKind kind = ListKind::kFull;
  std::uint64_t version = 0;
  std::vector<ListEntry> entries;
};
struct TimerFired {
  std::uint64_t token = 0;
};
struct RequestGone {
  RequestId id = 0;
};
struct PeerMessage {
  int from = 0;
  std::string bytes;
};
// What another process of this router, which takes over from this one or is taken over, has been told.
struct SessionWrote {
  std::uint64_t key = 0;  // 0: whatever sessions of the group are not named
  int group = 0;
  std::int64_t position_ms = 0;
};
struct ServerShown {
  ServerId server = 0;
  Role role = Role::kUnknown;
  Micros role_time = 0;
  std::int64_t position_ms = 0;  // not after the origin: none
};
// False: writes of sessions may have been answered that are not told yet. True again: all are known, or, with
// `lost`, never will be.
struct SessionsKnown {
  bool known = true, lost = false;
};
using Event = std::variant<RequestArrived, AttemptEnded, AnswerBegun, ProbeEnded, ListNews, TimerFired,
                           RequestGone, PeerMessage, SessionWrote, ServerShown, SessionsKnown>;

// Actions.
struct Send {
  RequestId id = 0;
  ServerId server = 0;
  Micros timeout = 0;  // 0: until the client gives up
};
struct Refuse {
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
struct Probe {
  ServerId server = 0;
};
struct CloseIdle {
  ServerId server = 0;
};
struct TellPeers {
  std::optional<int> peer;  // none: every peer
  std::string bytes;
};
struct Log {
  std::string text;
};
struct WatchList {
  bool on = true;
};
struct FetchList {};
using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Probe, CloseIdle, TellPeers, Log, WatchList,
                            FetchList>;

// One gateway's router. Not thread-safe; nothing is shared between Routers.
class Router {
 public:
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Takes one event at the clock time `now` and appends what is to be done, in order. The first event
  // of a Router is ListNews.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);
  // Whether it now passes over a server that it knows: it drains, is suspect or is left alone for a while.
  bool avoids(Micros now, ServerId server) const;
  // What it knows of that session's writes, or with 0 of all of them.
  std::vector<SessionWrote> sessions(std::uint64_t key) const;
  ServerShown shown(ServerId server) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_ROUTER_HPP_
