// Merges the servers announced by DNS-SD zones, static lists and the platform's registry. Browses the DNS-SD
// zones with its own sockets and timers.
#ifndef TULIPYOKE_SRC_DISCOVERY_SERVICE_DISCOVERY_HPP_
#define TULIPYOKE_SRC_DISCOVERY_SERVICE_DISCOVERY_HPP_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/config/membership_config.hpp"
#include "src/discovery/dns_transaction.hpp"
#include "src/dnssd/stub_resolver.hpp"
#include "src/dnssd/zone_browser.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/membership/membership.hpp"

namespace tulipyoke::discovery {

// Must be used on the thread that runs `io`. `io` and `clock` must outlive it.
class ServiceDiscovery {
 public:
  using OnUpdate = std::function<void(const EndpointList&)>;

  // Calls `on_update` with each change of the merged list. Throws std::runtime_error if the address of a
  // resolver is invalid.
  ServiceDiscovery(asio::io_context& io, net::LoopClock& clock, const MembershipConfig& config,
                   OnUpdate on_update);
  ~ServiceDiscovery();
  ServiceDiscovery(const ServiceDiscovery&) = delete;
  ServiceDiscovery& operator=(const ServiceDiscovery&) = delete;

  // Restores the last known listing of the registry. Call it before the first update from the registry, and
  // only if the registry is a configured source.
  void RestoreRegistryListing(const EndpointList& cached_listing);
  // Applies an update from the registry. Does nothing if the registry is not a configured source.
  void OnRegistryUpdate(const EndpointList& listing);
  // Cancels all queries and timers permanently.
  void Stop();

  // The status of one browsed zone, for operators.
  struct ZoneStatus {
    std::string source;  // the name of the source in the configuration
    std::string zone;    // the service and the zone, as one domain name
    std::optional<std::uint32_t> serial;
    dnssd::BrowserCounters browser;
    dnssd::StubResolverCounters resolver;
    std::vector<dnssd::InstanceView> instances;
  };
  std::vector<ZoneStatus> ZoneStatuses() const;
  const membership::Membership& membership() const { return membership_; }
  const DnsTransactionCounters& transaction_counters() const { return transaction_counters_; }

 private:
  struct Zone;

  void AddSources();
  // Passes pending work between the browsers, resolvers, transactions and the membership, then sets the
  // timer.
  void ProcessPendingWork();
  // Returns true if the zone may have more work.
  bool ProcessZone(Zone& zone);
  void StartTransaction(Zone& zone, const dnssd::Transmission& transmission);
  void ArmTimer();

  asio::io_context& io_;
  net::LoopClock& clock_;
  MembershipConfig config_;
  OnUpdate on_update_;
  membership::Membership membership_;
  DnsTransactionCounters transaction_counters_;
  asio::steady_timer timer_;
  std::vector<std::unique_ptr<Zone>> zones_;
  bool stopped_ = false;
};

// Returns the status for operators, with one line for each zone and each merged server.
std::string ToText(const ServiceDiscovery& discovery, Micros now);

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_SERVICE_DISCOVERY_HPP_
