// Where the list of servers comes from when there is more than the platform's registry: the DNS-SD zones with
// their sockets and timers, the static lists, and what is heard of the registry, made one by the membership.
#ifndef TULIPYOKE_SRC_NET_DIRECTORY_HPP_
#define TULIPYOKE_SRC_NET_DIRECTORY_HPP_

#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/config/directory_config.hpp"
#include "src/dnssd/browser.hpp"
#include "src/dnssd/retries.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/membership/membership.hpp"
#include "src/net/dns_socket.hpp"

namespace tulipyoke::net {

class Directory {
 public:
  using Sink = std::function<void(const Listing&)>;

  // The sink is given what changed, from the loop.
  Directory(asio::io_context& io, LoopClock& clock, const DirectoryConfig& config, Sink sink);
  ~Directory();
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  // The registry's list as it was last known; its word, but no news.
  void Remember(const Listing& known);
  void HeardRegistry(const Listing& listing);
  void Stop();

  struct ZoneView {
    std::string source, zone;
    std::optional<std::uint32_t> serial;
    dnssd::BrowserCounters browser;
    dnssd::RetryCounters retries;
    std::vector<dnssd::InstanceView> instances;
  };
  std::vector<ZoneView> Zones() const;
  const membership::Membership& membership() const { return membership_; }
  const DnsSocketCounters& sockets() const { return counters_; }

 private:
  struct Zone;

  // Carries everything that came of the last event to where it belongs.
  void Pump();
  bool PumpZone(Zone& zone);
  void Transmit(Zone& zone, const dnssd::Transmission& transmission);

  asio::io_context& io_;
  LoopClock& clock_;
  DirectoryConfig config_;
  Sink sink_;
  membership::Membership membership_;
  DnsSocketCounters counters_;
  asio::steady_timer timer_;
  std::vector<std::unique_ptr<Zone>> zones_;
  bool stopped_ = false;
};

// For staff: the membership and its zones, a line each.
std::string ToText(const Directory& directory, Micros now);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_DIRECTORY_HPP_
