// The registry that a router watches, and what a reload of the configuration changes of it.
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

// A registry for one watch: records the request, sends a list of one server in parts, and keeps the
// connection open.
class Agent {
 public:
  explicit Agent(std::uint16_t server) : server_(server), acceptor_(io_, Loopback(0)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~Agent() {
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // To be called once the router has ended or has disconnected.
  std::string asked() {
    thread_.join();
    thread_ = std::thread([] {});
    return asked_.substr(0, asked_.find(" HTTP"));
  }

 private:
  void Serve() {
    std::error_code ignored;
    tcp::socket socket = acceptor_.accept(ignored);
    if (ignored) return;
    asio::read_until(socket, asio::dynamic_buffer(asked_), "\r\n\r\n", ignored);
    const std::string line =
        R"({"revision":9,"complete":true,"members":[{"id":"s1","host_port":"127.0.0.1:)" +
        std::to_string(server_) + "\"}]}\n";
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    asio::write(socket, asio::buffer(head + "a\r\n" + line.substr(0, 10) + "\r\n"), ignored);
    std::array<char, 8> size{};
    std::snprintf(size.data(), size.size(), "%zx", line.size() - 10);
    asio::write(socket, asio::buffer(size.data() + ("\r\n" + line.substr(10)) + "\r\n"), ignored);
    std::array<char, 1> end{};
    socket.read_some(asio::buffer(end), ignored);
  }

  std::uint16_t server_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::string asked_;
  std::thread thread_;
};

// Sends requests until one is answered with `wanted`: it takes a while until a new list is in effect.
std::string FirstValue(RunningServer& router, const std::string& wanted) {
  Peer client = router.Session();
  std::string value;
  for (int i = 0; i < 3000 && value != wanted; ++i) {
    client.Write(Ask(std::to_string(i)));
    const Messages m = client.UntilReady();
    if (m.size() == 4) value = *pg::ParseSingleColumn(m[1].second);
    if (value != wanted) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return value;
}

// A server of a known id is listed at a new address.
TEST(Reload, FollowsTheRegistryToANewAddress) {
  ScriptedServer moved([](const std::string&) { return Row("moved"); });
  Agent agent(moved.port());
  {
    RunningServer router({1}, 256, agent.port());  // the known address refuses
    EXPECT_EQ(FirstValue(router, "moved"), "moved");
  }
  EXPECT_EQ(agent.asked(), "GET /registry/instances?follow=1&since=1");
}

// SIGHUP does not end the program, makes it watch the new address at once, whatever LB_DISCOVERY says, and
// changes nothing where the file is invalid.
TEST(Reload, MovesTheWatchAndIgnoresInvalidConfigurations) {
  ScriptedServer first([](const std::string&) { return Row("first"); });
  ScriptedServer second([](const std::string&) { return Row("second"); });
  Agent before(first.port()), after(second.port());
  const std::string path = testing::TempDir() + "tulipyoke_reload_test.json";
  setenv("LB_CONFIG", path.c_str(), 1);
  setenv("LB_DISCOVERY", ("127.0.0.1:" + std::to_string(before.port())).c_str(), 1);
  {
    RunningServer router({1}, 256, before.port());
    EXPECT_EQ(FirstValue(router, "first"), "first");
    std::ofstream(path) << "{\"name\":";
    kill(getpid(), SIGHUP);
    EXPECT_EQ(FirstValue(router, "first"), "first");
    std::ofstream(path) << R"({"listen":"127.0.0.1:0","settings":{"services":[{"name":"any"}]},)"
                        << R"("discovery":"127.0.0.1:)" << after.port() << "\"}";
    kill(getpid(), SIGHUP);
    EXPECT_EQ(FirstValue(router, "second"), "second");
  }
  unsetenv("LB_CONFIG");
  unsetenv("LB_DISCOVERY");
  std::remove(path.c_str());
  EXPECT_EQ(before.asked(), "GET /registry/instances?follow=1&since=1");
  EXPECT_EQ(after.asked(), "GET /registry/instances?follow=1&since=0");
}

}  // namespace
}  // namespace tulipyoke::net
