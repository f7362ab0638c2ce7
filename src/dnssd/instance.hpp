// A service instance of DNS-SD (RFC 6763): what its SRV and TXT records and an address say about a server, as
// an entry of an endpoint list. Pure functions.
#ifndef TULIPYOKE_SRC_DNSSD_INSTANCE_HPP_
#define TULIPYOKE_SRC_DNSSD_INSTANCE_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "src/dnssd/message.hpp"
#include "src/dnssd/txt_attributes.hpp"

namespace tulipyoke::dnssd {

// Why an instance is not listed, or is still listed by its last valid records.
struct InstanceFault {
  enum class Kind {
    kPortZero,          // in its SRV record
    kInvalidTxt,        // see `txt`
    kNoAllowedAddress,  // its host has addresses, but none that the configuration allows
    kDuplicateId,       // another instance has `id`
    kUnresolved,        // its records are not known yet, or there are none
  };
  Kind kind = Kind::kUnresolved;
  TxtFault txt;    // of kInvalidTxt
  std::string id;  // of kDuplicateId

  bool operator==(const InstanceFault&) const = default;
};
// For log messages and operators.
std::string ToText(const InstanceFault& fault);

// The record to use: lowest priority, then highest weight, then name and port, so that all routers choose
// alike. None where there are no records.
std::optional<SrvData> SelectService(const std::vector<SrvData>& services);

// The list entry of an instance. `zone_site` is the site of servers whose TXT record names none.
ListedServer ToListedServer(const DomainName& instance, const TxtAttributes& attributes,
                            const std::string& zone_site, const std::string& address, std::uint16_t port);

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_INSTANCE_HPP_
