// Tests requests that a client sends after a write of the same session, on the same connection and before the
// response to the write.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "src/dispatch/dispatcher.hpp"
#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

// A Dispatcher with a fake clock, a primary and a replica. A write is in flight.
class WriteBarrierTest : public testing::Test {
 protected:
  WriteBarrierTest() : dispatcher({TestSettings(), 1, {}, {}, 250 * kMs}) {
    dispatcher.Start(now, EndpointList{1, true, {ReadyServer("p", true), ReadyServer("r", false)}});
    write = Submit(kKeyedWrite, {});
    CollectCommands();
  }
  static ListedServer ReadyServer(const std::string& id, bool is_primary) {
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
  void CollectCommands() {
    for (const Command& command : dispatcher.TakeCommands()) {
      if (const auto* attempt = std::get_if<StartAttempt>(&command)) attempts.push_back(*attempt);
      if (const auto* send = std::get_if<SendResponse>(&command)) responses.emplace(send->id, send->response);
    }
  }
  void AdvanceTo(Micros end) {
    for (auto expiry = dispatcher.NextTimerExpiry(); expiry && *expiry <= end;
         expiry = dispatcher.NextTimerExpiry()) {
      now = std::max(now, *expiry);
      dispatcher.Tick(now);
      CollectCommands();
    }
    now = end;
  }
  bool IsRejected(RequestId id) {
    const auto it = responses.find(id);
    return it != responses.end() && std::holds_alternative<RejectedResponse>(it->second);
  }

  Micros now = 1'767'225'600 * kSecond;
  Dispatcher dispatcher;
  std::vector<StartAttempt> attempts;
  std::map<RequestId, Response> responses;
  RequestId write = 0;
};

// Guards against sending a read before the commit that it must see is known.
TEST_F(WriteBarrierTest, AFollowingReadIsSentOnceTheCommitIsKnown) {
  ASSERT_EQ(attempts.size(), 1u);
  Submit(kSessionRead, write);
  CollectCommands();
  EXPECT_EQ(attempts.size(), 1u);
  now += 10 * kMs;
  Outcome outcome{.status = Status::kOk, .result = {"s", "v", "t"}};
  outcome.role = Role::kPrimary;
  outcome.position_unix_ms = now / 1000;
  dispatcher.OperationWritten(attempts[0].operation_id);
  dispatcher.OperationFinished(now, attempts[0].operation_id, outcome);
  CollectCommands();
  ASSERT_TRUE(responses.contains(write));
  // No replica has reported the commit, so the read is not sent to a replica, which could be too far behind.
  for (std::size_t i = 1; i < attempts.size(); ++i) EXPECT_NE(attempts[i].server, 2u);
  EXPECT_EQ(dispatcher.SessionSnapshot().size(), 1u);
}

// Guards against a request that waits for a preceding write for longer than its own timeout allows.
TEST_F(WriteBarrierTest, AFollowingReadIsRejectedAfterHalfOfItsTimeout) {
  const RequestId following = Submit(kSessionRead, write);
  CollectCommands();
  AdvanceTo(now + 499 * kMs);
  EXPECT_FALSE(responses.contains(following));
  AdvanceTo(now + 2 * kMs);
  EXPECT_TRUE(IsRejected(following));
  EXPECT_EQ(attempts.size(), 1u);
}

// Guards against a request that waits forever for a write whose client has disconnected, and against sending
// a waiting request whose own client has disconnected.
TEST_F(WriteBarrierTest, DisconnectsEndTheWait) {
  const RequestId following = Submit(kSessionRead, write);
  const RequestId disconnected = Submit(kSessionRead, write);
  dispatcher.ClientDisconnected(now, disconnected);
  dispatcher.ClientDisconnected(now, write);
  CollectCommands();
  EXPECT_FALSE(responses.contains(disconnected));
  AdvanceTo(now + 2 * kSecond);
  EXPECT_TRUE(responses.contains(following));
  EXPECT_FALSE(responses.contains(disconnected));
  EXPECT_EQ(dispatcher.in_progress(), 0u);
}

// Guards against failing a waiting request at the drain deadline although it was never sent.
TEST_F(WriteBarrierTest, ADrainDeadlineRejectsAWaitingRequest) {
  const RequestId following = Submit(kSessionRead, write);
  dispatcher.SetDrainDeadline(now + 100 * kMs);
  AdvanceTo(now + 101 * kMs);
  EXPECT_TRUE(IsRejected(following));
}

// Guards against a timeout that starts when the request is submitted: a request that arrived long ago is
// rejected without an attempt, and one that arrived recently has the remaining time.
TEST_F(WriteBarrierTest, TheTimeoutStartsAtTheArrival) {
  const RequestId late = Submit(kAnyRead, {}, now - kSecond);
  CollectCommands();
  EXPECT_TRUE(IsRejected(late));
  EXPECT_EQ(attempts.size(), 1u);
  Submit(kAnyRead, {}, now - 100 * kMs);
  CollectCommands();
  ASSERT_EQ(attempts.size(), 2u);
  EXPECT_EQ(attempts[1].deadline, now + 300 * kMs);  // 400 ms latency objective
}

}  // namespace
}  // namespace tulipyoke
