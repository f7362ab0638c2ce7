// Operations whose client leaves, or whose deadline passes. Each brings two events about in the order that is
// not expected: see docs/design/crossings.md.
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <variant>

#include "tests/rig.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

// Guards against a statement that is sent to its end after its client has left.
TEST_F(UpstreamPoolTest, AStatementIsCutOffWhenItsClientLeaves) {
  OpenIdleConnection();
  const std::string statement(std::size_t{64} << 20, 'x');
  const RequestId id = rig.Ask(statement);
  rig.Settle();
  rig.Leave(id);
  EXPECT_TRUE(rig.Until([&] { return server.Drain(0); }));
  EXPECT_LT(server.got[0].size(), statement.size());
  EXPECT_EQ(rig.outcomes(Status::kMoot), 1u);
}

// Guards against a request that is sent in the iteration of the loop in which its client left.
TEST_F(UpstreamPoolTest, ARequestWhoseClientLeavesInTheSameIterationIsNotSent) {
  OpenIdleConnection();
  ClientRequest request;
  request.wait = 20'000'000;
  request.payload = std::make_shared<const Payload>(Payload{"second", 6, 0});
  const RequestId id = rig.exchange.Submit(rig.clock.Now(), request);
  rig.Leave(id);
  const RequestId third = rig.Ask("third");
  ASSERT_TRUE(rig.Until([&] { return server.Got(0, "third"); }));
  EXPECT_EQ(server.got[0].find("second"), std::string::npos);
  server.Say(0, Row("v"));
  EXPECT_TRUE(rig.Until([&] { return rig.Served(third); }));
}

// A statement that was sent completely and is not idempotent is finished: its outcome tells a commit.
TEST_F(UpstreamPoolTest, ASentStatementIsFinishedThoughItsClientLeft) {
  OpenIdleConnection();
  const RequestId id = rig.Ask("second");
  ASSERT_TRUE(rig.Until([&] { return server.Got(0, "second"); }));
  rig.Leave(id);
  server.Say(0, Row("v"));
  EXPECT_TRUE(rig.Until([&] { return rig.outcomes(Status::kOk) == 2; }));
}

Settings WithShortDeadline() {
  Settings settings = Rig::OneClass(Effect::kUnsafe);
  settings.classes[0].aim = settings.classes[0].deadline = 300'000;
  return settings;
}

// Guards against an attempt that is reported as one that may have run though its connection never came up:
// its client would be told that it failed, where a retry is safe.
TEST(UpstreamPoolDeadline, AnOperationStillPendingAtTheDeadlineNeverRan) {
  HeldServer server;
  Rig rig(WithShortDeadline());
  rig.Know({Rig::Listed("a", server.port())});
  const RequestId id = rig.Ask("statement", 300'000);
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  ASSERT_TRUE(rig.Until([&] { return rig.answers.contains(id); }));
  EXPECT_TRUE(std::holds_alternative<Refused>(rig.answers.at(id)));
  EXPECT_EQ(rig.outcomes(Status::kConnectFailed), 1u);
}

// Guards against a second answer, or none, where the response is ready when the deadline passes, whichever of
// the two is handled first.
TEST(UpstreamPoolDeadline, AResponseThatIsReadyAtTheDeadlineMakesOneAnswer) {
  for (const bool answer_first : {true, false}) {
    HeldServer server;
    Rig rig(WithShortDeadline());
    rig.Know({Rig::Listed("a", server.port())});
    const RequestId id = rig.Ask("statement", 300'000);
    ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
    server.Greet(0);
    ASSERT_TRUE(rig.Until([&] { return server.Got(0, "statement"); }));
    server.Say(0, Row("v"));
    const auto over = std::chrono::steady_clock::now() + std::chrono::milliseconds(320);
    while (std::chrono::steady_clock::now() < over) {
    }
    rig.clock.NewTurn();
    if (!answer_first) rig.Carry();
    rig.Settle();
    EXPECT_EQ(rig.Served(id), answer_first);
    const ExchangeCounters& counters = rig.exchange.counters();
    EXPECT_EQ(counters.served, answer_first ? 1u : 0u);
    EXPECT_EQ(counters.refused + counters.failed, answer_first ? 0u : 1u);
    EXPECT_EQ(rig.pool.connections(), answer_first ? 1u : 0u);
  }
}

}  // namespace
}  // namespace tulipyoke::net
