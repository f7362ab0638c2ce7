// The exchange and the servers' side in the test's own thread: it says when the loop turns, and its servers
// are sockets that it holds itself, so that it chooses which of two events is heard of first.
#ifndef TULIPYOKE_TESTS_RIG_HPP_
#define TULIPYOKE_TESTS_RIG_HPP_

#include <gtest/gtest.h>

#include <asio.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/exchange/exchange.hpp"
#include "src/net/pool.hpp"
#include "standins/pg_peer.hpp"

namespace tulipyoke::net {

using namespace standins;  // NOLINT: of the tests, for brevity

class Rig {
 public:
  static Settings OneClass(Effect effect) {
    Settings settings;
    ClassSettings c;
    c.name = "any";
    c.aim = c.deadline = 20'000'000;
    c.effect = effect;
    c.repeat_window = 20'000'000;
    settings.classes.push_back(c);
    return settings;
  }
  explicit Rig(const Settings& settings = OneClass(Effect::kUnsafe), Micros idle_close = 60'000'000)
      : exchange({settings, 1, {}, {}, 20'000'000}), pool(io, clock, exchange, {20'000'000, idle_close, 8}) {}
  ~Rig() { pool.Stop(); }

  static ListedServer Listed(const std::string& id, std::uint16_t port,
                             ServerState state = ServerState::kReady) {
    ListedServer server;
    server.id = id;
    server.address = "127.0.0.1:" + std::to_string(port);
    server.state = state;
    server.started_unix_ms = 1;  // long ago: it is warm
    return server;
  }
  void Know(const std::vector<ListedServer>& servers) {
    exchange.Start(clock.Now(), Listing{1, true, servers});
    Carry();
  }
  void Tell(const ListedServer& server) {
    exchange.Heard(clock.Now(), Listing{++version_, false, {server}});
    Carry();
  }
  RequestId Ask(const std::string& statement, Micros wait = 20'000'000,
                std::optional<std::int64_t> after_unix_ms = {}) {
    ClientRequest request;
    request.wait = wait;
    request.after_unix_ms = after_unix_ms;
    request.payload = std::make_shared<const Payload>(Payload{statement, statement.size(), 0});
    const RequestId id = exchange.Submit(clock.Now(), request);
    Carry();
    return id;
  }
  void Leave(RequestId id) {
    exchange.ClientLeft(clock.Now(), id);
    Carry();
  }
  // What the sockets have to say by now waits in the loop, of which no handler has run.
  void Gather() {
    bool ran = false;
    asio::post(io, [&] { ran = true; });
    while (!ran) io.poll_one();
  }
  // All that is there to be done now, in as many turns as it takes: as the node has it, timers run behind the
  // handlers of a turn.
  void Settle() {
    for (bool ran = true; ran; Carry()) {
      clock.BeginIteration();
      for (ran = false; io.poll_one() > 0; ran = true) CarryOut();
    }
  }
  // False, and a failure, where it never comes to that.
  template <typename Done>
  bool Until(const Done& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    bool is = done();
    for (; !is && std::chrono::steady_clock::now() < end; is = done()) {
      clock.BeginIteration();
      io.run_one_for(std::chrono::milliseconds(1));
      Carry();
    }
    EXPECT_TRUE(is);
    return is;
  }
  void Carry() {
    exchange.Tick(clock.Now());
    CarryOut();
  }
  void CarryOut() {
    for (auto commands = exchange.TakeCommands(); !commands.empty(); commands = exchange.TakeCommands()) {
      for (const Command& command : commands) {
        if (const auto* attempt = std::get_if<StartAttempt>(&command)) pool.Start(*attempt);
        if (const auto* end = std::get_if<EndTicket>(&command)) pool.End(end->ticket);
        if (const auto* to = std::get_if<SetAddress>(&command)) pool.SetAddress(to->server, to->address);
        if (const auto* forget = std::get_if<ForgetServer>(&command)) pool.Forget(forget->server);
        if (const auto* answer = std::get_if<AnswerRequest>(&command))
          answers.emplace(answer->id, answer->answer);
      }
    }
  }
  bool Served(RequestId id) {
    const auto it = answers.find(id);
    return it != answers.end() && std::holds_alternative<tulipyoke::Served>(it->second);
  }
  std::uint64_t outcomes(Status status) const {
    return exchange.counters().outcomes[static_cast<std::size_t>(status)];
  }

  asio::io_context io;
  LoopClock clock;
  Exchange exchange;
  ServerPool pool;
  std::map<RequestId, Answer> answers;

 private:
  std::uint64_t version_ = 1;
};

// A server's machine, with one socket for each connection, in the order in which they came.
class HeldServer {
 public:
  HeldServer() : acceptor_(io_, Loopback(0)) { acceptor_.non_blocking(true); }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // The next connection has come up, as far as the kernel is concerned.
  bool Came() {
    std::error_code error;
    tcp::socket socket = acceptor_.accept(error);
    if (error) return false;
    socket.non_blocking(true, error);
    sockets.push_back(std::move(socket));
    got.emplace_back();
    return true;
  }
  // All that has come by now on the connection; true once that has ended.
  bool Drain(std::size_t which) {
    std::array<char, 65536> bytes;
    for (;;) {
      std::error_code error;
      const std::size_t size = sockets[which].read_some(asio::buffer(bytes), error);
      got[which].append(bytes.data(), size);
      if (error == asio::error::would_block) return false;
      if (error) return true;
    }
  }
  // Whether it has come to hold that.
  bool Got(std::size_t which, const std::string& text) {
    Drain(which);
    return got[which].find(text) != std::string::npos;
  }
  void Say(std::size_t which, const std::string& bytes) {
    std::error_code ignored;
    asio::write(sockets[which], asio::buffer(bytes), ignored);
  }
  void Greet(std::size_t which) {
    std::string hello;
    pg::AppendAuthenticationOk(hello);
    pg::AppendReady(hello);
    Say(which, hello);
  }

 private:
  asio::io_context io_;
  tcp::acceptor acceptor_;

 public:
  std::vector<tcp::socket> sockets;
  std::vector<std::string> got;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_TESTS_RIG_HPP_
