// Service discovery from several sources: DNS-SD zones, which it browses with sockets and timers, static
// lists, and the updates of the platform's registry, all merged by the membership.
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

// Runs in the thread of `io`; `io` and `clock` must outlive it.
class ServiceDiscovery {
 public:
  using OnUpdate = std::function<void(const EndpointList&)>;

  // `on_update` gets what has changed in the merged list. Throws std::runtime_error where the address of a
  // resolver is invalid.
  ServiceDiscovery(asio::io_context& io, net::LoopClock& clock, const MembershipConfig& config,
                   OnUpdate on_update);
  ~ServiceDiscovery();
  ServiceDiscovery(const ServiceDiscovery&) = delete;
  ServiceDiscovery& operator=(const ServiceDiscovery&) = delete;

  // Takes the registry's list as it was last known, before the registry itself has been heard.
  void RestoreRegistryListing(const EndpointList& known);
  // Takes an update of the registry; ignored where the registry is no source.
  void OnRegistryUpdate(const EndpointList& listing);
  // Ends all queries and timers for good.
  void Stop();

  // One browsed zone, for operators.
  struct ZoneStatus {
    std::string source;  // its name in the configuration
    std::string zone;    // with the service
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
  // Moves all pending work between browsers, resolvers, transactions and the membership, and sets the timer.
  void Pump();
  // Returns whether there may be more to do.
  bool PumpZone(Zone& zone);
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

// For operators: the zones and the merged servers, a line each.
std::string ToText(const ServiceDiscovery& discovery, Micros now);

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_SERVICE_DISCOVERY_HPP_
