// The JSON form of a listing, in the registry's answers and in the configuration. Single servers that are not
// valid are left out, so that one of them does not hide the others.
#ifndef TULIPYOKE_SRC_CONFIG_LISTING_JSON_HPP_
#define TULIPYOKE_SRC_CONFIG_LISTING_JSON_HPP_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "src/dispatch/endpoint_list.hpp"

namespace tulipyoke {

// Why a text or a JSON value is not a listing.
struct ListingError {
  enum class Kind {
    kNotJson,
    kWrongForm,  // a member is missing or has the wrong type
  };
  Kind kind = Kind::kNotJson;
  std::string detail;  // of a wrong form, from the JSON library
};
std::string ToText(const ListingError& error);

using ListingResult = std::variant<EndpointList, ListingError>;

ListingResult ListingFromJson(const nlohmann::json& json);
ListingResult ParseListing(std::string_view text);
// Throws std::runtime_error with the error's text where ParseListing gives an error.
EndpointList ParseListingOrThrow(std::string_view text);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_LISTING_JSON_HPP_
