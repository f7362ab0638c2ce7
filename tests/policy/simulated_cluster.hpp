// Simulates servers, clients and an endpoint list around one Router with seeded random events. Every field of
// every action of the Router enters a hash.
#ifndef TULIPYOKE_TESTS_POLICY_SIMULATED_CLUSTER_HPP_
#define TULIPYOKE_TESTS_POLICY_SIMULATED_CLUSTER_HPP_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke::oracle {

inline constexpr int kStepsPerScenario = 4000;
inline constexpr int kStepsPerPhase = 400;
inline constexpr int kServers = 9;
inline constexpr int kGroups = 2;

// A random generator with the same sequence on every standard library (SplitMix64).
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
  }
  // Returns a number in [0, limit).
  int Below(int limit) { return static_cast<int>(Next() % static_cast<std::uint64_t>(limit)); }
  bool OneIn(int count) { return Below(count) == 0; }

 private:
  std::uint64_t state_;
};

// 64-bit FNV-1a.
class Hash {
 public:
  void AddByte(std::uint8_t byte) { value_ = (value_ ^ byte) * 0x100000001b3; }
  void Add(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8) AddByte(static_cast<std::uint8_t>(number >> shift));
  }
  void Add(const std::string& text) {
    Add(static_cast<std::uint64_t>(text.size()));
    for (const char c : text) AddByte(static_cast<std::uint8_t>(c));
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325;
};

inline std::uint64_t Bits(Micros signed_number) { return static_cast<std::uint64_t>(signed_number); }

// Adds every field of an action to the hash.
struct FieldHasher {
  Hash& hash;

  void operator()(const Send& action) const {
    hash.Add(action.id);
    hash.Add(action.server);
    hash.Add(Bits(action.timeout));
  }
  void operator()(const Reject& action) const {
    hash.Add(action.id);
    hash.Add(Bits(action.retry_after));
  }
  void operator()(const Fail& action) const { hash.Add(action.id); }
  void operator()(const Cancel& action) const {
    hash.Add(action.id);
    hash.Add(Bits(action.attempt));
  }
  void operator()(const SetTimer& action) const {
    hash.Add(Bits(action.delay));
    hash.Add(action.token);
  }
  void operator()(const CheckHealth& action) const { hash.Add(action.server); }
  void operator()(const CloseIdle& action) const { hash.Add(action.server); }
  void operator()(const Gossip& action) const {
    hash.Add(Bits(action.peer.value_or(-1)));
    hash.Add(action.bytes);
  }
  void operator()(const Log& action) const { hash.Add(action.text); }
  void operator()(const WatchEndpointList& action) const { hash.Add(action.on ? 1 : 0); }
  void operator()(const FetchEndpointList&) const {}
};

// How the simulated servers behave during one phase.
enum Phase { kNormal, kOverload, kFailing, kReplicationLag, kFaultyServer, kUnreachable, kPhaseCount };

struct AttemptInFlight {
  RequestId id = 0;
  int attempt = 0;
  ServerId server = 0;
  Micros sent = 0;
};

struct RequestRecord {
  int class_index = 0;
  int sends = 0;
  bool ended = false;
};

struct Outcome {
  std::uint64_t hash = 0;
  std::uint64_t actions = 0;
  std::array<int, std::variant_size_v<Action>> kinds{};
};

// Simulates servers, clients and an endpoint list around one Router.
class SimulatedCluster {
 public:
  SimulatedCluster(const Settings& settings, std::uint64_t seed, ServerId first_server)
      : settings_(settings),
        router_(settings, seed),
        random_(seed * 7919 + 1),
        now_(100 * kSecond),
        first_server_(first_server) {
    position_.fill(now_);
    StartList();
  }

  Outcome Run() {
    for (int step = 0; step < kStepsPerScenario; ++step) {
      if (step % kStepsPerPhase == 0) ChangePhase();
      RunStep();
      if (step % 32 == 0) HashQueries();
    }
    AdvanceClock(5 * kSecond);
    HashQueries();
    outcome_.hash = hash_.value();
    return outcome_;
  }

