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
#include <variant>
#include <vector>

#include "src/dispatch/dispatcher.hpp"
#include "tests/dispatch/reproducible.hpp"
#include "tests/scene.hpp"

namespace tulipyoke {
namespace {

constexpr int kEventsPerRun = 6000;
constexpr Micros kRunStart = 1'767'225'600 * kSecond;
constexpr Micros kSettleSpan = 20 * kSecond;

enum class RunKind { kPlain, kOtherSettings, kHotRestart, kDrain };

struct RecordedRun {
  std::uint64_t seed;
  RunKind kind;
  std::uint64_t command_hash;  // all commands but trace steps, with the state read in between
  std::uint64_t trace_hash;    // trace steps alone
};

std::ostream& operator<<(std::ostream& out, const RecordedRun& run) { return out << "seed " << run.seed; }

Settings SettingsOf(RunKind kind) {
  Settings settings = TestSettings();
  settings.tenants.resize(2);
  settings.position_epoch = kRunStart - 600 * kSecond + 500;  // half a millisecond off
  if (kind == RunKind::kOtherSettings) {
    settings.listed_role = ListedRole::kNever;
    settings.max_attempts = 2;
    settings.token_mode = TokenMode::kCarried;
    settings.hedging_allowed = true;
    settings.staleness_guard = StalenessGuard::kWait;
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
    CollectCommands();
  }

  void Play() {
    for (int step = 0; step < kEventsPerRun; ++step) {
      OneEvent(step);
      // Now and then several events come before their commands are taken.
      if (!random_.OneIn(6)) CollectCommands();
      now_ += static_cast<Micros>(random_.Below(4000));
      if (!random_.OneIn(3)) RunTimersUntil(now_);
    }
    CollectCommands();
    RunTimersUntil(now_ + kSettleSpan);
    HashState();
    command_hash_.Text(ToText(dispatcher_.counters()));
  }

  std::uint64_t command_hash() const { return command_hash_.value(); }
  std::uint64_t trace_hash() const { return trace_hash_.value(); }
  const DispatchCounters& counters() const { return dispatcher_.counters(); }
  std::size_t commands() const { return commands_; }
  std::size_t streams() const { return streams_; }
  std::size_t replicated() const { return replicated_; }

 private:
  struct StartedOperation {
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
    server.is_primary = index < 2;
    return server;
  }

  void OneEvent(int step) {
    const std::uint64_t choice = random_.Below(100);
    if (choice < 30) {
      Submit();
    } else if (choice < 62) {
      FinishAnOperation();
    } else if (choice < 80) {
      WriteAnOperation();
    } else if (choice < 84) {
      if (!submitted_requests_.empty()) {
        dispatcher_.ClientDisconnected(now_, OneOfTheLatest(submitted_requests_));
      }
    } else if (choice < 88) {
      BeginAStream();
    } else if (choice < 92) {
      if (!streaming_.empty()) dispatcher_.StreamDelivered(OneOfTheLatest(streaming_));
    } else if (choice < 95) {
      UpdateEndpoints();
    } else if (choice < 97) {
      HashState();
    } else if (choice < 98) {
      const Response response = random_.OneIn(2) ? Response(RejectedResponse{}) : Response(FailedResponse{});
      dispatcher_.CountLocalResponse(static_cast<int>(random_.Below(6)), response);
    } else if (kind_ == RunKind::kHotRestart) {
      ExchangeWithPeer();
    }
    if (kind_ == RunKind::kDrain && step == kEventsPerRun * 3 / 4) {
      dispatcher_.SetDrainDeadline(now_ + 300 * kMs);
    }
  }

  void Submit() {
    ClientRequest request;
    request.class_index = static_cast<int>(random_.Below(6));
    request.tenant = static_cast<int>(random_.Below(2));
    request.group = static_cast<int>(random_.Below(2));
    request.session_key = random_.Below(20);
    request.timeout = static_cast<Micros>(random_.Below(900)) * kMs;
    if (random_.OneIn(5))
      request.last_write_unix_ms = now_ / 1000 - static_cast<std::int64_t>(random_.Below(50));
    request.is_retry = random_.OneIn(10);
    const std::string text = "SELECT 1 /* id=" + std::to_string(++submitted_) + ", x */";
    if (!random_.OneIn(10)) {
      request.payload = std::make_shared<const RequestPayload>(RequestPayload{text, 7, 1});
    }
    submitted_requests_.push_back(dispatcher_.Submit(now_, request));
    command_hash_.Number(submitted_requests_.back());
  }

  // Also one that has ended, so that events of every kind are met at every stage.
  template <typename T>
  T OneOfTheLatest(const std::vector<T>& all) {
    constexpr std::uint64_t kLatest = 12;
    return all[all.size() - 1 - random_.Below(std::min<std::uint64_t>(all.size(), kLatest))];
  }

  std::optional<StartedOperation> AnOperation() {
    if (operations_.empty()) return std::nullopt;
    return OneOfTheLatest(operations_);
  }

  void FinishAnOperation() {
    const std::optional<StartedOperation> operation = AnOperation();
    if (!operation) return;
    Outcome outcome;
    outcome.status = random_.OneIn(2) ? Status::kOk : static_cast<Status>(random_.Below(9));
    if (outcome.status == Status::kOk) outcome.result = {"shape", "value", "tag"};
    outcome.role = static_cast<Role>(random_.Below(3));
    if (!random_.OneIn(3)) {
      outcome.position_unix_ms = now_ / 1000 - static_cast<std::int64_t>(random_.Below(300));
    }
    if (operation->probe) {
      outcome.report = {{"x0", static_cast<double>(now_ / 1000) - static_cast<double>(random_.Below(300))},
                        {"x1", random_.OneIn(2) ? 1.0 : 0.0},
                        {"other", 3.0}};
    }
    dispatcher_.OperationFinished(now_, operation->operation_id, outcome);
  }

  void WriteAnOperation() {
    if (const std::optional<StartedOperation> operation = AnOperation()) {
      dispatcher_.OperationWritten(operation->operation_id);
    }
  }

  void BeginAStream() {
    const std::optional<StartedOperation> operation = AnOperation();
    if (!operation) return;
    const auto stream = dispatcher_.BeginStream(now_, operation->operation_id, "large", 40'000);
    command_hash_.Number(stream ? 1 : 0);
    if (stream) ++streams_;
  }

  void UpdateEndpoints() {
    EndpointList list{++version_, random_.OneIn(3), {}};
    for (int i = 0; i < 6; ++i) {
      if (!list.complete && !random_.OneIn(3)) continue;
      if (list.complete && random_.OneIn(5)) continue;
      const bool ready = !random_.OneIn(4);
      list.servers.push_back(
          ServerAt(i, ready ? ServerState::kReady : static_cast<ServerState>(random_.Below(3))));
    }
    dispatcher_.UpdateEndpoints(now_, list);
  }

  void ExchangeWithPeer() {
    switch (random_.Below(5)) {
      case 0:
        return dispatcher_.SetReplicationEnabled(!random_.OneIn(4));
      case 1:
        return dispatcher_.SetSessionSync(now_, {.complete = random_.OneIn(2), .lost = random_.OneIn(4)});
      case 2: {
        SessionUpdate update;
        update.session_key = random_.Below(20);
        update.group = static_cast<int>(random_.Below(2));
        update.commit_unix_ms = now_ / 1000 - static_cast<std::int64_t>(random_.Below(100));
        return dispatcher_.ApplyPeerUpdate(now_, update);
      }
      default: {
        ServerUpdate update;
        update.id = std::string(1, static_cast<char>('p' + random_.Below(7)));
        update.role = static_cast<Role>(random_.Below(3));
        update.role_time = now_ - static_cast<Micros>(random_.Below(50)) * kMs;
        update.position_unix_ms =
            random_.OneIn(3) ? 0 : now_ / 1000 - static_cast<std::int64_t>(random_.Below(100));
        return dispatcher_.ApplyPeerUpdate(now_, update);
      }
    }
  }

  void RunTimersUntil(Micros end) {
    for (auto due = dispatcher_.NextTimerExpiry(); due && *due <= end; due = dispatcher_.NextTimerExpiry()) {
      now_ = std::max(now_, *due);
      dispatcher_.Tick(now_);
      CollectCommands();
    }
    now_ = std::max(now_, end);
  }

  void CollectCommands() {
    for (const Command& command : dispatcher_.TakeCommands()) {
      ++commands_;
      std::visit([this](const auto& what) { Hash(what); }, command);
    }
    command_hash_.Signed(dispatcher_.NextTimerExpiry().value_or(0));
    command_hash_.Number(dispatcher_.in_progress());
  }

  void HashState() {
    command_hash_.Text(ToText(dispatcher_.StatisticsAt(now_), ' '));
    // The order of the sessions is not specified.
    std::vector<SessionUpdate> sessions = dispatcher_.SessionSnapshot();
    std::sort(sessions.begin(), sessions.end(), [](const SessionUpdate& a, const SessionUpdate& b) {
      return a.session_key != b.session_key ? a.session_key < b.session_key : a.group < b.group;
    });
    for (const SessionUpdate& session : sessions) HashUpdate(session);
    for (const ServerUpdate& server : dispatcher_.ServerSnapshot()) HashUpdate(server);
  }

  void Hash(const StartAttempt& start) {
    operations_.push_back({start.operation_id, false});
    command_hash_.Number(1);
    command_hash_.Number(start.operation_id);
    command_hash_.Number(start.server);
    command_hash_.Text(start.payload ? start.payload->bytes : "none");
    command_hash_.Signed(start.deadline);
    command_hash_.Signed(start.latest_start);
  }
  void Hash(const StartProbe& start) {
    operations_.push_back({start.operation_id, true});
    command_hash_.Number(2);
    command_hash_.Number(start.operation_id);
    command_hash_.Number(start.server);
  }
  void Hash(const CancelOperation& end) {
    command_hash_.Number(3);
    command_hash_.Number(end.operation_id);
  }
  void Hash(const SetAddress& set) {
    command_hash_.Number(4);
    command_hash_.Number(set.server);
    command_hash_.Text(set.address);
  }
  void Hash(const RemoveServer& forget) {
    command_hash_.Number(5);
    command_hash_.Number(forget.server);
  }
  void Hash(const CloseIdleConnections& close) {
    command_hash_.Number(6);
    command_hash_.Number(close.server);
  }
  void Hash(const SendResponse& answer) {
    command_hash_.Number(7);
    command_hash_.Number(answer.id);
    std::visit([this](const auto& what) { HashAnswer(what); }, answer.response);
    if (std::holds_alternative<StreamingResponse>(answer.response)) streaming_.push_back(answer.id);
  }
  void Hash(const RefreshEndpointList&) { command_hash_.Number(8); }
  void Hash(const ReplicateToPeer& replicate) {
    ++replicated_;
    command_hash_.Number(9);
    std::visit([this](const auto& update) { HashUpdate(update); }, replicate.update);
  }
  void Hash(const WriteLog& log) {
    command_hash_.Number(10);
    command_hash_.Text(log.text);
  }
  void Hash(const TraceStep& trace) {
    trace_hash_.Signed(trace.when);
    trace_hash_.Text(ToText(trace.event));
  }

  void HashAnswer(const ServedResponse& served) {
    command_hash_.Number(1);
    command_hash_.Text(served.result.row_description);
    command_hash_.Text(served.result.value);
    command_hash_.Text(served.result.command_tag);
  }
  void HashAnswer(const RejectedResponse& refused) {
    command_hash_.Number(2);
    command_hash_.Signed(refused.retry_after);
  }
  void HashAnswer(const FailedResponse&) { command_hash_.Number(3); }
  void HashAnswer(const StreamingResponse& streaming) {
    command_hash_.Number(4);
    command_hash_.Text(streaming.stream->row_description());
    command_hash_.Number(streaming.stream->size());
  }

  void HashUpdate(const SessionUpdate& update) {
    command_hash_.Number(1);
    command_hash_.Number(update.session_key);
    command_hash_.Signed(update.group);
    command_hash_.Signed(update.commit_unix_ms);
  }
  void HashUpdate(const ServerUpdate& update) {
    command_hash_.Number(2);
    command_hash_.Text(update.id);
    command_hash_.Number(static_cast<std::uint64_t>(update.role));
    command_hash_.Signed(update.role_time);
    command_hash_.Signed(update.position_unix_ms);
  }

  RunKind kind_;
  SplitMix64 random_;
  Micros now_ = kRunStart;
  Dispatcher dispatcher_;
  Fnv1a command_hash_, trace_hash_;
  std::vector<RequestId> submitted_requests_, streaming_;
  std::vector<StartedOperation> operations_;
  std::uint64_t version_ = 1;
  int submitted_ = 0;
  std::size_t commands_ = 0, streams_ = 0, replicated_ = 0;
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
  EXPECT_GT(run.streams(), 10u);
  EXPECT_GT(counters.served, 50u);
  EXPECT_GT(counters.rejected, 50u);
  EXPECT_GT(counters.failed, 20u);
  EXPECT_GT(counters.disconnected, 20u);
  EXPECT_GT(counters.probes, 20u);
  for (const std::uint64_t outcomes : counters.attempt_outcomes) EXPECT_GT(outcomes, 0u);
  if (GetParam().kind == RunKind::kHotRestart) {
    EXPECT_GT(run.replicated(), 20u);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, CommandOracle,
    testing::Values(RecordedRun{1, RunKind::kPlain, 1786846476656206633ULL, 17373852916687818294ULL},
                    RecordedRun{2, RunKind::kOtherSettings, 15059237532157476997ULL, 13137602012238291220ULL},
                    RecordedRun{3, RunKind::kHotRestart, 4683379989017389805ULL, 2892742800552322956ULL},
                    RecordedRun{4, RunKind::kDrain, 2531727342838313454ULL, 6590235242286808797ULL}));

}  // namespace
}  // namespace tulipyoke
