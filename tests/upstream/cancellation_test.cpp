// Operations whose client leaves, or whose deadline passes. Each brings two events about in the order that is
// not expected: see docs/design/crossings.md.
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <variant>

#include "tests/dispatch/router_harness.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

// Guards against a statement that is sent to its end after its client has left.
TEST_F(UpstreamPoolTest, AStatementIsCutOffWhenItsClientLeaves) {
  OpenIdleConnection();
  const std::string statement(std::size_t{64} << 20, 'x');
  const RequestId id = harness.Submit(statement);
  harness.RunUntilIdle();
  harness.Disconnect(id);
  EXPECT_TRUE(harness.RunUntil([&] { return server.ReadAvailable(0); }));
  EXPECT_LT(server.received[0].size(), statement.size());
  EXPECT_EQ(harness.attempt_outcomes(Status::kNotSent), 1u);
}

// Guards against a request that is sent in the iteration of the loop in which its client left.
TEST_F(UpstreamPoolTest, ARequestWhoseClientLeavesInTheSameIterationIsNotSent) {
  OpenIdleConnection();
  ClientRequest request;
  request.timeout = 20'000'000;
  request.payload = std::make_shared<const RequestPayload>(RequestPayload{"second", 6, 0});
  const RequestId id = harness.dispatcher.Submit(harness.clock.Now(), request);
  harness.Disconnect(id);
  const RequestId third = harness.Submit("third");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "third"); }));
  EXPECT_EQ(server.received[0].find("second"), std::string::npos);
  server.Send(0, Row("v"));
  EXPECT_TRUE(harness.RunUntil([&] { return harness.IsServed(third); }));
}

// A statement that was sent completely and is not idempotent is finished: its outcome tells a commit.
TEST_F(UpstreamPoolTest, ASentStatementIsFinishedThoughItsClientLeft) {
  OpenIdleConnection();
  const RequestId id = harness.Submit("second");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "second"); }));
  harness.Disconnect(id);
  server.Send(0, Row("v"));
  EXPECT_TRUE(harness.RunUntil([&] { return harness.attempt_outcomes(Status::kOk) == 2; }));
}

Settings WithShortDeadline() {
  Settings settings = RouterHarness::SingleClassSettings(Idempotency::kNone);
  settings.classes[0].latency_objective = settings.classes[0].deadline = 300'000;
  return settings;
}

// Guards against an attempt that is reported as one that may have run though its connection never came up:
// its client would be told that it failed, where a retry is safe.
TEST(UpstreamPoolDeadline, AnOperationStillPendingAtTheDeadlineNeverRan) {
  ManualServer server;
  RouterHarness harness(WithShortDeadline());
  harness.Start({RouterHarness::ListedServerAt("a", server.port())});
  const RequestId id = harness.Submit("statement", 300'000);
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.responses.contains(id); }));
  EXPECT_TRUE(std::holds_alternative<RejectedResponse>(harness.responses.at(id)));
  EXPECT_EQ(harness.attempt_outcomes(Status::kConnectFailed), 1u);
}

// Guards against a second answer, or none, where the response is ready when the deadline passes, whichever of
// the two is handled first.
TEST(UpstreamPoolDeadline, AResponseThatIsReadyAtTheDeadlineMakesOneAnswer) {
  for (const bool answer_first : {true, false}) {
    ManualServer server;
    RouterHarness harness(WithShortDeadline());
    harness.Start({RouterHarness::ListedServerAt("a", server.port())});
    const RequestId id = harness.Submit("statement", 300'000);
    ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
    server.CompleteStartup(0);
    ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "statement"); }));
    server.Send(0, Row("v"));
    const auto over = std::chrono::steady_clock::now() + std::chrono::milliseconds(320);
    while (std::chrono::steady_clock::now() < over) {
    }
    harness.clock.BeginIteration();
    if (!answer_first) harness.RunTimers();
    harness.RunUntilIdle();
    EXPECT_EQ(harness.IsServed(id), answer_first);
    const DispatchCounters& counters = harness.dispatcher.counters();
    EXPECT_EQ(counters.served, answer_first ? 1u : 0u);
    EXPECT_EQ(counters.rejected + counters.failed, answer_first ? 0u : 1u);
    EXPECT_EQ(harness.pool.connections(), answer_first ? 1u : 0u);
  }
}

}  // namespace
}  // namespace tulipyoke::net
