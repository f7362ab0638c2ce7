// Limits of clients: which connections are evicted for others, and which requests are rejected.
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

// With more clients than descriptors, idle ones are closed and busy ones served.
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

// New clients do not evict each other before they have sent anything.
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
  Peer second = router.Session();  // both are in by the time that the second is answered
  std::string hello;
  pg::AppendStartup(hello, "api", "ledger");
  first.Write(hello + Ask("first"));
  EXPECT_EQ(first.UntilReady().back().first, 'Z');
  EXPECT_EQ(first.UntilReady()[0].first, 'T');
}

// A connection that is used again and again is worth more than one that was used once.
TEST(ClientLimits, EvictsSingleRequestClientsBeforePooledOnes) {
  ScriptedServer server([](const std::string&) { return Row("v"); });
  RunningServer router({server.port()}, 64);
  Peer pooled = router.Session();
  for (const char* id : {"a", "b"}) {
    pooled.Write(Ask(id));
    EXPECT_EQ(pooled.UntilReady()[0].first, 'T');
  }
  std::vector<Peer> once;
  for (int i = 0; i < 16; ++i) {
    once.push_back(router.Session());
    once.back().Write(Ask(std::to_string(i)));
    EXPECT_EQ(once.back().UntilReady()[0].first, 'T');
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(250));  // then they have surely been idle
  Peer next = router.Session();
  EXPECT_EQ(once[0].Next().first, '\0');
  pooled.Write(Ask("c"));
  EXPECT_EQ(pooled.UntilReady()[0].first, 'T');
}

// Open requests do not take up all places of clients.
TEST(ClientLimits, RejectsRequestsBeyondTheOpenLimit) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string&) {
    const std::lock_guard wait(gate);
    return Row("v");
  });
  RunningServer router({server.port()}, 64);
  std::vector<Peer> asking;
  for (int i = 0; i < 17; ++i) {
    asking.push_back(router.Session());
    asking.back().Write(Ask(std::to_string(i)));
  }
  EXPECT_EQ(CodeOf(asking.back().UntilReady()), "53300");
  gate.unlock();
  EXPECT_EQ(asking[0].UntilReady()[0].first, 'T');
}

// Clients that open a connection for each request do not use up all places.
TEST(ClientListener, EvictsIdleClientsBeforeAllPlacesAreTaken) {
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({Settings{}, 1, {}, {}, 1'000'000});
  const ServingState service;
  ClientListener listener(io, clock, dispatcher, service, {Loopback(0), {100, 100, 4, 1 << 20}});
  listener.StartAccepting();
  std::vector<tcp::socket> clients;
  for (const unsigned wanted : {4u, 8u}) {
    while (clients.size() < wanted) clients.emplace_back(io).connect(Loopback(listener.port()));
    while (listener.counters().accepted < wanted) {
      clock.BeginIteration();
      io.run_one();
    }
    if (wanted == 8) break;
    EXPECT_EQ(listener.counters().evicted, 0u);
    std::this_thread::sleep_for(std::chrono::milliseconds(250));  // then they have surely been idle
  }
  EXPECT_EQ(listener.clients(), 4u);
  EXPECT_EQ(listener.counters().evicted, 4u);
  listener.Stop();
}

// In a burst no new client is rejected while idle ones hold the places. The clock stands still here.
TEST(ClientListener, EvictsOneIdleClientPerNewClientInABurst) {
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({Settings{}, 1, {}, {}, 1'000'000});
  const ServingState service;
  ClientListener listener(io, clock, dispatcher, service, {Loopback(0), {4, 4, 4, 1 << 20}});
  listener.StartAccepting();
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 40; ++i) clients.emplace_back(io).connect(Loopback(listener.port()));
  while (listener.counters().accepted < 40) io.run_one();
  EXPECT_EQ(listener.counters().rejected, 0u);
  EXPECT_EQ(listener.counters().evicted, 36u);
  listener.Stop();
}

// The listener's own rejections carry the same retry-after as those of the decision module.
TEST(ClientListener, SendsRetryAfterAsTheSettingsAllow) {
  for (const bool told : {true, false}) {
    for (const bool out_of_service : {true, false}) {
      asio::io_context io;
      LoopClock clock;
      Settings settings;
      settings.classes.resize(1);
      settings.classes[0].name = "any";
      settings.classes[0].latency_objective = settings.classes[0].deadline = 100'000;
      settings.retry_after = told;
      settings.max_retry_after = 500'000;
      Dispatcher dispatcher({settings, 1, {}, {}, 1'000'000});
      ServingState service;
      service.Start();
      if (out_of_service) service.TakeOutOfService(0);  // long ago
      ClientListener listener(io, clock, dispatcher, service, {Loopback(0), {100, 0, 100, 1 << 20}});
      listener.StartAccepting();
      tcp::socket socket(io);
      socket.connect(Loopback(listener.port()));
      Peer client(std::move(socket), false);
      std::string hello;
      pg::AppendStartup(hello, "api", "ledger");
      client.Write(hello + Ask("1"));
      while (dispatcher.StatisticsAt(clock.Now()).classes[0].dropped == 0) io.run_one();
      client.UntilReady();
      const std::string error = client.UntilReady()[0].second;
      EXPECT_EQ(pg::ParseError(error)->code, out_of_service ? "57P03" : "53300");
      const std::size_t at = error.find(std::string("\0D", 2));
      EXPECT_EQ(at != std::string::npos, told);
      const std::string told_ms = told ? error.c_str() + at + 2 : "";
      EXPECT_EQ(told_ms, !told ? "" : out_of_service ? "20" : "500");
      listener.Stop();
    }
  }
}

}  // namespace
}  // namespace tulipyoke::net
