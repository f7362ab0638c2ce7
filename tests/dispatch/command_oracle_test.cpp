// Compares every command of a long seeded run with recorded hashes. A change of structure must leave the
// commands, their order and their contents exactly as they are; a change of behaviour has to record new
// hashes and say why. Nothing here depends on the names of types: commands are hashed as numbers and strings.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "src/dispatch/dispatcher.hpp"
#include "tests/scene.hpp"

namespace tulipyoke {
namespace {

constexpr int kEventsPerRun = 6000;
constexpr Micros kRunStart = 1'767'225'600 * kSecond;
constexpr Micros kSettleSpan = 20 * kSecond;

// 64-bit FNV-1a over little-endian numbers and length-prefixed strings.
class Fnv1a {
 public:
  void Number(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8) Byte(static_cast<unsigned char>(number >> shift));
  }
  void Signed(std::int64_t number) { Number(static_cast<std::uint64_t>(number)); }
  void Text(std::string_view text) {
    Number(text.size());
    for (const char c : text) Byte(static_cast<unsigned char>(c));
  }
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
  static constexpr std::uint64_t kPrime = 1099511628211ULL;

  void Byte(unsigned char byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

// SplitMix64: the same numbers with every standard library.
class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }
  bool OneIn(std::uint64_t bound) { return Below(bound) == 0; }

 private:
  std::uint64_t Next() {
    std::uint64_t mixed = (state_ += 0x9E3779B97F4A7C15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
  }

  std::uint64_t state_;
};

enum class RunKind { kPlain, kOtherSettings, kUpgrade, kPlannedEnd };

struct RecordedRun {
  std::uint64_t seed;
  RunKind kind;
  std::uint64_t command_hash;  // all commands but trace steps, with what the getters say in between
  std::uint64_t trace_hash;    // trace steps alone
};

std::ostream& operator<<(std::ostream& out, const RecordedRun& run) { return out << "seed " << run.seed; }

Settings SettingsOf(RunKind kind) {
  Settings settings = TestSettings();
  settings.tenants.resize(2);
  settings.origin = kRunStart - 600 * kSecond + 500;  // half a millisecond off
  if (kind == RunKind::kOtherSettings) {
    settings.listed_role = ListedRole::kNone;
    settings.max_attempts = 2;
    settings.token_mode = TokenMode::kCarried;
    settings.second_copies = true;
    settings.guards = Guards::kHold;
    settings.catch_up_wait = 100 * kMs;
  }
  return settings;
}

class SeededRun {
 public:
  explicit SeededRun(const RecordedRun& run)
      : kind_(run.kind),
        random_(run.seed),
        dispatcher_({SettingsOf(run.kind), run.seed, {"a", "b"}, {"small", "large"}, 250 * kMs, true}) {
    EndpointList known{1, true, {}};
    for (int i = 0; i < 4; ++i) known.servers.push_back(ServerAt(i, ServerState::kReady));
    dispatcher_.Start(now_, known);
    Collect();
  }

  void Play() {
    for (int step = 0; step < kEventsPerRun; ++step) {
      OneEvent(step);
      // Now and then several events reach it before their commands are taken.
      if (!random_.OneIn(6)) Collect();
      now_ += static_cast<Micros>(random_.Below(4000));
      if (!random_.OneIn(3)) RunTimersUntil(now_);
    }
    Collect();
    RunTimersUntil(now_ + kSettleSpan);
    HashState();
    commands_hash_.Text(ToText(dispatcher_.counters()));
  }

  std::uint64_t command_hash() const { return commands_hash_.value(); }
  std::uint64_t trace_hash() const { return trace_hash_.value(); }
  const DispatchCounters& counters() const { return dispatcher_.counters(); }
  std::size_t commands() const { return commands_; }
  std::size_t transfers() const { return transfers_; }
  std::size_t told() const { return told_; }

 private:
  struct Attempt {
    OperationId operation_id = 0;
    bool probe = false;
  };

