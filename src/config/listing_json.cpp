#include "src/config/listing_json.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

// A member that is missing or null has the default value.
template <typename T>
T GetOr(const Json& json, const char* name, T default_value) {
  const auto it = json.find(name);
  if (it == json.end() || it->is_null()) return default_value;
  return it->get<T>();
}

// None for a phase that is not known.
std::optional<ServerState> StateOf(const std::string& phase) {
  if (phase == "in_service") return ServerState::kReady;
  if (phase == "terminating") return ServerState::kDraining;
  if (phase == "terminated") return ServerState::kGone;
  return std::nullopt;
}

// None for an entry that is not valid.
std::optional<ListedServer> ServerFromJson(const Json& json) {
  try {
    ListedServer entry;
    entry.id = json.at("id").get<std::string>();
    entry.address = GetOr<std::string>(json, "host_port", "");
    entry.zone = GetOr<std::string>(json, "locality", "");
    entry.kind = GetOr<std::string>(json, "flavor", "");
    entry.group = static_cast<int>(GetOr<double>(json, "cell", 0));
    entry.capacity_hint = GetOr<double>(json, "size", 1);
    entry.started_unix_ms = static_cast<std::int64_t>(GetOr<double>(json, "up_since_ms", 0));
    entry.is_primary = GetOr<std::string>(json, "replication", "") == "primary";
    const std::optional<ServerState> state = StateOf(GetOr<std::string>(json, "phase", "in_service"));
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
  return "no list of servers: " + (not_json ? "not JSON" : error.detail);
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
    return ListingError{ListingError::Kind::kWrongForm, error.what()};
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
