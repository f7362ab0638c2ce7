// Characterization tests of the registry watch: the exact bytes of its HTTP requests, the values that its
// parser finds in seeded random streams, and the delays of its reconnect backoff. The expected constants were
// recorded once. If one no longer matches, the observable behaviour has changed.
#include <gtest/gtest.h>

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/discovery/poll_backoff.hpp"
#include "src/discovery/registry_watch.hpp"
#include "src/discovery/watch_response_parser.hpp"
#include "standins/pg_peer.hpp"

namespace tulipyoke::discovery {
namespace {

using standins::Loopback;
using standins::tcp;

constexpr const char* kResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Chunk(const std::string& body) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  return size + body + "\r\n";
}

std::string ListingJson(int revision) {
  return "{\"revision\":" + std::to_string(revision) +
         ",\"complete\":true,\"members\":[{\"id\":\"a\",\"host_port\":\"127.0.0.1:1\"}]}\n";
}

class Fnv1a {
 public:
  void Add(std::string_view text) {
    for (const char c : text) AddByte(static_cast<unsigned char>(c));
    AddByte(0xff);
  }
  void Add(std::int64_t number) { Add(std::string_view(std::to_string(number))); }
  std::uint64_t value() const { return hash_; }

 private:
  void AddByte(unsigned char byte) { hash_ = (hash_ ^ byte) * 0x100000001b3u; }

  std::uint64_t hash_ = 0xcbf29ce484222325u;
};

// A registry that records the complete bytes of each request and answers the n-th request with the n-th
// reply. If a reply ends with kCloseConnection, it closes the connection after sending the rest.
class RecordingRegistry {
 public:
  static constexpr char kCloseConnection = '\x04';

  explicit RecordingRegistry(asio::io_context& io) : acceptor_(io, Loopback(0)) { Accept(); }

  std::string Address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  std::vector<std::string> replies;
  std::vector<std::string> requests;

 private:
  void Accept() {
    acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
      if (error) return;
      Read(std::make_shared<tcp::socket>(std::move(socket)));
      Accept();
    });
  }
  void Read(const std::shared_ptr<tcp::socket>& socket) {
    sockets_.push_back(socket);
    const auto bytes = std::make_shared<std::string>();
    asio::async_read_until(*socket, asio::dynamic_buffer(*bytes), "\r\n\r\n",
                           [this, socket, bytes](std::error_code error, std::size_t) {
                             if (error) return;
                             requests.push_back(*bytes);
                             if (requests.size() <= replies.size())
                               Reply(*socket, replies[requests.size() - 1]);
                           });
  }
  static void Reply(tcp::socket& socket, std::string reply) {
    const bool closes_connection = !reply.empty() && reply.back() == kCloseConnection;
    if (closes_connection) reply.pop_back();
    std::error_code ignored;
    asio::write(socket, asio::buffer(reply), ignored);
    if (closes_connection) socket.close(ignored);
  }

  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
};

void RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(12);
  while (!done() && std::chrono::steady_clock::now() < deadline)
    io.run_one_for(std::chrono::milliseconds(20));
  ASSERT_TRUE(done());
}

std::string RequestFor(const std::string& address, int since_version) {
  return "GET /registry/instances?follow=1&since=" + std::to_string(since_version) +
         " HTTP/1.1\r\nHost: " + address + "\r\nAccept: application/json\r\n\r\n";
}

