// Races while clients are accepted or evicted. Each test makes two events occur in the unexpected order; see
// docs/design/crossings.md.
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

// Guards against accepting a client after PauseAccepting: the retry delay after an accept error has expired,
// and its handler is already queued when accepting is paused.
TEST(ClientListenerAccept, PauseCancelsAnAlreadyExpiredRetryDelay) {
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({Settings{}, 1, {}, {}, 1'000'000});
  const ServingState serving_state;
  tcp::acceptor shared_acceptor(io, Loopback(0));  // a shared listening socket, as provided by the platform
  ListenerOptions options{Loopback(0), {100, 100, 100, 1 << 20}};
  options.accept_fd = ::dup(shared_acceptor.native_handle());
  ClientListener listener(io, clock, dispatcher, serving_state, options);
  listener.StartAccepting();
  ASSERT_EQ(::shutdown(shared_acceptor.native_handle(), SHUT_RDWR), 0);  // makes accept fail
  while (listener.counters().accept_errors == 0) io.run_one();
  ASSERT_EQ(::listen(shared_acceptor.native_handle(), 8), 0);
  tcp::socket client(io);
  client.connect(Loopback(listener.port()));
  const auto delay_end = std::chrono::steady_clock::now() + std::chrono::milliseconds(30);
  while (std::chrono::steady_clock::now() < delay_end) {
  }
  bool marker_ran = false;
  asio::post(io, [&] { marker_ran = true; });
  while (!marker_ran) io.poll_one();  // the expired timer's handler is queued after this one
  listener.PauseAccepting();
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(listener.counters().accepted, 0u);
  listener.StartAccepting();
  while (listener.counters().accepted == 0) io.run_one();
  listener.Stop();
}

// Guards against closing a client in the middle of its request: a peer process announces itself, idle clients
// are evicted for it, and a client whose request is being submitted still looks idle.
TEST(ClientListenerEviction, DoesNotCloseAClientWhoseRequestIsBeingSubmitted) {
  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher({RouterHarness::SingleClassSettings(Idempotency::kNone), 1, {}, {}, 1'000'000});
  dispatcher.Start(clock.Now(), EndpointList{1, true, {}});
  const ServingState serving_state;
  ClientListener* listener_pointer = nullptr;
  ListenerOptions options{Loopback(0), {100, 100, 100, 1 << 20}};
  options.before_request = [&] { listener_pointer->SetLimits({0, 100, 100, 1 << 20}); };
  ClientListener listener(io, clock, dispatcher, serving_state, options);
  listener_pointer = &listener;
  listener.StartAccepting();
  tcp::socket socket(io);
  socket.connect(Loopback(listener.port()));
  Peer client(std::move(socket), false);
  std::string startup;
  pg::AppendStartup(startup, "api", "ledger");
  client.Write(startup + Ask("1"));
  while (dispatcher.counters().received == 0) io.run_one();
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(listener.clients(), 1u);
  for (const Command& command : dispatcher.TakeCommands()) {
    if (const auto* send_response = std::get_if<SendResponse>(&command))
      listener.Deliver(send_response->id, send_response->response);
  }
  client.UntilReady();
  EXPECT_EQ(CodeOf(client.UntilReady()), "53300");
  listener.Stop();
}

}  // namespace
}  // namespace tulipyoke::net