 private:
  void StartList() {
    EndpointList list;
    for (ServerId id = 1; id <= 7; ++id) list.push_back(EntryOf(id, id == 1 || id == 6));
    HandleEvent(EndpointListUpdate{EndpointListKind::kCached, 1, list});
  }
  using EndpointList = std::vector<EndpointEntry>;

  EndpointEntry EntryOf(ServerId id, bool primary) const {
    EndpointEntry entry = ReadyEntry(IdOf(id), primary, id < 6 ? 0 : 1);
    entry.zone = static_cast<int>(id % 3);
    return entry;
  }
  // The simulation numbers its servers from 1; their ids in the Router start at `first_server_`.
  ServerId IdOf(ServerId number) const { return number - 1 + first_server_; }
  ServerId NumberOf(ServerId id) const { return id + 1 - first_server_; }
  void ChangePhase() {
    phase_ = static_cast<Phase>(random_.Below(kPhaseCount));
    faulty_server_ = static_cast<ServerId>(1 + random_.Below(kServers));
    if (random_.OneIn(3)) primaries_[0] = static_cast<ServerId>(1 + random_.Below(5));
    if (random_.OneIn(4)) primaries_[1] = static_cast<ServerId>(6 + random_.Below(4));
  }

  void RunStep() {
    const int roll = random_.Below(100);
    if (roll < 30) return Arrive();
    if (roll < 62) return EndAttempt();
    if (roll < 73) return EndHealthCheck();
    if (roll < 76) return ChangeList();
    if (roll < 78) return AbandonRequest();
    if (roll < 80) return RandomOtherEvent();
    AdvanceClock(1 + random_.Below(phase_ == kOverload ? 4000 : 30000));
  }

  void Arrive() {
    RequestArrived event;
    event.id = ++newest_request_;
    event.class_index = random_.Below(static_cast<int>(settings_.classes.size()));
    if (random_.OneIn(200)) event.class_index = 40;
    event.tenant = random_.Below(2);
    event.group = random_.OneIn(4) ? 1 : 0;
    if (random_.OneIn(200)) event.group = 9;
    event.key = static_cast<std::uint64_t>(random_.Below(25));
    event.remaining = random_.OneIn(4) ? random_.Below(900) * kMs : kSecond;
    if (random_.OneIn(2)) event.ms_since_write = random_.Below(300000) / 256.0;
    event.is_retry = random_.OneIn(5);
    requests_[event.id].class_index = event.class_index;
    HandleEvent(event);
  }

  void EndAttempt() {
    if (attempts_.empty()) return;
    const int index = random_.Below(static_cast<int>(attempts_.size()));
    const AttemptInFlight attempt = attempts_[static_cast<std::size_t>(index)];
    attempts_.erase(attempts_.begin() + index);
    RequestRecord& request = requests_[attempt.id];
    if (phase_ == kOverload && random_.OneIn(2)) AdvanceClock(random_.Below(200) * kMs);
    AttemptEnded event;
    event.id = attempt.id;
    event.attempt = attempt.attempt;
    event.server = IdOf(attempt.server);
    event.status = DrawStatus(attempt.server, request.class_index);
    event.elapsed = now_ - attempt.sent;
    if (random_.OneIn(50)) event.elapsed = random_.Below(2000) * kMs;
    event.request_ended = event.status == Status::kOk || request.ended || random_.OneIn(40);
    const bool responded = event.status == Status::kOk || event.status == Status::kStaleOrWrongRole;
    if (responded && !random_.OneIn(10)) {
      event.role = IsPrimary(attempt.server) ? Role::kPrimary : Role::kReplica;
      event.position_ms = AdvancePosition(attempt.server) / kMs;
    }
    if (responded && settings_.load_report_source == LoadReportSource::kResponses)
      event.report = DrawReport(attempt.server);
    if (event.request_ended) request.ended = true;
    HandleEvent(event);
  }

