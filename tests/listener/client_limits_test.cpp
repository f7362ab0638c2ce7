// Client limits: which connections are evicted for new ones, and which requests are rejected.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/listener/client_listener.hpp"
#include "src/pg/message_parser.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_writer.hpp"
#include "src/serving_state/serving_state.hpp"
#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

// With more clients than descriptors allow, idle clients are closed and active ones are served.
TEST(ClientLimits, EvictsIdleClientsForNewOnes) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  RunningServer router({server.port()}, 64);
  std::vector<Peer> idle;
  for (int i = 0; i < 60; ++i) idle.push_back(router.Session());
  Peer client = router.Session();
  client.Write(Ask("1"));
  EXPECT_EQ(client.UntilReady()[0].first, 'T');
  EXPECT_EQ(idle[0].Next().first, '\0');
}

// A new client does not evict another new client that has not sent anything yet.
TEST(ClientLimits, DoesNotEvictANewClientBeforeItsFirstRequest) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  RunningServer router({server.port()}, 64);
  std::vector<Peer> idle;
  for (int i = 0; i < 17; ++i) {
    idle.push_back(router.Session());
    idle.back().Write(Ask(std::to_string(i)));
    EXPECT_EQ(idle.back().UntilReady()[0].first, 'T');
  }
  Peer first = router.Connect();
  Peer second = router.Session();  // once it is ready, both have been accepted
  std::string startup;
  pg::AppendStartup(startup, "api", "ledger");
  first.Write(startup + Ask("first"));
  EXPECT_EQ(first.UntilReady().back().first, 'Z');
  EXPECT_EQ(first.UntilReady()[0].first, 'T');
}

// Connections that served a single request are evicted before those that are reused.
TEST(ClientLimits, EvictsSingleRequestClientsBeforeReusedConnections) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  RunningServer router({server.port()}, 64);
  Peer reused = router.Session();
  for (const char* id : {"a", "b"}) {
    reused.Write(Ask(id));
    EXPECT_EQ(reused.UntilReady()[0].first, 'T');
  }
  std::vector<Peer> single_request;
  for (int i = 0; i < 16; ++i) {
    single_request.push_back(router.Session());
    single_request.back().Write(Ask(std::to_string(i)));
    EXPECT_EQ(single_request.back().UntilReady()[0].first, 'T');
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(250));  // longer than kMinIdleForEviction
  Peer next = router.Session();
  EXPECT_EQ(single_request[0].Next().first, '\0');
  reused.Write(Ask("c"));
  EXPECT_EQ(reused.UntilReady()[0].first, 'T');
}

// Open requests must not use up all client connections.
TEST(ClientLimits, RejectsRequestsBeyondTheOpenLimit) {
  std::mutex response_mutex;
  response_mutex.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard guard(response_mutex);
    return Row("v");
  });
  RunningServer router({server.port()}, 64);
  std::vector<Peer> requesting;
  for (int i = 0; i < 17; ++i) {
    requesting.push_back(router.Session());
    requesting.back().Write(Ask(std::to_string(i)));
  }
  EXPECT_EQ(CodeOf(requesting.back().UntilReady()), "53300");
  response_mutex.unlock();
  EXPECT_EQ(requesting[0].UntilReady()[0].first, 'T');
}

// Clients that open a connection per request must not use up all connections.
TEST(ClientListener, EvictsIdleClientsAtTheEvictionThreshold) {
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({Settings{}, 1, {}, {}, 1'000'000});
  const ServingState serving_state;
  ClientListener listener(io, clock, dispatcher, serving_state, {Loopback(0), {100, 100, 4, 1 << 20}});
  listener.StartAccepting();
  std::vector<tcp::socket> clients;
  for (const unsigned client_count : {4u, 8u}) {
    while (clients.size() < client_count) clients.emplace_back(io).connect(Loopback(listener.port()));
    while (listener.counters().accepted < client_count) {
      clock.BeginIteration();
      io.run_one();
    }
    if (client_count == 8) break;
    EXPECT_EQ(listener.counters().evicted, 0u);
    std::this_thread::sleep_for(std::chrono::milliseconds(250));  // longer than kMinIdleForEviction
  }
  EXPECT_EQ(listener.clients(), 4u);
  EXPECT_EQ(listener.counters().evicted, 4u);
  listener.Stop();
}

// In a burst no new client is rejected while idle clients can be evicted. The clock does not advance here.
TEST(ClientListener, EvictsOneIdleClientPerNewClientInABurst) {
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({Settings{}, 1, {}, {}, 1'000'000});
  const ServingState serving_state;
  ClientListener listener(io, clock, dispatcher, serving_state, {Loopback(0), {4, 4, 4, 1 << 20}});
  listener.StartAccepting();
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 40; ++i) clients.emplace_back(io).connect(Loopback(listener.port()));
  while (listener.counters().accepted < 40) io.run_one();
  EXPECT_EQ(listener.counters().rejected, 0u);
  EXPECT_EQ(listener.counters().evicted, 36u);
  listener.Stop();
}

// The listener's own rejections carry a retry-after only if the settings allow it, as those of the decision
// module do.
TEST(ClientListener, SendsRetryAfterOnlyIfSettingsAllow) {
  for (const bool sends_retry_after : {true, false}) {
    for (const bool out_of_service : {true, false}) {
      asio::io_context io;
      LoopClock clock;
      Settings settings;
      settings.classes.resize(1);
      settings.classes[0].name = "any";
      settings.classes[0].latency_objective = settings.classes[0].deadline = 100'000;
      settings.retry_after = sends_retry_after;
      settings.max_retry_after = 500'000;
      Dispatcher dispatcher({settings, 1, {}, {}, 1'000'000});
      ServingState serving_state;
      serving_state.Start();
      if (out_of_service) serving_state.TakeOutOfService(0);  // more than kOutOfServiceGrace ago
      ClientListener listener(io, clock, dispatcher, serving_state, {Loopback(0), {100, 0, 100, 1 << 20}});
      listener.StartAccepting();
      tcp::socket socket(io);
      socket.connect(Loopback(listener.port()));
      Peer client(std::move(socket), false);
      std::string startup;
      pg::AppendStartup(startup, "api", "ledger");
      client.Write(startup + Ask("1"));
      while (dispatcher.StatisticsAt(clock.Now()).classes[0].dropped == 0) io.run_one();
      client.UntilReady();
      const std::string error = client.UntilReady()[0].second;
      EXPECT_EQ(pg::ParseError(error)->code, out_of_service ? "57P03" : "53300");
      const std::size_t detail_offset = error.find(std::string("\0D", 2));
      EXPECT_EQ(detail_offset != std::string::npos, sends_retry_after);
      const std::string retry_after_ms = sends_retry_after ? error.c_str() + detail_offset + 2 : "";
      EXPECT_EQ(retry_after_ms, !sends_retry_after ? "" : out_of_service ? "20" : "500");
      listener.Stop();
    }
  }
}

}  // namespace
}  // namespace tulipyoke::net
