// Tests connections to servers: malformed responses, disconnects, and attempts that start too late.
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

// After a malformed response or a disconnect, the client receives the value from another server.
TEST(UpstreamPool, MalformedResponsesAndDisconnectsAreRetriedOnAnotherServer) {
  for (const char* malformed_response : {"", "\xff\xff\xff\xff\xff garbage"}) {
    ScriptedServer faulty([&](const std::string&) { return std::string(malformed_response); });
    // Delays the first response until the other server has received a request: because this server has one in
    // flight, the second request is sent to the other one.
    ScriptedServer healthy([&](const std::string&) {
      while (faulty.queries().empty()) std::this_thread::yield();
      return Row("sound");
    });
    RunningServer router({faulty.port(), healthy.port()});
    Peer first = router.Session();
    Peer second = router.Session();
    first.Write(Ask("1"));
    second.Write(Ask("2"));
    for (Peer* client : {&first, &second}) {
      const Messages messages = client->UntilReady();
      ASSERT_EQ(messages.size(), 4u);
      EXPECT_EQ(*pg::ParseSingleColumn(messages[1].second), "sound");
    }
    EXPECT_EQ(faulty.queries().size(), 1u);
  }
}

// Data that follows a valid response must not be used as the response to a later request.
TEST(UpstreamPool, UnsolicitedDataIsNotTakenForTheNextResponse) {
  for (const std::string extra_data : {"again", "S", "\xff\xff\xff\xff\xff noise"}) {
    ScriptedServer server([&](const std::string& query) {
      const std::string row = Row(query.substr(query.find("id="), 4));
      return row + (extra_data == "again" ? row : extra_data);
    });
    RunningServer router({server.port()});
    Peer client = router.Session();
    for (const std::string id : {"1", "2", "3"}) {
      client.Write(Ask(id));
      const Messages messages = client.UntilReady();
      ASSERT_EQ(messages.size(), 4u);
      EXPECT_EQ(*pg::ParseSingleColumn(messages[1].second), "id=" + id);
    }
  }
}

// A retry whose connection took too long to be established must not be started.
TEST(UpstreamPool, DoesNotStartExpiredAttempts) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({Settings{}, 1, {}, {}, 1'000'000});
  UpstreamPool pool(io, clock, dispatcher, {30'000'000, 30'000'000, 8});
  pool.SetAddress(1, "127.0.0.1:" + std::to_string(server.port()));
  const auto payload = std::make_shared<const RequestPayload>(RequestPayload{"late", 0, 0});
  const auto in_time = std::make_shared<const RequestPayload>(RequestPayload{" is d", 0, 0});
  const Micros far_deadline = clock.Now() + 60'000'000;
  pool.Start(StartAttempt{1, 1, payload, far_deadline, clock.Now() - 1});
  pool.Start(StartAttempt{2, 1, in_time, far_deadline, far_deadline});
  while (server.queries().empty() && clock.Now() < far_deadline) {
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
