#include "src/dnssd/instance.hpp"

#include <algorithm>
#include <tuple>

namespace tulipyoke::dnssd {

std::string ToText(const InstanceFault& fault) {
  switch (fault.kind) {
    case InstanceFault::Kind::kPortZero:
      return "SRV names port 0";
    case InstanceFault::Kind::kInvalidTxt:
      return ToText(fault.txt);
    case InstanceFault::Kind::kNoAllowedAddress:
      return "no address that is allowed";
    case InstanceFault::Kind::kDuplicateId:
      return "the id " + fault.id + " is another instance's";
    case InstanceFault::Kind::kUnresolved:
      return "its records are not known yet, or it has none";
  }
  return "";
}

std::optional<SrvData> SelectService(const std::vector<SrvData>& services) {
  const auto rank = [](const SrvData& service) {
    return std::make_tuple(service.priority, -static_cast<int>(service.weight), service.target, service.port);
  };
  const auto best =
      std::min_element(services.begin(), services.end(),
                       [&](const SrvData& left, const SrvData& right) { return rank(left) < rank(right); });
  if (best == services.end()) return std::nullopt;
  return *best;
}

ListedServer ToListedServer(const DomainName& instance, const TxtAttributes& attributes,
                            const std::string& zone_site, const std::string& address, std::uint16_t port) {
  ListedServer listed;
  listed.id = attributes.id.empty() ? instance : attributes.id;
  listed.address = address + ":" + std::to_string(port);
  listed.zone = attributes.site.empty() ? zone_site : attributes.site;
  listed.kind = attributes.kind;
  listed.group = attributes.group;
  listed.state = attributes.draining ? ServerState::kDraining : ServerState::kReady;
  listed.capacity_hint = attributes.size;
  listed.started_unix_ms = attributes.started_unix_ms;
  listed.is_primary = attributes.primary;
  return listed;
}

}  // namespace tulipyoke::dnssd
