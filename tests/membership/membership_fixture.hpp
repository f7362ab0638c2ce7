// The fixture of the Membership tests: a Membership with three sources and a manual clock.
#ifndef TULIPYOKE_TESTS_MEMBERSHIP_MEMBERSHIP_FIXTURE_HPP_
#define TULIPYOKE_TESTS_MEMBERSHIP_MEMBERSHIP_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/membership/membership.hpp"

namespace tulipyoke::membership {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 1'700'000'000 * kSecond;

inline ListedServer MakeServer(const std::string& id, std::int64_t started_ms = 0,
                               const std::string& address = "10.0.0.1:1",
                               ServerState state = ServerState::kReady) {
  ListedServer server;
  server.id = id;
  server.address = address;
  server.started_unix_ms = started_ms;
  server.state = state;
  return server;
}

// Applies listings of sources and keeps the published servers, as a consumer of the listings would.
class MembershipTest : public testing::Test {
 protected:
  void ApplyCompleteListing(std::size_t source, std::vector<ListedServer> servers) {
    membership_.ApplyListing(now_, source, {1, true, std::move(servers)});
    TakeListings();
  }
  void Announce(std::size_t source, ListedServer server) {
    membership_.ApplyListing(now_, source, {1, false, {std::move(server)}});
    TakeListings();
  }
  void Withdraw(std::size_t source, const std::string& id) {
    Announce(source, MakeServer(id, 0, "", ServerState::kGone));
  }
  // Advances the clock step by step and calls Tick whenever work becomes due.
  void Advance(Micros duration) {
    const Micros end = now_ + duration;
    for (auto due = membership_.NextDue(); due && *due <= end; due = membership_.NextDue()) {
      now_ = std::max(now_ + 1, *due);
      membership_.Tick(now_);
      TakeListings();
    }
    now_ = end;
    membership_.Tick(now_);
    TakeListings();
  }
  void TakeListings() {
    while (const std::optional<EndpointList> listing = membership_.TakeListing()) {
      EXPECT_FALSE(listing->complete);
      for (const ListedServer& server : listing->servers) {
        if (server.state == ServerState::kGone) {
          EXPECT_EQ(published_.erase(server.id), 1u);
          ++removals_;
        } else {
          published_[server.id] = server;
        }
      }
    }
  }
  std::size_t InServiceCount() const {
    return static_cast<std::size_t>(std::count_if(published_.begin(), published_.end(), [](const auto& item) {
      return item.second.state == ServerState::kReady;
    }));
  }
  bool IsInService(const std::string& id) const { return IsPublishedAs(id, ServerState::kReady); }
  bool IsDraining(const std::string& id) const { return IsPublishedAs(id, ServerState::kDraining); }

  Micros now_ = kStart;
  Membership membership_{Options(), {"registry", "derby", "nottingham"}};
  std::map<std::string, ListedServer> published_;  // by id
  int removals_ = 0;

 private:
  bool IsPublishedAs(const std::string& id, ServerState state) const {
    const auto it = published_.find(id);
    return it != published_.end() && it->second.state == state;
  }
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_TESTS_MEMBERSHIP_MEMBERSHIP_FIXTURE_HPP_
