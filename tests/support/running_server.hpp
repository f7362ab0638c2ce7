// A complete router in a thread of its own, and clients for it.
#ifndef TULIPYOKE_TESTS_SUPPORT_RUNNING_SERVER_HPP_
#define TULIPYOKE_TESTS_SUPPORT_RUNNING_SERVER_HPP_

#include <gtest/gtest.h>
#include <unistd.h>

#include <asio.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/config/config.hpp"
#include "src/server/server.hpp"
#include "standins/pg_peer.hpp"

namespace tulipyoke::net {

using namespace standins;  // NOLINT: of the tests, for brevity

// Runs a router until it is stopped, by the signal that stops it in service.
class RunningServer {
 public:
  using Adjust = std::function<void(Config&)>;
  explicit RunningServer(
      const std::vector<std::uint16_t>& servers, int sockets = 256, std::uint16_t discovery = 1,
      const Adjust& adjust = [](Config&) {}) {
    std::string members;
    for (const std::uint16_t port : servers) {
      members += (members.empty() ? "" : ",") + std::string(R"({"id":"s)") + std::to_string(port) +
                 R"(","host_port":"127.0.0.1:)" + std::to_string(port) + R"(","phase":"in_service"})";
    }
    Config config = ParseConfig(
        R"({"name":"n","listen":"127.0.0.1:0","operator":"127.0.0.1:0","discovery":"127.0.0.1:)" +
        std::to_string(discovery) + R"(","limits":{"memory_mb":64,"sockets":)" + std::to_string(sockets) +
        R"(},"known":{"revision":1,"complete":true,"members":[)" + members +
        R"(]},"settings":{"services":[{"name":"any","aim":20000000,"deadline":20000000,"semantics":"free"}],
           "domain":{"freshness":["loose"]},
           "policy_limits":{"retry_after":true,"max_retry_after":500000}}})");
    adjust(config);
    server_ = std::make_unique<Server>(config);
    thread_ = std::thread([this] { server_->Run(); });
  }
  ~RunningServer() { Stop(); }
  void Stop() {
    if (!thread_.joinable()) return;
    kill(getpid(), SIGTERM);
    thread_.join();
  }
  // Of the event loop; to be called once the router has stopped.
  std::uint64_t iterations() const { return server_->iterations(); }
  std::uint16_t port() const { return server_->port(); }
  Peer Connect() {
    tcp::socket socket(io_);
    socket.connect(Loopback(server_->port()));
    return Peer(std::move(socket), false);
  }
  tcp::socket ConnectToAdminServer(const std::string& bytes) {
    tcp::socket socket(io_);
    socket.connect(Loopback(server_->admin_port()));
    asio::write(socket, asio::buffer(bytes));
    return socket;
  }
  // The complete response to one request.
  std::string Call(const std::string& bytes) {
    tcp::socket socket = ConnectToAdminServer(bytes);
    std::string answer;
    std::error_code end;
    asio::read(socket, asio::dynamic_buffer(answer), end);
    return answer;
  }
  std::string Call(const std::string& method, const std::string& path) {
    return Call(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  Peer Session() {
    Peer peer = Connect();
    std::string hello;
    pg::AppendStartup(hello, "api", "ledger");
    peer.Write(hello);
    EXPECT_EQ(peer.UntilReady().back().first, 'Z');
    return peer;
  }

 private:
  asio::io_context io_;
  std::unique_ptr<Server> server_;
  std::thread thread_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_TESTS_SUPPORT_RUNNING_SERVER_HPP_
