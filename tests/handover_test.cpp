// Two processes of one router: their lines, and their links over a socket in a folder of the test's own.
#include "src/net/handover.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/running.hpp"

namespace tulipyoke::net {
namespace {

using Partner = Handover::Partner;

TEST(HandoverLine, ComesBackAsItWasSaid) {
  for (const HandoverStep step :
       {HandoverStep::kHello, HandoverStep::kSynced, HandoverStep::kServing, HandoverStep::kDone}) {
    const std::string line = ToLine(step);
    EXPECT_EQ(std::get<HandoverStep>(*ParseHandoverLine(line.substr(0, line.size() - 1))), step);
  }
  const auto session =
      std::get<SessionNews>(*ParseHandoverLine("session 18446744073709551615 3 1767225600123"));
  EXPECT_EQ(session.key, 18446744073709551615u);
  EXPECT_EQ(session.group, 3);
  EXPECT_EQ(session.commit_unix_ms, 1767225600123);
  EXPECT_EQ(ToLine(session), "session 18446744073709551615 3 1767225600123\n");
  const auto server = std::get<ServerNews>(*ParseHandoverLine("server 2 17 0 s-5 b"));
  EXPECT_EQ(server.id, "s-5 b");
  EXPECT_EQ(server.role, Role::kReplica);
  EXPECT_EQ(ToLine(server), "server 2 17 0 s-5 b\n");
  EXPECT_EQ(std::get<HandoverHolds>(*ParseHandoverLine("holds 77")).descriptors, 77);
}

// Guards against half-read lines taken for news.
TEST(HandoverLine, WhatIsNoneIsPassedOn) {
  for (const char* line : {"", "hello ", "session", "session 1 2", "session 1 2 3 4", "session x 2 3",
                           "server 9 1 1 s", "server 1 1 1", "holds -1", "holds", "GET / HTTP/1.1"}) {
    EXPECT_FALSE(ParseHandoverLine(line)) << line;
  }
}

// One process as far as the handover goes; keeps what it was told.
struct Side {
  Side(asio::io_context& io, const std::string& folder, std::uint64_t seed)
      : handover(io, folder, "n/0", seed,
                 {[this](Partner, HandoverStep step) { steps.push_back(step); },
                  [this](const HandoverHolds& holds) { held = holds.descriptors; },
                  [this](const SessionNews& news) { keys.push_back(news.key); },
                  [this](const ServerNews& news) { servers.push_back(news.id); },
                  [this](Partner, bool done) { parted.push_back(done); }}) {}

  std::vector<HandoverStep> steps;
  std::vector<std::uint64_t> keys;
  std::vector<std::string> servers;
  std::vector<bool> parted;
  int held = 0;
  Handover handover;
};

class HandoverTest : public testing::Test {
 protected:
  HandoverTest() { std::filesystem::create_directories(folder); }
  ~HandoverTest() override { std::filesystem::remove_all(folder); }
  template <typename Done>
  void Until(const Done& done) {
    for (int i = 0; i < 2000 && !done(); ++i) io.run_one_for(std::chrono::milliseconds(10));
    EXPECT_TRUE(done());
  }

