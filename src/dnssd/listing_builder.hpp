// Turns the cache of a zone into endpoint list updates: the first one is complete, each later one holds what
// has changed since the last.
#ifndef TULIPYOKE_SRC_DNSSD_LISTING_BUILDER_HPP_
#define TULIPYOKE_SRC_DNSSD_LISTING_BUILDER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "src/dnssd/service_cache.hpp"
#include "src/dnssd/warning_log.hpp"

namespace tulipyoke::dnssd {

class ListingBuilder {
 public:
  // `zone_site`: of servers whose TXT record names no site.
  explicit ListingBuilder(std::string zone_site) : zone_site_(std::move(zone_site)) {}

  // Lists the instance as gone in the next update. Returns whether the id that this frees may be wanted by
  // another instance, so that all are to be looked at again.
  bool InstanceRemoved(const DomainName& name);
  // The next update: complete the first time, then of a bounded number of changed instances. None: nothing
  // has changed.
  std::optional<EndpointList> Take(ServiceCache& cache, WarningLog& warnings);

  bool initial_taken() const { return version_ > 0; }
  // The entry of that instance in the last update with it; null: it is not listed.
  const ListedServer* Reported(const DomainName& name) const;

 private:
  enum class Status {
    kListed,
    kNotListed,
    kUnchanged,         // records are invalid or not known yet: the last entry stays
    kNoAllowedAddress,  // the same, with a fault
  };
  struct Resolution {
    Status status = Status::kNotListed;
    std::optional<ListedServer> server;  // of kListed
  };

  Resolution Resolve(const ServiceCache& cache, const DomainName& name, const Instance& instance) const;
  std::optional<ListedServer> AtListedAddress(const DomainName& name, const Instance& instance,
                                              const std::vector<std::string>& addresses) const;
  void Update(const ServiceCache& cache, const DomainName& name, Instance& instance, WarningLog& warnings,
              EndpointList& listing);
  void ReportServer(const DomainName& name, const std::optional<ListedServer>& server, EndpointList& listing);

  std::string zone_site_;
  std::uint64_t version_ = 0;  // of the last update
  std::map<DomainName, ListedServer> reported_;
  std::map<std::string, DomainName> id_owners_;  // by id of the listed servers
  bool id_conflict_ = false;                     // an instance was not listed for an id that was taken
  std::vector<ListedServer> removed_;            // since the last update
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_LISTING_BUILDER_HPP_
