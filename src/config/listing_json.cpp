#include "src/config/listing_json.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

// Returns the default value if the member is missing or null.
template <typename T>
T ValueOrDefault(const Json& json, const char* name, T default_value) {
  const auto it = json.find(name);
  if (it == json.end() || it->is_null()) return default_value;
  return it->get<T>();
}

// Returns nothing for an unknown phase.
std::optional<ServerState> StateFromPhase(const std::string& phase) {
  if (phase == "in_service") return ServerState::kReady;
  if (phase == "terminating") return ServerState::kDraining;
  if (phase == "terminated") return ServerState::kGone;
  return std::nullopt;
}

// Returns nothing for an invalid entry.
std::optional<ListedServer> ServerFromJson(const Json& json) {
  try {
    ListedServer entry;
    entry.id = json.at("id").get<std::string>();
    entry.address = ValueOrDefault<std::string>(json, "host_port", "");
    entry.zone = ValueOrDefault<std::string>(json, "locality", "");
    entry.kind = ValueOrDefault<std::string>(json, "flavor", "");
    entry.group = static_cast<int>(ValueOrDefault<double>(json, "cell", 0));
    entry.capacity_hint = ValueOrDefault<double>(json, "size", 1);
    entry.started_unix_ms = static_cast<std::int64_t>(ValueOrDefault<double>(json, "up_since_ms", 0));
    entry.is_primary = ValueOrDefault<std::string>(json, "replication", "") == "primary";
    const std::optional<ServerState> state =
        StateFromPhase(ValueOrDefault<std::string>(json, "phase", "in_service"));
    if (entry.id.empty() || !state) return std::nullopt;
    entry.state = *state;
    return entry;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string ToText(const ListingError& error) {
  const bool not_json = error.kind == ListingError::Kind::kNotJson;
  return "invalid server list: " + (not_json ? "not valid JSON" : error.detail);
}

ListingResult ListingFromJson(const Json& json) {
  try {
    EndpointList listing;
    listing.version = json.at("revision").get<std::uint64_t>();
    listing.complete = json.at("complete").get<bool>();
    for (const Json& member : json.at("members")) {
      if (std::optional<ListedServer> entry = ServerFromJson(member))
        listing.servers.push_back(std::move(*entry));
    }
    return listing;
  } catch (const Json::exception& error) {
    return ListingError{ListingError::Kind::kInvalidStructure, error.what()};
  }
}

ListingResult ParseListing(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return ListingError{ListingError::Kind::kNotJson, ""};
  return ListingFromJson(json);
}

EndpointList ParseListingOrThrow(std::string_view text) {
  ListingResult result = ParseListing(text);
  if (const auto* error = std::get_if<ListingError>(&result)) throw std::runtime_error(ToText(*error));
  return std::get<EndpointList>(std::move(result));
}

}  // namespace tulipyoke
