// The registry watch: events that cross, each time in the unfavourable order, and watches that fall silent;
// see docs/design/crossings.md.
#include "src/discovery/registry_watch.hpp"

#include <gtest/gtest.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standins/pg_peer.hpp"

namespace tulipyoke::discovery {
namespace {

using standins::Loopback;
using standins::tcp;
using std::chrono::milliseconds;

// A watch and the agent that it connects to, in one event loop. The agent answers its n-th request with the
// n-th of `replies`.
class RegistryWatchTest : public testing::Test {
 protected:
  RegistryWatchTest() : agent_(io, Loopback(0)) { Accept(agent_, ""); }
  static std::string Chunk(const std::string& body) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return size.data() + body + "\r\n";
  }
  static std::string List(int revision, const std::string& id) {
    return "{\"revision\":" + std::to_string(revision) + ",\"complete\":true,\"members\":[{\"id\":\"" + id +
           "\",\"host_port\":\"127.0.0.1:1\"}]}";
  }
  static ReconnectBackoff Backoff(Micros drain_timeout = 100'000) {
    Settings settings;
    settings.drain_timeout = drain_timeout;
    return {settings, 1};
  }
  std::unique_ptr<RegistryWatch> Watch(const std::string& address, Micros drain_timeout = 100'000) {
    return std::make_unique<RegistryWatch>(
        io,
        [this](const EndpointList& listing) {
          reported_ids += (reported_ids.empty() ? "" : " ") + listing.servers.at(0).id;
        },
        address, 5, Backoff(drain_timeout));
  }
  std::string Address(const tcp::acceptor& agent) const {
    return "127.0.0.1:" + std::to_string(agent.local_endpoint().port());
  }
  void Accept(tcp::acceptor& agent, const std::string& name) {
    agent.async_accept([this, &agent, name](std::error_code error, tcp::socket socket) {
      if (error) return;
      const std::size_t which = connections.size();
      connections.push_back(std::make_unique<tcp::socket>(std::move(socket)));
      requests.push_back(name);
      auto bytes = std::make_shared<std::string>();
      asio::async_read_until(*connections.back(), asio::dynamic_buffer(*bytes), "\r\n\r\n",
                             [this, which, bytes](std::error_code failed, std::size_t) {
                               if (failed) return;
                               requests[which] += bytes->substr(0, bytes->find(" HTTP"));
                               if (which < replies.size()) Send(which, replies[which]);
                             });
      Accept(agent, name);
    });
  }
  void Send(std::size_t which, const std::string& bytes) {
    std::error_code ignored;
    asio::write(*connections[which], asio::buffer(bytes), ignored);
  }
  template <typename Done>
  bool Until(const Done& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(12);
    while (!done() && std::chrono::steady_clock::now() < end) io.run_one_for(milliseconds(20));
    EXPECT_TRUE(done());
    return done();
  }

  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  asio::io_context io;
  std::string reported_ids;
  std::vector<std::string> replies, requests;
  std::vector<std::unique_ptr<tcp::socket>> connections;
  tcp::acceptor agent_;
};

// Guards against a list that is lost because it is indented, and a truncated value that swallows the next.
TEST_F(RegistryWatchTest, AListMayComeIndentedOverManyLines) {
  replies = {head +
             Chunk("{\n  \"revision\": 7,\n  \"complete\": true,\n  \"members\": [\n    {\n      \"id\": ") +
             Chunk("\"a}\\\"{\",\n      \"host_port\": \"127.0.0.1:1\"\n    }\n  ]\n}\n\n") +
             Chunk("{\"revision\":8,\"cut\noff\n") + Chunk(List(9, "b") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return reported_ids == "a}\"{ b"; });
  EXPECT_EQ(reported_ids, "a}\"{ b");
  EXPECT_EQ(watch->counters().invalid_values, 2u);
  EXPECT_EQ(watch->counters().connects, 1u);
  watch->Stop();
}

// Guards against waiting too long for a response that never comes, or only in part.
TEST_F(RegistryWatchTest, OneThatIsNotAnsweredIsOpenedAnewWithinTheGrace) {
  replies = {"", head.substr(0, 20), head + Chunk(List(7, "a") + "\n")};
  const auto begin = std::chrono::steady_clock::now();
  const auto watch = Watch(Address(agent_), 400'000);
  Until([&] { return reported_ids == "a"; });
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(2500));
  EXPECT_EQ(requests, std::vector<std::string>(3, "GET /registry/instances?follow=1&since=5"));
  watch->Stop();
}

// Guards against a change that is missed for good: its value was invalid.
TEST_F(RegistryWatchTest, AWordThatCannotBeUsedIsMadeUpForByTheWholeList) {
  replies = {head + Chunk(List(7, "a") + "\n") + Chunk("{\"revision\":8,\"complete\":fal}\n"),
             head + Chunk(List(9, "b") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return reported_ids == "a b"; });
  EXPECT_EQ(requests[1], "GET /registry/instances?follow=1&since=0");
  EXPECT_EQ(watch->counters().invalid_values, 1u);
  watch->Stop();
}

// Guards against useless bytes that keep a watch alive: one that stops within a value, one that trickles and
// never completes it, one that sends values that are no list.
TEST_F(RegistryWatchTest, OneThatSaysNothingWholeIsOpenedAnewBeforeItCountsAsTold) {
  replies = {head + Chunk(List(7, "a") + "\n{\"revi"),
             head + Chunk("{\n"),
             head + Chunk("\n"),
             head + Chunk(List(8, "b") + "\n"),
             head + Chunk(List(8, "c") + "\n"),
             head + Chunk(List(8, "d") + "\n")};
  std::vector<std::unique_ptr<RegistryWatch>> watches;
  const auto begin = std::chrono::steady_clock::now();
  for (std::size_t i = 1; i <= 3; ++i) {
    watches.push_back(Watch(Address(agent_)));
    Until([&] { return requests.size() == i && !requests.back().empty(); });
  }
  asio::steady_timer trickle(io);
  std::function<void()> more = [&] {
    trickle.expires_after(milliseconds(100));
    trickle.async_wait([&](std::error_code error) {
      if (error) return;
      Send(1, Chunk("\n  "));
      Send(2, Chunk("no list\n"));
      more();
    });
  };
  more();
  Until([&] { return reported_ids.size() == 7; });
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(5900));
  EXPECT_GT(std::chrono::steady_clock::now() - begin, milliseconds(4000));  // the machine may be slow
  trickle.cancel();
  for (const auto& watch : watches) watch->Stop();
}

