// Tests the registry watch of a router, and how a configuration reload changes it.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "src/pg/message_parser.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_writer.hpp"
#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

// A registry that serves one watch: it records the request, sends a list of one server in several parts, and
// keeps the connection open.
class FakeRegistry {
 public:
  explicit FakeRegistry(std::uint16_t server_port) : server_port_(server_port), acceptor_(io_, Loopback(0)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~FakeRegistry() {
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Returns the request line without the version. Must be called after the router has stopped or
  // disconnected.
  std::string request_line() {
    thread_.join();
    thread_ = std::thread([] {});
    return request_.substr(0, request_.find(" HTTP"));
  }

 private:
  void Serve() {
    std::error_code ignored;
    tcp::socket socket = acceptor_.accept(ignored);
    if (ignored) return;
    asio::read_until(socket, asio::dynamic_buffer(request_), "\r\n\r\n", ignored);
    const std::string line =
        R"({"revision":9,"complete":true,"members":[{"id":"s1","host_port":"127.0.0.1:)" +
        std::to_string(server_port_) + "\"}]}\n";
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    asio::write(socket, asio::buffer(head + "a\r\n" + line.substr(0, 10) + "\r\n"), ignored);
    std::array<char, 8> size{};
    std::snprintf(size.data(), size.size(), "%zx", line.size() - 10);
    asio::write(socket, asio::buffer(size.data() + ("\r\n" + line.substr(10)) + "\r\n"), ignored);
    std::array<char, 1> until_closed{};
    socket.read_some(asio::buffer(until_closed), ignored);
  }

  std::uint16_t server_port_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::string request_;
  std::thread thread_;
};

// Sends requests until a response has the value `expected`, because a new endpoint list takes effect with a
// delay. Returns the last value.
std::string LastValueUntil(RunningServer& router, const std::string& expected) {
  Peer client = router.Session();
  std::string value;
  for (int i = 0; i < 3000 && value != expected; ++i) {
    client.Write(Ask(std::to_string(i)));
    const Messages messages = client.UntilReady();
    if (messages.size() == 4) value = *pg::ParseSingleColumn(messages[1].second);
    if (value != expected) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return value;
}

// A server with a known id is listed at a new address.
TEST(Reload, FollowsTheRegistryToANewAddress) {
  ScriptedServer moved_server([](const std::string&) { return Row("moved"); });
  FakeRegistry registry(moved_server.port());
  {
    RunningServer router({1}, 256, registry.port());  // the known address refuses connections
    EXPECT_EQ(LastValueUntil(router, "moved"), "moved");
  }
  EXPECT_EQ(registry.request_line(), "GET /registry/instances?follow=1&since=1");
}

// SIGHUP does not terminate the program. It redirects the watch to the new address at once, regardless of
// LB_DISCOVERY, and changes nothing if the file is invalid.
TEST(Reload, RedirectsTheWatchAndIgnoresInvalidConfigurations) {
  ScriptedServer old_server([](const std::string&) { return Row("first"); });
  ScriptedServer new_server([](const std::string&) { return Row("second"); });
  FakeRegistry old_registry(old_server.port()), new_registry(new_server.port());
  const std::string path = testing::TempDir() + "tulipyoke_reload_test.json";
  setenv("LB_CONFIG", path.c_str(), 1);
  setenv("LB_DISCOVERY", ("127.0.0.1:" + std::to_string(old_registry.port())).c_str(), 1);
  {
    RunningServer router({1}, 256, old_registry.port());
    EXPECT_EQ(LastValueUntil(router, "first"), "first");
    std::ofstream(path) << "{\"name\":";
    kill(getpid(), SIGHUP);
    EXPECT_EQ(LastValueUntil(router, "first"), "first");
    std::ofstream(path) << R"({"listen":"127.0.0.1:0","settings":{"services":[{"name":"any"}]},)"
                        << R"("discovery":"127.0.0.1:)" << new_registry.port() << "\"}";
    kill(getpid(), SIGHUP);
    EXPECT_EQ(LastValueUntil(router, "second"), "second");
  }
  unsetenv("LB_CONFIG");
  unsetenv("LB_DISCOVERY");
  std::remove(path.c_str());
  EXPECT_EQ(old_registry.request_line(), "GET /registry/instances?follow=1&since=1");
  EXPECT_EQ(new_registry.request_line(), "GET /registry/instances?follow=1&since=0");
}

}  // namespace
}  // namespace tulipyoke::net
