// Tests the registry watch with concurrent events in their unfavourable order and with watches that become
// silent; see docs/design/crossings.md.
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

// Runs a watch and the agent that it connects to in one event loop. The agent answers its n-th request with
// the n-th element of `replies`.
class RegistryWatchTest : public testing::Test {
 protected:
  RegistryWatchTest() : agent_acceptor_(io, Loopback(0)) { Accept(agent_acceptor_, ""); }
  static std::string Chunk(const std::string& body) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return size.data() + body + "\r\n";
  }
  static std::string ListingJson(int revision, const std::string& id) {
    return "{\"revision\":" + std::to_string(revision) + ",\"complete\":true,\"members\":[{\"id\":\"" + id +
           "\",\"host_port\":\"127.0.0.1:1\"}]}";
  }
  static ReconnectBackoff MakeBackoff(Micros drain_timeout = 100'000) {
    Settings settings;
    settings.drain_timeout = drain_timeout;
    return {settings, 1};
  }
  std::unique_ptr<RegistryWatch> StartWatch(const std::string& address, Micros drain_timeout = 100'000) {
    return std::make_unique<RegistryWatch>(
        io,
        [this](const EndpointList& listing) {
          reported_ids += (reported_ids.empty() ? "" : " ") + listing.servers.at(0).id;
        },
        address, 5, MakeBackoff(drain_timeout));
  }
  std::string Address(const tcp::acceptor& server_acceptor) const {
    return "127.0.0.1:" + std::to_string(server_acceptor.local_endpoint().port());
  }
  void Accept(tcp::acceptor& server_acceptor, const std::string& name) {
    server_acceptor.async_accept([this, &server_acceptor, name](std::error_code error, tcp::socket socket) {
      if (error) return;
      const std::size_t connection_index = connections.size();
      connections.push_back(std::make_unique<tcp::socket>(std::move(socket)));
      requests.push_back(name);
      auto bytes = std::make_shared<std::string>();
      asio::async_read_until(*connections.back(), asio::dynamic_buffer(*bytes), "\r\n\r\n",
                             [this, connection_index, bytes](std::error_code failed, std::size_t) {
                               if (failed) return;
                               requests[connection_index] += bytes->substr(0, bytes->find(" HTTP"));
                               if (connection_index < replies.size())
                                 Send(connection_index, replies[connection_index]);
                             });
      Accept(server_acceptor, name);
    });
  }
  void Send(std::size_t connection_index, const std::string& bytes) {
    std::error_code ignored;
    asio::write(*connections[connection_index], asio::buffer(bytes), ignored);
  }
  template <typename Done>
  bool RunUntil(const Done& done) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(12);
    while (!done() && std::chrono::steady_clock::now() < deadline) io.run_one_for(milliseconds(20));
    EXPECT_TRUE(done());
    return done();
  }

  const std::string response_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  asio::io_context io;
  std::string reported_ids;
  std::vector<std::string> replies, requests;
  std::vector<std::unique_ptr<tcp::socket>> connections;
  tcp::acceptor agent_acceptor_;
};

// Guards against losing a listing because it is indented, and against a truncated value that absorbs the next
// one.
TEST_F(RegistryWatchTest, AcceptsIndentedListingsAndRecoversAfterATruncatedValue) {
  replies = {response_head +
             Chunk("{\n  \"revision\": 7,\n  \"complete\": true,\n  \"members\": [\n    {\n      \"id\": ") +
             Chunk("\"a}\\\"{\",\n      \"host_port\": \"127.0.0.1:1\"\n    }\n  ]\n}\n\n") +
             Chunk("{\"revision\":8,\"cut\noff\n") + Chunk(ListingJson(9, "b") + "\n")};
  const auto watch = StartWatch(Address(agent_acceptor_));
  RunUntil([&] { return reported_ids == "a}\"{ b"; });
  EXPECT_EQ(reported_ids, "a}\"{ b");
  EXPECT_EQ(watch->counters().invalid_values, 2u);
  EXPECT_EQ(watch->counters().connects, 1u);
  watch->Stop();
}

