// Tests the exact bytes that two processes of one router send each other during a hot restart. An older and a
// newer version of the program must understand each other in both directions, so these bytes must never
// change: the expected strings were recorded from a released version and are compared byte by byte.
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <variant>
#include <vector>

#include "src/hot_restart/hot_restart.hpp"
#include "tests/support/running_server.hpp"

namespace tulipyoke::net {
namespace {

using Local = asio::local::stream_protocol;

constexpr std::uint64_t kMaxKey = std::numeric_limits<std::uint64_t>::max();

TEST(HotRestartGoldenBytes, MessagesAreWrittenAsRecorded) {
  EXPECT_EQ(ToLine(HotRestartStep::kHello), "hello\n");
  EXPECT_EQ(ToLine(HotRestartStep::kSynced), "synced\n");
  EXPECT_EQ(ToLine(HotRestartStep::kServing), "serving\n");
  EXPECT_EQ(ToLine(HotRestartStep::kDone), "done\n");
  EXPECT_EQ(ToLine(DescriptorUsage{0}), "holds 0\n");
  EXPECT_EQ(ToLine(DescriptorUsage{4096}), "holds 4096\n");
  EXPECT_EQ(ToLine(SessionUpdate{0, 0, 0}), "session 0 0 0\n");
  EXPECT_EQ(ToLine(SessionUpdate{kMaxKey, 3, 1767225600123}),
            "session 18446744073709551615 3 1767225600123\n");
  EXPECT_EQ(ToLine(SessionUpdate{7, -1, -5}), "session 7 -1 -5\n");
  EXPECT_EQ(ToLine(ServerUpdate{"s1", Role::kUnknown, 0, 0}), "server 0 0 0 s1\n");
  EXPECT_EQ(ToLine(ServerUpdate{"s-5 b", Role::kPrimary, 17, 1767225600123}),
            "server 1 17 1767225600123 s-5 b\n");
  EXPECT_EQ(ToLine(ServerUpdate{"r.example.", Role::kReplica, -2, -3}), "server 2 -2 -3 r.example.\n");
}

TEST(HotRestartGoldenBytes, RecordedStepsAreParsed) {
  const std::array<std::pair<std::string_view, HotRestartStep>, 4> recorded = {{
      {"hello", HotRestartStep::kHello},
      {"synced", HotRestartStep::kSynced},
      {"serving", HotRestartStep::kServing},
      {"done", HotRestartStep::kDone},
  }};
  for (const auto& [line, step] : recorded) {
    const auto message = ParseHotRestartMessage(line);
    ASSERT_TRUE(message) << line;
    ASSERT_TRUE(std::holds_alternative<HotRestartStep>(*message)) << line;
    EXPECT_EQ(std::get<HotRestartStep>(*message), step) << line;
  }
}

TEST(HotRestartGoldenBytes, RecordedDescriptorCountsAreParsed) {
  for (const int descriptors : {0, 77, 4096}) {
    const auto message = ParseHotRestartMessage("holds " + std::to_string(descriptors));
    ASSERT_TRUE(message && std::holds_alternative<DescriptorUsage>(*message));
    EXPECT_EQ(std::get<DescriptorUsage>(*message).descriptors, descriptors);
  }
}

TEST(HotRestartGoldenBytes, RecordedSessionsAreParsed) {
  const auto max_key = ParseHotRestartMessage("session 18446744073709551615 3 1767225600123");
  ASSERT_TRUE(max_key && std::holds_alternative<SessionUpdate>(*max_key));
  EXPECT_EQ(std::get<SessionUpdate>(*max_key).session_key, kMaxKey);
  EXPECT_EQ(std::get<SessionUpdate>(*max_key).group, 3);
  EXPECT_EQ(std::get<SessionUpdate>(*max_key).commit_unix_ms, 1767225600123);
  const auto negative = ParseHotRestartMessage("session 0 -1 -5");
  ASSERT_TRUE(negative && std::holds_alternative<SessionUpdate>(*negative));
  EXPECT_EQ(std::get<SessionUpdate>(*negative).session_key, 0u);
  EXPECT_EQ(std::get<SessionUpdate>(*negative).group, -1);
  EXPECT_EQ(std::get<SessionUpdate>(*negative).commit_unix_ms, -5);
}

TEST(HotRestartGoldenBytes, RecordedServersAreParsed) {
  const auto primary = ParseHotRestartMessage("server 1 17 1767225600123 s-5 b");
  ASSERT_TRUE(primary && std::holds_alternative<ServerUpdate>(*primary));
  EXPECT_EQ(std::get<ServerUpdate>(*primary).id, "s-5 b");
  EXPECT_EQ(std::get<ServerUpdate>(*primary).role, Role::kPrimary);
  EXPECT_EQ(std::get<ServerUpdate>(*primary).role_time, 17);
  EXPECT_EQ(std::get<ServerUpdate>(*primary).position_unix_ms, 1767225600123);
  const auto replica = ParseHotRestartMessage("server 2 -2 -3 r.example.");
  ASSERT_TRUE(replica && std::holds_alternative<ServerUpdate>(*replica));
  EXPECT_EQ(std::get<ServerUpdate>(*replica).id, "r.example.");
  EXPECT_EQ(std::get<ServerUpdate>(*replica).role, Role::kReplica);
  EXPECT_EQ(std::get<ServerUpdate>(*replica).role_time, -2);
  EXPECT_EQ(std::get<ServerUpdate>(*replica).position_unix_ms, -3);
  const auto unknown = ParseHotRestartMessage("server 0 0 0  two spaces");
  ASSERT_TRUE(unknown && std::holds_alternative<ServerUpdate>(*unknown));
  EXPECT_EQ(std::get<ServerUpdate>(*unknown).role, Role::kUnknown);
  EXPECT_EQ(std::get<ServerUpdate>(*unknown).id, " two spaces");
}

// The set of accepted lines is part of the protocol: if one version rejects a line that another one sends,
// the connection between the two processes is closed.
TEST(HotRestartGoldenBytes, InvalidLinesAreRejectedAsRecorded) {
  for (const char* line : {"",
                           " ",
                           "hello ",
                           " hello",
                           "Hello",
                           "hello\r",
                           "synced 1",
                           "holds",
                           "holds ",
                           "holds -1",
                           "holds 1 2",
                           "holds +1",
                           "holds 2147483648",
                           "holds 0x1",
                           "session",
                           "session 1 2",
                           "session 1 2 ",
                           "session 1 2 3 4",
                           "session x 2 3",
                           "session -1 2 3",
                           "session 1  2 3",
                           "session 18446744073709551616 0 0",
                           "session 1 2147483648 0",
                           "session 1 0 9223372036854775808",
                           "server",
                           "server 1 1 1",
                           "server 1 1 1 ",
                           "server 9 1 1 s",
                           "server 3 1 1 s",
                           "server -1 1 1 s",
                           "server 1 x 1 s",
                           "server 1 1 x s",
                           "server  1 1 1 s",
                           "bye",
                           "GET / HTTP/1.1"}) {
    EXPECT_FALSE(ParseHotRestartMessage(line)) << "'" << line << "'";
  }
}

// A trailing space after the last number has always been accepted.
TEST(HotRestartGoldenBytes, ATrailingSpaceIsAcceptedAsRecorded) {
  const auto session = ParseHotRestartMessage("session 1 2 3 ");
  ASSERT_TRUE(session && std::holds_alternative<SessionUpdate>(*session));
  EXPECT_EQ(std::get<SessionUpdate>(*session).commit_unix_ms, 3);
  const auto usage = ParseHotRestartMessage("holds 1 ");
  ASSERT_TRUE(usage && std::holds_alternative<DescriptorUsage>(*usage));
  EXPECT_EQ(std::get<DescriptorUsage>(*usage).descriptors, 1);
}

// Runs a router; the test itself plays the peer process over a socket.
class HotRestartGoldenTranscript : public testing::Test {
 protected:
  HotRestartGoldenTranscript() : client_acceptor_(io_, Loopback(0)) {
    std::filesystem::create_directories(directory_);
  }
  ~HotRestartGoldenTranscript() override { std::filesystem::remove_all(directory_); }

