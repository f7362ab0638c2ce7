// The watch on the list of servers, and the timers under it: events that cross, in their bad order every
// time, and watches that fall silent; see docs/design/crossings.md.
#include <gtest/gtest.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/event_loop/cancellable_timer.hpp"
#include "src/net/discovery.hpp"
#include "standins/pg_peer.hpp"

namespace tulipyoke::net {
namespace {

using standins::Loopback;
using standins::tcp;
using std::chrono::hours;
using std::chrono::milliseconds;

// Guards against a wait that was begun anew, or called off, in the turn in which its old time was over.
TEST(CancellableTimer, WhatWasSetAnewOrCalledOffIsNotHeardOf) {
  asio::io_context io;
  CancellableTimer anew(io), off(io), rings(io);
  auto gone = std::make_unique<CancellableTimer>(io);
  std::string heard;
  const auto past = asio::steady_timer::clock_type::now() - milliseconds(10);
  asio::steady_timer first(io, past - milliseconds(10));  // its handler is queued before theirs
  first.async_wait([&](std::error_code) {
    anew.ExpireAfter(hours(1), [&] { heard += "late"; });
    off.Cancel();
    gone.reset();
  });
  anew.ExpireAt(past, [&] { heard += "anew"; });
  off.ExpireAt(past, [&] { heard += "off"; });
  gone->ExpireAt(past, [&] { heard += "gone"; });
  rings.ExpireAt(past, [&] {
    heard += "1";
    rings.ExpireAt(past, [&] { heard += "2"; });
  });
  while (io.poll_one() > 0) {
  }
  EXPECT_EQ(heard, "12");
}

// An agent in the loop of the watch: what it says on each connection that it is given, and when it is asked.
class WatchTest : public testing::Test {
 protected:
  WatchTest() : agent_(io, Loopback(0)) { Accept(agent_, ""); }
  static std::string Chunk(const std::string& body) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return size.data() + body + "\r\n";
  }
  static std::string List(int revision, const std::string& id) {
    return "{\"revision\":" + std::to_string(revision) + ",\"complete\":true,\"members\":[{\"id\":\"" + id +
           "\",\"host_port\":\"127.0.0.1:1\"}]}";
  }
  static limits::ListPace Pace(Micros grace = 100'000) {
    Settings settings;
    settings.drain_grace = grace;
    return {settings, 1};
  }
  std::unique_ptr<DiscoveryWatch> Watch(const std::string& address, Micros grace = 100'000) {
    return std::make_unique<DiscoveryWatch>(
        io,
        [this](const Listing& listing) { heard += (heard.empty() ? "" : " ") + listing.servers.at(0).id; },
        address, 5, Pace(grace));
  }
  std::string Address(const tcp::acceptor& agent) const {
    return "127.0.0.1:" + std::to_string(agent.local_endpoint().port());
  }
  void Accept(tcp::acceptor& agent, const std::string& name) {
    agent.async_accept([this, &agent, name](std::error_code error, tcp::socket socket) {
      if (error) return;
      const std::size_t which = sessions.size();
      sessions.push_back(std::make_unique<tcp::socket>(std::move(socket)));
      asked.push_back(name);
      auto bytes = std::make_shared<std::string>();
      asio::async_read_until(*sessions.back(), asio::dynamic_buffer(*bytes), "\r\n\r\n",
                             [this, which, bytes](std::error_code failed, std::size_t) {
                               if (failed) return;
                               asked[which] += bytes->substr(0, bytes->find(" HTTP"));
                               if (which < says.size()) Say(which, says[which]);
                             });
      Accept(agent, name);
    });
  }
  void Say(std::size_t which, const std::string& bytes) {
    std::error_code ignored;
    asio::write(*sessions[which], asio::buffer(bytes), ignored);
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
  std::string heard;
  std::vector<std::string> says, asked;
  std::vector<std::unique_ptr<tcp::socket>> sessions;
  tcp::acceptor agent_;
};

// Guards against a list that is lost because it comes indented, and a word that takes the next with it.
TEST_F(WatchTest, AListMayComeIndentedOverManyLines) {
  says = {head +
          Chunk("{\n  \"revision\": 7,\n  \"complete\": true,\n  \"members\": [\n    {\n      \"id\": ") +
          Chunk("\"a}\\\"{\",\n      \"host_port\": \"127.0.0.1:1\"\n    }\n  ]\n}\n\n") +
          Chunk("{\"revision\":8,\"cut\noff\n") + Chunk(List(9, "b") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return heard == "a}\"{ b"; });
  EXPECT_EQ(heard, "a}\"{ b");
  EXPECT_EQ(watch->counters().bad_lines, 2u);
  EXPECT_EQ(watch->counters().connects, 1u);
  watch->Stop();
}

// Guards against a watch that is never answered, or half, and waited for until what it misses counts as told.
TEST_F(WatchTest, OneThatIsNotAnsweredIsOpenedAnewWithinTheGrace) {
  says = {"", head.substr(0, 20), head + Chunk(List(7, "a") + "\n")};
  const auto begin = std::chrono::steady_clock::now();
  const auto watch = Watch(Address(agent_), 400'000);
  Until([&] { return heard == "a"; });
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(2500));
  EXPECT_EQ(asked, std::vector<std::string>(3, "GET /registry/instances?follow=1&since=5"));
  watch->Stop();
}

// Guards against a change that is missed for good: the word that told it could not be used.
TEST_F(WatchTest, AWordThatCannotBeUsedIsMadeUpForByTheWholeList) {
  says = {head + Chunk(List(7, "a") + "\n") + Chunk("{\"revision\":8,\"complete\":fal}\n"),
          head + Chunk(List(9, "b") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return heard == "a b"; });
  EXPECT_EQ(asked[1], "GET /registry/instances?follow=1&since=0");
  EXPECT_EQ(watch->counters().bad_lines, 1u);
  watch->Stop();
}

// Guards against bytes that say nothing keeping a watch alive: one that stays amid a word, one that trickles
// and never comes to an end of it, one that says what is no list.
TEST_F(WatchTest, OneThatSaysNothingWholeIsOpenedAnewBeforeItCountsAsTold) {
  says = {head + Chunk(List(7, "a") + "\n{\"revi"),
          head + Chunk("{\n"),
          head + Chunk("\n"),
          head + Chunk(List(8, "b") + "\n"),
          head + Chunk(List(8, "c") + "\n"),
          head + Chunk(List(8, "d") + "\n")};
  std::vector<std::unique_ptr<DiscoveryWatch>> watches;
  const auto begin = std::chrono::steady_clock::now();
  for (std::size_t i = 1; i <= 3; ++i) {
    watches.push_back(Watch(Address(agent_)));
    Until([&] { return asked.size() == i && !asked.back().empty(); });
  }
  asio::steady_timer trickle(io);
  std::function<void()> more = [&] {
    trickle.expires_after(milliseconds(100));
    trickle.async_wait([&](std::error_code error) {
      if (error) return;
      Say(1, Chunk("\n  "));
      Say(2, Chunk("no list\n"));
      more();
    });
  };
  more();
  Until([&] { return heard.size() == 7; });
  EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(5900));
  EXPECT_GT(std::chrono::steady_clock::now() - begin, milliseconds(4000));  // the way may be slow
  trickle.cancel();
  for (const auto& watch : watches) watch->Stop();
}

// Guards against a reset behind a list that is taken for its loss, and against asking anew from too early.
TEST_F(WatchTest, AResetJustBehindAListKeepsTheListAndGoesOnFromThere) {
  says = {"", head + Chunk(List(13, "b") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return !asked.empty() && !asked[0].empty(); });
  Say(0, head + Chunk(List(12, "a") + "\n"));
  sessions[0]->set_option(asio::socket_base::linger(true, 0));
  Until([&] { return heard == "a"; });
  sessions[0]->close();
  Until([&] { return heard == "a b"; });
  EXPECT_EQ(asked[1], "GET /registry/instances?follow=1&since=12");
  watch->Stop();
}

// Guards against a try that was due in the turn in which another address was named: two watches at once, of
// which one is followed and the other never ended.
TEST_F(WatchTest, ATryThatIsDueAsTheAddressChangesIsNotMade) {
  tcp::acceptor gone(io, Loopback(0));
  const std::string nobody = Address(gone);
  gone.close();
  const auto watch = Watch(nobody);
  Until([&] { return watch->counters().lost == 1; });
  const auto due = std::chrono::steady_clock::now() + milliseconds(20);  // an eighth of the grace and more
  while (std::chrono::steady_clock::now() < due) {
  }
  bool ran = false;
  asio::post(io, [&] { ran = true; });
  while (!ran) io.poll_one();
  watch->Redirect(Address(agent_));
  const std::uint64_t connects = watch->counters().connects;
  says = {head + Chunk(List(7, "a") + "\n")};
  Until([&] { return heard == "a"; });
  EXPECT_EQ(watch->counters().connects, connects);
  watch->Stop();
}

// Guards against a gap, or the oldest list for ever, where the address changes twice in a row.
TEST_F(WatchTest, TheOldestAddressIsFollowedUntilTheNewestHasTold) {
  tcp::acceptor second(io, Loopback(0)), third(io, Loopback(0));
  Accept(second, "second ");
  Accept(third, "third ");
  says = {head + Chunk(List(40, "a") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return heard == "a"; });
  watch->Redirect(Address(second));
  watch->Redirect(Address(third));
  Until([&] { return asked.size() >= 2 && asked.back().starts_with("third GET"); });
  EXPECT_TRUE(asked.back().ends_with("since=0"));
  Say(0, Chunk(List(41, "b") + "\n"));
  Until([&] { return heard == "a b"; });
  Say(asked.size() - 1, head + Chunk(List(3, "c") + "\n"));
  Until([&] { return heard == "a b c"; });
  Say(0, Chunk(List(42, "d") + "\n"));
  Say(asked.size() - 1, Chunk(List(4, "e") + "\n"));
  Until([&] { return heard == "a b c e"; });
  EXPECT_EQ(heard, "a b c e");
  watch->Stop();
}

// Guards against a gap after SIGHUP where the new address says nothing: the former one is followed, and when
// that falls away as well, the new one is still asked.
TEST_F(WatchTest, ASilentNewAddressIsAskedAgainWhileTheFormerOneIsFollowed) {
  tcp::acceptor second(io, Loopback(0));
  Accept(second, "second ");
  says = {head + Chunk(List(40, "a") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return heard == "a"; });
  watch->Redirect(Address(second));
  Until([&] { return asked.size() >= 4; });  // it has been given up twice
  Say(0, Chunk(List(41, "b") + "\n"));
  Until([&] { return heard == "a b"; });
  sessions[0]->close();
  const std::size_t then = asked.size();
  Until([&] { return asked.size() >= then + 2; });
  says.resize(sessions.size());
  says.resize(sessions.size() + 50, head + Chunk(List(3, "c") + "\n"));
  Until([&] { return heard == "a b c"; });
  EXPECT_EQ(asked.back(), "second GET /registry/instances?follow=1&since=0");
  watch->Stop();
}

// Guards against an address that is named while discovery is down and given up for good, or asked for changes
// to what another one told.
TEST_F(WatchTest, AnAddressNamedWhileDiscoveryIsDownIsWatchedOnceItIsUp) {
  says = {head + Chunk(List(40, "a") + "\n"), head + Chunk(List(3, "b") + "\n")};
  const auto watch = Watch(Address(agent_));
  Until([&] { return heard == "a"; });
  agent_.close();
  sessions[0]->close();
  Until([&] { return watch->counters().lost >= 2; });
  tcp::acceptor second(io, Loopback(0));
  const tcp::endpoint there = second.local_endpoint();
  second.close();
  watch->Redirect("127.0.0.1:" + std::to_string(there.port()));
  const std::uint64_t lost = watch->counters().lost;
  Until([&] { return watch->counters().lost >= lost + 2; });
  tcp::acceptor up(io, there);
  Accept(up, "second ");
  Until([&] { return heard == "a b"; });
  EXPECT_EQ(asked.back(), "second GET /registry/instances?follow=1&since=0");
  watch->Stop();
}

}  // namespace
}  // namespace tulipyoke::net
