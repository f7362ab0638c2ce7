// The part `membership` of the configuration: the sources of the list of servers, and how they are combined.
// Without it the platform's registry is the only source and its listings are used as they come.
#ifndef TULIPYOKE_SRC_CONFIG_MEMBERSHIP_CONFIG_HPP_
#define TULIPYOKE_SRC_CONFIG_MEMBERSHIP_CONFIG_HPP_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "src/dnssd/stub_resolver.hpp"
#include "src/dnssd/zone_browser.hpp"
#include "src/membership/membership.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// A DNS-SD zone and the resolvers that are queried for it.
struct DnsSdSource {
  dnssd::BrowserOptions browser_options;
  dnssd::StubResolverOptions resolver_options;
  std::vector<std::string> resolvers;  // addresses with ports
};

struct SourceConfig {
  enum class Kind { kRegistry, kStatic, kDnsSd };

  std::string name;
  Kind kind = Kind::kRegistry;
  EndpointList static_listing;  // of a static source
  DnsSdSource dns_sd;           // of a DNS-SD source
};

struct MembershipConfig {
  std::vector<SourceConfig> sources;  // in the order of precedence
  membership::Options options;

  // False if the configuration has no such part.
  bool enabled() const { return !sources.empty(); }
  // The index of the registry among the sources; none if it is not a source.
  std::optional<std::size_t> RegistryIndex() const;
};

// `path` is that of the JSON value in the document. Deadlines and the drain timeout of the settings bound how
// long vanished servers stay listed. Throws ConfigError.
MembershipConfig ParseMembershipConfig(const nlohmann::json& json, const std::string& path,
                                       const Settings& settings);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_MEMBERSHIP_CONFIG_HPP_