// Guards against a connection reset that loses the list before it, and against a request for an older
// version.
TEST_F(RegistryWatchTest, AResetJustBehindAListKeepsTheListAndGoesOnFromThere) {
  replies = {"", head + Chunk(List(13, "b") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return !requests.empty() && !requests[0].empty(); });
  Send(0, head + Chunk(List(12, "a") + "\n"));
  connections[0]->set_option(asio::socket_base::linger(true, 0));
  Until([&] { return reported_ids == "a"; });
  connections[0]->close();
  Until([&] { return reported_ids == "a b"; });
  EXPECT_EQ(requests[1], "GET /registry/instances?follow=1&since=12");
  watch->Stop();
}

// Guards against a retry that was due in the turn of the loop in which another address was set: there would
// be two watches at once, one of them never closed.
TEST_F(RegistryWatchTest, ATryThatIsDueAsTheAddressChangesIsNotMade) {
  tcp::acceptor gone(io, Loopback(0));
  const std::string nobody = Address(gone);
  gone.close();
  const auto watch = Watch(nobody);
  Until([&] { return watch->counters().disconnects == 1; });
  const auto due = std::chrono::steady_clock::now() + milliseconds(20);  // the retry delay and more
  while (std::chrono::steady_clock::now() < due) {
  }
  bool ran = false;
  asio::post(io, [&] { ran = true; });
  while (!ran) io.poll_one();
  watch->Redirect(Address(agent_));
  const std::uint64_t connects = watch->counters().connects;
  replies = {head + Chunk(List(7, "a") + "\n")};
  Until([&] { return reported_ids == "a"; });
  EXPECT_EQ(watch->counters().connects, connects);
  watch->Stop();
}