// Guards against waiting too long for a response that never arrives or arrives only in part.
TEST_F(RegistryWatchTest, ReconnectsWithinTheDrainTimeoutWithoutAResponse) {
  replies = {"", response_head.substr(0, 20), response_head + Chunk(ListingJson(7, "a") + "\n")};
  const auto start_time = std::chrono::steady_clock::now();
  const auto watch = StartWatch(Address(agent_acceptor_), 400'000);
  RunUntil([&] { return reported_ids == "a"; });
  EXPECT_LT(std::chrono::steady_clock::now() - start_time, milliseconds(2500));
  EXPECT_EQ(requests, std::vector<std::string>(3, "GET /registry/instances?follow=1&since=5"));
  watch->Stop();
}

// Guards against permanently missing a change whose value was invalid.
TEST_F(RegistryWatchTest, RequestsACompleteListingAfterAnInvalidValue) {
  replies = {response_head + Chunk(ListingJson(7, "a") + "\n") + Chunk("{\"revision\":8,\"complete\":fal}\n"),
             response_head + Chunk(ListingJson(9, "b") + "\n")};
  const auto watch = StartWatch(Address(agent_acceptor_));
  RunUntil([&] { return reported_ids == "a b"; });
  EXPECT_EQ(requests[1], "GET /registry/instances?follow=1&since=0");
  EXPECT_EQ(watch->counters().invalid_values, 1u);
  watch->Stop();
}

// Guards against watches kept alive by useless bytes. One watch stops within a value, one sends bytes slowly
// without ever completing its value, and one sends values that are not listings.
TEST_F(RegistryWatchTest, ReconnectsInTimeWhenNoCompleteValueArrives) {
  replies = {response_head + Chunk(ListingJson(7, "a") + "\n{\"revi"),
             response_head + Chunk("{\n"),
             response_head + Chunk("\n"),
             response_head + Chunk(ListingJson(8, "b") + "\n"),
             response_head + Chunk(ListingJson(8, "c") + "\n"),
             response_head + Chunk(ListingJson(8, "d") + "\n")};
  std::vector<std::unique_ptr<RegistryWatch>> watches;
  const auto start_time = std::chrono::steady_clock::now();
  for (std::size_t i = 1; i <= 3; ++i) {
    watches.push_back(StartWatch(Address(agent_acceptor_)));
    RunUntil([&] { return requests.size() == i && !requests.back().empty(); });
  }
  asio::steady_timer trickle_timer(io);
  std::function<void()> more = [&] {
    trickle_timer.expires_after(milliseconds(100));
    trickle_timer.async_wait([&](std::error_code error) {
      if (error) return;
      Send(1, Chunk("\n  "));
      Send(2, Chunk("no list\n"));
      more();
    });
  };
  more();
  RunUntil([&] { return reported_ids.size() == 7; });
  EXPECT_LT(std::chrono::steady_clock::now() - start_time, milliseconds(5900));
  EXPECT_GT(std::chrono::steady_clock::now() - start_time, milliseconds(4000));  // allows for a slow machine
  trickle_timer.cancel();
  for (const auto& watch : watches) watch->Stop();
}

// Guards against a connection reset that discards the listing received before it, and against a reconnect
// that requests changes since an older version.
TEST_F(RegistryWatchTest, AppliesAListingReceivedJustBeforeAConnectionReset) {
  replies = {"", response_head + Chunk(ListingJson(13, "b") + "\n")};
  const auto watch = StartWatch(Address(agent_acceptor_));
  RunUntil([&] { return !requests.empty() && !requests[0].empty(); });
  Send(0, response_head + Chunk(ListingJson(12, "a") + "\n"));
  connections[0]->set_option(asio::socket_base::linger(true, 0));
  RunUntil([&] { return reported_ids == "a"; });
  connections[0]->close();
  RunUntil([&] { return reported_ids == "a b"; });
  EXPECT_EQ(requests[1], "GET /registry/instances?follow=1&since=12");
  watch->Stop();
}

// Guards against a retry that becomes due in the same iteration of the event loop in which another address is
// set. It would open a second watch, and one of the two would never be closed.
TEST_F(RegistryWatchTest, RedirectCancelsARetryThatIsAlreadyDue) {
  tcp::acceptor closed_acceptor(io, Loopback(0));
  const std::string unused_address = Address(closed_acceptor);
  closed_acceptor.close();
  const auto watch = StartWatch(unused_address);
  RunUntil([&] { return watch->counters().disconnects == 1; });
  const auto wait_end = std::chrono::steady_clock::now() + milliseconds(20);  // longer than the retry delay
  while (std::chrono::steady_clock::now() < wait_end) {
  }
  bool ran = false;
  asio::post(io, [&] { ran = true; });
  while (!ran) io.poll_one();
  watch->Redirect(Address(agent_acceptor_));
  const std::uint64_t connects = watch->counters().connects;
  replies = {response_head + Chunk(ListingJson(7, "a") + "\n")};
  RunUntil([&] { return reported_ids == "a"; });
  EXPECT_EQ(watch->counters().connects, connects);
  watch->Stop();
}

// Guards against missed updates and a permanently outdated list when the address changes twice in a row.
TEST_F(RegistryWatchTest, KeepsTheOldestWatchUntilTheNewestDeliversAListing) {
  tcp::acceptor second(io, Loopback(0)), third(io, Loopback(0));
  Accept(second, "second ");
  Accept(third, "third ");
  replies = {response_head + Chunk(ListingJson(40, "a") + "\n")};
  const auto watch = StartWatch(Address(agent_acceptor_));
  RunUntil([&] { return reported_ids == "a"; });
  watch->Redirect(Address(second));
  watch->Redirect(Address(third));
  RunUntil([&] { return requests.size() >= 2 && requests.back().starts_with("third GET"); });
  EXPECT_TRUE(requests.back().ends_with("since=0"));
  Send(0, Chunk(ListingJson(41, "b") + "\n"));
  RunUntil([&] { return reported_ids == "a b"; });
  Send(requests.size() - 1, response_head + Chunk(ListingJson(3, "c") + "\n"));
  RunUntil([&] { return reported_ids == "a b c"; });
  Send(0, Chunk(ListingJson(42, "d") + "\n"));
  Send(requests.size() - 1, Chunk(ListingJson(4, "e") + "\n"));
  RunUntil([&] { return reported_ids == "a b c e"; });
  EXPECT_EQ(reported_ids, "a b c e");
  watch->Stop();
}

// Guards against missed updates after SIGHUP when the new address is silent. The previous watch stays in use,
// and if that is lost as well, the new address is still retried.
TEST_F(RegistryWatchTest, RetriesASilentNewAddressWhileKeepingThePreviousWatch) {
  tcp::acceptor second(io, Loopback(0));
  Accept(second, "second ");
  replies = {response_head + Chunk(ListingJson(40, "a") + "\n")};
  const auto watch = StartWatch(Address(agent_acceptor_));
  RunUntil([&] { return reported_ids == "a"; });
  watch->Redirect(Address(second));
  RunUntil([&] { return requests.size() >= 4; });  // the new address has been retried
  Send(0, Chunk(ListingJson(41, "b") + "\n"));
  RunUntil([&] { return reported_ids == "a b"; });
  connections[0]->close();
  const std::size_t request_count = requests.size();
  RunUntil([&] { return requests.size() >= request_count + 2; });
  replies.resize(connections.size());
  replies.resize(connections.size() + 50, response_head + Chunk(ListingJson(3, "c") + "\n"));
  RunUntil([&] { return reported_ids == "a b c"; });
  EXPECT_EQ(requests.back(), "second GET /registry/instances?follow=1&since=0");
  watch->Stop();
}

// Guards against giving up an address that is set while the registry is down, and against requesting changes
// since a version of another address.
TEST_F(RegistryWatchTest, WatchesAnAddressSetWhileTheRegistryWasDown) {
  replies = {response_head + Chunk(ListingJson(40, "a") + "\n"),
             response_head + Chunk(ListingJson(3, "b") + "\n")};
  const auto watch = StartWatch(Address(agent_acceptor_));
  RunUntil([&] { return reported_ids == "a"; });
  agent_acceptor_.close();
  connections[0]->close();
  RunUntil([&] { return watch->counters().disconnects >= 2; });
  tcp::acceptor second(io, Loopback(0));
  const tcp::endpoint second_endpoint = second.local_endpoint();
  second.close();
  watch->Redirect("127.0.0.1:" + std::to_string(second_endpoint.port()));
  const std::uint64_t disconnects_before = watch->counters().disconnects;
  RunUntil([&] { return watch->counters().disconnects >= disconnects_before + 2; });
  tcp::acceptor reopened_acceptor(io, second_endpoint);
  Accept(reopened_acceptor, "second ");
  RunUntil([&] { return reported_ids == "a b"; });
  EXPECT_EQ(requests.back(), "second GET /registry/instances?follow=1&since=0");
  watch->Stop();
}

}  // namespace
}  // namespace tulipyoke::discovery