  Status DrawStatus(ServerId server, int class_index) {
    static constexpr Status kFaults[] = {
        Status::kStaleOrWrongRole, Status::kError,   Status::kOverloaded, Status::kReset,
        Status::kConnectFailed,    Status::kTimeout, Status::kNotSent,    Status::kCancelled};
    const bool write = class_index >= 4;
    if (write && !IsPrimary(server)) return Status::kStaleOrWrongRole;
    const bool faulty = server == faulty_server_;
    if (phase_ == kFaultyServer && faulty) return random_.OneIn(2) ? Status::kReset : Status::kError;
    if (phase_ == kUnreachable && faulty) return random_.OneIn(2) ? Status::kTimeout : Status::kReset;
    if (phase_ == kOverload && random_.OneIn(4))
      return random_.OneIn(2) ? Status::kOverloaded : Status::kTimeout;
    if (phase_ == kReplicationLag && random_.OneIn(2)) return Status::kStaleOrWrongRole;
    const int chance = phase_ == kFailing ? 2 : 15;
    return random_.OneIn(chance) ? kFaults[random_.Below(8)] : Status::kOk;
  }
  bool IsPrimary(ServerId server) const { return server == primaries_[0] || server == primaries_[1]; }

  // Advances the position that the server has applied, and returns it.
  Micros AdvancePosition(ServerId server) {
    Micros& position = position_[server];
    const Micros behind = now_ - settings_.position_epoch - position;
    const bool is_stalled = phase_ == kReplicationLag && server % 2 == 0;
    if (!is_stalled && behind > 0) position += behind * (50 + random_.Below(51)) / 100;
    return position;
  }
  Report DrawReport(ServerId server) {
    Report report;
    const Micros position = AdvancePosition(server);
    const int queue = phase_ == kOverload ? random_.Below(12) : 0;
    for (const std::string& field : settings_.report_fields) {
      double value = 0;
      if (field == "x0") value = static_cast<double>(position) / 1e6;
      if (field == "x1") value = IsPrimary(server) ? 1 : 0;
      if (field == "queue") value = queue;
      if (field == "inflight") value = queue + 3;
      if (random_.OneIn(60)) value = -1;
      report.push_back(static_cast<double>(static_cast<float>(value)));
    }
    return report;
  }

  void EndHealthCheck() {
    HealthCheckEnded event;
    event.server = static_cast<ServerId>(1 + random_.Below(kServers + 1));
    if (!health_checks_.empty()) {
      const int index = random_.Below(static_cast<int>(health_checks_.size()));
      event.server = health_checks_[static_cast<std::size_t>(index)];
      health_checks_.erase(health_checks_.begin() + index);
    } else if (!random_.OneIn(3)) {
      return;
    }
    const bool fails = phase_ == kUnreachable && event.server == faulty_server_;
    if (fails || random_.OneIn(20)) event.status = random_.OneIn(3) ? Status::kOverloaded : Status::kTimeout;
    event.elapsed = random_.Below(20) * kMs;
    if (event.status == Status::kOk && event.server <= kServers) event.report = DrawReport(event.server);
    event.server = IdOf(event.server);
    HandleEvent(event);
  }

  void ChangeList() {
    static constexpr EndpointListKind kKinds[] = {EndpointListKind::kDelta,  EndpointListKind::kDelta,
                                                  EndpointListKind::kDelta,  EndpointListKind::kFull,
                                                  EndpointListKind::kCached, EndpointListKind::kFailed};
    EndpointListUpdate event;
    event.kind = kKinds[random_.Below(6)];
    event.version = ++list_version_;
    const bool full_list = event.kind == EndpointListKind::kFull || event.kind == EndpointListKind::kCached;
    const int first = full_list ? 1 : 1 + random_.Below(kServers);
    const int last = full_list ? kServers : first;
    for (int id = first; id <= last && event.kind != EndpointListKind::kFailed; ++id) {
      if (full_list && random_.OneIn(8)) continue;
      event.entries.push_back(DrawEntry(static_cast<ServerId>(id), full_list));
    }
    HandleEvent(event);
  }
  EndpointEntry DrawEntry(ServerId id, bool full_list) {
    EndpointEntry entry = EntryOf(id, IsPrimary(id));
    if (random_.OneIn(full_list ? 12 : 3)) {
      entry.state = random_.OneIn(2) ? ServerState::kDraining : ServerState::kGone;
    }
    if (random_.OneIn(full_list ? 20 : 3)) entry.boot_time = now_ - random_.Below(5000) * kMs;
    return entry;
  }

