// The `membership` section of the configuration: the sources of servers and how they are combined. Without
// this section, the platform's registry is the only source and its listings are used unchanged.
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

// A DNS-SD zone and the resolvers to query for it.
struct DnsSdSource {
  dnssd::BrowserOptions browser_options;
  dnssd::StubResolverOptions resolver_options;
  std::vector<std::string> resolvers;  // addresses with ports
};

struct SourceConfig {
  enum class Kind { kRegistry, kStatic, kDnsSd };

  std::string name;
  Kind kind = Kind::kRegistry;
  EndpointList static_listing;  // only for a static source
  DnsSdSource dns_sd;           // only for a DNS-SD source
};

struct MembershipConfig {
  std::vector<SourceConfig> sources;  // in order of precedence
  membership::Options options;

  // Returns false if the configuration has no `membership` section.
  bool enabled() const { return !sources.empty(); }
  // Returns the index of the registry in `sources`; nothing if the registry is not a source.
  std::optional<std::size_t> RegistryIndex() const;
};

// `path` locates the JSON value in the document. The deadlines and the drain timeout in `settings` set the
// minimum time for which vanished servers stay listed. Throws ConfigError.
MembershipConfig ParseMembershipConfig(const nlohmann::json& json, const std::string& path,
                                       const Settings& settings);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_MEMBERSHIP_CONFIG_HPP_