  std::unique_ptr<RunningServer> Start(const std::vector<std::uint16_t>& servers) {
    return std::make_unique<RunningServer>(servers, 256, 1, [&](Config& config) {
      config.accept_fd = ::dup(client_acceptor_.native_handle());
      config.shared_directory = directory_;
      config.settings.classes[0].deadline = 300'000;  // so that the shutdown ends soon
    });
  }
  // The socket path that both versions must use.
  std::string SocketPath() const { return directory_ + "/tulipyoke-n.sock"; }
  static void Write(Local::socket& peer, const std::string& bytes) { asio::write(peer, asio::buffer(bytes)); }
  // Reads `size` bytes, or fewer if the peer closes the connection.
  static std::string Read(Local::socket& peer, std::size_t size) {
    std::string bytes(size, '\0');
    std::error_code ignored;
    bytes.resize(asio::read(peer, asio::buffer(bytes), ignored));
    return bytes;
  }
  static std::string ReadToEnd(Local::socket& peer) {
    std::string bytes;
    std::error_code end;
    asio::read(peer, asio::dynamic_buffer(bytes), end);
    return bytes;
  }
  static void WaitForReadyStatus(RunningServer& router, std::string_view status) {
    const auto wait_end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    std::string answer = router.Call("GET", "/control/ready");
    while (answer.find(status) == std::string::npos && std::chrono::steady_clock::now() < wait_end) {
      std::this_thread::yield();
      answer = router.Call("GET", "/control/ready");
    }
    EXPECT_NE(answer.find(status), std::string::npos) << answer;
  }