  ListedServer ServerAt(int index, ServerState state) {
    ListedServer server;
    server.id = std::string(1, static_cast<char>('p' + index));
    server.address = "10.0.0." + std::to_string(index + 1) + ":" + std::to_string(1 + random_.Below(2));
    if (random_.OneIn(20)) server.address.clear();
    server.zone = random_.OneIn(2) ? "a" : "b";
    server.kind = random_.OneIn(2) ? "small" : "large";
    server.group = index % 2;
    server.state = state;
    server.capacity_hint = 1 + static_cast<double>(random_.Below(3));
    server.started_unix_ms =
        random_.OneIn(2) ? 0 : (now_ - static_cast<Micros>(random_.Below(20)) * kSecond) / 1000;
    server.leads = index < 2;
    return server;
  }

  void OneEvent(int step) {
    const std::uint64_t choice = random_.Below(100);
    if (choice < 30) {
      Submit();
    } else if (choice < 62) {
      EndAnAttempt();
    } else if (choice < 80) {
      WriteAnAttempt();
    } else if (choice < 84) {
      if (!open_.empty()) dispatcher_.ClientDisconnected(now_, OneOfTheLatest(open_));
    } else if (choice < 88) {
      BeginATransfer();
    } else if (choice < 92) {
      if (!begun_.empty()) dispatcher_.StreamDelivered(OneOfTheLatest(begun_));
    } else if (choice < 95) {
      HearAList();
    } else if (choice < 97) {
      HashState();
    } else if (choice < 98) {
      dispatcher_.CountLocalResponse(static_cast<int>(random_.Below(6)), random_.OneIn(2)
                                                                             ? Response(RejectedResponse{})
                                                                             : Response(FailedResponse{}));
    } else if (kind_ == RunKind::kUpgrade) {
      SpeakWithTheOtherProcess();
    }
    if (kind_ == RunKind::kPlannedEnd && step == kEventsPerRun * 3 / 4) {
      dispatcher_.SetDrainDeadline(now_ + 300 * kMs);
    }
  }

  void Submit() {
    ClientRequest request;
    request.class_index = static_cast<int>(random_.Below(6));
    request.tenant = static_cast<int>(random_.Below(2));
    request.group = static_cast<int>(random_.Below(2));
    request.key = random_.Below(20);
    request.wait = static_cast<Micros>(random_.Below(900)) * kMs;
    if (random_.OneIn(5)) request.after_unix_ms = now_ / 1000 - static_cast<std::int64_t>(random_.Below(50));
    request.repeat = random_.OneIn(10);
    const std::string text = "SELECT 1 /* id=" + std::to_string(++asked_) + ", x */";
    if (!random_.OneIn(10))
      request.payload = std::make_shared<const RequestPayload>(RequestPayload{text, 7, 1});
    open_.push_back(dispatcher_.Submit(now_, request));
    commands_hash_.Number(open_.back());
  }

  // Also one that has ended, so that events of every kind are met at every stage.
  template <typename T>
  T OneOfTheLatest(const std::vector<T>& all) {
    constexpr std::uint64_t kLatest = 12;
    return all[all.size() - 1 - random_.Below(std::min<std::uint64_t>(all.size(), kLatest))];
  }

  std::optional<Attempt> AnAttempt() {
    if (attempts_.empty()) return std::nullopt;
    return OneOfTheLatest(attempts_);
  }

  void EndAnAttempt() {
    const std::optional<Attempt> attempt = AnAttempt();
    if (!attempt) return;
    Outcome outcome;
    outcome.status = random_.OneIn(2) ? Status::kOk : static_cast<Status>(random_.Below(9));
    if (outcome.status == Status::kOk) outcome.result = {"shape", "value", "tag"};
    outcome.role = static_cast<Role>(random_.Below(3));
    if (!random_.OneIn(3)) {
      outcome.position_unix_ms = now_ / 1000 - static_cast<std::int64_t>(random_.Below(300));
    }
    if (attempt->probe) {
      outcome.report = {{"x0", static_cast<double>(now_ / 1000) - static_cast<double>(random_.Below(300))},
                        {"x1", random_.OneIn(2) ? 1.0 : 0.0},
                        {"other", 3.0}};
    }
    dispatcher_.OperationFinished(now_, attempt->operation_id, outcome);
  }

  void WriteAnAttempt() {
    if (const std::optional<Attempt> attempt = AnAttempt())
      dispatcher_.OperationWritten(attempt->operation_id);
  }

