#include "src/dnssd/listing_builder.hpp"

#include <cstddef>

namespace tulipyoke::dnssd {
namespace {

// Instances in one update after the first: more would keep requests of clients waiting.
constexpr std::size_t kMaxInstancesPerUpdate = 300;

}  // namespace

bool ListingBuilder::InstanceRemoved(const DomainName& name) {
  const auto reported = reported_.find(name);
  if (reported != reported_.end()) {
    id_owners_.erase(reported->second.id);
    removed_.push_back(std::move(reported->second));
    reported_.erase(reported);
  }
  return std::exchange(id_conflict_, false);
}

const ListedServer* ListingBuilder::Reported(const DomainName& name) const {
  const auto it = reported_.find(name);
  return it == reported_.end() ? nullptr : &it->second;
}

std::optional<EndpointList> ListingBuilder::Take(ServiceCache& cache, WarningLog& warnings) {
  EndpointList listing;
  listing.complete = !initial_taken();
  for (ListedServer& server : std::exchange(removed_, {})) {
    server.state = ServerState::kGone;
    listing.servers.push_back(std::move(server));
  }
  for (std::size_t done = 0; cache.has_changes(); ++done) {
    if (!listing.complete && done >= kMaxInstancesPerUpdate) break;
    const DomainName name = cache.TakeChanged();
    if (Instance* instance = cache.FindInstance(name)) Update(cache, name, *instance, warnings, listing);
  }
  if (listing.servers.empty() && !listing.complete) return std::nullopt;
  listing.version = ++version_;
  return listing;
}

void ListingBuilder::Update(const ServiceCache& cache, const DomainName& name, Instance& instance,
                            WarningLog& warnings, EndpointList& listing) {
  Resolution resolution = Resolve(cache, name, instance);
  if (resolution.status == Status::kUnchanged) return;
  if (resolution.status == Status::kNoAllowedAddress) {
    warnings.ReportFault(name, instance, {InstanceFault::Kind::kNoAllowedAddress, {}, {}});
    return;
  }
  if (resolution.server) {
    const auto owner = id_owners_.find(resolution.server->id);
    if (owner != id_owners_.end() && owner->second != name) {
      id_conflict_ = true;
      warnings.ReportFault(name, instance, {InstanceFault::Kind::kDuplicateId, {}, resolution.server->id});
      resolution.server.reset();
    }
  }
  if (resolution.server) instance.fault.reset();
  ReportServer(name, resolution.server, listing);
}

void ListingBuilder::ReportServer(const DomainName& name, const std::optional<ListedServer>& server,
                                  EndpointList& listing) {
  const auto reported = reported_.find(name);
  const bool was_listed = reported != reported_.end();
  if (was_listed && (!server || server->id != reported->second.id)) {
    id_owners_.erase(reported->second.id);
    listing.servers.push_back(std::move(reported->second));
    listing.servers.back().state = ServerState::kGone;
    reported_.erase(reported);
  }
  if (!server) return;
  id_owners_[server->id] = name;
  const auto [entry, added] = reported_.try_emplace(name, *server);
  if (!added && entry->second == *server) return;
  entry->second = *server;
  listing.servers.push_back(*server);
}

ListingBuilder::Resolution ListingBuilder::Resolve(const ServiceCache& cache, const DomainName& name,
                                                   const Instance& instance) const {
  const bool records_usable =
      !instance.srv_invalid && !instance.txt_invalid && instance.srv.known && instance.txt.known;
  if (!records_usable) return {Status::kUnchanged, {}};
  if (!instance.service) return {Status::kNotListed, {}};
  const Host* host = cache.FindHost(instance.service->target);
  if (!host) return {Status::kNotListed, {}};
  const std::vector<std::string> addresses = cache.AllowedAddresses(*host);
  if (addresses.empty()) {
    if (!cache.IsResolved(*host)) return {Status::kUnchanged, {}};
    const bool has_addresses = !host->ipv4_addresses.empty() || !host->ipv6_addresses.empty();
    return {has_addresses ? Status::kNoAllowedAddress : Status::kNotListed, {}};
  }
  std::optional<ListedServer> in_use = AtListedAddress(name, instance, addresses);
  if (in_use) return {Status::kListed, std::move(in_use)};
  // IPv4 is preferred, and may still come.
  if (!host->a.known) return {Status::kUnchanged, {}};
  return {Status::kListed,
          ToListedServer(name, *instance.attributes, zone_site_, addresses.front(), instance.service->port)};
}

// The address that is listed already is kept for as long as it is published.
std::optional<ListedServer> ListingBuilder::AtListedAddress(const DomainName& name, const Instance& instance,
                                                            const std::vector<std::string>& addresses) const {
  const ListedServer* reported = Reported(name);
  if (!reported) return std::nullopt;
  for (const std::string& address : addresses) {
    ListedServer server =
        ToListedServer(name, *instance.attributes, zone_site_, address, instance.service->port);
    if (server.address == reported->address) return server;
  }
  return std::nullopt;
}

}  // namespace tulipyoke::dnssd
