// Compares the commands of long seeded runs with recorded hashes. A refactoring must not change the commands,
// their order or their contents; a change of behaviour must record new hashes and state the reason. Commands
// are hashed as numbers and strings, so that type names do not affect the hashes.
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
#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

constexpr int kEventsPerRun = 6000;
constexpr Micros kRunStart = 1'767'225'600 * kSecond;
constexpr Micros kFinalWait = 20 * kSecond;

enum class RunKind { kDefaultSettings, kOtherSettings, kHotRestart, kDrain };

struct RecordedRun {
  std::uint64_t seed;
  RunKind kind;
  std::uint64_t command_hash;  // all commands except TraceStep, and the state read in between
  std::uint64_t trace_hash;    // TraceStep commands only
};

std::ostream& operator<<(std::ostream& out, const RecordedRun& run) { return out << "seed " << run.seed; }

Settings SettingsOf(RunKind kind) {
  Settings settings = TestSettings();
  settings.tenants.resize(2);
  settings.position_epoch = kRunStart - 600 * kSecond + 500;  // half a millisecond off a whole one
  if (kind == RunKind::kOtherSettings) {
    settings.listed_role = ListedRole::kNever;
    settings.max_attempts = 2;
    settings.token_mode = TokenMode::kSentByClient;
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
    for (int i = 0; i < 4; ++i) known.servers.push_back(MakeServer(i, ServerState::kReady));
    dispatcher_.Start(now_, known);
    CollectCommands();
  }

  void Run() {
    for (int step = 0; step < kEventsPerRun; ++step) {
      ProduceEvent(step);
      // Sometimes several events are handled before their commands are taken.
      if (!random_.OneIn(6)) CollectCommands();
      now_ += static_cast<Micros>(random_.Below(4000));
      if (!random_.OneIn(3)) RunTimersUntil(now_);
    }
    CollectCommands();
    RunTimersUntil(now_ + kFinalWait);
    HashState();
    command_hash_.AddText(ToText(dispatcher_.counters()));
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
    bool is_probe = false;
  };

  ListedServer MakeServer(int index, ServerState state) {
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

  void ProduceEvent(int step) {
    const std::uint64_t choice = random_.Below(100);
    if (choice < 30) {
      Submit();
    } else if (choice < 62) {
      FinishOperation();
    } else if (choice < 80) {
      MarkOperationWritten();
    } else if (choice < 84) {
      if (!submitted_requests_.empty()) {
        dispatcher_.ClientDisconnected(now_, PickRecent(submitted_requests_));
      }
    } else if (choice < 88) {
      BeginRandomStream();
    } else if (choice < 92) {
      if (!streaming_.empty()) dispatcher_.StreamDelivered(PickRecent(streaming_));
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
    command_hash_.AddNumber(submitted_requests_.back());
  }

  // May return one that has ended, so that every kind of event occurs at every stage.
  template <typename T>
  T PickRecent(const std::vector<T>& all) {
    constexpr std::uint64_t kLatest = 12;
    return all[all.size() - 1 - random_.Below(std::min<std::uint64_t>(all.size(), kLatest))];
  }

  std::optional<StartedOperation> PickOperation() {
    if (operations_.empty()) return std::nullopt;
    return PickRecent(operations_);
  }

  void FinishOperation() {
    const std::optional<StartedOperation> operation = PickOperation();
    if (!operation) return;
    Outcome outcome;
    outcome.status = random_.OneIn(2) ? Status::kOk : static_cast<Status>(random_.Below(9));
    if (outcome.status == Status::kOk) outcome.result = {"shape", "value", "tag"};
    outcome.role = static_cast<Role>(random_.Below(3));
    if (!random_.OneIn(3)) {
      outcome.position_unix_ms = now_ / 1000 - static_cast<std::int64_t>(random_.Below(300));
    }
    if (operation->is_probe) {
      outcome.report = {{"x0", static_cast<double>(now_ / 1000) - static_cast<double>(random_.Below(300))},
                        {"x1", random_.OneIn(2) ? 1.0 : 0.0},
                        {"other", 3.0}};
    }
    dispatcher_.OperationFinished(now_, operation->operation_id, outcome);
  }

  void MarkOperationWritten() {
    if (const std::optional<StartedOperation> operation = PickOperation()) {
      dispatcher_.OperationWritten(operation->operation_id);
    }
  }

  void BeginRandomStream() {
    const std::optional<StartedOperation> operation = PickOperation();
    if (!operation) return;
    const auto stream = dispatcher_.BeginStream(now_, operation->operation_id, "large", 40'000);
    command_hash_.AddNumber(stream ? 1 : 0);
    if (stream) ++streams_;
  }

  void UpdateEndpoints() {
    EndpointList list{++version_, random_.OneIn(3), {}};
    for (int i = 0; i < 6; ++i) {
      if (!list.complete && !random_.OneIn(3)) continue;
      if (list.complete && random_.OneIn(5)) continue;
      const bool ready = !random_.OneIn(4);
      list.servers.push_back(
          MakeServer(i, ready ? ServerState::kReady : static_cast<ServerState>(random_.Below(3))));
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
    for (auto expiry = dispatcher_.NextTimerExpiry(); expiry && *expiry <= end;
         expiry = dispatcher_.NextTimerExpiry()) {
      now_ = std::max(now_, *expiry);
      dispatcher_.Tick(now_);
      CollectCommands();
    }
    now_ = std::max(now_, end);
  }

  void CollectCommands() {
    for (const Command& command : dispatcher_.TakeCommands()) {
      ++commands_;
      std::visit([this](const auto& typed_command) { Hash(typed_command); }, command);
    }
    command_hash_.AddSigned(dispatcher_.NextTimerExpiry().value_or(0));
    command_hash_.AddNumber(dispatcher_.in_progress());
  }

  void HashState() {
    command_hash_.AddText(ToText(dispatcher_.StatisticsAt(now_), ' '));
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
    command_hash_.AddNumber(1);
    command_hash_.AddNumber(start.operation_id);
    command_hash_.AddNumber(start.server);
    command_hash_.AddText(start.payload ? start.payload->bytes : "none");
    command_hash_.AddSigned(start.deadline);
    command_hash_.AddSigned(start.latest_start);
  }
  void Hash(const StartProbe& start) {
    operations_.push_back({start.operation_id, true});
    command_hash_.AddNumber(2);
    command_hash_.AddNumber(start.operation_id);
    command_hash_.AddNumber(start.server);
  }
  void Hash(const CancelOperation& cancel) {
    command_hash_.AddNumber(3);
    command_hash_.AddNumber(cancel.operation_id);
  }
  void Hash(const SetAddress& set) {
    command_hash_.AddNumber(4);
    command_hash_.AddNumber(set.server);
    command_hash_.AddText(set.address);
  }
  void Hash(const RemoveServer& remove) {
    command_hash_.AddNumber(5);
    command_hash_.AddNumber(remove.server);
  }
  void Hash(const CloseIdleConnections& close) {
    command_hash_.AddNumber(6);
    command_hash_.AddNumber(close.server);
  }
  void Hash(const SendResponse& send) {
    command_hash_.AddNumber(7);
    command_hash_.AddNumber(send.id);
    std::visit([this](const auto& response) { HashResponse(response); }, send.response);
    if (std::holds_alternative<StreamingResponse>(send.response)) streaming_.push_back(send.id);
  }
  void Hash(const RefreshEndpointList&) { command_hash_.AddNumber(8); }
  void Hash(const ReplicateToPeer& replicate) {
    ++replicated_;
    command_hash_.AddNumber(9);
    std::visit([this](const auto& update) { HashUpdate(update); }, replicate.update);
  }
  void Hash(const WriteLog& log) {
    command_hash_.AddNumber(10);
    command_hash_.AddText(log.text);
  }
  void Hash(const TraceStep& step) {
    trace_hash_.AddSigned(step.when);
    trace_hash_.AddText(ToText(step.event));
  }

  void HashResponse(const ServedResponse& served) {
    command_hash_.AddNumber(1);
    command_hash_.AddText(served.result.row_description);
    command_hash_.AddText(served.result.value);
    command_hash_.AddText(served.result.command_tag);
  }
  void HashResponse(const RejectedResponse& rejected) {
    command_hash_.AddNumber(2);
    command_hash_.AddSigned(rejected.retry_after);
  }
  void HashResponse(const FailedResponse&) { command_hash_.AddNumber(3); }
  void HashResponse(const StreamingResponse& streaming) {
    command_hash_.AddNumber(4);
    command_hash_.AddText(streaming.stream->row_description());
    command_hash_.AddNumber(streaming.stream->size());
  }

  void HashUpdate(const SessionUpdate& update) {
    command_hash_.AddNumber(1);
    command_hash_.AddNumber(update.session_key);
    command_hash_.AddSigned(update.group);
    command_hash_.AddSigned(update.commit_unix_ms);
  }
  void HashUpdate(const ServerUpdate& update) {
    command_hash_.AddNumber(2);
    command_hash_.AddText(update.id);
    command_hash_.AddNumber(static_cast<std::uint64_t>(update.role));
    command_hash_.AddSigned(update.role_time);
    command_hash_.AddSigned(update.position_unix_ms);
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

TEST_P(CommandOracle, CommandsMatchTheRecordedHashes) {
  const RecordedRun& recorded = GetParam();
  SeededRun run(recorded);
  run.Run();
  EXPECT_EQ(run.command_hash(), recorded.command_hash);
  EXPECT_EQ(run.trace_hash(), recorded.trace_hash);
}

// Guards against a run that covers too little: every kind of event and outcome must occur.
TEST_P(CommandOracle, TheRunCoversEveryKindOfEvent) {
  SeededRun run(GetParam());
  run.Run();
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
    testing::Values(RecordedRun{1, RunKind::kDefaultSettings, 1786846476656206633ULL,
                                17373852916687818294ULL},
                    RecordedRun{2, RunKind::kOtherSettings, 15059237532157476997ULL, 13137602012238291220ULL},
                    RecordedRun{3, RunKind::kHotRestart, 4683379989017389805ULL, 2892742800552322956ULL},
                    RecordedRun{4, RunKind::kDrain, 2531727342838313454ULL, 6590235242286808797ULL}));

}  // namespace
}  // namespace tulipyoke