TEST(RegistryWatchOracle, RequestBytesAreUnchanged) {
  asio::io_context io;
  RecordingRegistry first(io), second(io);
  const std::string close_marker(1, RecordingRegistry::kCloseConnection);
  first.replies = {kResponseHead + Chunk(ListingJson(7)) + close_marker,
                   kResponseHead + Chunk("{\"revision\":8,\"complete\":fal}\n"),
                   "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", kResponseHead + Chunk(ListingJson(12))};
  second.replies = {kResponseHead + Chunk(ListingJson(3))};
  Settings settings;
  settings.drain_timeout = 100'000;
  std::uint64_t last_version = 0;
  RegistryWatch watch(
      io, [&](const EndpointList& listing) { last_version = listing.version; }, first.Address(), 5,
      ReconnectBackoff(settings, 1));
  RunUntil(io, [&] { return last_version == 12; });
  watch.Refresh();
  RunUntil(io, [&] { return first.requests.size() == 5; });
  watch.Redirect(second.Address());
  RunUntil(io, [&] { return last_version == 3; });
  watch.Stop();
  const std::string address = first.Address();
  EXPECT_EQ(first.requests,
            (std::vector<std::string>{RequestFor(address, 5), RequestFor(address, 7), RequestFor(address, 0),
                                      RequestFor(address, 0), RequestFor(address, 0)}));
  EXPECT_EQ(second.requests, (std::vector<std::string>{RequestFor(second.Address(), 0)}));
  EXPECT_EQ(watch.counters().connects, 6u);
  EXPECT_EQ(watch.counters().disconnects, 4u);
  EXPECT_EQ(watch.counters().invalid_values, 1u);
}

// A linear congruential generator, which produces the same numbers on every platform.
class RandomNumbers {
 public:
  explicit RandomNumbers(std::uint64_t seed) : state_(seed) {}
  std::size_t Below(std::size_t limit) {
    state_ = state_ * 6364136223846793005u + 1442695040888963407u;
    return static_cast<std::size_t>(state_ >> 33) % limit;
  }

 private:
  std::uint64_t state_;
};

TEST(RegistryWatchOracle, ParsedValuesAreUnchanged) {
  const std::vector<std::string> fragments = {
      "{",    "}",   "[",  "]", "\"",   "\\",          "\n",        "\r\n", " ",
      "\t",   ":",   "12", "a", "\n\n", "{\"a\":1}\n", "no json\n", "[]",   "{\"s\":\"}\\\"\"}",
      "\"\n", "\\\\"};
  Fnv1a hash;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    RandomNumbers random(seed);
    std::string stream = kResponseHead;
    for (int chunk = 0; chunk < 12; ++chunk) {
      std::string body;
      for (int i = 0; i < 9; ++i) body += fragments[random.Below(fragments.size())];
      stream += Chunk(body);
    }
    if (random.Below(2) == 0) stream += "0\r\n\r\n";
    if (random.Below(8) == 0) stream[random.Below(stream.size())] = '?';
    WatchResponseParser parser;
    std::vector<std::string> values;
    for (std::size_t offset = 0; offset < stream.size();) {
      const std::size_t size = std::min(stream.size() - offset, 1 + random.Below(40));
      const bool response_open = parser.Feed(std::string_view(stream).substr(offset, size), values);
      hash.Add((response_open ? 1 : 0) + (parser.watch_opened() ? 2 : 0));
      if (!response_open) break;
      offset += size;
    }
    for (const std::string& value : values) hash.Add(value);
  }
  EXPECT_EQ(hash.value(), 13955958368259256259u);
}

TEST(RegistryWatchOracle, BackoffDelaysAreUnchanged) {
  Fnv1a hash;
  for (const bool polls_listing : {false, true}) {
    for (const Micros drain_duration : {0, 50'000, 2'000'000}) {
      for (const int num_routers : {0, 3, 300}) {
        Settings settings;
        settings.poll_endpoint_list = polls_listing;
        settings.max_list_age = 10'000'000;
        settings.drain_timeout = drain_duration;
        settings.router_count = num_routers;
        ReconnectBackoff backoff(settings, 7);
        hash.Add(backoff.response_timeout());
        for (int i = 0; i < 8; ++i) hash.Add(backoff.NextDelay());
        hash.Add(backoff.failures());
        backoff.Reset();
        hash.Add(backoff.NextDelay());
        hash.Add(backoff.failures());
      }
    }
  }
  hash.Add(ReconnectBackoff::kHeartbeatTimeout);
  EXPECT_EQ(hash.value(), 12059979503474983070u);
}

}  // namespace
}  // namespace tulipyoke::discovery
