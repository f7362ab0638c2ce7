// The connections to servers: malformed answers, disconnects, and attempts that come too late.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/pg/message_parser.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_writer.hpp"
#include "src/upstream/upstream_pool.hpp"
#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

// A malformed answer or a disconnect does not reach the client: another server's value does.
TEST(UpstreamPool, MalformedAnswersAndDisconnectsAreRetriedElsewhere) {
  for (const char* nonsense : {"", "\xff\xff\xff\xff\xff garbage"}) {
    ScriptedServer bad([&](const std::string&) { return std::string(nonsense); });
    // Holds the first request until the other server has had one: by its load, the second is sent there.
    ScriptedServer sound([&](const std::string&) {
      while (bad.queries().empty()) std::this_thread::yield();
      return Row("sound");
    });
    RunningServer router({bad.port(), sound.port()});
    Peer first = router.Session();
    Peer second = router.Session();
    first.Write(Ask("1"));
    second.Write(Ask("2"));
    for (Peer* client : {&first, &second}) {
      const Messages m = client->UntilReady();
      ASSERT_EQ(m.size(), 4u);
      EXPECT_EQ(*pg::ParseSingleColumn(m[1].second), "sound");
    }
    EXPECT_EQ(bad.queries().size(), 1u);
  }
}

// Data that follows a valid answer belongs to no later request.
TEST(UpstreamPool, UnsolicitedDataIsNotTakenForTheNextAnswer) {
  for (const std::string more : {"again", "S", "\xff\xff\xff\xff\xff noise"}) {
    ScriptedServer server([&](const std::string& query) {
      const std::string row = Row(query.substr(query.find("id="), 4));
      return row + (more == "again" ? row : more);
    });
    RunningServer router({server.port()});
    Peer client = router.Session();
    for (const std::string id : {"1", "2", "3"}) {
      client.Write(Ask(id));
      const Messages m = client.UntilReady();
      ASSERT_EQ(m.size(), 4u);
      EXPECT_EQ(*pg::ParseSingleColumn(m[1].second), "id=" + id);
    }
  }
}

// A retry whose connection took too long to come up is not started any more.
TEST(UpstreamPool, DoesNotStartExpiredAttempts) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({Settings{}, 1, {}, {}, 1'000'000});
  UpstreamPool pool(io, clock, dispatcher, {30'000'000, 30'000'000, 8});
  pool.SetAddress(1, "127.0.0.1:" + std::to_string(server.port()));
  const auto payload = std::make_shared<const RequestPayload>(RequestPayload{"late", 0, 0});
  const auto in_time = std::make_shared<const RequestPayload>(RequestPayload{" is d", 0, 0});
  const Micros far = clock.Now() + 60'000'000;
  pool.Start(StartAttempt{1, 1, payload, far, clock.Now() - 1});
  pool.Start(StartAttempt{2, 1, in_time, far, far});
  while (server.queries().empty() && clock.Now() < far) {
    clock.BeginIteration();
    io.run_one();
  }
  const std::vector<std::string> queries = server.queries();
  ASSERT_EQ(queries.size(), 1u);
  EXPECT_TRUE(queries[0].ends_with(" is d")) << queries[0];
  pool.Stop();
}

}  // namespace
}  // namespace tulipyoke::net