// Guards against a gap, or an outdated list for good, where the address changes twice in a row.
TEST_F(RegistryWatchTest, TheOldestAddressIsFollowedUntilTheNewestHasTold) {
  tcp::acceptor second(io, Loopback(0)), third(io, Loopback(0));
  Accept(second, "second ");
  Accept(third, "third ");
  replies = {head + Chunk(List(40, "a") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return reported_ids == "a"; });
  watch->Redirect(Address(second));
  watch->Redirect(Address(third));
  Until([&] { return requests.size() >= 2 && requests.back().starts_with("third GET"); });
  EXPECT_TRUE(requests.back().ends_with("since=0"));
  Send(0, Chunk(List(41, "b") + "\n"));
  Until([&] { return reported_ids == "a b"; });
  Send(requests.size() - 1, head + Chunk(List(3, "c") + "\n"));
  Until([&] { return reported_ids == "a b c"; });
  Send(0, Chunk(List(42, "d") + "\n"));
  Send(requests.size() - 1, Chunk(List(4, "e") + "\n"));
  Until([&] { return reported_ids == "a b c e"; });
  EXPECT_EQ(reported_ids, "a b c e");
  watch->Stop();
}

// Guards against a gap after SIGHUP where the new address is silent: the former one is used, and when that is
// lost as well, the new one is still tried.
TEST_F(RegistryWatchTest, ASilentNewAddressIsAskedAgainWhileTheFormerOneIsFollowed) {
  tcp::acceptor second(io, Loopback(0));
  Accept(second, "second ");
  replies = {head + Chunk(List(40, "a") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return reported_ids == "a"; });
  watch->Redirect(Address(second));
  Until([&] { return requests.size() >= 4; });  // it has been retried
  Send(0, Chunk(List(41, "b") + "\n"));
  Until([&] { return reported_ids == "a b"; });
  connections[0]->close();
  const std::size_t then = requests.size();
  Until([&] { return requests.size() >= then + 2; });
  replies.resize(connections.size());
  replies.resize(connections.size() + 50, head + Chunk(List(3, "c") + "\n"));
  Until([&] { return reported_ids == "a b c"; });
  EXPECT_EQ(requests.back(), "second GET /registry/instances?follow=1&since=0");
  watch->Stop();
}

// Guards against an address that is set while the registry is down and then given up, or requests for changes
// since a version of another one.
TEST_F(RegistryWatchTest, AnAddressNamedWhileDiscoveryIsDownIsWatchedOnceItIsUp) {
  replies = {head + Chunk(List(40, "a") + "\n"), head + Chunk(List(3, "b") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return reported_ids == "a"; });
  agent_.close();
  connections[0]->close();
  Until([&] { return watch->counters().disconnects >= 2; });
  tcp::acceptor second(io, Loopback(0));
  const tcp::endpoint there = second.local_endpoint();
  second.close();
  watch->Redirect("127.0.0.1:" + std::to_string(there.port()));
  const std::uint64_t lost = watch->counters().disconnects;
  Until([&] { return watch->counters().disconnects >= lost + 2; });
  tcp::acceptor up(io, there);
  Accept(up, "second ");
  Until([&] { return reported_ids == "a b"; });
  EXPECT_EQ(requests.back(), "second GET /registry/instances?follow=1&since=0");
  watch->Stop();
}

}  // namespace
}  // namespace tulipyoke::discovery
