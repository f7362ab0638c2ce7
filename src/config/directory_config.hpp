// The part of the configuration that says where the list of servers comes from: `membership`. Without it the
// platform's registry is the one source, and its word is passed on as it comes.
#ifndef TULIPYOKE_SRC_CONFIG_DIRECTORY_CONFIG_HPP_
#define TULIPYOKE_SRC_CONFIG_DIRECTORY_CONFIG_HPP_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "src/dnssd/stub_resolver.hpp"
#include "src/dnssd/zone_browser.hpp"
#include "src/exchange/listing.hpp"
#include "src/membership/membership.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

struct DnsSource {
  dnssd::BrowserOptions zone;
  dnssd::StubResolverOptions retries;
  std::vector<std::string> resolvers;  // addresses with ports
};
struct SourceConfig {
  enum class Kind { kRegistry, kStatic, kDns };
  std::string name;
  Kind kind = Kind::kRegistry;
  Listing fixed;  // of a static source
  DnsSource dns;
};
struct DirectoryConfig {
  std::vector<SourceConfig> sources;  // in the order of their weight; empty: this is off
  membership::Options membership;

  bool on() const { return !sources.empty(); }
  // The registry's place among the sources; -1: it is none.
  int registry() const;
};

// Throws ConfigError with the path of what is wrong.
DirectoryConfig DirectoryFrom(const nlohmann::json& json, const std::string& path, const Settings& settings);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_DIRECTORY_CONFIG_HPP_
