// Parses listings in JSON, as the registry's responses and the configuration contain them. Invalid server
// entries are skipped, so that one of them does not invalidate the whole listing.
#ifndef TULIPYOKE_SRC_CONFIG_LISTING_JSON_HPP_
#define TULIPYOKE_SRC_CONFIG_LISTING_JSON_HPP_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "src/dispatch/endpoint_list.hpp"

namespace tulipyoke {

// Why a text or a JSON value is not a valid listing.
struct ListingError {
  enum class Kind {
    kNotJson,
    kInvalidStructure,  // a member is missing or has the wrong type
  };
  Kind kind = Kind::kNotJson;
  std::string detail;  // message of the JSON library for kInvalidStructure
};
std::string ToText(const ListingError& error);

using ListingResult = std::variant<EndpointList, ListingError>;

ListingResult ListingFromJson(const nlohmann::json& json);
ListingResult ParseListing(std::string_view text);
// Throws std::runtime_error with the text of the error if ParseListing returns one.
EndpointList ParseListingOrThrow(std::string_view text);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_LISTING_JSON_HPP_