  asio::io_context io_;

 private:
  const std::string directory_ = testing::TempDir() + "tulipyoke_golden_" + std::to_string(::getpid());
  tcp::acceptor client_acceptor_;
};

// Everything that an older process of this version sends to a newer one, from connecting to its end.
TEST_F(HotRestartGoldenTranscript, SentByAnOlderProcess) {
  const std::unique_ptr<RunningServer> older = Start({1});
  Local::socket newer(io_);
  newer.connect(Local::endpoint(SocketPath()));
  Write(newer, "hello\n");
  const std::string state = "server 0 -1 0 s1\nsynced\n";
  EXPECT_EQ(Read(newer, state.size()), state);
  Write(newer, "session 5 0 1767225600123\nserver 1 17 0 s1\nserving\n");
  WaitForReadyStatus(*older, " 503 ");
  // The process itself uses 48 descriptors, and it has no connection to a client or server left.
  const std::string descriptor_usage = "holds 48\n";
  EXPECT_EQ(Read(newer, descriptor_usage.size()), descriptor_usage);
  kill(getpid(), SIGTERM);
  EXPECT_EQ(ReadToEnd(newer), "done\n");
}

// Everything that a newer process of this version sends to an older one, from connecting to its end.
TEST_F(HotRestartGoldenTranscript, SentByANewerProcess) {
  Local::acceptor acceptor(io_, Local::endpoint(SocketPath()));
  const std::unique_ptr<RunningServer> newer = Start({});
  Local::socket older = acceptor.accept();
  const std::string greeting = "hello\n";
  EXPECT_EQ(Read(older, greeting.size()), greeting);
  WaitForReadyStatus(*newer, " 503 ");
  Write(older, "session 0 0 5\nsession 18446744073709551615 0 1767225600123\nserver 2 17 0 s-5 b\nsynced\n");
  WaitForReadyStatus(*newer, " 200 ");
  const std::string serving = "serving\n";
  EXPECT_EQ(Read(older, serving.size()), serving);
  Write(older, "holds 100\nholds 48\n");
  WaitForReadyStatus(*newer, " 200 ");
  kill(getpid(), SIGTERM);
  EXPECT_EQ(ReadToEnd(older), "done\n");
}

}  // namespace
}  // namespace tulipyoke::net