  void BeginATransfer() {
    const std::optional<Attempt> attempt = AnAttempt();
    if (!attempt) return;
    const auto transfer = dispatcher_.BeginStream(now_, attempt->operation_id, "large", 40'000);
    commands_hash_.Number(transfer ? 1 : 0);
    if (transfer) ++transfers_;
  }

  void HearAList() {
    EndpointList listing{++version_, random_.OneIn(3), {}};
    for (int i = 0; i < 6; ++i) {
      if (!listing.complete && !random_.OneIn(3)) continue;
      if (listing.complete && random_.OneIn(5)) continue;
      const bool ready = !random_.OneIn(4);
      listing.servers.push_back(
          ServerAt(i, ready ? ServerState::kReady : static_cast<ServerState>(random_.Below(3))));
    }
    dispatcher_.UpdateEndpoints(now_, listing);
  }

  void SpeakWithTheOtherProcess() {
    switch (random_.Below(5)) {
      case 0:
        return dispatcher_.EnableReplication(!random_.OneIn(4));
      case 1:
        return dispatcher_.SetSessionsKnown(now_, {.known = random_.OneIn(2), .lost = random_.OneIn(4)});
      case 2: {
        SessionUpdate news;
        news.key = random_.Below(20);
        news.group = static_cast<int>(random_.Below(2));
        news.commit_unix_ms = now_ / 1000 - static_cast<std::int64_t>(random_.Below(100));
        return dispatcher_.ApplyPeerUpdate(now_, news);
      }
      default: {
        ServerUpdate news;
        news.id = std::string(1, static_cast<char>('p' + random_.Below(7)));
        news.role = static_cast<Role>(random_.Below(3));
        news.role_time = now_ - static_cast<Micros>(random_.Below(50)) * kMs;
        news.position_unix_ms =
            random_.OneIn(3) ? 0 : now_ / 1000 - static_cast<std::int64_t>(random_.Below(100));
        return dispatcher_.ApplyPeerUpdate(now_, news);
      }
    }
  }

  void RunTimersUntil(Micros end) {
    for (auto due = dispatcher_.NextTimer(); due && *due <= end; due = dispatcher_.NextTimer()) {
      now_ = std::max(now_, *due);
      dispatcher_.Tick(now_);
      Collect();
    }
    now_ = std::max(now_, end);
  }

  void Collect() {
    for (const Command& command : dispatcher_.TakeCommands()) {
      ++commands_;
      std::visit([this](const auto& what) { Hash(what); }, command);
    }
    commands_hash_.Signed(dispatcher_.NextTimer().value_or(0));
    commands_hash_.Number(dispatcher_.in_progress());
  }

  void HashState() {
    commands_hash_.Text(ToText(dispatcher_.StatisticsAt(now_), ' '));
    // The module gives its sessions in no order that is promised.
    std::vector<SessionUpdate> sessions = dispatcher_.SessionSnapshot();
    std::sort(sessions.begin(), sessions.end(), [](const SessionUpdate& a, const SessionUpdate& b) {
      return a.key != b.key ? a.key < b.key : a.group < b.group;
    });
    for (const SessionUpdate& session : sessions) HashNews(session);
    for (const ServerUpdate& server : dispatcher_.ServerSnapshot()) HashNews(server);
  }

  void Hash(const StartAttempt& start) {
    attempts_.push_back({start.operation_id, false});
    commands_hash_.Number(1);
    commands_hash_.Number(start.operation_id);
    commands_hash_.Number(start.server);
    commands_hash_.Text(start.payload ? start.payload->bytes : "none");
    commands_hash_.Signed(start.deadline);
    commands_hash_.Signed(start.latest_start);
  }
  void Hash(const StartProbe& start) {
    attempts_.push_back({start.operation_id, true});
    commands_hash_.Number(2);
    commands_hash_.Number(start.operation_id);
    commands_hash_.Number(start.server);
  }
  void Hash(const CancelOperation& end) {
    commands_hash_.Number(3);
    commands_hash_.Number(end.operation_id);
  }
  void Hash(const SetAddress& set) {
    commands_hash_.Number(4);
    commands_hash_.Number(set.server);
    commands_hash_.Text(set.address);
  }
  void Hash(const RemoveServer& forget) {
    commands_hash_.Number(5);
    commands_hash_.Number(forget.server);
  }
  void Hash(const CloseIdleConnections& close) {
    commands_hash_.Number(6);
    commands_hash_.Number(close.server);
  }
  void Hash(const SendResponse& answer) {
    commands_hash_.Number(7);
    commands_hash_.Number(answer.id);
    std::visit([this](const auto& what) { HashAnswer(what); }, answer.response);
    if (std::holds_alternative<StreamingResponse>(answer.response)) begun_.push_back(answer.id);
  }
  void Hash(const RefreshEndpointList&) { commands_hash_.Number(8); }
  void Hash(const ReplicateToPeer& tell) {
    ++told_;
    commands_hash_.Number(9);
    std::visit([this](const auto& news) { HashNews(news); }, tell.update);
  }
  void Hash(const WriteLog& log) {
    commands_hash_.Number(10);
    commands_hash_.Text(log.text);
  }
  void Hash(const TraceStep& trace) {
    trace_hash_.Signed(trace.when);
    trace_hash_.Text(ToText(trace.event));
  }

  void HashAnswer(const ServedResponse& served) {
    commands_hash_.Number(1);
    commands_hash_.Text(served.result.row_description);
    commands_hash_.Text(served.result.value);
    commands_hash_.Text(served.result.command_tag);
  }
  void HashAnswer(const RejectedResponse& refused) {
    commands_hash_.Number(2);
    commands_hash_.Signed(refused.retry_after);
  }
  void HashAnswer(const FailedResponse&) { commands_hash_.Number(3); }
  void HashAnswer(const StreamingResponse& begun) {
    commands_hash_.Number(4);
    commands_hash_.Text(begun.stream->row_description());
    commands_hash_.Number(begun.stream->size());
  }

  void HashNews(const SessionUpdate& news) {
    commands_hash_.Number(1);
    commands_hash_.Number(news.key);
    commands_hash_.Signed(news.group);
    commands_hash_.Signed(news.commit_unix_ms);
  }
  void HashNews(const ServerUpdate& news) {
    commands_hash_.Number(2);
    commands_hash_.Text(news.id);
    commands_hash_.Number(static_cast<std::uint64_t>(news.role));
    commands_hash_.Signed(news.role_time);
    commands_hash_.Signed(news.position_unix_ms);
  }

  RunKind kind_;
  SplitMix64 random_;
  Micros now_ = kRunStart;
  Dispatcher dispatcher_;
  Fnv1a commands_hash_, trace_hash_;
  std::vector<RequestId> open_, begun_;
  std::vector<Attempt> attempts_;
  std::uint64_t version_ = 1;
  int asked_ = 0;
  std::size_t commands_ = 0, transfers_ = 0, told_ = 0;
};

class CommandOracle : public testing::TestWithParam<RecordedRun> {};

TEST_P(CommandOracle, CommandsAndTheirOrderAreAsRecorded) {
  const RecordedRun& recorded = GetParam();
  SeededRun run(recorded);
  run.Play();
  EXPECT_EQ(run.command_hash(), recorded.command_hash);
  EXPECT_EQ(run.trace_hash(), recorded.trace_hash);
}

// Guards against a run that compares little: each kind of event and outcome must have been met.
TEST_P(CommandOracle, TheRunMeetsAllKindsOfEvents) {
  SeededRun run(GetParam());
  run.Play();
  const DispatchCounters& counters = run.counters();
  EXPECT_GT(run.commands(), 4000u);
  EXPECT_GT(run.transfers(), 10u);
  EXPECT_GT(counters.served, 50u);
  EXPECT_GT(counters.rejected, 50u);
  EXPECT_GT(counters.failed, 20u);
  EXPECT_GT(counters.disconnected, 20u);
  EXPECT_GT(counters.probes, 20u);
  for (const std::uint64_t outcomes : counters.attempt_outcomes) EXPECT_GT(outcomes, 0u);
  if (GetParam().kind == RunKind::kUpgrade) {
    EXPECT_GT(run.told(), 20u);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, CommandOracle,
    testing::Values(RecordedRun{1, RunKind::kPlain, 1786846476656206633ULL, 17373852916687818294ULL},
                    RecordedRun{2, RunKind::kOtherSettings, 15059237532157476997ULL, 13137602012238291220ULL},
                    RecordedRun{3, RunKind::kUpgrade, 4683379989017389805ULL, 2892742800552322956ULL},
                    RecordedRun{4, RunKind::kPlannedEnd, 2531727342838313454ULL, 6590235242286808797ULL}));

}  // namespace
}  // namespace tulipyoke
