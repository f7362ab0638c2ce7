// A request that was sent behind a write of its session, on the same connection and before that was answered.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "src/dispatch/dispatcher.hpp"
#include "tests/scene.hpp"

namespace tulipyoke {
namespace {

// The exchange on a fake clock; a primary and a replica are known.
class WriteBarrierTest : public testing::Test {
 protected:
  WriteBarrierTest() : dispatcher({TestSettings(), 1, {}, {}, 250 * kMs}) {
    dispatcher.Start(now, EndpointList{1, true, {Listed("p", true), Listed("r", false)}});
    write = Submit(kKeyedWrite, {});
    Collect();
  }
  static ListedServer Listed(const std::string& id, bool is_primary) {
    ListedServer server;
    server.id = id;
    server.address = "127.0.0.1:1";
    server.state = ServerState::kReady;
    server.is_primary = is_primary;
    return server;
  }
  RequestId Submit(int class_index, std::optional<RequestId> preceding_write,
                   std::optional<Micros> arrival_time = {}) {
    ClientRequest request;
    request.class_index = class_index;
    request.timeout = kSecond;
    request.session_key = 5;
    request.arrival_time = arrival_time;
    request.preceding_write = preceding_write;
    return dispatcher.Submit(now, request);
  }
  void Collect() {
    for (const Command& command : dispatcher.TakeCommands()) {
      if (const auto* attempt = std::get_if<StartAttempt>(&command)) attempts.push_back(*attempt);
      if (const auto* answer = std::get_if<SendResponse>(&command))
        answers.emplace(answer->id, answer->response);
    }
  }
  void PassUntil(Micros when) {
    for (auto due = dispatcher.NextTimerExpiry(); due && *due <= when; due = dispatcher.NextTimerExpiry()) {
      now = std::max(now, *due);
      dispatcher.Tick(now);
      Collect();
    }
    now = when;
  }
  bool IsRefused(RequestId id) {
    const auto it = answers.find(id);
    return it != answers.end() && std::holds_alternative<RejectedResponse>(it->second);
  }

  Micros now = 1'767'225'600 * kSecond;
  Dispatcher dispatcher;
  std::vector<StartAttempt> attempts;
  std::map<RequestId, Response> answers;
  RequestId write = 0;
};

// Guards against a read that is begun before the commit that it has to see is known.
TEST_F(WriteBarrierTest, ItsFollowerIsBegunOnceItsCommitIsKnown) {
  ASSERT_EQ(attempts.size(), 1u);
  Submit(kSessionRead, write);
  Collect();
  EXPECT_EQ(attempts.size(), 1u);
  now += 10 * kMs;
  Outcome outcome{.status = Status::kOk, .result = {"s", "v", "t"}};
  outcome.role = Role::kPrimary;
  outcome.position_unix_ms = now / 1000;
  dispatcher.OperationWritten(attempts[0].operation_id);
  dispatcher.OperationFinished(now, attempts[0].operation_id, outcome);
  Collect();
  ASSERT_TRUE(answers.contains(write));
  // No replica has shown the commit: the read is not begun at one that could be too far behind.
  for (std::size_t i = 1; i < attempts.size(); ++i) EXPECT_NE(attempts[i].server, 2u);
  EXPECT_EQ(dispatcher.SessionSnapshot().size(), 1u);
}

// Guards against a follower that waits for longer than its own time leaves.
TEST_F(WriteBarrierTest, AFollowerIsRefusedByHalfOfItsTime) {
  const RequestId follower = Submit(kSessionRead, write);
  Collect();
  PassUntil(now + 499 * kMs);
  EXPECT_FALSE(answers.contains(follower));
  PassUntil(now + 2 * kMs);
  EXPECT_TRUE(IsRefused(follower));
  EXPECT_EQ(attempts.size(), 1u);
}

// Guards against a follower that waits for ever for a write whose client has left, and one that is begun for
// a client that has left itself.
TEST_F(WriteBarrierTest, LeavingEndsWhatWaits) {
  const RequestId follower = Submit(kSessionRead, write);
  const RequestId gone = Submit(kSessionRead, write);
  dispatcher.ClientDisconnected(now, gone);
  dispatcher.ClientDisconnected(now, write);
  Collect();
  EXPECT_FALSE(answers.contains(gone));
  PassUntil(now + 2 * kSecond);
  EXPECT_TRUE(answers.contains(follower));
  EXPECT_FALSE(answers.contains(gone));
  EXPECT_EQ(dispatcher.in_progress(), 0u);
}

// Guards against a planned end that fails what waits and was never sent.
TEST_F(WriteBarrierTest, APlannedEndRefusesAFollower) {
  const RequestId follower = Submit(kSessionRead, write);
  dispatcher.SetDrainDeadline(now + 100 * kMs);
  PassUntil(now + 101 * kMs);
  EXPECT_TRUE(IsRefused(follower));
}

// Guards against time that counts from when a request is handed in: one that came long ago is refused without
// an attempt, one that came a moment ago has what is left.
TEST_F(WriteBarrierTest, TimeCountsFromTheArrival) {
  const RequestId late = Submit(kAnyRead, {}, now - kSecond);
  Collect();
  EXPECT_TRUE(IsRefused(late));
  EXPECT_EQ(attempts.size(), 1u);
  Submit(kAnyRead, {}, now - 100 * kMs);
  Collect();
  ASSERT_EQ(attempts.size(), 2u);
  EXPECT_EQ(attempts[1].deadline, now + 300 * kMs);  // of an aim of 400 ms
}

}  // namespace
}  // namespace tulipyoke
