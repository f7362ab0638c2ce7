// The JSON form of a listing, in discovery's answers and in the configuration.
#ifndef TULIPYOKE_SRC_CONFIG_LISTING_JSON_HPP_
#define TULIPYOKE_SRC_CONFIG_LISTING_JSON_HPP_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "src/exchange/listing.hpp"

namespace tulipyoke {

// Both throw std::runtime_error in plain words where the text is no listing. Single entries that make no
// sense are left out: one bad line must not hide the rest.
Listing ListingFromJson(const nlohmann::json& json);
Listing ParseListing(std::string_view text);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_LISTING_JSON_HPP_
