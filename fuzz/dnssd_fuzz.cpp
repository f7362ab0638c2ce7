// Fuzzes the whole path of DNS records: bytes are parsed, given to a browser as answers to its queries, and
// its list updates go to the membership. The input is a byte for the mode and chunks with their length before
// them; each chunk answers the next query.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "src/dnssd/zone_browser.hpp"
#include "src/membership/membership.hpp"

namespace {

using namespace tulipyoke;

constexpr std::size_t kMaxInstances = 64;
constexpr int kMaxSteps = 200;
constexpr int kModes = 3;
constexpr std::size_t kLengthBytes = 2;
constexpr Micros kResponseTime = 1000;

void Require(bool holds) {
  if (!holds) std::abort();
}

std::string_view NextChunk(std::string_view& rest) {
  if (rest.size() < kLengthBytes) return {};
  const std::size_t size = static_cast<std::size_t>(static_cast<unsigned char>(rest[0])) << 8 |
                           static_cast<unsigned char>(rest[1]);
  rest.remove_prefix(kLengthBytes);
  const std::string_view chunk = rest.substr(0, size);
  rest.remove_prefix(chunk.size());
  return chunk;
}

dnssd::QueryResult ResultFrom(const dnssd::Query& query, std::string_view chunk) {
  dnssd::QueryResult result;
  result.query = query.id;
  std::optional<dnssd::Message> message = dnssd::ParseMessage(chunk);
  if (message)
    result.messages.push_back(std::move(*message));
  else
    result.error = dnssd::QueryError::kTimeout;
  return result;
}

void CheckListing(const EndpointList& listing) {
  for (const ListedServer& server : listing.servers) {
    Require(!server.id.empty() && !server.address.empty() && server.capacity_hint > 0);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view rest(reinterpret_cast<const char*>(data), size);
  if (rest.empty()) return 0;
  dnssd::BrowserOptions options;
  options.zone = "derby.example.org";
  options.mode = static_cast<dnssd::BrowseMode>(static_cast<unsigned char>(rest[0]) % kModes);
  options.max_instances = kMaxInstances;
  rest.remove_prefix(1);
  dnssd::ZoneBrowser browser(options);
  membership::Membership members(membership::Options(), {"derby"});
  Micros now = 1'000'000;
  for (int step = 0; step < kMaxSteps && !rest.empty(); ++step) {
    browser.Tick(now);
    const std::vector<dnssd::Query> queries = browser.TakeQueries();
    if (queries.empty()) now = std::max(now + 1, browser.NextDue());
    for (const dnssd::Query& query : queries) {
      now += kResponseTime;
      browser.OnResult(now, ResultFrom(query, NextChunk(rest)));
    }
    Require(browser.instances() <= kMaxInstances);
    if (const std::optional<EndpointList> listing = browser.TakeListing()) {
      CheckListing(*listing);
      members.ApplyListing(now, 0, *listing);
    }
    members.Tick(now);
    members.TakeListing();
    Require(members.size() <= 4 * kMaxInstances * kMaxSteps);
    browser.TakeStaleResolvers();
    browser.TakeWarnings();
  }
  return 0;
}