  const std::string folder = testing::TempDir() + "tulipyoke_handover_" + std::to_string(::getpid());
  asio::io_context io;
};

// Guards against files of a process that is gone, or of something else, being taken for a partner or keeping
// the next one from being found.
TEST_F(HandoverTest, StaleFilesDoNoHarm) {
  const std::string path = folder + "/tulipyoke-n_0.sock";
  std::ofstream(path) << "not a socket";
  Side older(io, folder, 1), newer(io, folder, 2);
  EXPECT_FALSE(older.handover.JoinOlder());
  older.handover.Offer();
  EXPECT_TRUE(newer.handover.JoinOlder());
  older.handover.Stop();
  EXPECT_TRUE(std::filesystem::exists(path));  // stale again
  Side third(io, folder, 3), none(io, "", 4);
  EXPECT_FALSE(third.handover.JoinOlder());
  EXPECT_FALSE(none.handover.JoinOlder());
  newer.handover.Offer();
  EXPECT_TRUE(third.handover.JoinOlder());
}

// Guards against news that is lost, told back to whoever told it, or read late.
TEST_F(HandoverTest, EachIsToldAllAndAThirdAsWell) {
  Side a(io, folder, 1), b(io, folder, 2), c(io, folder, 3);
  a.handover.Offer();
  ASSERT_TRUE(b.handover.JoinOlder());
  Until([&] { return !a.steps.empty(); });
  EXPECT_EQ(a.steps, (std::vector<HandoverStep>{HandoverStep::kHello}));
  for (std::uint64_t key = 1; key <= 20'000; ++key) a.handover.TellNewer(SessionNews{key, 0, 5});
  a.handover.Step(Partner::kNewer, HandoverStep::kSynced);
  Until([&] { return !b.steps.empty(); });
  EXPECT_EQ(b.keys.size(), 20'000u);
  b.handover.Offer();
  ASSERT_TRUE(c.handover.JoinOlder());
  Until([&] { return !b.handover.alone() && b.steps.size() == 2; });
  a.handover.Tell(SessionNews{77, 0, 5});
  b.handover.Poll();  // without a turn of the loop
  EXPECT_EQ(b.keys.back(), 77u);
  c.handover.Poll();
  EXPECT_EQ(c.keys, (std::vector<std::uint64_t>{77}));
  EXPECT_TRUE(a.keys.empty());
  a.handover.Step(Partner::kNewer, HandoverStep::kDone);
  a.handover.Stop();
  Until([&] { return !b.parted.empty(); });
  EXPECT_EQ(b.parted, (std::vector<bool>{true}));
  EXPECT_TRUE(b.handover.has(Partner::kNewer));
  c.handover.Part(Partner::kOlder);
  Until([&] { return b.handover.alone(); });
  EXPECT_EQ(b.parted, (std::vector<bool>{true, false}));
}

// Guards against whatever connects to the socket and speaks otherwise.
TEST_F(HandoverTest, NonsenseEndsTheLinkAlone) {
  Side a(io, folder, 1);
  a.handover.Offer();
  for (unsigned seed = 0; seed < 20; ++seed) {
    std::mt19937 random(seed);
    std::string bytes(5000, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    asio::local::stream_protocol::socket socket(io);
    socket.connect(asio::local::stream_protocol::endpoint(folder + "/tulipyoke-n_0.sock"));
    asio::write(socket, asio::buffer(bytes));
    Until([&] { return a.parted.size() == seed + 1; });
  }
  EXPECT_TRUE(a.steps.empty());
  EXPECT_TRUE(a.handover.alone());
}

// A node beside a partner that is a bare socket, which dies at the step that the test chooses.
class Upgrade : public testing::Test {
 protected:
  using Local = asio::local::stream_protocol;

  Upgrade() : held_(io_, Loopback(0)), server_([](const std::string&) { return Row("v"); }) {
    std::filesystem::create_directories(folder_);
  }
  ~Upgrade() override { std::filesystem::remove_all(folder_); }
  std::unique_ptr<Running> Start() {
    return std::make_unique<Running>(std::vector<std::uint16_t>{server_.port()}, 256, 1, [&](Config& config) {
      config.accept_fd = ::dup(held_.native_handle());
      config.shared_directory = folder_;
      config.settings.classes[0].deadline = 300'000;  // so that a stop is soon over
    });
  }
  static bool Ready(Running& node) {
    return node.Call("GET", "/control/ready").find(" 200 ") != std::string::npos;
  }
  static void UntilReadyIs(Running& node, bool ready) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (Ready(node) != ready && std::chrono::steady_clock::now() < end) std::this_thread::yield();
    EXPECT_EQ(Ready(node), ready);
  }
  static void Serves(Running& node) {
    Peer client = node.Session();
    client.Write(Ask("1"));
    EXPECT_EQ(client.UntilReady()[0].first, 'T');
  }
  static void Hear(Local::socket& partner, const std::string& line) {
    std::string heard;
    while (heard.find(line + "\n") == std::string::npos) {
      std::array<char, 256> bytes;
      std::error_code ended;
      heard.append(bytes.data(), partner.read_some(asio::buffer(bytes), ended));
      ASSERT_FALSE(ended) << heard;
    }
  }
  // A newer process that has been told all.
  Local::socket Newer() {
    Local::socket newer(io_);
    newer.connect(Local::endpoint(Path()));
    asio::write(newer, asio::buffer(std::string("hello\n")));
    Hear(newer, "synced");
    return newer;
  }
  std::string Path() const { return folder_ + "/tulipyoke-n.sock"; }

 private:
  const std::string folder_ = testing::TempDir() + "tulipyoke_beside_" + std::to_string(::getpid());

 protected:
  asio::io_context io_;

 private:
  tcp::acceptor held_;
  ScriptedServer server_;
};

// Guards against an older process that leaves its clients to one that has died, before it served or after.
TEST_F(Upgrade, ANewerProcessThatDiesGivesTheClientsBack) {
  const std::unique_ptr<Running> older = Start();
  Newer().close();
  Serves(*older);
  EXPECT_TRUE(Ready(*older));
  {
    Local::socket newer = Newer();
    Peer kept = older->Session();
    asio::write(newer, asio::buffer(std::string("serving\n")));
    kept.Write(Ask("during"));  // whichever is read first
    EXPECT_EQ(kept.UntilReady()[0].first, 'T');
    UntilReadyIs(*older, false);
  }
  UntilReadyIs(*older, true);
  Serves(*older);
}

// Guards against a half-read statement at a process that has handed over and is stopped: its last byte would
// cross the end.
TEST_F(Upgrade, AHalfReadStatementAtTheOlderProcessIsRefusedBeforeItsEnd) {
  const std::unique_ptr<Running> older = Start();
  Local::socket newer = Newer();
  Peer half = older->Session();
  half.Write(Ask("1").substr(0, 40));
  asio::write(newer, asio::buffer(std::string("serving\n")));
  UntilReadyIs(*older, false);
  kill(getpid(), SIGTERM);
  EXPECT_EQ(CodeOf(half.UntilReady()), "57P03");
}

// Guards against a newer process that waits for one that has died amid what it had to tell, and one that
// serves before it has heard all from one that lives.
TEST_F(Upgrade, AnOlderProcessThatDiesBeforeItHasToldAllIsNotWaitedFor) {
  Local::acceptor older(io_, Local::endpoint(Path()));
  const std::unique_ptr<Running> newer = Start();
  Local::socket link = older.accept();
  Hear(link, "hello");
  asio::write(link, asio::buffer(std::string("session 1 0 5\nsess")));
  EXPECT_FALSE(Ready(*newer));
  link.close();
  UntilReadyIs(*newer, true);
  Serves(*newer);
}

}  // namespace
}  // namespace tulipyoke::net
