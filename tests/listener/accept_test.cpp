// Accepting clients, and making room for them, while something else is under way. Each brings two events
// about in the order that is not expected: see docs/design/crossings.md.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <asio.hpp>
#include <chrono>
#include <string>
#include <variant>

#include "src/net/front.hpp"
#include "src/pg/message_writer.hpp"
#include "tests/rig.hpp"

namespace tulipyoke::net {
namespace {

// Guards against accepting that goes on after it was paused: the retry delay after an error had just expired.
TEST(ClientFrontAccept, AnExpiredRetryDelayStartsNothingWhileAcceptingIsPaused) {
  asio::io_context io;
  LoopClock clock;
  Exchange exchange({Settings{}, 1, {}, {}, 1'000'000});
  const Service service;
  tcp::acceptor held(io, Loopback(0));  // as the platform does
  FrontOptions options{Loopback(0), {100, 100, 100, 1 << 20}};
  options.accept_fd = ::dup(held.native_handle());
  ClientFront front(io, clock, exchange, service, options);
  front.StartAccepting();
  ASSERT_EQ(::shutdown(held.native_handle(), SHUT_RDWR), 0);  // accepting fails
  while (front.counters().accept_errors == 0) io.run_one();
  ASSERT_EQ(::listen(held.native_handle(), 8), 0);
  tcp::socket client(io);
  client.connect(Loopback(front.port()));
  const auto over = std::chrono::steady_clock::now() + std::chrono::milliseconds(30);
  while (std::chrono::steady_clock::now() < over) {
  }
  bool ran = false;
  asio::post(io, [&] { ran = true; });
  while (!ran) io.poll_one();  // what is due now waits behind it
  front.PauseAccepting();
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(front.counters().accepted, 0u);
  front.StartAccepting();
  while (front.counters().accepted == 0) io.run_one();
  front.Stop();
}

// Guards against a client that is closed in the middle of its request: a peer process of this router
// announces itself, idle clients are evicted for it, and a client whose request is being read looks idle.
TEST(ClientFrontEviction, EvictionWhileARequestIsReadDoesNotCloseItsClient) {
  asio::io_context io;
  LoopClock clock;
  Exchange exchange({Rig::OneClass(Effect::kUnsafe), 1, {}, {}, 1'000'000});
  exchange.Start(clock.Now(), Listing{1, true, {}});
  const Service service;
  ClientFront* told = nullptr;
  FrontOptions options{Loopback(0), {100, 100, 100, 1 << 20}};
  options.before_request = [&] { told->Resize({0, 100, 100, 1 << 20}); };
  ClientFront front(io, clock, exchange, service, options);
  told = &front;
  front.StartAccepting();
  tcp::socket socket(io);
  socket.connect(Loopback(front.port()));
  Peer client(std::move(socket), false);
  std::string hello;
  pg::AppendStartup(hello, "api", "ledger");
  client.Write(hello + Ask("1"));
  while (exchange.counters().taken == 0) io.run_one();
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(front.clients(), 1u);
  for (const Command& command : exchange.TakeCommands()) {
    if (const auto* answer = std::get_if<AnswerRequest>(&command)) front.Deliver(answer->id, answer->answer);
  }
  client.UntilReady();
  EXPECT_EQ(CodeOf(client.UntilReady()), "53300");
  front.Stop();
}

}  // namespace
}  // namespace tulipyoke::net
