// The connections between processes of one router, over a socket in a folder of the test's own.
#include "src/hot_restart/hot_restart.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <random>
#include <string>
#include <vector>

namespace tulipyoke::net {
namespace {

// One process, as far as hot restart goes; records what it receives.
struct RecordingProcess {
  RecordingProcess(asio::io_context& io, const std::string& folder, std::uint64_t seed)
      : hot_restart(io, folder, "n/0", seed,
                    {[this](PeerProcess, HotRestartStep step) { steps.push_back(step); },
                     [this](const DescriptorUsage& usage) { descriptors = usage.descriptors; },
                     [this](const SessionUpdate& news) { keys.push_back(news.key); },
                     [this](const ServerUpdate& news) { servers.push_back(news.id); },
                     [this](PeerProcess, DisconnectReason reason) { disconnects.push_back(reason); }}) {}

  std::vector<HotRestartStep> steps;
  std::vector<std::uint64_t> keys;
  std::vector<std::string> servers;
  std::vector<DisconnectReason> disconnects;
  int descriptors = 0;
  HotRestart hot_restart;
};

class HotRestartTest : public testing::Test {
 protected:
  HotRestartTest() { std::filesystem::create_directories(folder); }
  ~HotRestartTest() override { std::filesystem::remove_all(folder); }
  template <typename Done>
  void Until(const Done& done) {
    for (int i = 0; i < 2000 && !done(); ++i) io.run_one_for(std::chrono::milliseconds(10));
    EXPECT_TRUE(done());
  }

  const std::string folder = testing::TempDir() + "tulipyoke_hot_restart_" + std::to_string(::getpid());
  asio::io_context io;
};

// A socket file of a process that is gone, or another file of that name, is neither taken for a peer nor
// keeps the next process from being found.
TEST_F(HotRestartTest, IgnoresAndReplacesStaleSocketFiles) {
  const std::string path = folder + "/tulipyoke-n_0.sock";
  std::ofstream(path) << "not a socket";
  RecordingProcess older(io, folder, 1), newer(io, folder, 2);
  EXPECT_FALSE(older.hot_restart.ConnectToOlderProcess());
  older.hot_restart.ListenForNewerProcess();
  EXPECT_TRUE(newer.hot_restart.ConnectToOlderProcess());
  older.hot_restart.Stop();
  EXPECT_TRUE(std::filesystem::exists(path));  // stale again
  RecordingProcess third(io, folder, 3), none(io, "", 4);
  EXPECT_FALSE(third.hot_restart.ConnectToOlderProcess());
  EXPECT_FALSE(none.hot_restart.ConnectToOlderProcess());
  newer.hot_restart.ListenForNewerProcess();
  EXPECT_TRUE(third.hot_restart.ConnectToOlderProcess());
}

// State is not lost, not sent back to the process that it came from, and available as soon as it is asked
// for.
TEST_F(HotRestartTest, ReplicatesToAllConnectedProcesses) {
  RecordingProcess a(io, folder, 1), b(io, folder, 2), c(io, folder, 3);
  a.hot_restart.ListenForNewerProcess();
  ASSERT_TRUE(b.hot_restart.ConnectToOlderProcess());
  Until([&] { return !a.steps.empty(); });
  EXPECT_EQ(a.steps, (std::vector<HotRestartStep>{HotRestartStep::kHello}));
  for (std::uint64_t key = 1; key <= 20'000; ++key)
    a.hot_restart.SendToNewerProcess(SessionUpdate{key, 0, 5});
  a.hot_restart.SendStep(PeerProcess::kNewer, HotRestartStep::kSynced);
  Until([&] { return !b.steps.empty(); });
  EXPECT_EQ(b.keys.size(), 20'000u);
  b.hot_restart.ListenForNewerProcess();
  ASSERT_TRUE(c.hot_restart.ConnectToOlderProcess());
  Until([&] { return !b.hot_restart.has_no_peer() && b.steps.size() == 2; });
  a.hot_restart.Broadcast(SessionUpdate{77, 0, 5});
  b.hot_restart.ReceivePending();  // without an iteration of the loop
  EXPECT_EQ(b.keys.back(), 77u);
  c.hot_restart.ReceivePending();
  EXPECT_EQ(c.keys, (std::vector<std::uint64_t>{77}));
  EXPECT_TRUE(a.keys.empty());
  a.hot_restart.SendStep(PeerProcess::kNewer, HotRestartStep::kDone);
  a.hot_restart.Stop();
  Until([&] { return !b.disconnects.empty(); });
  EXPECT_EQ(b.disconnects, (std::vector<DisconnectReason>{DisconnectReason::kFinished}));
  EXPECT_TRUE(b.hot_restart.has_peer(PeerProcess::kNewer));
  c.hot_restart.Disconnect(PeerProcess::kOlder);
  Until([&] { return b.hot_restart.has_no_peer(); });
  EXPECT_EQ(b.disconnects,
            (std::vector<DisconnectReason>{DisconnectReason::kFinished, DisconnectReason::kLost}));
}

// A peer that speaks another protocol is disconnected.
TEST_F(HotRestartTest, MalformedInputClosesOnlyThatConnection) {
  RecordingProcess a(io, folder, 1);
  a.hot_restart.ListenForNewerProcess();
  for (unsigned seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    std::string bytes(5000, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    asio::local::stream_protocol::socket socket(io);
    socket.connect(asio::local::stream_protocol::endpoint(folder + "/tulipyoke-n_0.sock"));
    asio::write(socket, asio::buffer(bytes));
    Until([&] { return a.disconnects.size() == seed + 1; });
  }
  EXPECT_TRUE(a.steps.empty());
  EXPECT_TRUE(a.hot_restart.has_no_peer());
}

}  // namespace
}  // namespace tulipyoke::net
