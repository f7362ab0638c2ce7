// The whole record path: bytes to messages, to a browser that asked for something, to the membership and to a
// list for the exchange. The input is a byte for the mode and chunks with their size before them; each chunk
// is taken for the answer to the next open question.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/dnssd/browser.hpp"
#include "src/membership/membership.hpp"

namespace {

using namespace tulipyoke;

constexpr std::size_t kMostInstances = 64;
constexpr int kMostSteps = 200;

void Require(bool holds) {
  if (!holds) std::abort();
}

std::string_view NextChunk(std::string_view& rest) {
  if (rest.size() < 2) return {};
  const std::size_t size = static_cast<std::size_t>(static_cast<unsigned char>(rest[0])) << 8 |
                           static_cast<unsigned char>(rest[1]);
  rest.remove_prefix(2);
  const std::string_view chunk = rest.substr(0, size);
  rest.remove_prefix(chunk.size());
  return chunk;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view rest(reinterpret_cast<const char*>(data), size);
  if (rest.empty()) return 0;
  dnssd::ZoneOptions options;
  options.zone = "derby.example.org";
  options.mode = static_cast<dnssd::Mode>(static_cast<unsigned char>(rest[0]) % 3);
  options.most_instances = kMostInstances;
  rest.remove_prefix(1);
  dnssd::ZoneBrowser browser(options);
  membership::Membership members(membership::Options(), {"derby"});
  Micros now = 1'000'000;
  for (int step = 0; step < kMostSteps && !rest.empty(); ++step) {
    browser.Tick(now);
    const auto asks = browser.TakeAsks();
    if (asks.empty()) now = std::max(now + 1, browser.NextDue());
    for (const dnssd::Ask& ask : asks) {
      dnssd::Settled settled{ask.id, 0, dnssd::Trouble::kTimeout, {}};
      if (auto message = dnssd::ReadMessage(NextChunk(rest))) {
        settled.trouble = dnssd::Trouble::kNone;
        settled.messages.push_back(std::move(*message));
      }
      now += 1000;
      browser.Settle(now, settled);
    }
    Require(browser.instances() <= kMostInstances);
    if (const auto listing = browser.TakeListing()) {
      for (const ListedServer& server : listing->servers) {
        Require(!server.id.empty() && !server.address.empty() && server.capacity_hint > 0);
      }
      members.ApplyListing(now, 0, *listing);
    }
    members.Tick(now);
    members.TakeListing();
    Require(members.size() <= 4 * kMostInstances * kMostSteps);
    browser.TakeDistrusted();
    browser.TakeRemarks();
  }
  return 0;
}
