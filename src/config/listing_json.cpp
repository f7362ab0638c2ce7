#include "src/config/listing_json.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

template <typename T>
T Get(const Json& json, const char* name, T missing) {
  const auto it = json.find(name);
  if (it == json.end() || it->is_null()) return missing;
  return it->get<T>();
}

std::optional<ServerState> StateOf(const std::string& phase) {
  if (phase == "in_service") return ServerState::kReady;
  if (phase == "terminating") return ServerState::kDraining;
  if (phase == "terminated") return ServerState::kGone;
  return std::nullopt;
}

std::optional<ListedServer> EntryFrom(const Json& json) {
  try {
    ListedServer entry;
    entry.id = json.at("id").get<std::string>();
    entry.address = Get<std::string>(json, "host_port", "");
    entry.zone = Get<std::string>(json, "locality", "");
    entry.kind = Get<std::string>(json, "flavor", "");
    entry.group = static_cast<int>(Get<double>(json, "cell", 0));
    entry.capacity_hint = Get<double>(json, "size", 1);
    entry.started_unix_ms = static_cast<std::int64_t>(Get<double>(json, "up_since_ms", 0));
    entry.leads = Get<std::string>(json, "replication", "") == "primary";
    const std::optional<ServerState> state = StateOf(Get<std::string>(json, "phase", "in_service"));
    if (entry.id.empty() || !state) return std::nullopt;
    entry.state = *state;
    return entry;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

Listing ListingFromJson(const Json& json) {
  try {
    Listing listing;
    listing.version = json.at("revision").get<std::uint64_t>();
    listing.complete = json.at("complete").get<bool>();
    for (const Json& member : json.at("members")) {
      if (std::optional<ListedServer> entry = EntryFrom(member)) listing.servers.push_back(std::move(*entry));
    }
    return listing;
  } catch (const Json::exception& error) {
    throw std::runtime_error(std::string("no list of servers: ") + error.what());
  }
}

Listing ParseListing(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw std::runtime_error("no list of servers: not JSON");
  return ListingFromJson(json);
}

}  // namespace tulipyoke
