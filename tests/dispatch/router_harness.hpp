// A Dispatcher and an UpstreamPool that run in the thread of the test. The test runs the event loop and
// decides which bytes a server sends, so that it controls the order of concurrent events.
#ifndef TULIPYOKE_TESTS_DISPATCH_ROUTER_HARNESS_HPP_
#define TULIPYOKE_TESTS_DISPATCH_ROUTER_HARNESS_HPP_

#include <gtest/gtest.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/dispatch/dispatcher.hpp"
#include "src/upstream/upstream_pool.hpp"
#include "standins/pg_peer.hpp"

namespace tulipyoke::net {

using namespace standins;  // NOLINT: test code only

class RouterHarness {
 public:
  static Settings SingleClassSettings(Idempotency idempotency) {
    Settings settings;
    ClassSettings class_settings;
    class_settings.name = "any";
    class_settings.latency_objective = class_settings.deadline = 20'000'000;
    class_settings.idempotency = idempotency;
    class_settings.retry_window = 20'000'000;
    settings.classes.push_back(class_settings);
    return settings;
  }
  explicit RouterHarness(const Settings& settings = SingleClassSettings(Idempotency::kNone),
                         Micros idle_close = 60'000'000)
      : dispatcher({settings, 1, {}, {}, 20'000'000}),
        pool(io, clock, dispatcher, {20'000'000, idle_close, 8}) {}
  ~RouterHarness() { pool.Stop(); }

  static ListedServer ListedServerAt(const std::string& id, std::uint16_t port,
                                     ServerState state = ServerState::kReady) {
    ListedServer server;
    server.id = id;
    server.address = "127.0.0.1:" + std::to_string(port);
    server.state = state;
    server.started_unix_ms = 1;  // long ago: no slow start
    return server;
  }
  void Start(const std::vector<ListedServer>& servers) {
    dispatcher.Start(clock.Now(), EndpointList{1, true, servers});
    RunTimers();
  }
  void UpdateServer(const ListedServer& server) {
    dispatcher.UpdateEndpoints(clock.Now(), EndpointList{++list_version_, false, {server}});
    RunTimers();
  }
  RequestId Submit(const std::string& statement, Micros timeout = 20'000'000,
                   std::optional<std::int64_t> last_write_unix_ms = {}) {
    ClientRequest request;
    request.timeout = timeout;
    request.last_write_unix_ms = last_write_unix_ms;
    request.payload = std::make_shared<const RequestPayload>(RequestPayload{statement, statement.size(), 0});
    const RequestId id = dispatcher.Submit(clock.Now(), request);
    RunTimers();
    return id;
  }
  void Disconnect(RequestId id) {
    dispatcher.ClientDisconnected(clock.Now(), id);
    RunTimers();
  }
  // Polls the sockets, so that the handlers of all socket events up to now are queued but not run.
  void AwaitSocketEvents() {
    bool ran = false;
    asio::post(io, [&] { ran = true; });
    while (!ran) io.poll_one();
  }
  // Runs as many iterations of the loop as there are ready handlers. As in the router, timers are handled
  // after the other handlers of an iteration.
  void RunUntilIdle() {
    for (bool ran = true; ran; RunTimers()) {
      clock.BeginIteration();
      for (ran = false; io.poll_one() > 0; ran = true) ExecuteCommands();
    }
  }
  // Runs the loop until `done` returns true. Returns false and fails the test if that takes over ten seconds.
  template <typename Done>
  bool RunUntil(const Done& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    bool is_done = done();
    for (; !is_done && std::chrono::steady_clock::now() < end; is_done = done()) {
      clock.BeginIteration();
      io.run_one_for(std::chrono::milliseconds(1));
      RunTimers();
    }
    EXPECT_TRUE(is_done);
    return is_done;
  }
  void RunTimers() {
    dispatcher.Tick(clock.Now());
    ExecuteCommands();
  }
  void ExecuteCommands() {
    for (auto commands = dispatcher.TakeCommands(); !commands.empty(); commands = dispatcher.TakeCommands()) {
      for (const Command& command : commands) {
        std::visit([this](const auto& typed_command) { Execute(typed_command); }, command);
      }
    }
  }
  bool IsServed(RequestId id) {
    const auto found = responses.find(id);
    return found != responses.end() && std::holds_alternative<ServedResponse>(found->second);
  }
  std::uint64_t attempt_outcomes(Status status) const {
    return dispatcher.counters().attempt_outcomes[IndexOf(status)];
  }

  asio::io_context io;
  LoopClock clock;
  Dispatcher dispatcher;
  UpstreamPool pool;
  std::map<RequestId, Response> responses;

 private:
  void Execute(const StartAttempt& start) { pool.Start(start); }
  void Execute(const CancelOperation& cancel) { pool.Cancel(cancel.operation_id); }
  void Execute(const SetAddress& set) { pool.SetAddress(set.server, set.address); }
  void Execute(const RemoveServer& remove) { pool.RemoveServer(remove.server); }
  void Execute(const SendResponse& send) { responses.emplace(send.id, send.response); }
  // All other commands are ignored.
  template <typename Other>
  void Execute(const Other&) {}

  std::uint64_t list_version_ = 1;
};

// A listening server whose connections the test reads and writes itself. Connections are numbered in the
// order in which they were accepted.
class ManualServer {
 public:
  ManualServer() : acceptor_(io_, Loopback(0)) { acceptor_.non_blocking(true); }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Accepts the next connection. Returns false if none is pending.
  bool Accept() {
    std::error_code error;
    tcp::socket socket = acceptor_.accept(error);
    if (error) return false;
    socket.non_blocking(true, error);
    sockets.push_back(std::move(socket));
    received.emplace_back();
    return true;
  }
  // Reads all bytes that have arrived on the connection. Returns true if it is closed or broken.
  bool ReadAvailable(std::size_t connection) {
    std::array<char, 65536> bytes;
    for (;;) {
      std::error_code error;
      const std::size_t size = sockets[connection].read_some(asio::buffer(bytes), error);
      received[connection].append(bytes.data(), size);
      if (error == asio::error::would_block) return false;
      if (error) return true;
    }
  }
  // Whether the bytes received so far on the connection contain the text.
  bool Received(std::size_t connection, const std::string& text) {
    ReadAvailable(connection);
    return received[connection].find(text) != std::string::npos;
  }
  void Send(std::size_t connection, const std::string& bytes) {
    std::error_code ignored;
    asio::write(sockets[connection], asio::buffer(bytes), ignored);
  }
  void CompleteStartup(std::size_t connection) {
    std::string hello;
    pg::AppendAuthenticationOk(hello);
    pg::AppendReadyForQuery(hello);
    Send(connection, hello);
  }

 private:
  asio::io_context io_;
  tcp::acceptor acceptor_;

 public:
  std::vector<tcp::socket> sockets;
  std::vector<std::string> received;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_TESTS_DISPATCH_ROUTER_HARNESS_HPP_
