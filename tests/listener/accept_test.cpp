// Accepting clients, and making room for them, while something else is under way. Each brings two events
// about in the order that is not expected: see docs/design/crossings.md.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <asio.hpp>
#include <chrono>
#include <string>
#include <variant>

#include "src/listener/client_listener.hpp"
#include "src/pg/message_writer.hpp"
#include "tests/dispatch/router_harness.hpp"

namespace tulipyoke::net {
namespace {

// Guards against accepting that goes on after it was paused: the retry delay after an error had just expired.
TEST(ClientListenerAccept, AnExpiredRetryDelayStartsNothingWhileAcceptingIsPaused) {
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({Settings{}, 1, {}, {}, 1'000'000});
  const ServingState service;
  tcp::acceptor held(io, Loopback(0));  // as the platform does
  ListenerOptions options{Loopback(0), {100, 100, 100, 1 << 20}};
  options.accept_fd = ::dup(held.native_handle());
  ClientListener listener(io, clock, dispatcher, service, options);
  listener.StartAccepting();
  ASSERT_EQ(::shutdown(held.native_handle(), SHUT_RDWR), 0);  // accepting fails
  while (listener.counters().accept_errors == 0) io.run_one();
  ASSERT_EQ(::listen(held.native_handle(), 8), 0);
  tcp::socket client(io);
  client.connect(Loopback(listener.port()));
  const auto over = std::chrono::steady_clock::now() + std::chrono::milliseconds(30);
  while (std::chrono::steady_clock::now() < over) {
  }
  bool ran = false;
  asio::post(io, [&] { ran = true; });
  while (!ran) io.poll_one();  // what is due now waits behind it
  listener.PauseAccepting();
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(listener.counters().accepted, 0u);
  listener.StartAccepting();
  while (listener.counters().accepted == 0) io.run_one();
  listener.Stop();
}

// Guards against a client that is closed in the middle of its request: a peer process of this router
// announces itself, idle clients are evicted for it, and a client whose request is being read looks idle.
TEST(ClientListenerEviction, EvictionWhileARequestIsReadDoesNotCloseItsClient) {
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({RouterHarness::SingleClassSettings(Idempotency::kNone), 1, {}, {}, 1'000'000});
  dispatcher.Start(clock.Now(), EndpointList{1, true, {}});
  const ServingState service;
  ClientListener* told = nullptr;
  ListenerOptions options{Loopback(0), {100, 100, 100, 1 << 20}};
  options.before_request = [&] { told->SetLimits({0, 100, 100, 1 << 20}); };
  ClientListener listener(io, clock, dispatcher, service, options);
  told = &listener;
  listener.StartAccepting();
  tcp::socket socket(io);
  socket.connect(Loopback(listener.port()));
  Peer client(std::move(socket), false);
  std::string hello;
  pg::AppendStartup(hello, "api", "ledger");
  client.Write(hello + Ask("1"));
  while (dispatcher.counters().received == 0) io.run_one();
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(listener.clients(), 1u);
  for (const Command& command : dispatcher.TakeCommands()) {
    if (const auto* answer = std::get_if<SendResponse>(&command))
      listener.Deliver(answer->id, answer->response);
  }
  client.UntilReady();
  EXPECT_EQ(CodeOf(client.UntilReady()), "53300");
  listener.Stop();
}

}  // namespace
}  // namespace tulipyoke::net
