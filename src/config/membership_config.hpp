// The part of the configuration that says where the list of servers comes from: `membership`. Without it the
// platform's registry is the one source, and its word is passed on as it comes.
#ifndef TULIPYOKE_SRC_CONFIG_MEMBERSHIP_CONFIG_HPP_
#define TULIPYOKE_SRC_CONFIG_MEMBERSHIP_CONFIG_HPP_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/dnssd/browser.hpp"
#include "src/dnssd/retries.hpp"
#include "src/exchange/listing.hpp"
#include "src/membership/membership.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

struct DnsSdSource {
  dnssd::ZoneOptions zone;
  dnssd::RetryOptions retries;
  std::vector<std::string> resolvers;  // addresses with ports
};
struct SourceConfig {
  enum class Kind { kRegistry, kStatic, kDnsSd };
  std::string name;
  Kind kind = Kind::kRegistry;
  Listing static_listing;  // of a static source
  DnsSdSource dns_sd;
};
struct MembershipConfig {
  std::vector<SourceConfig> sources;  // in the order of their weight; empty: this is off
  membership::Options options;

  bool on() const { return !sources.empty(); }
  // The registry's place among the sources; none where it is not a source.
  std::optional<std::size_t> RegistryIndex() const;
};

// Throws ConfigError with the path of what is wrong.
MembershipConfig ParseMembershipConfig(const nlohmann::json& json, const std::string& path,
                                       const Settings& settings);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_MEMBERSHIP_CONFIG_HPP_