  void AbandonRequest() {
    if (newest_request_ == 0) return;
    const RequestId age = static_cast<RequestId>(random_.Below(40));
    const RequestId id = newest_request_ > age ? newest_request_ - age : 1;
    requests_[id].ended = true;
    if (random_.OneIn(4)) return HandleEvent(TimerFired{id});
    HandleEvent(RequestCancelled{id});
  }

  void RandomOtherEvent() {
    const ServerId server = IdOf(static_cast<ServerId>(1 + random_.Below(kServers + 1)));
    const Micros position = now_ - settings_.position_epoch - random_.Below(400) * kMs;
    switch (random_.Below(6)) {
      case 0: {
        const auto key = static_cast<std::uint64_t>(random_.Below(25));
        return HandleEvent(SessionCommit{key, random_.Below(kGroups), position / kMs});
      }
      case 1: {
        const Role role = static_cast<Role>(random_.Below(3));
        const Micros role_time = now_ - random_.Below(1000) * kMs;
        return HandleEvent(ServerObservation{server, role, role_time, random_.OneIn(4) ? 0 : position / kMs});
      }
      case 2:
        return HandleEvent(SessionSync{false, false});
      case 3:
        return HandleEvent(SessionSync{true, random_.OneIn(4)});
      case 4:
        return HandleEvent(ResponseStarted{newest_request_, 0, server});
      default:
        return HandleEvent(PeerMessage{1, "bytes"});
    }
  }

  // Advances the clock and fires the timers that become due.
  void AdvanceClock(Micros span) {
    const Micros end = now_ + span;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      const auto [when, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ = std::max(now_, when);
      HandleEvent(TimerFired{token});
    }
    now_ = end;
  }

  void HandleEvent(const Event& event) {
    std::vector<Action> actions;
    router_.handle(now_, event, actions);
    hash_.Add(actions.size());
    for (const Action& action : actions) RecordAction(action);
  }
  void RecordAction(const Action& action) {
    ++outcome_.actions;
    ++outcome_.kinds[action.index()];
    hash_.Add(action.index());
    std::visit(FieldHasher{hash_}, action);
    if (const auto* timer = std::get_if<SetTimer>(&action))
      timers_.emplace(now_ + timer->delay, timer->token);
    if (const auto* check = std::get_if<CheckHealth>(&action))
      health_checks_.push_back(NumberOf(check->server));
    if (const auto* send = std::get_if<Send>(&action)) {
      attempts_.push_back({send->id, requests_[send->id].sends++, NumberOf(send->server), now_});
    }
    if (const auto* reject = std::get_if<Reject>(&action)) requests_[reject->id].ended = true;
    if (const auto* fail = std::get_if<Fail>(&action)) requests_[fail->id].ended = true;
  }
  // Adds the results of the Router's query functions to the hash.
  void HashQueries() {
    for (ServerId id = 1; id <= kServers + 1; ++id) {
      hash_.Add(router_.avoids(now_, IdOf(id)) ? 1 : 0);
      const ServerObservation observed = router_.observation(IdOf(id));
      hash_.Add(static_cast<std::uint64_t>(observed.role));
      hash_.Add(Bits(observed.role_time));
      hash_.Add(Bits(observed.position_ms));
    }
    for (const SessionCommit& session : router_.known_commits(0)) {
      hash_.Add(session.key);
      hash_.Add(Bits(session.group));
      hash_.Add(Bits(session.position_ms));
    }
  }

  Settings settings_;
  Router router_;
  Random random_;
  Micros now_;
  ServerId first_server_;
  Phase phase_ = kNormal;
  ServerId faulty_server_ = 0;
  std::array<ServerId, kGroups> primaries_ = {1, 6};
  std::array<Micros, kServers + 2> position_{};
  std::uint64_t list_version_ = 1;
  RequestId newest_request_ = 0;
  std::map<RequestId, RequestRecord> requests_;
  std::vector<AttemptInFlight> attempts_;
  std::vector<ServerId> health_checks_;
  std::multimap<Micros, std::uint64_t> timers_;
  Hash hash_;
  Outcome outcome_;
};

}  // namespace tulipyoke::oracle

#endif  // TULIPYOKE_TESTS_POLICY_SIMULATED_CLUSTER_HPP_
