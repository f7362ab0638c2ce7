// Responses that are malformed, never end, or are errors. Each brings two events about in the order that is
// not expected: see docs/design/crossings.md.
#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "src/pg/message_writer.hpp"
#include "tests/rig.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

// Guards against a response without end that keeps its request open, or fills the memory.
TEST(UpstreamPoolMalformed, AResponseThatNeverEndsTimesOut) {
  Settings settings = Rig::OneClass(Effect::kSafe);
  settings.classes[0].aim = 300'000;
  HeldServer server;
  Rig rig(settings);
  rig.Know({Rig::Listed("a", server.port())});
  const RequestId id = rig.Ask("statement");
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  server.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return server.Got(0, "statement"); }));
  std::string more;
  pg::AppendParameterStatus(more, "more", std::string(1000, 'x'));
  ASSERT_TRUE(rig.Until([&] {
    server.Say(0, more);
    return rig.answers.contains(id);
  }));
  EXPECT_TRUE(std::holds_alternative<Refused>(rig.answers.at(id)));
  EXPECT_EQ(rig.pool.connections(), 0u);
}

// Guards against a valid response that follows a malformed one and is taken for the next query's, and against
// two attempts at once: the malformed one's connection is closed before the next server hears anything.
TEST(UpstreamPoolMalformed, AResponseBehindAMalformedOneIsIgnored) {
  HeldServer first, second;
  Rig rig(Rig::OneClass(Effect::kSafe));
  rig.Know({Rig::Listed("a", first.port())});
  const RequestId id = rig.Ask("statement");
  ASSERT_TRUE(rig.Until([&] { return first.Came(); }));
  first.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return first.Got(0, "statement"); }));
  rig.Tell(Rig::Listed("b", second.port()));
  std::string malformed;
  pg::AppendMessage(malformed, 'W', "no such message");
  first.Say(0, malformed + Row("not asked for"));
  ASSERT_TRUE(rig.Until([&] { return second.Came(); }));
  EXPECT_TRUE(first.Drain(0));  // not a turn later
  second.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return second.Got(0, "statement"); }));
  second.Say(0, Row("v"));
  ASSERT_TRUE(rig.Until([&] { return rig.Served(id); }));
  EXPECT_EQ(std::get<Served>(rig.answers.at(id)).value.value, "v");
  EXPECT_EQ(rig.outcomes(Status::kError), 1u);
}

// Guards against one attempt more than the settings allow, where each fails and another server is available.
TEST(UpstreamPoolRetries, TheLastAllowedAttemptIsTheLast) {
  Settings settings = Rig::OneClass(Effect::kSafe);
  settings.max_attempts = 2;
  HeldServer servers[3];
  Rig rig(settings);
  rig.Know({Rig::Listed("0", servers[0].port())});
  const RequestId id = rig.Ask("statement");
  std::string error;
  pg::AppendError(error, "ERROR", "XX000", "it may have run");
  pg::AppendReadyForQuery(error);
  for (std::size_t i = 0; i < 2; ++i) {
    ASSERT_TRUE(rig.Until([&] { return servers[i].Came(); }));
    servers[i].Greet(0);
    ASSERT_TRUE(rig.Until([&] { return servers[i].Got(0, "statement"); }));
    rig.Tell(Rig::Listed(std::to_string(i + 1), servers[i + 1].port()));
    EXPECT_FALSE(rig.answers.contains(id));
    servers[i].Say(0, error);
  }
  ASSERT_TRUE(rig.Until([&] { return rig.answers.contains(id); }));
  EXPECT_TRUE(std::holds_alternative<Refused>(rig.answers.at(id)));
  rig.Settle();
  EXPECT_FALSE(servers[2].Came());
}

}  // namespace
}  // namespace tulipyoke::net
