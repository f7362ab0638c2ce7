// Hot restart of a complete router: beside a second router, or beside a bare socket in the place of the peer.
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

// During a hot restart no client is rejected, and exactly one process accepts clients.
TEST(HotRestart, NewerProcessTakesTheClientsAndOlderOneDrains) {
  std::mutex gate;
  gate.lock();
  ScriptedServer server([&](const std::string& query) {
    if (query.find("id=slow") != std::string::npos) const std::lock_guard wait(gate);
    return Row("v");
  });
  asio::io_context io;
  tcp::acceptor shared_listener(io, Loopback(0));  // as the platform holds it
  const std::string folder = testing::TempDir() + "tulipyoke_hot_restart_pair";
  std::filesystem::create_directories(folder);
  const auto beside = [&](Config& config) {
    config.accept_fd = ::dup(shared_listener.native_handle());
    config.shared_directory = folder;
  };
  RunningServer older({server.port()}, 256, 1, beside);
  EXPECT_TRUE(older.Call("GET", "/control/ready").starts_with("HTTP/1.1 200 "));
  Peer busy = older.Session();
  Peer kept = older.Session();
  busy.Write(Ask("slow"));
  while (server.queries().empty()) std::this_thread::yield();
  RunningServer newer({server.port()}, 256, 1, beside);
  while (newer.Call("GET", "/control/ready").find(" 200 ") == std::string::npos) std::this_thread::yield();
  while (older.Call("GET", "/control/ready").find(" 503 ") == std::string::npos) std::this_thread::yield();
  for (int i = 0; i < 10; ++i) {
    Peer client = older.Session();
    client.Write(Ask(std::to_string(i)) + Query(""));
    EXPECT_EQ(client.UntilReady()[0].first, 'T');
    EXPECT_EQ(client.UntilReady()[0].first, 'I');
  }
  EXPECT_NE(newer.Call("GET", "/control/counters").find("passed.any=10\n"), std::string::npos);
  kept.Write(Query(""));  // the router takes clients, in another process
  EXPECT_EQ(kept.UntilReady()[0].first, 'I');
  EXPECT_EQ(kept.Next().first, '\0');
  gate.unlock();
  EXPECT_EQ(busy.UntilReady()[0].first, 'T');
  EXPECT_EQ(busy.Next().first, '\0');
  newer.Stop();  // the signal reaches both
  older.Stop();
  std::filesystem::remove_all(folder);
}

// A router beside a peer process that is a bare socket, which is closed at the step that the test chooses.
class HotRestartBesideBarePeer : public testing::Test {
 protected:
  using Local = asio::local::stream_protocol;

  HotRestartBesideBarePeer()
      : shared_listener_(io_, Loopback(0)), server_([](const std::string&) { return Row("v"); }) {
    std::filesystem::create_directories(folder_);
  }
  ~HotRestartBesideBarePeer() override { std::filesystem::remove_all(folder_); }
  std::unique_ptr<RunningServer> Start() {
    return std::make_unique<RunningServer>(
        std::vector<std::uint16_t>{server_.port()}, 256, 1, [&](Config& config) {
          config.accept_fd = ::dup(shared_listener_.native_handle());
          config.shared_directory = folder_;
          config.settings.classes[0].deadline = 300'000;  // so that a shutdown is soon over
        });
  }
  static bool Ready(RunningServer& router) {
    return router.Call("GET", "/control/ready").find(" 200 ") != std::string::npos;
  }
  static void AwaitReady(RunningServer& router, bool ready) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (Ready(router) != ready && std::chrono::steady_clock::now() < end) std::this_thread::yield();
    EXPECT_EQ(Ready(router), ready);
  }
  static void ExpectServes(RunningServer& router) {
    Peer client = router.Session();
    client.Write(Ask("1"));
    EXPECT_EQ(client.UntilReady()[0].first, 'T');
  }
  static void ReadUntil(Local::socket& peer, const std::string& line) {
    std::string received;
    while (received.find(line + "\n") == std::string::npos) {
      std::array<char, 256> bytes;
      std::error_code ended;
      received.append(bytes.data(), peer.read_some(asio::buffer(bytes), ended));
      ASSERT_FALSE(ended) << received;
    }
  }
  // A newer process that has received all state.
  Local::socket Newer() {
    Local::socket newer(io_);
    newer.connect(Local::endpoint(Path()));
    asio::write(newer, asio::buffer(std::string("hello\n")));
    ReadUntil(newer, "synced");
    return newer;
  }
  std::string Path() const { return folder_ + "/tulipyoke-n.sock"; }

 private:
  const std::string folder_ = testing::TempDir() + "tulipyoke_beside_" + std::to_string(::getpid());

 protected:
  asio::io_context io_;

 private:
  tcp::acceptor shared_listener_;
  ScriptedServer server_;
};

// The newer process may be lost before it serves or after.
TEST_F(HotRestartBesideBarePeer, OlderProcessTakesClientsBackFromALostNewerOne) {
  const std::unique_ptr<RunningServer> older = Start();
  Newer().close();
  ExpectServes(*older);
  EXPECT_TRUE(Ready(*older));
  {
    Local::socket newer = Newer();
    Peer kept = older->Session();
    asio::write(newer, asio::buffer(std::string("serving\n")));
    kept.Write(Ask("during"));  // whichever is read first
    EXPECT_EQ(kept.UntilReady()[0].first, 'T');
    AwaitReady(*older, false);
  }
  AwaitReady(*older, true);
  ExpectServes(*older);
}

// The older process is stopped after it has handed over: the rest of an incomplete statement would arrive
// after its end.
TEST_F(HotRestartBesideBarePeer, OlderProcessRejectsIncompleteStatementsBeforeItsEnd) {
  const std::unique_ptr<RunningServer> older = Start();
  Local::socket newer = Newer();
  Peer half = older->Session();
  half.Write(Ask("1").substr(0, 40));
  asio::write(newer, asio::buffer(std::string("serving\n")));
  AwaitReady(*older, false);
  kill(getpid(), SIGTERM);
  EXPECT_EQ(CodeOf(half.UntilReady()), "57P03");
}

// A newer process serves neither before it has received all state from the older one, nor never because the
// older one was lost while it sent its state.
TEST_F(HotRestartBesideBarePeer, NewerProcessDoesNotWaitForALostOlderOne) {
  Local::acceptor older(io_, Local::endpoint(Path()));
  const std::unique_ptr<RunningServer> newer = Start();
  Local::socket link = older.accept();
  ReadUntil(link, "hello");
  asio::write(link, asio::buffer(std::string("session 1 0 5\nsess")));
  EXPECT_FALSE(Ready(*newer));
  link.close();
  AwaitReady(*newer, true);
  ExpectServes(*newer);
}

}  // namespace
}  // namespace tulipyoke::net
